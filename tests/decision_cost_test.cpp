#include <chrono>
#include <cstdint>
#include <string>

#include <boost/test/unit_test.hpp>

#include "experiment/contended_cell.hpp"
#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t upstream_count = 300;
constexpr std::size_t job_count = 40;

// A best-effort step of its own image and size, so that it shares no evaluation with other steps.
step_spec make_best_effort_step(std::size_t number, std::uint32_t tasks) {
    auto step = cell_fixture::make_step(tasks, 1500 + static_cast<std::int64_t>(number));
    step.image = "image-" + std::to_string(number);
    step.is_best_effort = true;
    return step;
}

void add_best_effort_jobs(cell_fixture& cell, std::uint32_t tasks) {
    for (std::size_t i = 0; i < job_count; ++i) {
        cell.add_job("job" + std::to_string(i), cell_fixture::make_job({make_best_effort_step(i, tasks)}),
                     60000);
    }
}

// Decides once and returns how many placements the decision evaluated.
std::uint64_t count_evaluations(cell_fixture& cell) {
    const auto before = cell.scheduler->get_evaluated_placements();
    cell.scheduler->decide(cell.read_clock(), true);
    return cell.scheduler->get_evaluated_placements() - before;
}

// Starts tasks until the others find no room.
void fill(cell_fixture& cell) {
    cell.run_for(milliseconds(100));
    add_best_effort_jobs(cell, 200);
    cell.run_for(seconds(2));
    BOOST_REQUIRE(cell.scheduler->count_waiting_tasks() > 0U);
    for (int i = 0; i < 3; ++i) {
        count_evaluations(cell);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(decision_cost)

// Guards against an owner that looks at all upstreams again in each decision while tasks wait for room: its
// decisions took so long that it read the ends of runs late, and still more tasks waited.
BOOST_AUTO_TEST_CASE(a_decision_without_changes_evaluates_nothing_again) {
    cell_fixture cell(upstream_count);
    fill(cell);
    cell.clock->advance(milliseconds(20));
    BOOST_TEST(count_evaluations(cell) == 0U);
}

// The same failure: one upstream reports, and each step that waits is evaluated there once.
BOOST_AUTO_TEST_CASE(a_report_leads_to_one_evaluation_of_each_waiting_step) {
    cell_fixture cell(upstream_count);
    fill(cell);
    const auto id = cell.entries[7].id;
    const auto poll = cell.scheduler->make_poll(id, cell.clock->get_now(), true, true);
    cell.scheduler->apply_report(
        id, cell.upstreams.poll_now(cell.entries[7].address, poll, cell.token).report, cell.read_clock());
    BOOST_TEST(count_evaluations(cell) <= job_count);
}

// Guards against a decision that evaluates all upstreams for each step although the first ones have room.
BOOST_AUTO_TEST_CASE(a_start_evaluates_few_upstreams_while_there_is_room) {
    cell_fixture cell(upstream_count);
    cell.prove_upstreams();
    add_best_effort_jobs(cell, 10);
    BOOST_TEST(count_evaluations(cell) <= job_count * 10 * 3);
    BOOST_TEST(cell.scheduler->count_waiting_tasks() == 0U);
}

// Guards against a first decision after a takeover that evaluates all upstreams for each task: each upstream
// then takes one start at a time. A step for which none is left evaluates all of them once.
BOOST_AUTO_TEST_CASE(a_step_without_room_on_unproven_upstreams_evaluates_each_once) {
    constexpr std::size_t tasks_per_job = 10;
    constexpr std::size_t steps_without_room = job_count - upstream_count / tasks_per_job;
    cell_fixture cell(upstream_count);
    cell.run_for(milliseconds(100));
    add_best_effort_jobs(cell, tasks_per_job);
    BOOST_TEST(count_evaluations(cell) <= upstream_count * 3 + steps_without_room * upstream_count);
}

// Guards against searches that are repeated in full while gains are just too low or while upstreams change
// that have no unused processors. Before they were bounded, this load took 207 evaluations in each decision.
// The tasks that end and the time over the targets show that the decisions do not cost less by serving less.
BOOST_AUTO_TEST_CASE(many_kinds_that_fit_nowhere_take_few_evaluations) {
    experiment::contention_options options;
    options.upstreams = 100;
    options.jobs_per_second = 7;
    experiment::contended_cell cell(options);
    cell.run_for(seconds(6));
    const auto result = cell.run_for(seconds(8));
    BOOST_REQUIRE(result.waiting_tasks > 0U);
    BOOST_TEST(result.evaluations < result.decisions * 110);
    BOOST_TEST(result.ended_best_effort_tasks > 1200U);
    BOOST_TEST(result.over_target < milliseconds(8000) * 100 * 9 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
