#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <variant>

#include "process/ids.hpp"
#include "process/ledger.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// Chooses the candidate for which the largest committed share of processors, memory and slots is the lowest.
struct least_committed_chooser {
    std::size_t candidates = 2;
};

// Chooses with a caller-supplied policy, which returns nothing to refuse all candidates.
struct custom_chooser {
    std::size_t candidates = 2;
    std::function<std::optional<upstream_id>(const task_start&, std::span<const placement_candidate>)> choose;
};

using upstream_chooser = std::variant<least_committed_chooser, custom_chooser>;

std::size_t get_candidate_count(const upstream_chooser& chooser);

std::optional<upstream_id> choose_upstream(const upstream_chooser& chooser, const task_start& start,
                                           std::span<const placement_candidate> candidates);

}  // namespace jacinthvane
