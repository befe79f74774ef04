// Records for the next owner where long-running tasks run, before they start, and on which upstreams this
// owner has granted no lease; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// An upstream that has not responded to a new owner for this long is not expected to do so soon.
constexpr std::chrono::milliseconds silence_time{700};

}  // namespace

void cell_scheduler::set_inherited_locations(const std::map<job_id, run_locations>& known, bool is_complete) {
    for (auto& [id, job] : jobs_) {
        const auto found = known.find(id);
        job.has_stored_locations = found != known.end();
        if (!is_complete || !job.is_inherited || !job.job->spec.is_long_running()) {
            continue;
        }
        job.has_known_locations = true;
        if (job.has_stored_locations) {
            apply_locations(job, found->second);
        }
    }
}

void cell_scheduler::apply_locations(job_record& job, const run_locations& locations) {
    for (const auto& location : locations.tasks) {
        if (auto* task = job.find_task({job.id, location.occurrence, location.step, location.index})) {
            task->inherited_run = earlier_run{location.upstream, location.run};
        }
    }
}

std::optional<run_locations> cell_scheduler::make_locations(const job_record& job) const {
    const bool is_known = !job.is_inherited || job.has_known_locations || is_resolved_;
    if (!job.job->spec.is_long_running() || !is_known) {
        return std::nullopt;
    }
    run_locations locations;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                const auto& task = tasks[i];
                if (task.phase == task_phase::active) {
                    locations.tasks.push_back({number, step, i, task.upstream, task.last_run});
                } else if (task.inherited_run && has_inherited_leases_) {
                    locations.tasks.push_back(
                        {number, step, i, task.inherited_run->upstream, task.inherited_run->run});
                }
            }
        }
    }
    return locations;
}

void cell_scheduler::confirm_locations(const job_id& id, const run_locations& locations) {
    for (const auto& location : locations.tasks) {
        const auto found = upstreams_.find(location.upstream);
        if (found == upstreams_.end()) {
            continue;
        }
        const task_ref ref{id, location.occurrence, location.step, location.index};
        auto* run = found->second.find_run(ref, location.run);
        if (run != nullptr && run->awaits_record) {
            run->awaits_record = false;
            expect_orders(found->second);
            has_recorded_starts_ = true;
        }
    }
}

bool cell_scheduler::take_recorded_starts() {
    return std::exchange(has_recorded_starts_, false);
}

bool cell_scheduler::is_held(const job_record& job, const step_ref& ref, std::uint32_t index,
                             const task_record& task, time_point now) const {
    if (may_start_late(ref, index, task)) {
        return true;
    }
    if (!job.is_inherited) {
        return false;
    }
    const bool is_located = job.has_known_locations && job.job->spec.steps[ref.step].is_long_running;
    if (!is_located) {
        return !is_resolved_;
    }
    // A long-running task has no end that would have to be learned from the upstream, so the end of the
    // leases suffices.
    if (!task.inherited_run) {
        return false;
    }
    const auto found = upstreams_.find(task.inherited_run->upstream);
    if (found == upstreams_.end() || now >= get_inherited_leases_end(found->second)) {
        return false;
    }
    // A run that is being stopped is not listed, and ends within this time.
    return found->second.may_have_inherited_runs || now < found->second.responded_at + get_longest_stop();
}

std::size_t cell_scheduler::count_held_tasks_of(const job_record& job, const step_ref& ref,
                                                const step_state& step, time_point now) const {
    std::size_t held = 0;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        const bool is_waiting = task.phase == task_phase::waiting;
        held += is_waiting && is_held(job, ref, i, task, now) ? 1 : 0;
    }
    return held;
}

bool cell_scheduler::is_takeover_over(time_point now) const {
    return now >= get_leases_end(token_ - 1) && is_takeover_resolved(now);
}

void cell_scheduler::complete_locations() {
    for (auto& [id, job] : jobs_) {
        if (job.job->spec.is_long_running() && job.is_inherited && !job.has_known_locations) {
            job.has_known_locations = true;
            dirty_jobs_.insert(id);
        }
    }
}

bool cell_scheduler::are_locations_complete() const {
    return std::all_of(jobs_.begin(), jobs_.end(), [&](const auto& entry) {
        const auto& job = entry.second;
        const bool is_located = !job.is_inherited || job.has_known_locations;
        const bool is_written = !dirty_jobs_.contains(entry.first) && !commit_batch_.contains(entry.first);
        return !job.job->spec.is_long_running() || (is_located && is_written);
    });
}

void cell_scheduler::declare_silent_upstreams(time_point now) {
    if (now < owner_since_ + silence_time) {
        return;
    }
    for (auto& [id, upstream] : upstreams_) {
        const bool is_silent =
            upstream.may_have_inherited_runs && !upstream.has_responded && upstream.runs.empty();
        upstream.is_declared_silent = upstream.is_declared_silent || is_silent;
    }
}

std::vector<silent_upstream> cell_scheduler::get_silent_upstreams() const {
    std::vector<silent_upstream> silent;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.is_declared_silent && !upstream.has_responded) {
            silent.push_back({id, upstream.granting_token});
        }
    }
    return silent;
}

bool cell_scheduler::has_answered_silent_upstreams() const {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& entry) {
        return entry.second.is_declared_silent && entry.second.has_responded;
    });
}

void cell_scheduler::record_silent_upstreams(const std::vector<silent_upstream>& silent) {
    std::set<upstream_id> ids;
    for (const auto& entry : silent) {
        ids.insert(entry.upstream);
    }
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.is_declared_silent && !ids.contains(id)) {
            upstream.is_declared_silent = false;
            mark_changed(upstream);
        }
    }
}

}  // namespace jacinthvane
