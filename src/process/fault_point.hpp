#pragma once

#include <array>
#include <functional>
#include <string_view>

namespace jacinthvane {

// The processing steps at which tests inject faults. The fault matrix in docs/fault-matrix.md has a column
// for each.
enum class work_step {
    accept,
    record,
    choose,
    start,
    renew,
    usage,
    checkpoint,
    stop,
    resume,
    answer,
    hand_over,
    apply,
    runbook_step,
    shut_down,
};

inline constexpr std::array<std::string_view, 14> work_step_names = {
    "accept", "record", "choose", "start",     "renew", "usage",        "checkpoint",
    "stop",   "resume", "answer", "hand over", "apply", "runbook step", "shut down"};

inline std::string_view get_name(work_step step) {
    return work_step_names.at(static_cast<std::size_t>(step));
}

// Called when a process reaches a step. Empty outside tests.
using step_observer = std::function<void(work_step)>;

inline void reach(const step_observer& observer, work_step step) {
    if (observer) {
        observer(step);
    }
}

}  // namespace jacinthvane
