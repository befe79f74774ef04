#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// The alternatives of task_fate: what is known about one attempt of a task on one upstream.
struct fate_running {
    std::optional<std::string> checkpoint;
    bool operator==(const fate_running&) const = default;
};
struct fate_finished {
    bool operator==(const fate_finished&) const = default;
};
struct fate_failed {
    bool operator==(const fate_failed&) const = default;
};
struct fate_stopped {
    std::optional<std::string> checkpoint;
    bool operator==(const fate_stopped&) const = default;
};
// The upstream responded and has no record of the attempt: it never started there, or its record was removed.
struct fate_absent {
    bool operator==(const fate_absent&) const = default;
};
// The upstream does not respond. After lease_until, the attempt can no longer be running.
struct fate_unreachable {
    time_point lease_until;
    bool operator==(const fate_unreachable&) const = default;
};
// This process does not own the upstream.
struct fate_not_owned {
    bool operator==(const fate_not_owned&) const = default;
};

using task_fate = std::variant<fate_running, fate_finished, fate_failed, fate_stopped, fate_absent,
                               fate_unreachable, fate_not_owned>;

// Reported once when a task without a waiting caller has ended, or is no longer on its upstream
// (fate_absent).
struct task_end {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    task_fate fate;

    bool operator==(const task_end&) const = default;
};

}  // namespace jacinthvane
