#include <chrono>
#include <random>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t task_count = 6;

accepted_job make_long_running_job(std::uint32_t tasks = task_count) {
    auto step = cell_fixture::make_step(tasks, 4000);
    step.is_long_running = true;
    return cell_fixture::make_job({step});
}

void check_no_violations(const cell_fixture& cell) {
    for (const auto& violation : cell.upstreams.get_violations()) {
        BOOST_ERROR(violation);
    }
}

// Returns an upstream on which tasks run, other than the given one.
upstream_id find_busy_upstream(const cell_fixture& cell, const upstream_id& other = upstream_id()) {
    for (const auto& entry : cell.entries) {
        if (entry.id != other && cell.upstreams.count_running(entry.id) > 0) {
            return entry.id;
        }
    }
    return upstream_id();
}

}  // namespace

// Tasks that run until their job is cancelled, and have to run again soon after any loss of a run.
BOOST_AUTO_TEST_SUITE(lasting_task)

// Guards against one silent upstream that holds back all inherited tasks after a takeover, also those that
// cannot run there: they waited 12 s beside idle upstreams.
BOOST_AUTO_TEST_CASE(a_silent_upstream_holds_back_only_the_tasks_that_may_be_there) {
    cell_fixture cell(4);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    const auto silent = find_busy_upstream(cell);
    const auto crashed = find_busy_upstream(cell, silent);
    const auto on_silent = cell.upstreams.count_running(silent);
    BOOST_REQUIRE(on_silent > 0U);
    BOOST_REQUIRE(cell.upstreams.count_running(crashed) > 0U);
    cell.upstreams.set_partitioned(silent, true);
    cell.upstreams.restart(crashed, 2);
    cell.take_over();
    cell.run_for(seconds(2));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    BOOST_TEST(cell.upstreams.count_running(silent) == on_silent);
    cell.run_for(seconds(16));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    BOOST_TEST(cell.upstreams.count_running(silent) == 0U);
    check_no_violations(cell);
}

// Guards against a long-running task that runs twice: its start order must not be sent before the location is
// durable, since the next owner starts the task wherever the record says that it is not.
BOOST_AUTO_TEST_CASE(no_start_order_is_sent_before_its_location_is_durable) {
    cell_fixture cell(3);
    cell.delays_commits = true;
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.get_start_count() == 0U);
    cell.delays_commits = false;
    cell.run_for(milliseconds(200));
    BOOST_TEST(cell.upstreams.get_start_count() == task_count);
    check_no_violations(cell);
}

// Guards against a task that waits for an upstream that has gone before the task was ever sent there.
BOOST_AUTO_TEST_CASE(an_unsent_run_leaves_a_silent_upstream_at_once) {
    cell_fixture cell(3);
    cell.delays_commits = true;
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(milliseconds(200));
    const auto* first = cell.scheduler->find_upstream(cell.entries[0].id);
    std::set<upstream_id> chosen;
    for (const auto& entry : cell.entries) {
        first = cell.scheduler->find_upstream(entry.id);
        if (!first->runs.empty()) {
            chosen.insert(entry.id);
        }
    }
    BOOST_REQUIRE(!chosen.empty());
    cell.upstreams.set_partitioned(*chosen.begin(), true);
    cell.run_for(milliseconds(200));
    cell.delays_commits = false;
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

// Guards against records of an owner that did not keep them: without complete locations every inherited task
// may be on the silent upstream.
BOOST_AUTO_TEST_CASE(incomplete_locations_hold_back_all_inherited_tasks) {
    cell_fixture cell(4);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    const auto silent = find_busy_upstream(cell);
    cell.upstreams.set_partitioned(silent, true);
    cell.upstreams.restart(find_busy_upstream(cell, silent), 2);
    cell.has_complete_locations = false;
    cell.take_over();
    const auto before = cell.upstreams.get_start_count();
    cell.run_for(seconds(11));
    BOOST_TEST(cell.upstreams.get_start_count() == before);
    cell.run_for(seconds(7));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

// Guards against a task that runs twice because its run was being stopped, and so was in neither list, when
// the new owner first read the lists of the upstream.
BOOST_AUTO_TEST_CASE(a_run_that_is_being_stopped_delays_the_next_one) {
    cell_fixture cell(3);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    auto leaving = cell.entries[0];
    leaving.id = find_busy_upstream(cell);
    for (auto& entry : cell.entries) {
        if (entry.id == leaving.id) {
            entry.is_leaving = true;
            entry.remaining_ms = 4000;
            cell.scheduler->list_upstream(entry, cell.clock->get_now());
        }
    }
    cell.run_for(milliseconds(60));
    cell.take_over();
    cell.run_for(seconds(3));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

// Guards against a takeover that starts the wait for an upstream anew each time: tasks that were there never
// ran again while the owner changed every few seconds.
BOOST_AUTO_TEST_CASE(further_takeovers_do_not_prolong_the_wait_for_a_silent_upstream) {
    cell_fixture cell(4);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    cell.upstreams.set_partitioned(find_busy_upstream(cell), true);
    for (int takeover = 0; takeover < 4; ++takeover) {
        cell.take_over();
        cell.run_for(seconds(5));
    }
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

// Guards against tasks that wait for the leases of an owner that has ended, since the process that takes the
// cell started after the takeover in which that was known: 23 upstreams were waited for until 16.5 s after
// the end of their last owner.
BOOST_AUTO_TEST_CASE(an_owner_that_saw_no_earlier_takeover_waits_no_longer_than_the_one_before) {
    cell_fixture cell(4);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    cell.upstreams.set_partitioned(find_busy_upstream(cell), true);
    cell.history.record_end(1, cell.clock->get_now());
    cell.take_over();
    cell.run_for(milliseconds(1500));
    cell.restart_next_owner();
    cell.run_for(milliseconds(1500));
    cell.take_over();
    // The longest lease since the end of the first owner has passed then.
    cell.run_for(seconds(4));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

// Guards against a lease that the next owner does not wait for: an upstream that the store lists as silent
// gets none until it is listed no more.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_listed_as_silent_gets_no_lease) {
    cell_fixture cell(3);
    cell.add_job("lasting", make_long_running_job());
    cell.run_for(seconds(2));
    const auto silent = find_busy_upstream(cell);
    cell.upstreams.set_partitioned(silent, true);
    cell.take_over();
    cell.run_for(seconds(1));
    BOOST_REQUIRE(cell.scheduler->get_silent_upstreams().size() == 1U);
    cell.upstreams.set_partitioned(silent, false);
    const auto now = cell.clock->get_now();
    const auto response = cell.upstreams.poll_now(silent.get(), poll_order{silent}, cell.token);
    cell.scheduler->apply_report(silent, response.report, cell.read_clock());
    BOOST_TEST(cell.scheduler->make_poll(silent, now, true, true).lease_until_clock_ms == 0);
    // The list is written again also if no write of it has succeeded since.
    BOOST_TEST(cell.scheduler->has_answered_silent_upstreams());
    cell.scheduler->record_silent_upstreams(cell.scheduler->get_silent_upstreams());
    BOOST_TEST(!cell.scheduler->has_answered_silent_upstreams());
    BOOST_TEST(cell.scheduler->make_poll(silent, now, true, true).lease_until_clock_ms > 0);
}

// Guards against a task that runs twice because its upstream had restarted under the earlier owner: a new
// owner that learned so from the first report forgot that earlier leases may be valid there.
BOOST_AUTO_TEST_CASE(leases_of_a_restarted_upstream_outlive_the_takeover) {
    cell_fixture cell(2);
    cell.add_job("lasting", make_long_running_job(1));
    cell.run_for(seconds(1));
    // Both upstreams restart, so that the run is in an incarnation that the stored list does not name.
    for (const auto& entry : cell.entries) {
        cell.upstreams.restart(entry.id, 2);
        cell.run_for(seconds(2));
    }
    const auto busy = find_busy_upstream(cell);
    BOOST_REQUIRE(cell.upstreams.count_running(busy) == 1U);
    const auto starts = cell.upstreams.get_start_count();
    for (auto& entry : cell.entries) {
        entry.boot_unix_ms = 1;
    }
    cell.take_over();
    while (!cell.scheduler->find_upstream(busy)->has_responded) {
        cell.run_for(milliseconds(20));
    }
    // The new owner renews no lease there before the upstream goes silent.
    cell.may_start = false;
    cell.upstreams.set_partitioned(busy, true);
    cell.run_for(seconds(1));
    cell.may_start = true;
    cell.run_for(seconds(4));
    BOOST_TEST(cell.upstreams.get_start_count() == starts);
    cell.run_for(seconds(3));
    BOOST_TEST(cell.upstreams.get_start_count() == starts + 1U);
    check_no_violations(cell);
}

// Guards against tasks that run twice, or not at all, after any sequence of takeovers, crashes and
// partitions: 5 s after the longest lease could last, with all upstreams back, every task runs once.
BOOST_AUTO_TEST_CASE(tasks_run_once_after_random_faults) {
    constexpr unsigned seeds = 40;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](std::size_t count) { return random() % count; };
        cell_fixture cell(6);
        cell.add_job("lasting", make_long_running_job());
        std::int64_t boot = 1;
        for (int fault = 0; fault < 25; ++fault) {
            const auto id = cell.entries[pick(cell.entries.size())].id;
            switch (pick(4)) {
                case 0:
                    cell.take_over();
                    break;
                case 1:
                    cell.upstreams.restart(id, ++boot);
                    break;
                default:
                    cell.upstreams.set_partitioned(id, pick(2) == 0);
                    break;
            }
            cell.run_for(milliseconds(pick(3000)));
        }
        for (const auto& entry : cell.entries) {
            cell.upstreams.set_partitioned(entry.id, false);
        }
        cell.run_for(cell_limits().max_lease + seconds(5));
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(cell.upstreams.count_running() == task_count);
            check_no_violations(cell);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
