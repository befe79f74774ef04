#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// A caller waits for the response of an urgent task. A batch task is accepted first and runs when there is
// enough free capacity.
enum class task_class { urgent, batch };

// A task as a caller submits it. The body is opaque to the scheduler.
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

// One attempt to run a task on an upstream. An attempt with a higher generation replaces all with lower ones.
struct task_start {
    task_spec spec;
    std::uint64_t generation = 1;
    std::optional<std::string> resume_from;
    // The caller's deadline on this machine's clock. Between machines it is sent as the remaining time.
    time_point deadline;

    bool operator==(const task_start&) const = default;
};

// The complete response of a task that ran.
struct task_response {
    task_id task;
    int status = 200;
    std::string content_type;
    std::string body;

    bool operator==(const task_response&) const = default;
};

// The entry of one upstream in the platform's list.
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
