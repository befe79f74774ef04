#pragma once

#include <cstddef>
#include <cstdint>

namespace jacinthvane {

// How busy a cell is at one moment, for logs and operators. Processors are in thousandths.
struct cell_summary {
    std::size_t jobs = 0;
    // Tasks of released steps that wait for a place, by kind.
    std::size_t waiting_serving = 0;
    std::size_t waiting_best_effort = 0;
    std::size_t waiting_others = 0;
    // Upstreams that may take work, those of them that may take one run at a time since runs failed there,
    // and those where a target is crossed.
    std::size_t usable_upstreams = 0;
    std::size_t trial_upstreams = 0;
    std::size_t crossed_upstreams = 0;
    std::int64_t capacity_milli = 0;
    std::int64_t committed_milli = 0;
    // Fillers that run: what they ask for, what their paces allow, and what they were last seen to use.
    std::size_t running_best_effort = 0;
    std::int64_t best_effort_milli = 0;
    std::int64_t limited_cpu_milli = 0;
    std::int64_t used_milli = 0;

    bool operator==(const cell_summary&) const = default;
};

}  // namespace jacinthvane
