#include <chrono>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Leases whose end was computed on the clock of an earlier incarnation of an upstream. The next incarnation
// shortens them to the longest lease that it accepts, which is longer than what the owner requests.

namespace {

constexpr std::int64_t second_boot = 2;
constexpr milliseconds max_accepted_lease{10000};

cell_limits make_limits() {
    cell_limits limits;
    limits.max_accepted_lease = max_accepted_lease;
    return limits;
}

// One upstream that has been up for longer than any lease, and a second one that is added when the first is
// partitioned, so that the task that runs on the first can only start again there.
struct lease_fixture {
    lease_fixture() : cell(1, {16000, 64000, 0, 0}, make_limits()), id(cell.entries.front().id) {
        cell.upstreams.set_max_accepted_lease(max_accepted_lease);
        cell.run_for(seconds(12));
    }

    void add_job() {
        constexpr std::int64_t work_ms = 60000;
        cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}), work_ms);
    }

    start_order decide_start() {
        const auto orders = cell.scheduler->decide(cell.read_clock(), true).orders;
        BOOST_REQUIRE_EQUAL(orders.size(), 1U);
        return std::get<start_order>(orders.front());
    }

    void restart() { cell.upstreams.restart(id, second_boot); }

    // Adds a job and restarts the upstream before the start order of its task arrives.
    start_order restart_before_start() {
        add_job();
        auto start = decide_start();
        restart();
        return start;
    }

    void list_restart() {
        cell.entries.front().boot_unix_ms = second_boot;
        cell.scheduler->list_upstream(cell.entries.front(), cell.clock->get_now());
    }

    poll_order make_poll() {
        cell.clock->advance(milliseconds(1));
        return cell.scheduler->make_poll(id, cell.clock->get_now(), false, true);
    }

    poll_response deliver(const poll_order& poll) {
        return cell.upstreams.poll_now(id.get(), poll, cell.token);
    }

    order_response deliver_start(const start_order& start) {
        return cell.upstreams.send_now(start, cell.token);
    }

    // The next owner knows that this one acts no more.
    void take_over() {
        cell.take_over();
        cell.history.record_end(cell.token - 1, cell.clock->get_now());
        cell.scheduler->set_owner_history(cell.history);
    }

    void apply(const poll_response& response) {
        cell.clock->advance(milliseconds(1));
        cell.scheduler->apply_report(id, response.report, cell.read_clock());
    }

    void apply(const start_order& start, const order_response& response) {
        cell.clock->advance(milliseconds(1));
        cell.scheduler->apply_order_response(start, response, cell.read_clock());
    }

    // Cuts the upstream off, and checks that its task starts again, and not before its lease has ended.
    void check_partition() {
        BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(id), 1U);
        cell.upstreams.set_partitioned(id, true);
        check_restart(max_accepted_lease + seconds(2));
    }

    void check_restart(milliseconds within) {
        cell.add_upstream("other");
        cell.run_for(within);
        BOOST_TEST(cell.upstreams.get_violations().empty());
        BOOST_TEST(cell.upstreams.count_running(upstream_id("other")) == 1U);
    }

    cell_fixture cell;
    upstream_id id;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(incarnation_lease)

// Guards against a second run of a task whose upstream, partitioned soon after a restart, holds the lease of
// a start order of its previous incarnation.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_start_for_the_previous_incarnation) {
    lease_fixture fixture;
    const auto start = fixture.restart_before_start();
    fixture.apply(start, fixture.deliver_start(start));
    fixture.cell.run_for(milliseconds(200));
    fixture.check_partition();
}

// Guards against the same if the response to the start order is lost.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_an_unanswered_start_for_the_previous_incarnation) {
    lease_fixture fixture;
    const auto start = fixture.restart_before_start();
    fixture.deliver_start(start);
    fixture.apply(start, {order_result::unknown, 0});
    fixture.cell.run_for(milliseconds(200));
    fixture.check_partition();
}

// Guards against the same if the start order is refused there as outdated: that renews the lease as well.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_refused_start_for_the_previous_incarnation) {
    lease_fixture fixture;
    const auto start = fixture.restart_before_start();
    fixture.cell.upstreams.send_now(stop_order{fixture.id, start.task, start.run, 0}, fixture.cell.token);
    const auto response = fixture.deliver_start(start);
    BOOST_REQUIRE((response.result == order_result::refused_outdated));
    fixture.apply(start, response);
    fixture.cell.run_for(seconds(1));
    fixture.check_partition();
}

// Guards against the same if the upstream is cut off before a report shows the restart.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_start_before_a_report_shows_the_restart) {
    lease_fixture fixture;
    const auto start = fixture.restart_before_start();
    fixture.apply(start, fixture.deliver_start(start));
    fixture.check_partition();
}

// Guards against the same if the upstream restarts once more before the start arrives.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_start_that_outlives_two_restarts) {
    constexpr std::int64_t third_boot = 3;
    lease_fixture fixture;
    const auto start = fixture.restart_before_start();
    fixture.apply(fixture.deliver(fixture.make_poll()));
    fixture.cell.upstreams.restart(fixture.id, third_boot);
    fixture.cell.upstreams.send_now(stop_order{fixture.id, start.task, start.run, 0}, fixture.cell.token);
    const auto response = fixture.deliver_start(start);
    BOOST_REQUIRE((response.result == order_result::refused_outdated));
    fixture.apply(start, response);
    fixture.cell.run_for(seconds(1));
    fixture.check_partition();
}

// Guards against the same if a poll of the previous incarnation brought the lease, and its response shows the
// restart.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_poll_for_the_previous_incarnation) {
    lease_fixture fixture;
    const auto poll = fixture.make_poll();
    fixture.restart();
    fixture.apply(fixture.deliver(poll));
    fixture.add_job();
    fixture.cell.run_for(milliseconds(200));
    fixture.check_partition();
}

// Guards against the same if the list of the platform shows the restart before that response does.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_a_poll_that_is_answered_after_the_listing) {
    lease_fixture fixture;
    const auto poll = fixture.make_poll();
    fixture.restart();
    const auto response = fixture.deliver(poll);
    fixture.list_restart();
    fixture.apply(response);
    fixture.add_job();
    fixture.cell.run_for(milliseconds(200));
    fixture.check_partition();
}

// Guards against the same if the response to the poll is lost.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_an_unanswered_poll_for_the_previous_incarnation) {
    lease_fixture fixture;
    const auto poll = fixture.make_poll();
    const auto sent_at = fixture.cell.clock->get_now();
    fixture.restart();
    fixture.deliver(poll);
    fixture.cell.scheduler->record_unanswered_poll(fixture.id, sent_at);
    fixture.cell.scheduler->mark_unresponsive(fixture.id, sent_at);
    fixture.cell.run_for(milliseconds(200));
    fixture.add_job();
    fixture.cell.run_for(milliseconds(200));
    fixture.check_partition();
}

// Guards against a second run after a takeover in which the restart is seen first by the next owner.
BOOST_AUTO_TEST_CASE(counts_the_lease_of_an_earlier_owner_in_the_next_incarnation) {
    lease_fixture fixture;
    auto& cell = fixture.cell;
    const auto start = fixture.restart_before_start();
    fixture.deliver_start(start);
    cell.upstreams.set_partitioned(fixture.id, true);
    fixture.take_over();
    fixture.list_restart();
    fixture.check_restart(max_accepted_lease + seconds(2));
}

// Guards against a second run after a takeover in which the earlier owner had seen the restart.
BOOST_AUTO_TEST_CASE(hands_the_lease_of_the_previous_incarnation_on_to_the_next_owner) {
    lease_fixture fixture;
    auto& cell = fixture.cell;
    const auto start = fixture.restart_before_start();
    fixture.list_restart();
    fixture.apply(start, fixture.deliver_start(start));
    cell.run_for(milliseconds(200));
    cell.upstreams.set_partitioned(fixture.id, true);
    cell.run_for(milliseconds(200));
    fixture.take_over();
    cell.run_for(milliseconds(200));
    fixture.take_over();
    fixture.check_restart(max_accepted_lease + seconds(2));
}

// Guards against tasks that wait for the longest lease although no call of the previous incarnation can have
// reached the next one.
BOOST_AUTO_TEST_CASE(waits_no_longer_after_a_restart_without_calls_in_flight) {
    lease_fixture fixture;
    auto& cell = fixture.cell;
    cell.run_for(seconds(1));
    fixture.restart();
    fixture.list_restart();
    fixture.add_job();
    cell.run_for(milliseconds(300));
    BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(fixture.id), 1U);
    cell.upstreams.set_partitioned(fixture.id, true);
    fixture.check_restart(cell_limits().max_lease + milliseconds(1500));
}

BOOST_AUTO_TEST_SUITE_END()
