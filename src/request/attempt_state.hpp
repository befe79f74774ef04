#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// The alternatives of attempt_state: what is known about one attempt of a task on one upstream.
struct attempt_running {
    std::optional<std::string> checkpoint;
    bool operator==(const attempt_running&) const = default;
};
struct attempt_finished {
    bool operator==(const attempt_finished&) const = default;
};
struct attempt_failed {
    bool operator==(const attempt_failed&) const = default;
};
struct attempt_stopped {
    std::optional<std::string> checkpoint;
    bool operator==(const attempt_stopped&) const = default;
};
// The upstream responded and has no record of the attempt: it never started there, or its record was removed.
struct attempt_absent {
    bool operator==(const attempt_absent&) const = default;
};
// The upstream does not respond. After lease_until, the attempt can no longer be running.
struct attempt_unreachable {
    time_point lease_until;
    bool operator==(const attempt_unreachable&) const = default;
};
// This process does not own the upstream.
struct attempt_not_owned {
    bool operator==(const attempt_not_owned&) const = default;
};

using attempt_state = std::variant<attempt_running, attempt_finished, attempt_failed, attempt_stopped,
                                   attempt_absent, attempt_unreachable, attempt_not_owned>;

// Reported once when a task without a waiting caller has ended, or is no longer on its upstream
// (attempt_absent).
struct task_end {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    attempt_state known_state;

    bool operator==(const task_end&) const = default;
};

}  // namespace jacinthvane
