#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/job_rank.hpp"
#include "process/job_spec.hpp"
#include "process/task_ref.hpp"

namespace jacinthvane {

enum class task_phase { waiting, active, done };

// A run that an earlier owner may have started.
struct earlier_run {
    upstream_id upstream;
    std::uint64_t run = 0;

    bool operator==(const earlier_run&) const = default;
};

// In-memory state of one task.
struct task_record {
    task_phase phase = task_phase::waiting;
    // Highest run number that was used here or reported by an upstream.
    std::uint64_t last_run = 0;
    // Upstream of the active run.
    upstream_id upstream;
    // For a waiting long-running task: the only run that an earlier owner may have left.
    std::optional<earlier_run> inherited_run;
    // Numbers of the failed runs. Those of a gang are stored with its first member. For long-running tasks
    // the list is empty, since they may fail any number of times.
    std::vector<std::uint64_t> failed_runs;
    // Numbers of the runs under which an upstream crashed, since a run last proved that it crashes none.
    std::vector<std::uint64_t> crashed_runs;
    // Consecutive failures. They determine the delay before the next run.
    std::uint32_t failures_in_row = 0;
    std::string checkpoint;
    // Earliest time of the next run after a failed run.
    time_point not_before;
    // How long the task takes at full speed, in milliseconds, by its runs so far; 0 if unknown.
    double measured_ms = 0;
    // Progress of the active run, or of the one that ended with the checkpoint, in percent.
    std::int32_t percent = 0;
    // Upstreams that have restarted while a start order for an earlier run was unanswered. The task waits
    // until they have no run of it.
    std::vector<upstream_id> late_start_upstreams;
    // Upstreams where runs of this task failed or made no progress, the most recent one last.
    std::vector<upstream_id> avoided;
};

// In-memory state of one step of one occurrence.
struct step_state {
    std::vector<task_record> tasks;
    std::uint32_t done_tasks = 0;
    std::uint32_t active_tasks = 0;
    // True once all steps that this step depends on are done.
    bool is_released = false;

    std::uint32_t get_waiting_tasks() const {
        return static_cast<std::uint32_t>(tasks.size()) - done_tasks - active_tasks;
    }
    bool is_done() const { return done_tasks == tasks.size(); }
};

// In-memory state of one scheduled occurrence of a job.
struct occurrence_record {
    std::uint32_t number = 0;
    // Latest end that meets the objective.
    time_point objective;
    std::vector<step_state> steps;

    bool is_done() const;
};

// In-memory state of a job whose phase is not final.
struct job_record {
    job_id id;
    std::shared_ptr<const accepted_job> job;
    // Time from the acceptance or the due time to the objective.
    std::int64_t objective_ms = 0;
    // Occurrences that are due and not done.
    std::map<std::uint32_t, occurrence_record> occurrences;
    std::uint32_t next_occurrence = 0;
    // True if the job was accepted by a previous owner, so that it may have runs that no upstream has
    // reported to this owner yet.
    bool is_inherited = false;
    // For an inherited long-running job: the earlier runs of its tasks are known.
    bool has_known_locations = false;
    // The store may have a record of the locations of its runs.
    bool has_stored_locations = false;
    bool has_started = false;
    // Its rank, and when it was computed.
    job_rank rank;
    time_point ranked_at;
    // Final phase that is not committed to the store yet; queued means that there is none.
    job_phase pending_end = job_phase::queued;

    // Earliest objective of the occurrences that are not done.
    time_point get_objective() const;
    step_state* find_step(const step_ref& step);
    const step_state* find_step(const step_ref& step) const;
    task_record* find_task(const task_ref& task);
    const task_record* find_task(const task_ref& task) const;
    // Returns the durable part of this state.
    job_progress make_progress(std::int64_t now_unix_ms) const;
};

// Makes the in-memory state of an occurrence of which no task has run.
occurrence_record make_occurrence(const accepted_job& job, std::uint32_t number, time_point objective);

// Releases the steps whose dependencies are done. Returns true if any was released.
bool release_steps(const job_spec& spec, occurrence_record& occurrence);

}  // namespace jacinthvane
