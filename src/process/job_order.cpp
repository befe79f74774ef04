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
constexpr double no_value_factor = 3;
// What the durations measured in a step count for in comparison with the one that is expected from its
// declared estimate: tasks of one step differ little, estimates much.
constexpr double estimate_weight = 0.5;
constexpr double full_percent = 100.0;

// Clients may declare any estimate, and a time_point cannot be much further ahead than the second duration.
// Three times the first one is less, so that such a job counts as one with an objective.
constexpr double max_expected_ms = 1e12;
constexpr double max_duration_ms = 4e12;

std::chrono::milliseconds to_duration(double ms) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(ms, max_duration_ms)));
}

// Work of a task that takes this long, in thousandths of a processor times milliseconds.
double get_work(const step_spec& spec, double duration_ms) {
    return static_cast<double>(std::max<std::int64_t>(spec.size.get_processors_milli(), 1)) *
           std::max(duration_ms, 1.0);
}

// Share of its work that the task has left.
double get_remaining_share(const task_record& task) {
    if (task.phase == task_phase::done) {
        return 0.0;
    }
    return 1.0 - std::clamp(static_cast<double>(task.percent), 0.0, full_percent) / full_percent;
}

// What an occurrence still takes, and what it takes as a whole.
struct outlook_terms {
    double remaining_work = 0;
    double work = 0;
    // Milliseconds that the longest chain of unfinished steps still takes if every task runs at full speed
    // from now on, and milliseconds that the longest chain of all steps takes.
    double remaining_chain_ms = 0;
    double chain_ms = 0;
};

outlook_terms get_terms(const job_record& job, const occurrence_record& occurrence,
                        const duration_model& durations) {
    const auto& spec = job.job->spec;
    const double slowest_factor = durations.get_slowest_factor(job.job->rules.queue);
    std::vector<double> finish(spec.steps.size(), 0);
    std::vector<double> remaining(spec.steps.size(), 0);
    outlook_terms terms;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        const double expected_ms = get_expected_ms(job, spec.steps[i], step, durations);
        double start = 0;
        double remaining_start = 0;
        for (const auto earlier : spec.steps[i].after) {
            start = std::max(start, finish[earlier]);
            remaining_start = std::max(remaining_start, remaining[earlier]);
        }
        double slowest_ms = step.is_done() ? 0.0 : expected_ms * slowest_factor;
        double remaining_ms = 0;
        for (const auto& task : step.tasks) {
            const double task_ms = task.measured_ms > 0 ? task.measured_ms : expected_ms;
            const double share = get_remaining_share(task);
            slowest_ms = std::max(slowest_ms, task_ms);
            // A task of which nothing is known may be the slowest one.
            remaining_ms = std::max(remaining_ms,
                                    share * (task.measured_ms > 0 ? task_ms : expected_ms * slowest_factor));
            terms.remaining_work += share * get_work(spec.steps[i], task_ms);
            terms.work += get_work(spec.steps[i], task_ms);
        }
        finish[i] = start + slowest_ms;
        remaining[i] = remaining_start + remaining_ms;
        terms.chain_ms = std::max(terms.chain_ms, finish[i]);
        terms.remaining_chain_ms = std::max(terms.remaining_chain_ms, remaining[i]);
    }
    return terms;
}

}  // namespace

double get_expected_ms(const job_record& job, const step_spec& spec, const step_state& step,
                       const duration_model& durations) {
    const double expected_ms =
        std::min(durations.estimate(job.job->rules.queue, spec.estimated_ms), max_expected_ms);
    double measured_ms = 0;
    double count = 0;
    for (const auto& task : step.tasks) {
        measured_ms += task.measured_ms;
        count += task.measured_ms > 0 ? 1 : 0;
    }
    return (measured_ms + estimate_weight * expected_ms) / (count + estimate_weight);
}

double get_expected_work(const accepted_job& job, const duration_model& durations) {
    double work = 0;
    for (const auto& step : job.spec.steps) {
        work += get_work(step, durations.estimate(job.rules.queue, step.estimated_ms)) * step.task_count;
    }
    return work;
}

job_rank rank_job(const job_record& job, std::int32_t priority, double mean_work,
                  const duration_model& durations, time_point now) {
    job_rank rank;
    rank.priority = priority;
    rank.objective = job.get_objective();
    if (job.job->spec.is_long_running()) {
        return rank;
    }
    const auto& rules = job.job->rules;
    double remaining_work = 0;
    double work = 0;
    double remaining_chain_ms = 0;
    double objective_ms = static_cast<double>(job.objective_ms);
    for (const auto& [number, occurrence] : job.occurrences) {
        const auto terms = get_terms(job, occurrence, durations);
        remaining_work += terms.remaining_work;
        work = std::max(work, terms.work);
        if (occurrence.objective == rank.objective) {
            remaining_chain_ms = terms.remaining_chain_ms;
            objective_ms = terms.chain_ms * static_cast<double>(rules.stretch_permille) / 1000 +
                           static_cast<double>(rules.objective_ms);
        }
    }
    // The objective as declared was computed from the declared estimates.
    const auto begun_at = rank.objective - std::chrono::milliseconds(job.objective_ms);
    rank.objective = begun_at + to_duration(objective_ms);
    const auto finish = now + to_duration(remaining_chain_ms);
    const auto value_expires_at = begun_at + to_duration(no_value_factor * objective_ms);
    if (finish > rank.objective) {
        rank.outlook = finish > value_expires_at ? job_outlook::no_remaining_value : job_outlook::late;
    }
    const double share = mean_work > 0 ? work / mean_work : 1.0;
    const double value = std::min(fixed_value + work_value * share, max_value);
    rank.cost_per_value = remaining_work / value;
    return rank;
}

}  // namespace jacinthvane
