#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/random_source.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"
#include "request/eviction.hpp"

namespace jacinthvane::experiment {

constexpr std::size_t shared_resource_count = 3;
constexpr std::size_t kind_count = 10;
constexpr std::size_t urgent_kind_count = 4;

// Amounts for the shared resources of one upstream, in this order: last-level cache, memory bandwidth, disk.
using shared_resource_amounts = std::array<double, shared_resource_count>;

// The true properties of a kind. The placement policies see only its name, class and declared size.
struct kind_traits {
    std::string name;
    task_class work_class = task_class::urgent;
    // Share of each shared resource that one task uses.
    shared_resource_amounts use{};
    // How strongly contention for each shared resource slows the task down.
    shared_resource_amounts sensitivity{};
    double mean_run_s = 1;
    // The true run time of the kind divided by the declared run time.
    double run_error = 1;
    // The true memory of the kind divided by the declared memory.
    double memory_error = 1;
    // Whether the kind has periods of increased resource use and more arrivals.
    bool has_waves = false;
    bool can_checkpoint = false;
};

const std::array<kind_traits, kind_count>& get_kinds();

// The current resource use of one kind. It is multiplied during a wave.
struct kind_state {
    shared_resource_amounts use{};
    bool is_in_wave = false;
};

struct fake_task {
    std::uint64_t number = 0;
    std::size_t request = 0;
    std::size_t kind = 0;
    resource_vector declared;
    double true_memory_mb = 0;
    // Run time in seconds at a slowdown of 1.
    double work_s = 0;
    double remaining_s = 0;
    double started_s = 0;
    double checkpointed_s = -1;
    double rate = 1;
    int evictions = 0;
    bool is_throttled = false;
    bool is_stopping = false;
    // The last step taken against the task's memory overuse, and its time.
    overuse_step last_step = overuse_step::none;
    double last_step_s = 0;

    double get_memory_mb() const {
        const double progress = work_s <= 0 ? 1.0 : 1.0 - remaining_s / work_s;
        return true_memory_mb * (0.4 + 0.6 * progress);
    }
};

struct fake_upstream {
    std::vector<fake_task> tasks;
    resource_vector committed;
    double updated_s = 0;
    double broken_until_s = -1;
    std::uint64_t version = 0;
};

// Upstreams whose tasks run at a speed that depends on their neighbors. A shared resource has no contention
// cost up to a load of 0.4 (contention_threshold); above that the cost grows quadratically, and beyond the
// resource's capacity linearly with the load. A task is slowed down by the weighted sum over the resources.
// This model has no pairwise terms of kinds and no logarithms, so it differs in form from the interference
// model that the policies learn.
class fake_fleet {
public:
    fake_fleet(std::size_t count, resource_vector size, double use_scale);

    std::size_t get_count() const { return upstreams_.size(); }
    const resource_vector& get_size() const { return size_; }
    fake_upstream& get(std::size_t upstream) { return upstreams_[upstream]; }
    const fake_upstream& get(std::size_t upstream) const { return upstreams_[upstream]; }
    kind_state& get_kind_state(std::size_t kind) { return kinds_[kind]; }
    const kind_state& get_kind_state(std::size_t kind) const { return kinds_[kind]; }

    void start(std::size_t upstream, const fake_task& task, double now_s);
    std::optional<fake_task> remove(std::size_t upstream, std::uint64_t task, double now_s);

    // Advances the work of all tasks of the upstream to the given time and recomputes their speeds.
    void update(std::size_t upstream, double now_s);

    // Returns the time at which the next task of the upstream finishes, or nothing if none is due to finish.
    std::optional<double> get_next_finish(std::size_t upstream) const;
    double get_memory_mb(std::size_t upstream) const;

private:
    void set_rates(fake_upstream& host);

    resource_vector size_;
    double use_scale_;
    std::vector<fake_upstream> upstreams_;
    std::array<kind_state, kind_count> kinds_;
};

}  // namespace jacinthvane::experiment
