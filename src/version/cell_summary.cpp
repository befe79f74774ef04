// Computes the load summary of a cell that is logged; see process/cell_summary.hpp.

#include "process/cell_summary.hpp"

#include <algorithm>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

void count_waiting_tasks_of(const job_record& job, cell_summary& summary) {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (!occurrence.steps[i].is_released) {
                continue;
            }
            const auto& spec = job.job->spec.steps[i];
            auto& waiting = spec.is_best_effort       ? summary.waiting_best_effort
                            : spec.target_tail_ms > 0 ? summary.waiting_serving
                                                      : summary.waiting_others;
            waiting += occurrence.steps[i].get_waiting_tasks();
        }
    }
}

void count_upstream(const upstream_ledger& upstream, cell_summary& summary) {
    ++summary.usable_upstreams;
    summary.trial_upstreams += upstream.health.is_on_trial() ? 1 : 0;
    summary.over_target_upstreams += upstream.target_exceeded_since != time_point::max() ? 1 : 0;
    summary.capacity_milli += upstream.entry.capacity.get_processors_milli();
    summary.committed_milli += upstream.committed.get_processors_milli();
    for (const auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli == 0 || run.phase != run_phase::running) {
            continue;
        }
        ++summary.running_best_effort;
        summary.best_effort_milli += run.best_effort_milli;
        summary.limited_cpu_milli += run.best_effort_milli *
                                     std::min(run.cpu_limit_percent, full_cpu_limit_percent) /
                                     full_cpu_limit_percent;
        summary.used_milli += run.load;
    }
}

}  // namespace

std::size_t cell_scheduler::count_waiting_tasks() const {
    cell_summary summary;
    count_waiting_tasks_by_kind(summary);
    return summary.waiting_serving + summary.waiting_best_effort + summary.waiting_others;
}

void cell_scheduler::count_waiting_tasks_by_kind(cell_summary& summary) const {
    for (const auto& id : waiting_jobs_) {
        if (const auto found = jobs_.find(id); found != jobs_.end()) {
            count_waiting_tasks_of(found->second, summary);
        }
    }
}

std::size_t cell_scheduler::count_held_tasks_of(const job_record& job, time_point now) const {
    std::size_t held = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& step = occurrence.steps[i];
            if (!step.is_released) {
                continue;
            }
            held += count_held_tasks_of(job, {job.id, number, i}, step, now);
        }
    }
    return held;
}

std::size_t cell_scheduler::count_held_tasks(time_point now) const {
    std::size_t held = 0;
    for (const auto& id : waiting_jobs_) {
        const auto found = jobs_.find(id);
        held += found == jobs_.end() ? 0 : count_held_tasks_of(found->second, now);
    }
    return held;
}

cell_summary cell_scheduler::get_summary(time_point now) const {
    cell_summary summary;
    summary.jobs = jobs_.size();
    for (const auto& [id, job] : jobs_) {
        summary.late_jobs += job.rank.outlook != job_outlook::in_time ? 1 : 0;
        summary.worthless_jobs += job.rank.outlook == job_outlook::no_remaining_value ? 1 : 0;
    }
    count_waiting_tasks_by_kind(summary);
    summary.held_tasks = count_held_tasks(now);
    for (const auto& [id, upstream] : upstreams_) {
        summary.unresolved_upstreams += is_unresolved(upstream, now) ? 1 : 0;
        summary.blocked_upstreams += upstream.is_listed && upstream.health.is_blocked(now) ? 1 : 0;
        const bool is_usable = upstream.is_listed && upstream.has_responded && !upstream.is_unresponsive &&
                               !upstream.entry.is_leaving && !upstream.health.is_blocked(now);
        if (is_usable) {
            count_upstream(upstream, summary);
        }
    }
    return summary;
}

}  // namespace jacinthvane
