#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthvane {

enum class job_phase { queued, running, done, failed, cancelled };

std::string_view get_name(job_phase state);

// Returns true if no task of the job will run anymore.
constexpr bool is_final(job_phase state) {
    return state == job_phase::done || state == job_phase::failed || state == job_phase::cancelled;
}

// Durable history of a task that has not completed successfully.
struct task_history {
    std::uint32_t index = 0;
    // Numbers of the failed runs, in ascending order. They identify the end of a run that is reported more
    // than once.
    std::vector<std::uint64_t> failed_runs;
    std::string checkpoint;

    bool operator==(const task_history&) const = default;
};

// The runs of a task under which an upstream crashed.
struct task_crashes {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    // Numbers of the runs, in ascending order.
    std::vector<std::uint64_t> runs;

    bool operator==(const task_crashes&) const = default;
};

// Durable progress of one step of one occurrence.
struct step_progress {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    // Indexes of the tasks that completed successfully, in ascending order. Empty if is_done is true.
    std::vector<std::uint32_t> done_tasks;
    std::vector<task_history> histories;
    bool is_done = false;

    bool operator==(const step_progress&) const = default;
};

// Durable progress of one job. A step without an entry has no completed task, failed run or checkpoint.
struct job_progress {
    std::string queue;
    job_phase state = job_phase::queued;
    // All occurrences with a lower number are done.
    std::uint32_t first_open_occurrence = 0;
    // Numbers of the later occurrences that are done, in ascending order.
    std::vector<std::uint32_t> done_occurrences;
    std::vector<step_progress> steps;
    // Time at which the state became final. The time at which the record may be removed is computed from it.
    std::int64_t ended_unix_ms = 0;
    // Tasks that are not done and under which upstreams crashed.
    std::vector<task_crashes> crashes;

    bool operator==(const job_progress&) const = default;
};

}  // namespace jacinthvane
