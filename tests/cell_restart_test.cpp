#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Upstreams that restart under their id while orders are on their way to them.

namespace {

constexpr std::int64_t second_boot = 2;

std::vector<start_order> get_starts(const cell_decisions& decisions) {
    std::vector<start_order> starts;
    for (const auto& order : decisions.orders) {
        if (const auto* start = std::get_if<start_order>(&order)) {
            starts.push_back(*start);
        }
    }
    return starts;
}

// Two upstreams, of which one is about to receive the start of the only task.
struct restart_fixture {
    restart_fixture() : cell(2) {
        cell.run_for(milliseconds(200));
        cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}), 2000);
        const auto starts = get_starts(cell.scheduler->decide(cell.read_clock(), true));
        BOOST_REQUIRE_EQUAL(starts.size(), 1U);
        start = starts.front();
    }

    // The owner learns from a report of the new incarnation that the upstream has restarted.
    void report() {
        cell.clock->advance(milliseconds(1));
        const auto poll = cell.scheduler->make_poll(start.upstream, cell.clock->get_now(), true, true);
        cell.clock->advance(milliseconds(1));
        const auto response = cell.upstreams.poll_now(start.upstream.get(), poll, cell.token);
        cell.scheduler->apply_report(start.upstream, response.report, cell.read_clock());
    }

    // The owner learns the same from the list of the platform.
    void list(std::int64_t boot = second_boot) {
        auto& entry = get_entry();
        entry.boot_unix_ms = boot;
        cell.scheduler->list_upstream(entry, cell.clock->get_now());
    }

    // The new incarnation has no room for the task, so that it would start again on the other upstream only.
    void list_without_room(std::int64_t boot = second_boot) {
        get_entry().capacity = resource_vector();
        list(boot);
    }

    void restart() { cell.upstreams.restart(start.upstream, second_boot); }

    // No copy of the start gets a response, so that the run is stopped and the task starts anew.
    void leave_start_unanswered() {
        cell.behaviors["job"].work_ms = 30000;
        apply({order_result::unknown, 0});
        for (int copy = 0; copy < 2; ++copy) {
            cell.clock->advance(milliseconds(1100));
            BOOST_REQUIRE_EQUAL(get_starts(cell.scheduler->decide(cell.read_clock(), true)).size(), 1U);
            apply({order_result::unknown, 0});
        }
        cell.run_for(seconds(5));
        cell.behaviors["job"].work_ms = 2000;
    }

    // The first copy of the start gets no response, the second one is answered, and a report lists the run.
    void list_answered_copy() {
        apply({order_result::unknown, 0});
        cell.run_for(milliseconds(500));
        BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(start.upstream), 1U);
    }

    // The upstream carries out the order.
    order_response deliver() { return cell.upstreams.send_now(start, cell.token); }

    void apply(const order_response& response) {
        cell.clock->advance(milliseconds(1));
        cell.scheduler->apply_order_response(start, response, cell.read_clock());
    }

    void check_done(std::size_t max_starts) {
        cell.run_for(seconds(12));
        BOOST_TEST((cell.get_state("job") == job_phase::done));
        BOOST_TEST(cell.upstreams.get_start_count() <= max_starts);
        BOOST_TEST(cell.upstreams.get_violations().empty());
        BOOST_TEST(cell.scheduler->get_run_count() == 0U);
    }

    upstream_entry& get_entry() { return cell.entries[start.upstream == cell.entries[0].id ? 0 : 1]; }

    cell_fixture cell;
    start_order start;
};

// A cell in which polls, orders and their responses take random times, so that they overtake each other and
// restarts of upstreams.
class delayed_cell {
public:
    delayed_cell(std::size_t upstreams, std::uint64_t seed) : cell_(upstreams), random_(seed) {}

    void run_for(milliseconds span, milliseconds restart_interval) {
        const auto end = get_now() + span;
        auto next_restart = get_now() + restart_interval;
        while (get_now() < end) {
            cell_.clock->advance(milliseconds(1));
            if (restart_interval.count() > 0 && get_now() >= next_restart) {
                next_restart += restart_interval;
                restart();
            }
            run_due_events();
            cell_.upstreams.advance();
            poll();
            decide();
            commit();
        }
    }

    cell_fixture& get_cell() { return cell_; }
    std::size_t get_restart_count() const { return restarts_; }

private:
    static constexpr milliseconds decision_interval{20};
    static constexpr milliseconds poll_pause{30};
    static constexpr milliseconds lost_response_timeout{600};
    static constexpr int max_delay_ms = 60;

    struct delayed_poll {
        bool is_in_flight = false;
        time_point next;
        // Whether the upstream has restarted since the last poll.
        bool is_new_connection = true;
    };

    time_point get_now() const { return cell_.clock->get_now(); }

    milliseconds draw_delay() {
        return milliseconds(std::uniform_int_distribution<int>(1, max_delay_ms)(random_));
    }

    bool draw_is_lost() { return std::uniform_int_distribution<int>(0, 9)(random_) == 0; }

    void after(milliseconds delay, std::function<void()> event) {
        events_.emplace(get_now() + delay, std::move(event));
    }

    void run_due_events() {
        while (!events_.empty() && events_.begin()->first <= get_now()) {
            const auto event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    void restart() {
        const auto index = std::uniform_int_distribution<std::size_t>(0, cell_.entries.size() - 1)(random_);
        auto& entry = cell_.entries[index];
        entry.boot_unix_ms = second_boot + static_cast<std::int64_t>(restarts_++);
        cell_.upstreams.restart(entry.id, entry.boot_unix_ms);
        polls_[entry.id].is_new_connection = true;
        // The platform lists it sooner or later than a report does.
        after(draw_delay(), [this, entry] { cell_.scheduler->list_upstream(entry, get_now()); });
    }

    void poll() {
        for (const auto& entry : cell_.entries) {
            auto& state = polls_[entry.id];
            if (state.is_in_flight || get_now() < state.next) {
                continue;
            }
            state.is_in_flight = true;
            const auto order =
                cell_.scheduler->make_poll(entry.id, get_now(), !state.is_new_connection, true);
            state.is_new_connection = false;
            after(draw_delay(), [this, order] { answer_poll(order); });
        }
    }

    void answer_poll(const poll_order& order) {
        const auto& id = order.upstream;
        auto sent = order;
        // An acknowledgment is sent on the connection to the incarnation that it is meant for.
        sent.acknowledged_end = polls_[id].is_new_connection ? 0 : order.acknowledged_end;
        const auto response = cell_.upstreams.poll_now(id.get(), sent, cell_.token);
        after(draw_delay(), [this, id, response] {
            cell_.scheduler->apply_report(id, response.report, cell_.read_clock());
            polls_[id].is_in_flight = false;
            polls_[id].next = get_now() + poll_pause;
        });
    }

    void decide() {
        if (get_now() < next_decision_) {
            return;
        }
        next_decision_ = get_now() + decision_interval;
        for (const auto& order : cell_.scheduler->decide(cell_.read_clock(), true).orders) {
            after(draw_delay(), [this, order] { deliver(order); });
        }
    }

    void deliver(const upstream_order& order) {
        const auto response = cell_.upstreams.send_now(order, cell_.token);
        const bool is_lost = draw_is_lost();
        after(is_lost ? lost_response_timeout : draw_delay(), [this, order, response, is_lost] {
            cell_.scheduler->apply_order_response(
                order, is_lost ? order_response{order_result::unknown, 0} : response, cell_.read_clock());
        });
    }

    void commit() {
        constexpr std::size_t max_entries = 30;
        if (!cell_.scheduler->has_commit_work()) {
            return;
        }
        cell_.scheduler->confirm_commit(
            cell_.scheduler->collect_commit(max_entries, cell_.read_clock().unix_ms));
    }

    cell_fixture cell_;
    std::mt19937_64 random_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<upstream_id, delayed_poll> polls_;
    time_point next_decision_;
    std::size_t restarts_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_restart)

// Guards against a second run of a task whose start reached the next incarnation of its upstream: the report
// that showed the restart released the run, although it listed it.
BOOST_AUTO_TEST_CASE(a_run_that_the_new_incarnation_lists_is_kept) {
    restart_fixture fixture;
    fixture.restart();
    fixture.apply(fixture.deliver());
    fixture.report();
    fixture.check_done(1);
}

// Guards against the same when the response to the start comes after that report.
BOOST_AUTO_TEST_CASE(a_run_that_is_listed_before_its_response_is_kept) {
    restart_fixture fixture;
    fixture.restart();
    const auto response = fixture.deliver();
    fixture.report();
    fixture.apply(response);
    fixture.check_done(1);
}

// Guards against the same when the start reaches the new incarnation after its first report.
BOOST_AUTO_TEST_CASE(a_start_that_arrives_after_the_first_report_is_not_repeated) {
    restart_fixture fixture;
    fixture.restart();
    fixture.report();
    fixture.list_without_room();
    fixture.cell.run_for(milliseconds(200));
    fixture.apply(fixture.deliver());
    fixture.check_done(1);
}

// Guards against the same when the platform's list shows the restart before a report does.
BOOST_AUTO_TEST_CASE(a_start_that_arrives_after_the_listing_is_not_repeated) {
    restart_fixture fixture;
    fixture.restart();
    fixture.list_without_room();
    fixture.cell.run_for(milliseconds(200));
    fixture.apply(fixture.deliver());
    fixture.check_done(1);
}

// Guards against the same when the new incarnation carries out a start whose response is lost: the run is
// stopped there before the task starts again.
BOOST_AUTO_TEST_CASE(a_start_without_a_response_is_stopped_in_the_new_incarnation) {
    restart_fixture fixture;
    fixture.restart();
    fixture.report();
    fixture.deliver();
    fixture.apply({order_result::unknown, 0});
    fixture.check_done(2);
}

// Guards against a stop order that the previous incarnation has carried out: the new one does not know it.
BOOST_AUTO_TEST_CASE(a_stop_of_the_previous_incarnation_is_sent_again) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.apply({order_result::unknown, 0});
    cell.scheduler->cancel_job(job_id("job"), cell.read_clock());
    cell.clock->advance(milliseconds(100));
    const auto stops = cell.scheduler->decide(cell.read_clock(), true).orders;
    BOOST_REQUIRE_EQUAL(stops.size(), 1U);
    const auto response = cell.upstreams.send_now(stops.front(), cell.token);
    fixture.restart();
    fixture.report();
    cell.scheduler->apply_order_response(stops.front(), response, cell.read_clock());
    fixture.deliver();
    cell.run_for(milliseconds(800));
    BOOST_TEST(cell.upstreams.count_running() == 0U);
    BOOST_TEST(cell.scheduler->get_run_count() == 0U);
}

// Guards against a start that the new incarnation refuses, since its ticket was issued for the previous one.
BOOST_AUTO_TEST_CASE(tickets_for_the_previous_incarnation_are_replaced) {
    cell_fixture cell(1);
    dispatch_config config;
    queue_settings queue;
    queue.rules = cell_fixture::make_job({}).rules;
    queue.advice.emplace();
    config.queues.push_back(queue);
    cell.scheduler->set_queues(
        std::make_shared<const queue_index>(std::make_shared<const dispatch_config>(config)));
    cell.run_for(milliseconds(200));
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}));
    const auto request = cell.scheduler->decide(cell.read_clock(), true).advice.front();
    auto& entry = cell.entries.front();
    cell.scheduler->apply_advice(request, {{entry.id, "ticket"}}, cell.clock->get_now() + seconds(60),
                                 cell.clock->get_now());
    entry.boot_unix_ms = second_boot;
    cell.upstreams.restart(entry.id, second_boot);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    const auto poll = cell.scheduler->make_poll(entry.id, cell.clock->get_now(), false, true);
    const auto response = cell.upstreams.poll_now(entry.address, poll, cell.token);
    cell.scheduler->apply_report(entry.id, response.report, cell.read_clock());
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_TEST(decisions.orders.empty());
    BOOST_TEST(decisions.advice.size() == 1U);
}

// Guards against tasks that wait for a lease to end although the new incarnation shows that they are gone.
BOOST_AUTO_TEST_CASE(runs_of_the_previous_incarnation_start_again_at_once) {
    restart_fixture fixture;
    fixture.apply(fixture.deliver());
    fixture.restart();
    fixture.report();
    const auto starts = get_starts(fixture.cell.scheduler->decide(fixture.cell.read_clock(), true));
    BOOST_TEST(starts.size() == 1U);
}

// Guards against a run that is forgotten when its upstream restarts a second time before it is found.
BOOST_AUTO_TEST_CASE(a_start_that_outlives_two_restarts_is_not_repeated) {
    restart_fixture fixture;
    fixture.restart();
    fixture.report();
    fixture.cell.upstreams.restart(fixture.start.upstream, second_boot + 1);
    fixture.report();
    fixture.apply(fixture.deliver());
    fixture.check_done(1);
}

// Guards against a task that crashes its upstreams before they respond to its start, if the crash were
// counted only against runs that a report has listed.
BOOST_AUTO_TEST_CASE(crashes_before_the_response_are_counted) {
    cell_fixture cell(6);
    std::int64_t boot = 1;
    std::size_t starts = 0;
    cell.loses_order = [&](const upstream_order& order) {
        if (const auto* start = std::get_if<start_order>(&order)) {
            ++starts;
            cell.upstreams.restart(start->upstream, ++boot);
            return true;
        }
        return false;
    };
    cell.run_for(milliseconds(200));
    cell.add_job("deadly", cell_fixture::make_job({cell_fixture::make_step(1)}));
    cell.run_for(seconds(30));
    BOOST_TEST((cell.get_state("deadly") == job_phase::failed));
    BOOST_TEST(starts <= 3U);
}

// Guards against a second run after a takeover: the previous owner's start may reach the next incarnation as
// long as that one has not received the fencing token of this owner.
BOOST_AUTO_TEST_CASE(inherited_tasks_wait_for_a_report_of_the_new_incarnation) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.restart();
    cell.take_over();
    fixture.list();
    for (const auto& entry : cell.entries) {
        if (entry.id != fixture.start.upstream) {
            const auto poll = cell.scheduler->make_poll(entry.id, cell.clock->get_now(), true, true);
            const auto response = cell.upstreams.poll_now(entry.address, poll, cell.token);
            cell.scheduler->apply_report(entry.id, response.report, cell.read_clock());
        }
    }
    cell.scheduler->record_upstreams(cell.entries);
    cell.clock->advance(milliseconds(50));
    BOOST_TEST(get_starts(cell.scheduler->decide(cell.read_clock(), true)).empty());
    const auto previous_token = cell.token - 1;
    BOOST_TEST((cell.upstreams.send_now(fixture.start, previous_token).result == order_result::accepted));
    fixture.check_done(1);
}

// Guards against a second run by a copy of the start that got no response, while another copy was answered
// and the run was listed: the restart released the run, and the new incarnation carried out the copy.
BOOST_AUTO_TEST_CASE(an_unanswered_copy_of_an_answered_start_is_stopped_in_the_new_incarnation) {
    for (const bool is_reported : {true, false}) {
        restart_fixture fixture;
        fixture.list_answered_copy();
        fixture.restart();
        if (is_reported) {
            fixture.report();
        }
        fixture.list_without_room();
        fixture.cell.run_for(milliseconds(100));
        fixture.deliver();
        fixture.check_done(2);
    }
}

// Guards against the same after a second restart, before which the copy had not come.
BOOST_AUTO_TEST_CASE(an_unanswered_copy_that_outlives_two_restarts_is_stopped) {
    restart_fixture fixture;
    fixture.list_answered_copy();
    fixture.restart();
    fixture.report();
    fixture.cell.run_for(milliseconds(100));
    fixture.cell.upstreams.restart(fixture.start.upstream, second_boot + 1);
    fixture.report();
    fixture.list_without_room(second_boot + 1);
    fixture.cell.run_for(milliseconds(100));
    fixture.deliver();
    fixture.check_done(2);
}

// Guards against the same when the copy that was answered is in flight at the restart and the previous
// incarnation has accepted it: the run is in neither incarnation, and must not be kept for ever either.
BOOST_AUTO_TEST_CASE(an_unanswered_copy_beside_one_in_flight_is_stopped_in_the_new_incarnation) {
    for (const bool is_carried_out : {true, false}) {
        restart_fixture fixture;
        auto& cell = fixture.cell;
        fixture.apply({order_result::unknown, 0});
        cell.clock->advance(milliseconds(300));
        BOOST_REQUIRE_EQUAL(get_starts(cell.scheduler->decide(cell.read_clock(), true)).size(), 1U);
        const auto response = fixture.deliver();
        fixture.restart();
        fixture.report();
        fixture.apply(response);
        fixture.list_without_room();
        cell.run_for(milliseconds(100));
        if (is_carried_out) {
            fixture.deliver();
        }
        fixture.check_done(3);
    }
}

// Guards against a second run by an unanswered start whose run had been stopped before the restart, and whose
// task waits or runs elsewhere: the new incarnation knows of no stop.
BOOST_AUTO_TEST_CASE(an_unanswered_start_of_a_stopped_run_is_stopped_again) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.leave_start_unanswered();
    BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(fixture.start.upstream), 0U);
    BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(), 1U);
    fixture.restart();
    fixture.report();
    cell.run_for(milliseconds(40));
    fixture.deliver();
    BOOST_TEST(cell.upstreams.count_running(fixture.start.upstream) == 0U);
    cell.run_for(seconds(20));
    fixture.check_done(1);
}

// Guards against a second run by an unanswered start of a run that was given back, when a later run of the
// task on the same upstream ends with the restart: the task must wait until the start is refused.
BOOST_AUTO_TEST_CASE(an_unanswered_start_holds_a_task_that_ran_on_the_same_upstream_again) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    const auto& other = cell.entries[fixture.start.upstream == cell.entries[0].id ? 1 : 0].id;
    cell.scheduler->unlist_upstream(other);
    fixture.leave_start_unanswered();
    BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(fixture.start.upstream), 1U);
    cell.list_upstream(other);
    fixture.restart();
    fixture.report();
    fixture.list_without_room();
    BOOST_TEST(get_starts(cell.scheduler->decide(cell.read_clock(), true)).empty());
    cell.run_for(milliseconds(100));
    fixture.deliver();
    fixture.check_done(2);
}

// Guards against a gang of which one member starts late in the new incarnation beside the next run of the
// others.
BOOST_AUTO_TEST_CASE(an_unanswered_copy_holds_the_whole_gang) {
    cell_fixture cell(2);
    cell.prove_upstreams();
    auto step = cell_fixture::make_step(4);
    step.is_gang = true;
    std::vector<start_order> lost;
    cell.loses_order = [&](const upstream_order& order) {
        const auto* start = std::get_if<start_order>(&order);
        if (start == nullptr || !lost.empty()) {
            return false;
        }
        lost.push_back(*start);
        return true;
    };
    cell.add_job("gang", cell_fixture::make_job({step}), 6000);
    cell.run_for(milliseconds(1500));
    BOOST_REQUIRE_EQUAL(lost.size(), 1U);
    BOOST_REQUIRE_EQUAL(cell.upstreams.count_running(), 4U);
    const auto& copy = lost.front();
    auto& entry = cell.entries[copy.upstream == cell.entries[0].id ? 0 : 1];
    entry.boot_unix_ms = second_boot;
    cell.upstreams.restart(entry.id, second_boot);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.run_for(milliseconds(100));
    cell.upstreams.send_now(copy, cell.token);
    cell.run_for(seconds(20));
    BOOST_TEST((cell.get_state("gang") == job_phase::done));
    BOOST_TEST(cell.upstreams.get_violations().empty());
}

// Guards against a second run after a takeover when the next incarnation of an upstream is listed before it
// has received the new fencing token, and carries out a start that the previous owner had no response to.
BOOST_AUTO_TEST_CASE(runs_of_earlier_owners_wait_for_a_report_of_the_new_incarnation) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.list_answered_copy();
    cell.take_over();
    cell.run_for(milliseconds(200));
    BOOST_REQUIRE_EQUAL(cell.scheduler->get_run_count(), 1U);
    fixture.restart();
    fixture.list_without_room();
    cell.clock->advance(milliseconds(20));
    BOOST_TEST(get_starts(cell.scheduler->decide(cell.read_clock(), true)).empty());
    const auto previous_token = cell.token - 1;
    BOOST_TEST((cell.upstreams.send_now(fixture.start, previous_token).result == order_result::accepted));
    fixture.check_done(2);
}

// Guards against the same when the report that shows the restart lists the late run.
BOOST_AUTO_TEST_CASE(a_late_run_of_an_earlier_owner_in_the_first_report_is_kept) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.list_answered_copy();
    cell.take_over();
    cell.run_for(milliseconds(200));
    fixture.restart();
    cell.upstreams.send_now(fixture.start, cell.token - 1);
    fixture.report();
    BOOST_TEST(get_starts(cell.scheduler->decide(cell.read_clock(), true)).empty());
    fixture.check_done(2);
}

// Guards against tasks that wait for starts which come no more: an upstream that restarts long after a copy
// had no response holds nothing.
BOOST_AUTO_TEST_CASE(unanswered_copies_are_forgotten) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    cell.behaviors["job"].work_ms = 60000;
    fixture.list_answered_copy();
    cell.run_for(seconds(31));
    fixture.restart();
    fixture.report();
    BOOST_TEST(get_starts(cell.scheduler->decide(cell.read_clock(), true)).size() == 1U);
}

// Guards against tasks that wait longer than for a stop in the new incarnation.
BOOST_AUTO_TEST_CASE(a_task_with_an_unanswered_copy_starts_again_after_the_stop) {
    restart_fixture fixture;
    auto& cell = fixture.cell;
    fixture.list_answered_copy();
    fixture.restart();
    fixture.report();
    const auto starts_before = cell.upstreams.get_start_count();
    cell.run_for(cell.limits.stop_timeout + milliseconds(300));
    BOOST_TEST(cell.upstreams.get_start_count() == starts_before + 1);
}

// Guards against all of the above in any order: restarts that overtake orders, polls and their responses.
BOOST_AUTO_TEST_CASE(restarts_under_traffic_start_no_task_twice) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        delayed_cell delayed(6, seed);
        auto& cell = delayed.get_cell();
        delayed.run_for(milliseconds(300), milliseconds(0));
        for (int i = 0; i < 40; ++i) {
            cell.add_job("job-" + std::to_string(i), cell_fixture::make_job({cell_fixture::make_step(8)}),
                         150);
            delayed.run_for(milliseconds(100), milliseconds(45));
        }
        delayed.run_for(seconds(20), milliseconds(0));
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(delayed.get_restart_count() > 50U);
            BOOST_TEST(cell.upstreams.get_violations() == std::vector<std::string>(),
                       boost::test_tools::per_element());
            BOOST_TEST(cell.upstreams.count_running() == 0U);
            BOOST_TEST(cell.scheduler->get_run_count() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
