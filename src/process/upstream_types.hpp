#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// The state of a task as reported by its upstream. A checkpointed task continues to run; its last checkpoint
// is kept.
enum class task_state { running, checkpointed, finished, failed, stopped };

inline bool is_occupying(task_state state) {
    return state == task_state::running || state == task_state::checkpointed;
}

// One task in the list of an upstream. Times are readings of the upstream's clock.
struct listed_task {
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    resource_vector size;
    task_state state = task_state::running;
    std::int64_t lease_deadline_ms = 0;
    std::string owner;
    std::optional<std::string> checkpoint;

    bool operator==(const listed_task&) const = default;
};

// The response of an upstream to a list call.
struct upstream_list {
    std::int64_t now_ms = 0;
    bool is_leaving = false;
    std::vector<listed_task> tasks;

    bool operator==(const upstream_list&) const = default;
};

// A start order as it is sent to an upstream. The times are readings of the upstream's clock.
struct start_call {
    task_id task;
    std::uint64_t generation = 1;
    task_kind kind;
    resource_vector size;
    std::string owner;
    std::int64_t start_by_ms = 0;
    std::int64_t lease_deadline_ms = 0;
    std::optional<std::string> resume_from;
    // True if the response to the call is the response of the task, sent when the task has ended.
    bool is_waiting = false;
    std::string body;

    bool operator==(const start_call&) const = default;
};

// The upstream has accepted the task and runs it without a waiting caller.
struct start_accepted {
    bool operator==(const start_accepted&) const = default;
};

using start_result = std::variant<start_accepted, task_response>;

// A confirmed stop: the upstream no longer runs the task, which may have ended by itself before the stop.
struct stop_result {
    // Absent if the upstream does not know the task.
    std::optional<task_state> final_state;
    std::optional<std::string> checkpoint;

    bool operator==(const stop_result&) const = default;
};

// An upstream's measurement of one task. It arrives with a delay; at_ms is the time on the upstream's clock
// to which it refers.
struct usage_sample {
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    std::int64_t at_ms = 0;
    std::int64_t processors_milli = 0;
    std::int64_t memory_mb = 0;
    // The run time per unit of work relative to the task alone on the upstream; 1000 means no interference.
    std::int64_t slowdown_permille = 1000;

    bool operator==(const usage_sample&) const = default;
};

struct usage_response {
    std::int64_t now_ms = 0;
    std::vector<usage_sample> samples;

    bool operator==(const usage_response&) const = default;
};

}  // namespace jacinthvane
