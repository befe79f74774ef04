#include <algorithm>
#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void check_no_violations(const cell_fixture& cell) {
    for (const auto& violation : cell.upstreams.get_violations()) {
        BOOST_ERROR(violation);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_takeover)

// A new owner adopts running tasks instead of starting them again.
BOOST_AUTO_TEST_CASE(adopts_running_tasks) {
    cell_fixture cell(3);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(6)}), 3000);
    cell.run_for(seconds(1));
    cell.take_over();
    cell.run_for(seconds(4));
    BOOST_TEST(cell.upstreams.get_start_count() == 6U);
    BOOST_TEST((cell.get_state("job") == job_phase::done));
    check_no_violations(cell);
}

// Upstreams list ends again that the previous owner received but did not commit, so no task runs a second
// time.
BOOST_AUTO_TEST_CASE(finds_ends_that_were_not_committed) {
    cell_fixture cell(2);
    cell.delays_commits = true;
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(3)}));
    cell.run_for(seconds(2));
    cell.take_over();
    cell.delays_commits = false;
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.get_start_count() == 3U);
    BOOST_TEST((cell.get_state("job") == job_phase::done));
    check_no_violations(cell);
}

// An inherited task may run on an upstream that the new owner cannot reach. It starts elsewhere only after
// every lease that the previous owner can have granted there has expired.
BOOST_AUTO_TEST_CASE(does_not_start_inherited_tasks_while_an_upstream_is_unreachable) {
    cell_fixture cell(3);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}), 60000);
    cell.run_for(seconds(1));
    upstream_id busy;
    for (const auto& entry : cell.entries) {
        busy = cell.upstreams.count_running(entry.id) > 0 ? entry.id : busy;
    }
    cell.upstreams.set_partitioned(busy, true);
    cell.take_over();
    cell.run_for(seconds(11));
    BOOST_TEST(cell.upstreams.get_start_count() == 1U);
    cell.run_for(seconds(3));
    BOOST_TEST(cell.upstreams.get_start_count() == 2U);
    check_no_violations(cell);
}

// The CPU limit that the previous owner set for a best-effort task is unknown to the next one, so it sends a
// new limit. If it assumed full speed instead, a task with a limit of 0 would make no progress until it is
// stopped as stalled.
BOOST_AUTO_TEST_CASE(orders_a_new_cpu_limit_for_adopted_best_effort_tasks) {
    cell_fixture cell(1);
    auto best_effort_task = cell_fixture::make_step(1);
    best_effort_task.is_best_effort = true;
    cell.add_job("best-effort", cell_fixture::make_job({best_effort_task}), 60000);
    cell.run_for(seconds(1));
    int full_speed_orders = 0;
    cell.loses_order = [&](const upstream_order& order) {
        const auto* limit = std::get_if<cpu_limit_order>(&order);
        full_speed_orders += limit != nullptr && limit->percent == 100 ? 1 : 0;
        return false;
    };
    cell.take_over();
    cell.run_for(seconds(1));
    BOOST_TEST(full_speed_orders == 1);
}

// Jobs accepted after the takeover do not wait for an unresponsive upstream, since no earlier owner started
// them.
BOOST_AUTO_TEST_CASE(starts_new_jobs_at_once) {
    cell_fixture cell(3);
    cell.upstreams.set_partitioned(cell.entries[0].id, true);
    cell.take_over();
    cell.run_for(milliseconds(200));
    cell.add_job("new", cell_fixture::make_job({cell_fixture::make_step(2)}));
    cell.run_for(milliseconds(1500));
    BOOST_TEST((cell.get_state("new") == job_phase::done));
}

// An upstream refuses orders of the previous owner once it has received a request of the new one.
BOOST_AUTO_TEST_CASE(fences_the_previous_owner) {
    cell_fixture cell(1);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}), 5000);
    cell.run_for(milliseconds(500));
    cell.take_over();
    cell.run_for(milliseconds(200));
    const stop_order outdated_order{cell.entries[0].id, {job_id("job"), 0, 0, 0}, 1};
    const auto response = cell.upstreams.send_now(outdated_order, 1);
    BOOST_TEST((response.result == order_result::refused_token));
    cell.scheduler->apply_order_response(outdated_order, response, cell.read_clock());
    BOOST_TEST(cell.scheduler->is_fenced());
}

// Failures are counted across takeovers, so a new owner does not grant the attempts of a job again.
BOOST_AUTO_TEST_CASE(keeps_failure_counts) {
    cell_fixture cell(2);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}, 3), 500);
    cell.behaviors["job"].failing_runs = 10;
    cell.run_for(milliseconds(900));
    cell.take_over();
    cell.run_for(seconds(5));
    BOOST_TEST((cell.get_state("job") == job_phase::failed));
    BOOST_TEST(cell.upstreams.get_start_count() == 3U);
}

// An end that was committed and not yet acknowledged is listed to the next owner again. Guards against
// counting it twice, by which a job would fail before its attempts are used up.
BOOST_AUTO_TEST_CASE(counts_a_failure_that_is_listed_again_once) {
    cell_fixture cell(1);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}, 2), 500);
    cell.behaviors["job"].failing_runs = 1;
    const job_id id("job");
    while (!cell.committed.contains(id)) {
        cell.run_for(milliseconds(20));
    }
    cell.take_over();
    cell.run_for(seconds(3));
    BOOST_TEST((cell.get_state("job") == job_phase::done));
}

// One upstream may list the failure of an earlier run after a later run was found on another. Guards against
// ignoring this failure, by which the task would get one attempt too many.
BOOST_AUTO_TEST_CASE(counts_a_failure_found_after_a_later_run) {
    cell_fixture cell(2);
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}, 2), 500);
    cell.behaviors["job"].failing_runs = 2;
    cell.delays_commits = true;
    while (cell.upstreams.get_start_count() < 2) {
        cell.run_for(milliseconds(20));
    }
    const auto& second =
        cell.upstreams.count_running(cell.entries[0].id) > 0 ? cell.entries[0] : cell.entries[1];
    const auto& first = second.id == cell.entries[0].id ? cell.entries[1] : cell.entries[0];
    cell.upstreams.set_partitioned(first.id, true);
    cell.take_over();
    cell.run_for(milliseconds(200));
    cell.upstreams.set_partitioned(first.id, false);
    cell.delays_commits = false;
    cell.run_for(seconds(3));
    BOOST_TEST((cell.get_state("job") == job_phase::failed));
    BOOST_TEST(cell.upstreams.get_start_count() == 2U);
}

// Runs of a job that has ended are stopped, and their size is unknown. No task starts next to them until the
// last of them has ended. Guards against placing a task there when only the first one has.
BOOST_AUTO_TEST_CASE(starts_nothing_next_to_runs_of_unknown_size) {
    cell_fixture cell(1, {4000, 64000, 0, 0});
    const auto& entry = cell.entries[0];
    cell.take_over();
    upstream_report report;
    report.clock_ms = 5000;
    report.boot_unix_ms = entry.boot_unix_ms;
    report.running = {{{job_id("ended"), 0, 0, 0}, 1, "", 10, 0}, {{job_id("ended"), 0, 0, 1}, 1, "", 10, 0}};
    cell.scheduler->apply_report(entry.id, report, cell.read_clock());
    cell.add_job("new", cell_fixture::make_job({cell_fixture::make_step(1)}));
    const auto count_start_orders = [&] {
        cell.clock->advance(milliseconds(50));
        const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
        return std::count_if(
            decisions.orders.begin(), decisions.orders.end(),
            [](const upstream_order& order) { return std::holds_alternative<start_order>(order); });
    };
    BOOST_TEST(count_start_orders() == 0);
    report.clock_ms = 5100;
    report.ended = {{1, {job_id("ended"), 0, 0, 0}, 1, run_end::stopped, ""}};
    report.running.erase(report.running.begin());
    cell.scheduler->apply_report(entry.id, report, cell.read_clock());
    BOOST_TEST(count_start_orders() == 0);
    report.clock_ms = 5200;
    report.ended = {{2, {job_id("ended"), 0, 0, 1}, 1, run_end::stopped, ""}};
    report.running.clear();
    cell.scheduler->apply_report(entry.id, report, cell.read_clock());
    BOOST_TEST(count_start_orders() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
