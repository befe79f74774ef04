#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/job_spec.hpp"
#include "process/task_ref.hpp"

namespace jacinthvane {

enum class task_phase { waiting, active, done };

// Working state of one task.
struct task_record {
    task_phase phase = task_phase::waiting;
    // Highest run number that was used or seen.
    std::uint64_t last_run = 0;
    // Where the active run is.
    upstream_id upstream;
    // Runs that ended as failed. Those of a gang are kept with its first member. Lasting tasks keep none,
    // since they may fail any number of times.
    std::vector<std::uint64_t> failed_runs;
    // Failures since the task last did well, for the delay before the next start.
    std::uint32_t failures_in_row = 0;
    std::string checkpoint;
    // No start before this time, since the last one failed.
    time_point not_before;
    // Upstreams where runs of this task failed or stood still, the latest last.
    std::vector<upstream_id> avoided;
};

// Working state of one step of one occurrence.
struct step_state {
    std::vector<task_record> tasks;
    std::uint32_t done_tasks = 0;
    std::uint32_t active_tasks = 0;
    // All steps before it are done.
    bool is_released = false;

    std::uint32_t get_waiting_tasks() const {
        return static_cast<std::uint32_t>(tasks.size()) - done_tasks - active_tasks;
    }
    bool is_done() const { return done_tasks == tasks.size(); }
};

// Working state of one scheduled occurrence of a job.
struct occurrence_record {
    std::uint32_t number = 0;
    // When it has to end to meet its objective.
    time_point objective;
    std::vector<step_state> steps;

    bool is_done() const;
};

// Working state of a job that is not final.
struct job_record {
    job_id id;
    std::shared_ptr<const accepted_job> job;
    // Time from the acceptance or due time to the objective.
    std::int64_t objective_ms = 0;
    // Occurrences that have come due and are not done.
    std::map<std::uint32_t, occurrence_record> occurrences;
    std::uint32_t next_occurrence = 0;
    // Accepted before this process became the owner: runs may exist that no upstream has listed yet.
    bool is_inherited = false;
    bool has_started = false;
    // A state that ends the job and waits for its commit; queued stands for none.
    job_phase pending_end = job_phase::queued;

    // Earliest objective of the occurrences that are not done.
    time_point get_objective() const;
    step_state* find_step(const step_ref& step);
    task_record* find_task(const task_ref& task);
    // The durable part of this state.
    job_progress make_progress(std::int64_t now_unix_ms) const;
};

// Makes the working state of an occurrence in which nothing has run.
occurrence_record make_occurrence(const accepted_job& job, std::uint32_t number, time_point objective);

// Releases the steps whose predecessors are done. Returns true if any was released.
bool release_steps(const job_spec& spec, occurrence_record& occurrence);

}  // namespace jacinthvane
