#pragma once

#include <cstddef>
#include <cstdint>

namespace jacinthvane {

// Load of a cell at one moment, for logs and operators. Processor amounts are in thousandths of a processor.
struct cell_summary {
    std::size_t jobs = 0;
    // Jobs that can end no more before their objective, and those of them that will have no value to their
    // callers.
    std::size_t late_jobs = 0;
    std::size_t worthless_jobs = 0;
    // Tasks of released steps that wait for an upstream with free capacity, by kind.
    std::size_t waiting_serving = 0;
    std::size_t waiting_best_effort = 0;
    std::size_t waiting_others = 0;
    // Those of them that wait because an earlier owner may have a run of the task on an upstream that has not
    // responded to this owner, and such upstreams.
    std::size_t held_tasks = 0;
    std::size_t unresolved_upstreams = 0;
    // Listed upstreams that take no task for a while after failures.
    std::size_t blocked_upstreams = 0;
    // Upstreams that can take work; those of them that are limited to one run at a time after failures; and
    // those where a latency target is exceeded.
    std::size_t usable_upstreams = 0;
    std::size_t trial_upstreams = 0;
    std::size_t over_target_upstreams = 0;
    std::int64_t capacity_milli = 0;
    std::int64_t committed_milli = 0;
    // Running best-effort tasks: their count, the processors that they request, the processors that their CPU
    // limits allow, and the processors that they used according to the last report.
    std::size_t running_best_effort = 0;
    std::int64_t best_effort_milli = 0;
    std::int64_t limited_cpu_milli = 0;
    std::int64_t used_milli = 0;

    bool operator==(const cell_summary&) const = default;
};

}  // namespace jacinthvane
