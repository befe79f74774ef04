#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

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
    // The same as comparing get_step() of both, without copies.
    bool is_in_step(const step_ref& other) const {
        return occurrence == other.occurrence && step == other.step && job == other.job;
    }
    bool is_in_step_of(const task_ref& other) const {
        return occurrence == other.occurrence && step == other.step && job == other.job;
    }

    // Returns "JOB.OCCURRENCE.STEP.INDEX".
    std::string to_string() const;
};

// Orders steps. A step is also found by one of its tasks, without a copy.
struct step_order {
    using is_transparent = void;

    bool operator()(const step_ref& left, const step_ref& right) const { return left < right; }
    bool operator()(const step_ref& left, const task_ref& right) const {
        return std::tie(left.job, left.occurrence, left.step) <
               std::tie(right.job, right.occurrence, right.step);
    }
    bool operator()(const task_ref& left, const step_ref& right) const {
        return std::tie(left.job, left.occurrence, left.step) <
               std::tie(right.job, right.occurrence, right.step);
    }
};

// Parses the format of task_ref::to_string. Returns nullopt for any other text.
std::optional<task_ref> parse_task_ref(std::string_view text);

}  // namespace jacinthvane
