#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/ids.hpp"

namespace jacinthvane {

// Identifies one step of one occurrence of a job. Jobs that run once have occurrence 0 only.
struct step_ref {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const step_ref&) const = default;

    // Returns "JOB.OCCURRENCE.STEP".
    std::string to_string() const;
};

// Identifies one task of a step.
struct task_ref {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;

    step_ref get_step() const { return {job, occurrence, step}; }

    // Returns "JOB.OCCURRENCE.STEP.INDEX".
    std::string to_string() const;
};

// Parses the format of task_ref::to_string. Returns nullopt for any other text.
std::optional<task_ref> parse_task_ref(std::string_view text);

}  // namespace jacinthvane
