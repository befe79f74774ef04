#include "process/job_record.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Job is job_record, const or not.
template <typename Job>
auto find_step_of(Job& job, const step_ref& step) -> decltype(job.find_step(step)) {
    const auto found = job.occurrences.find(step.occurrence);
    if (found == job.occurrences.end() || step.step >= found->second.steps.size()) {
        return nullptr;
    }
    return &found->second.steps[step.step];
}

template <typename Job>
auto find_task_of(Job& job, const task_ref& task) -> decltype(job.find_task(task)) {
    auto* step = job.find_step(task.get_step());
    return step == nullptr || task.index >= step->tasks.size() ? nullptr : &step->tasks[task.index];
}

step_progress make_step_progress(const step_state& step, std::uint32_t occurrence, std::uint32_t number) {
    step_progress progress;
    progress.occurrence = occurrence;
    progress.step = number;
    progress.is_done = step.is_done();
    if (progress.is_done) {
        return progress;
    }
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (task.phase == task_phase::done) {
            progress.done_tasks.push_back(i);
        } else if (!task.failed_runs.empty() || !task.checkpoint.empty()) {
            progress.histories.push_back({i, task.failed_runs, task.checkpoint});
        }
    }
    return progress;
}

void add_crashes(const step_state& step, std::uint32_t occurrence, std::uint32_t number,
                 std::vector<task_crashes>& crashes) {
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (task.phase != task_phase::done && !task.crashed_runs.empty()) {
            crashes.push_back({occurrence, number, i, task.crashed_runs});
        }
    }
}

bool has_durable_state(const step_progress& progress) {
    return progress.is_done || !progress.done_tasks.empty() || !progress.histories.empty();
}

}  // namespace

bool occurrence_record::is_done() const {
    return std::all_of(steps.begin(), steps.end(), [](const step_state& step) { return step.is_done(); });
}

time_point job_record::get_objective() const {
    auto earliest = time_point::max();
    for (const auto& [number, occurrence] : occurrences) {
        earliest = std::min(earliest, occurrence.objective);
    }
    return earliest;
}

step_state* job_record::find_step(const step_ref& step) {
    return find_step_of(*this, step);
}

const step_state* job_record::find_step(const step_ref& step) const {
    return find_step_of(*this, step);
}

task_record* job_record::find_task(const task_ref& task) {
    return find_task_of(*this, task);
}

const task_record* job_record::find_task(const task_ref& task) const {
    return find_task_of(*this, task);
}

job_progress job_record::make_progress(std::int64_t now_unix_ms) const {
    job_progress progress;
    progress.queue = job->rules.queue;
    if (is_final(pending_end)) {
        progress.state = pending_end;
        progress.ended_unix_ms = now_unix_ms;
        return progress;
    }
    progress.state = has_started ? job_phase::running : job_phase::queued;
    progress.first_open_occurrence = occurrences.empty() ? next_occurrence : occurrences.begin()->first;
    for (auto number = progress.first_open_occurrence; number < next_occurrence; ++number) {
        if (!occurrences.contains(number)) {
            progress.done_occurrences.push_back(number);
        }
    }
    for (const auto& [number, occurrence] : occurrences) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
            auto step = make_step_progress(occurrence.steps[i], number, i);
            if (has_durable_state(step)) {
                progress.steps.push_back(std::move(step));
            }
            add_crashes(occurrence.steps[i], number, i, progress.crashes);
        }
    }
    return progress;
}

occurrence_record make_occurrence(const accepted_job& job, std::uint32_t number, time_point objective) {
    occurrence_record occurrence;
    occurrence.number = number;
    occurrence.objective = objective;
    occurrence.steps.resize(job.spec.steps.size());
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        occurrence.steps[i].tasks.resize(job.spec.steps[i].task_count);
    }
    release_steps(job.spec, occurrence);
    return occurrence;
}

bool release_steps(const job_spec& spec, occurrence_record& occurrence) {
    bool is_changed = false;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        auto& step = occurrence.steps[i];
        if (step.is_released) {
            continue;
        }
        const auto& after = spec.steps[i].after;
        step.is_released = std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
            return occurrence.steps[earlier].is_done();
        });
        is_changed = is_changed || step.is_released;
    }
    return is_changed;
}

}  // namespace jacinthvane
