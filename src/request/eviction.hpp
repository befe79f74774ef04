#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// A job is not evicted again after this many evictions, so that it eventually finishes.
constexpr int eviction_limit = 3;

// The state of a task as the owner of its upstream records it.
struct evictable_task {
    task_id task;
    task_class work_class = task_class::batch;
    resource_vector size;
    time_point started_at;
    std::optional<time_point> checkpointed_at;
    // Whether the task can write a checkpoint before it stops, so that no work is lost.
    bool can_checkpoint = false;
    int evictions = 0;

    bool operator==(const evictable_task&) const = default;
};

struct eviction_plan {
    std::vector<task_id> tasks;
    // Processor seconds of work that have to be repeated, plus a penalty for each earlier eviction. Plans of
    // different upstreams are compared by it.
    double loss = 0;

    bool operator==(const eviction_plan&) const = default;
};

// Chooses which tasks of one upstream to evict so that the needed size fits into the free capacity
// afterwards: as few tasks as possible, and among equally small sets the one with the lowest loss. Returns no
// plan if no set of batch tasks with fewer than eviction_limit evictions is enough, and an empty plan if it
// fits already.
std::optional<eviction_plan> choose_evictions(const std::vector<evictable_task>& tasks,
                                              const resource_vector& free, const resource_vector& needed,
                                              time_point now);

// Measures against a task that uses more memory than it declared, in the order in which they are taken.
enum class overuse_step { none, throttle, checkpoint, stop };

struct memory_use {
    std::int64_t declared_mb = 0;
    std::int64_t used_mb = 0;
    // Measured use of all tasks of the upstream, and the memory of the upstream.
    std::int64_t upstream_used_mb = 0;
    std::int64_t upstream_mb = 0;
    bool can_checkpoint = false;
    // The last step and the time at which it was taken.
    overuse_step last_step = overuse_step::none;
    time_point last_step_at;

    bool operator==(const memory_use&) const = default;
};

// Returns the next step, or none if the task may continue unchanged. A stop counts as an overrun of the job,
// not as an eviction.
overuse_step decide_overuse(const memory_use& use, time_point now);

}  // namespace jacinthvane
