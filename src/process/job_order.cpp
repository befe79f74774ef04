#include "process/job_order.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace jacinthvane {

namespace {

// Value of a job: a fixed part, and a part that is proportional to its work relative to the mean work.
constexpr double fixed_value = 0.3;
constexpr double work_value = 0.7;
constexpr double max_value = 4.0;
// A job that takes longer than this many times its objective has no remaining value to its caller.
constexpr std::int64_t no_value_factor = 3;
// Share of its work that a running task has left: on average, running tasks are assumed to be half done.
constexpr double running_remaining_share = 0.5;

double get_work(const step_spec& spec) {
    return static_cast<double>(std::max<std::int64_t>(spec.size.get_processors_milli(), 1)) *
           static_cast<double>(std::max<std::int64_t>(spec.estimated_ms, 1));
}

double get_remaining_work(const job_spec& spec, const occurrence_record& occurrence) {
    double work = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        const auto waiting = static_cast<double>(step.get_waiting_tasks());
        work += get_work(spec.steps[i]) *
                (waiting + running_remaining_share * static_cast<double>(step.active_tasks));
    }
    return work;
}

// Milliseconds that the longest chain of unfinished steps still takes if every task finds free capacity
// immediately.
double get_remaining_chain_ms(const job_spec& spec, const occurrence_record& occurrence) {
    std::vector<double> finish(spec.steps.size(), 0);
    double longest = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        double start = 0;
        for (const auto earlier : spec.steps[i].after) {
            start = std::max(start, finish[earlier]);
        }
        const double share = step.is_done()                 ? 0.0
                             : step.get_waiting_tasks() > 0 ? 1.0
                                                            : running_remaining_share;
        finish[i] = start + share * static_cast<double>(spec.steps[i].estimated_ms);
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

}  // namespace

double get_declared_work(const job_spec& spec) {
    double work = 0;
    for (const auto& step : spec.steps) {
        work += get_work(step) * step.task_count;
    }
    return work;
}

job_rank rank_job(const job_record& job, std::int32_t priority, double mean_work, time_point now) {
    job_rank rank;
    rank.priority = priority;
    rank.objective = job.get_objective();
    const auto& spec = job.job->spec;
    if (spec.is_long_running()) {
        return rank;
    }
    double remaining = 0;
    double chain_ms = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        remaining += get_remaining_work(spec, occurrence);
        if (occurrence.objective == rank.objective) {
            chain_ms = get_remaining_chain_ms(spec, occurrence);
        }
    }
    const auto finish = now + std::chrono::milliseconds(static_cast<std::int64_t>(chain_ms));
    const auto value_expires_at =
        rank.objective + std::chrono::milliseconds((no_value_factor - 1) * job.objective_ms);
    if (finish > rank.objective) {
        rank.outlook = finish > value_expires_at ? job_outlook::no_remaining_value : job_outlook::late;
    }
    const double share = mean_work > 0 ? get_declared_work(spec) / mean_work : 1.0;
    const double value = std::min(fixed_value + work_value * share, max_value);
    rank.cost_per_value = remaining / value;
    return rank;
}

}  // namespace jacinthvane
