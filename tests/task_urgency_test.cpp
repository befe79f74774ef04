#include "process/task_urgency.hpp"

#include <chrono>
#include <memory>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point now{std::chrono::hours(1)};

// A job of one step of best-effort tasks, all of which run and end at the given times from now.
job_record make_job(milliseconds until_objective, const std::vector<milliseconds>& ends) {
    accepted_job accepted;
    step_spec step;
    step.task_count = static_cast<std::uint32_t>(ends.size());
    step.size = resource_vector(1000, 1000, 0, 0);
    step.estimated_ms = 2200;
    step.is_best_effort = true;
    accepted.spec.steps = {step};
    job_record job;
    job.objective_ms = 4400;
    auto occurrence = make_occurrence(accepted, 0, now + until_objective);
    occurrence.steps[0].active_tasks = step.task_count;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        auto& task = occurrence.steps[0].tasks[i];
        task.phase = task_phase::active;
        task.percent = 50;
        task.expected_end = now + ends[i];
    }
    job.occurrences.emplace(0, occurrence);
    job.job = std::make_shared<const accepted_job>(accepted);
    return job;
}

double get_urgency_of(const job_record& job, std::size_t task) {
    const auto& occurrence = job.occurrences.at(0);
    const auto pace = measure_pace(job, occurrence, now);
    return get_urgency(pace, 0, occurrence.steps[0].tasks[task].expected_end, now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(task_urgency)

// A step ends with its slowest task, so that task gets more than the median, and tasks that are ahead of it
// get less. Differences within the interval of the reports change nothing.
BOOST_AUTO_TEST_CASE(prefers_the_straggler_of_a_step) {
    const auto job = make_job(milliseconds(4000), {milliseconds(1000), milliseconds(1050), milliseconds(950),
                                                   milliseconds(3500), milliseconds(300)});
    BOOST_TEST(get_urgency_of(job, 0) == neutral_urgency);
    BOOST_TEST(get_urgency_of(job, 1) == neutral_urgency);
    BOOST_TEST(get_urgency_of(job, 3) > neutral_urgency);
    BOOST_TEST(get_urgency_of(job, 4) < neutral_urgency);
}

// The last unfinished tasks of a step get most: the median of the step has already ended.
BOOST_AUTO_TEST_CASE(prefers_the_last_tasks_of_a_step) {
    auto job = make_job(milliseconds(4000), {milliseconds(0), milliseconds(0), milliseconds(1500)});
    auto& step = job.occurrences.at(0).steps[0];
    for (int i = 0; i < 2; ++i) {
        step.tasks[i].phase = task_phase::done;
        --step.active_tasks;
        ++step.done_tasks;
    }
    BOOST_TEST(get_urgency_of(job, 2) >= 4.0);
}

// A job that can no longer meet its objective yields to one that can, and one without remaining value to
// both. The outlook assumes full speed: a job that is slow for lack of headroom would otherwise get even
// less.
BOOST_AUTO_TEST_CASE(late_jobs_yield) {
    const std::vector<milliseconds> ends(4, milliseconds(3000));
    const auto in_time = get_urgency_of(make_job(milliseconds(1200), ends), 0);
    const auto late = get_urgency_of(make_job(milliseconds(1000), ends), 0);
    const auto worthless = get_urgency_of(make_job(milliseconds(-9000), ends), 0);
    BOOST_TEST(in_time == neutral_urgency);
    BOOST_TEST(late < in_time);
    BOOST_TEST(worthless < late);
    BOOST_TEST(worthless > 0);
}

// Without a known rate, a task is not compared with its step.
BOOST_AUTO_TEST_CASE(unknown_progress_is_neutral) {
    auto job = make_job(milliseconds(4000), {milliseconds(500), milliseconds(500), milliseconds(500)});
    auto& task = job.occurrences.at(0).steps[0].tasks[0];
    task.percent = -1;
    task.expected_end = time_point::max();
    BOOST_TEST(get_urgency_of(job, 0) == neutral_urgency);
}

BOOST_AUTO_TEST_SUITE_END()
