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

// What an upstream says of a task. A checkpointed task goes on running; its last checkpoint is kept.
enum class task_state { running, checkpointed, finished, failed, stopped };

inline bool is_occupying(task_state state) {
    return state == task_state::running || state == task_state::checkpointed;
}

// One entry of an upstream's list. Times are readings of the upstream's own clock.
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

// The answer of an upstream to a list call.
struct upstream_list {
    std::int64_t now_ms = 0;
    bool is_leaving = false;
    std::vector<listed_task> tasks;

    bool operator==(const upstream_list&) const = default;
};

// One start as it is sent to an upstream. The times are readings of the upstream's clock.
struct start_call {
    task_id task;
    std::uint64_t generation = 1;
    task_kind kind;
    resource_vector size;
    std::string owner;
    std::int64_t start_by_ms = 0;
    std::int64_t lease_deadline_ms = 0;
    std::optional<std::string> resume_from;
    // Whether the answer to the call is the task's own answer, sent when the task has ended.
    bool is_waiting = false;
    std::string body;

    bool operator==(const start_call&) const = default;
};

// The upstream has taken the task and goes on without a caller.
struct start_accepted {
    bool operator==(const start_accepted&) const = default;
};

using start_result = std::variant<start_accepted, task_answer>;

// A confirmed stop: the upstream no longer runs the task. It may have ended by itself before the stop.
struct stop_result {
    // Absent if the upstream does not know the task.
    std::optional<task_state> final_state;
    std::optional<std::string> checkpoint;

    bool operator==(const stop_result&) const = default;
};

// What an upstream measured of one task. It arrives late; at_ms is the time on the upstream's clock to which
// it refers.
struct usage_sample {
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    std::int64_t at_ms = 0;
    std::int64_t processors_milli = 0;
    std::int64_t memory_mb = 0;
    // Run time per unit of work compared with the task alone on the upstream: 1000 is undisturbed.
    std::int64_t slowdown_permille = 1000;

    bool operator==(const usage_sample&) const = default;
};

struct usage_answer {
    std::int64_t now_ms = 0;
    std::vector<usage_sample> samples;

    bool operator==(const usage_answer&) const = default;
};

}  // namespace jacinthvane
