#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// A job is not evicted again after this many evictions, so that it finishes at last.
constexpr int eviction_limit = 3;

// A task as the owner of its upstream sees it.
struct evictable_task {
    task_id task;
    task_class work_class = task_class::batch;
    resource_vector size;
    time_point started_at;
    std::optional<time_point> checkpointed_at;
    // A task that can write a checkpoint before it stops loses nothing.
    bool can_checkpoint = false;
    int evictions = 0;

    bool operator==(const evictable_task&) const = default;
};

struct eviction_plan {
    std::vector<task_id> tasks;
    // Processor seconds of work that have to be done again, and a charge for each earlier eviction. It makes
    // plans of different upstreams comparable.
    double loss = 0;

    bool operator==(const eviction_plan&) const = default;
};

// Chooses which tasks of one upstream to evict so that the needed size fits into what is free afterwards: as
// few as possible, and of these the ones with the cheapest loss. Returns no plan if no set of batch tasks
// with fewer than eviction_limit evictions is enough, and an empty plan if it fits already.
std::optional<eviction_plan> choose_evictions(const std::vector<evictable_task>& tasks,
                                              const resource_vector& free, const resource_vector& needed,
                                              time_point now);

// What to do with a task that uses more memory than it declared, in the order in which it is tried.
enum class overuse_step { none, throttle, checkpoint, stop };

struct memory_use {
    std::int64_t declared_mb = 0;
    std::int64_t used_mb = 0;
    // Measured use of all tasks of the upstream, and what it has.
    std::int64_t upstream_used_mb = 0;
    std::int64_t upstream_mb = 0;
    bool can_checkpoint = false;
    // The step taken last and its time.
    overuse_step last_step = overuse_step::none;
    time_point last_step_at;

    bool operator==(const memory_use&) const = default;
};

// Returns the next step, or none if the task may go on as it is. A stop here is an overrun of the job, not an
// eviction.
overuse_step decide_overuse(const memory_use& use, time_point now);

}  // namespace jacinthvane
