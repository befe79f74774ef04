#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthvane {

enum class job_phase { queued, running, done, failed, cancelled };

std::string_view get_name(job_phase state);

// True if nothing of the job will run any more.
constexpr bool is_final(job_phase state) {
    return state == job_phase::done || state == job_phase::failed || state == job_phase::cancelled;
}

// What is known for good about a task that has not ended done.
struct task_history {
    std::uint32_t index = 0;
    // Runs that ended as failed, in rising order. An end that is listed again is known by its run.
    std::vector<std::uint64_t> failed_runs;
    std::string checkpoint;

    bool operator==(const task_history&) const = default;
};

// Durable progress of one step of one occurrence.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    // Indexes of the tasks that ended done, in rising order. Empty if is_done.
    std::vector<std::uint32_t> done_tasks;
    std::vector<task_history> histories;
    bool is_done = false;

    bool operator==(const step_progress&) const = default;
};

// Durable progress of one job. Steps without an entry have not begun to end.
struct job_progress {
    std::string queue;
    job_phase state = job_phase::queued;
    // All occurrences with a lower number are done.
    std::uint32_t first_open_occurrence = 0;
    // Occurrences above that one that are done, in rising order.
    std::vector<std::uint32_t> done_occurrences;
    std::vector<step_progress> steps;
    // Set once the state is final; tells when the record may be removed.
    std::int64_t ended_unix_ms = 0;

    bool operator==(const job_progress&) const = default;
};

}  // namespace jacinthvane
