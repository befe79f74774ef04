#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "process/candidate_index.hpp"
#include "process/interference_snapshot.hpp"
#include "process/random_source.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// Weights of the parts of the predicted loss; taken from the fleet configuration.
struct placement_weights {
    // Weight of the slowdown of urgent tasks.
    double tail = 4;
    // Weight of memory pressure, which leads to evictions.
    double evictions = 1;
    // Weight of the slowdown of batch tasks.
    double throughput = 1;

    bool operator==(const placement_weights&) const = default;
};

// Chooses any upstream with room at random.
struct random_placement {
    bool operator==(const random_placement&) const = default;
};

// Chooses the upstream with the smallest committed share among many samples.
struct least_committed_placement {
    std::size_t samples = 128;

    bool operator==(const least_committed_placement&) const = default;
};

// Chooses the less committed of two samples.
struct two_choices_placement {
    bool operator==(const two_choices_placement&) const = default;
};

// Chooses the sample with the lowest predicted loss for the new task and for the tasks that already run
// there.
struct interference_aware_placement {
    placement_weights weights{};
    std::size_t samples = 12;
    // Weight of the committed share relative to a slowdown by a factor of e.
    double committed = 0.5;
    // Share of batch placements that ignore the score, so that the interference between kinds that never ran
    // together is measured.
    double exploration = 0.02;
    // Weight of the slowdown of co-located urgent tasks. It is small because these end soon, and later
    // urgent tasks can be placed elsewhere. A weight of 1 concentrated batch work on few upstreams, and the
    // site lakeshore of the policy benchmark completed 2% less of it.
    double urgent_neighbor_share = 0.1;
    bool is_new_task_effect_counted = true;
    bool is_neighbor_effect_counted = true;
    bool is_measured_memory_counted = true;

    bool operator==(const interference_aware_placement&) const = default;
};

using placement_policy = std::variant<random_placement, least_committed_placement, two_choices_placement,
                                      interference_aware_placement>;

struct placement_request {
    kind_index kind = 0;
    task_class work_class = task_class::urgent;
    resource_vector size;

    bool operator==(const placement_request&) const = default;
};

struct placement_choice {
    upstream_id upstream;
    // Predicted loss; only comparable between candidates of the same decision.
    double score = 0;

    bool operator==(const placement_choice&) const = default;
};

// Chooses an upstream with room, or none if no sampled upstream has any. The choice is valid only for the
// state of the index that was read, so the caller must commit the size under the same lock.
std::optional<placement_choice> choose(const placement_policy& policy, const candidate_index& index,
                                       const interference_snapshot& interference,
                                       const placement_request& request, random_source& random);

}  // namespace jacinthvane
