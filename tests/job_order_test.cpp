#include "process/job_order.hpp"

#include <chrono>
#include <limits>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point now{std::chrono::hours(1)};

job_record make_job(std::uint32_t tasks, milliseconds until_objective) {
    accepted_job accepted;
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(1000, 1000, 0, 0);
    step.estimated_ms = 1000;
    accepted.spec.steps = {step};
    job_record job;
    job.id = job_id("job");
    job.objective_ms = 3000;
    accepted.rules.objective_ms = 2000;
    job.occurrences.emplace(0, make_occurrence(accepted, 0, now + until_objective));
    job.job = std::make_shared<const accepted_job>(accepted);
    return job;
}

// A model of a queue whose tasks take this long, whatever their declared estimates say.
duration_model learn_durations(double measured_ms) {
    duration_model learned;
    for (int i = 0; i < 2000; ++i) {
        learned.learn(std::string(), i % 2 == 0 ? 500 : 8000, measured_ms);
    }
    return learned;
}

constexpr double mean_work = 10.0 * 1000 * 1000;
const duration_model durations;

}  // namespace

BOOST_AUTO_TEST_SUITE(job_order)

// Under overload, a job that can no longer meet its objective is ranked after one that can, although its
// objective is earlier.
BOOST_AUTO_TEST_CASE(puts_jobs_that_can_be_in_time_first) {
    const auto late = rank_job(make_job(10, milliseconds(500)), 2, mean_work, durations, now);
    const auto in_time = rank_job(make_job(10, milliseconds(2000)), 2, mean_work, durations, now);
    const auto overdue = rank_job(make_job(10, milliseconds(-7000)), 0, mean_work, durations, now);
    BOOST_TEST((late.outlook == job_outlook::late));
    BOOST_TEST((in_time < late));
    BOOST_TEST((late < overdue));
}

// Among jobs with the same outlook, those of queues with a smaller priority number go first.
BOOST_AUTO_TEST_CASE(respects_priorities) {
    BOOST_TEST((rank_job(make_job(30, milliseconds(2000)), 0, mean_work, durations, now) <
                rank_job(make_job(2, milliseconds(2000)), 2, mean_work, durations, now)));
}

// Large jobs are not starved: the value of a job grows with its work, so a large job that is nearly done goes
// before a large one that has not started.
BOOST_AUTO_TEST_CASE(prefers_jobs_that_are_nearly_done) {
    auto nearly_done = make_job(20, milliseconds(2000));
    auto& step = nearly_done.occurrences.at(0).steps[0];
    for (int i = 0; i < 15; ++i) {
        step.tasks[i].phase = task_phase::done;
        ++step.done_tasks;
    }
    BOOST_TEST((rank_job(nearly_done, 2, mean_work, durations, now) <
                rank_job(make_job(20, milliseconds(2000)), 2, mean_work, durations, now)));
}

// Guards against a job that counts as late because its declared estimate is too short by a multiple: its
// objective and its remaining work grow with the durations that were learned.
BOOST_AUTO_TEST_CASE(judges_objectives_by_learned_durations) {
    auto job = make_job(10, milliseconds(500));
    auto accepted = *job.job;
    accepted.rules.stretch_permille = 2000;
    job.job = std::make_shared<const accepted_job>(accepted);
    job.objective_ms = 4000;
    BOOST_TEST((rank_job(job, 2, mean_work, durations, now).outlook == job_outlook::late));
    const auto rank = rank_job(job, 2, mean_work, learn_durations(8000), now);
    BOOST_TEST((rank.outlook == job_outlook::in_time));
    BOOST_TEST((rank.objective > now + milliseconds(10000)));
}

// Durations measured in the step itself say more than the estimate: if its first tasks took three times as
// long, the others will, and the objective moves with them.
BOOST_AUTO_TEST_CASE(ranks_by_durations_measured_in_the_job) {
    auto slow = make_job(10, milliseconds(20000));
    auto usual = slow;
    for (int i = 0; i < 5; ++i) {
        for (auto* job : {&slow, &usual}) {
            auto& task = job->occurrences.at(0).steps[0].tasks[i];
            task.phase = task_phase::done;
            task.measured_ms = job == &slow ? 3000 : 1000;
        }
    }
    const auto slow_rank = rank_job(slow, 2, mean_work, durations, now);
    const auto usual_rank = rank_job(usual, 2, mean_work, durations, now);
    BOOST_TEST(slow_rank.cost_per_value > usual_rank.cost_per_value);
    BOOST_TEST((slow_rank.objective > usual_rank.objective + milliseconds(1500)));
}

// Guards against tasks of one job that displace each other, as the rank of their job improves with each
// progress.
BOOST_AUTO_TEST_CASE(tells_clear_differences_from_small_ones) {
    job_rank rank;
    rank.cost_per_value = 100;
    auto other = rank;
    other.cost_per_value = 110;
    BOOST_TEST((rank < other));
    BOOST_TEST(!rank.is_clearly_before(other));
    other.cost_per_value = 150;
    BOOST_TEST(rank.is_clearly_before(other));
    other.cost_per_value = 50;
    other.outlook = job_outlook::late;
    BOOST_TEST(rank.is_clearly_before(other));
    BOOST_TEST(!other.is_clearly_before(rank));
}

// Guards against an overflow of the objective by an estimate without bound, which any client may declare.
BOOST_AUTO_TEST_CASE(bears_estimates_without_bound) {
    auto job = make_job(10, milliseconds(500));
    auto accepted = *job.job;
    accepted.spec.steps[0].estimated_ms = std::numeric_limits<std::int64_t>::max();
    job.job = std::make_shared<const accepted_job>(accepted);
    const auto rank = rank_job(job, 2, mean_work, durations, now);
    BOOST_TEST((rank.objective > now));
    BOOST_TEST((rank.outlook != job_outlook::no_remaining_value));
}

// A step ends with its slowest task, so a job whose tasks are nearly done can be in time, and one with a
// single task that has hardly begun cannot.
BOOST_AUTO_TEST_CASE(judges_a_step_by_its_slowest_task) {
    auto job = make_job(10, milliseconds(300));
    for (auto& task : job.occurrences.at(0).steps[0].tasks) {
        task.phase = task_phase::active;
        task.percent = 90;
    }
    BOOST_TEST((rank_job(job, 2, mean_work, durations, now).outlook == job_outlook::in_time));
    job.occurrences.at(0).steps[0].tasks[4].percent = 10;
    BOOST_TEST((rank_job(job, 2, mean_work, durations, now).outlook == job_outlook::late));
}

BOOST_AUTO_TEST_SUITE_END()
