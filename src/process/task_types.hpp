#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// Urgent work has a caller waiting for the answer; batch work is accepted first and run when there is room.
enum class task_class { urgent, batch };

// What a caller asks to be run. The body is opaque to the scheduler.
struct task_spec {
    task_id task;
    team_id team;
    task_kind kind;
    task_class work_class = task_class::urgent;
    resource_vector size;
    bool is_idempotent = true;
    std::string body;

    bool operator==(const task_spec&) const = default;
};

// One attempt to run a task on an upstream. A higher generation replaces all lower ones.
struct task_start {
    task_spec spec;
    std::uint64_t generation = 1;
    std::optional<std::string> resume_from;
    // The caller's deadline on this machine's clock. Hops convert it to time left and back.
    time_point deadline;

    bool operator==(const task_start&) const = default;
};

// The whole answer of a task that ran.
struct task_answer {
    task_id task;
    int status = 200;
    std::string content_type;
    std::string body;

    bool operator==(const task_answer&) const = default;
};

// What the platform's list says of one upstream.
struct upstream_record {
    upstream_id upstream;
    location place;
    rack_id rack;
    std::string address;
    resource_vector size;
    std::int64_t connections = 64;
    bool is_leaving = false;

    bool operator==(const upstream_record&) const = default;
};

}  // namespace jacinthvane
