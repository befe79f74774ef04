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

constexpr std::size_t shared_count = 3;
constexpr std::size_t kind_count = 10;
constexpr std::size_t urgent_kind_count = 4;

// How much of the last-level cache, the memory bandwidth and the disk of one upstream something uses or
// needs.
using shared_amounts = std::array<double, shared_count>;

// The hidden traits of a kind. The decisions see only its name, class and declared size.
struct kind_traits {
    std::string name;
    task_class work_class = task_class::urgent;
    // Share of each shared part that one task uses.
    shared_amounts use{};
    // How much the task suffers from a crowded part.
    shared_amounts sensitivity{};
    double mean_run_s = 1;
    // Factor between the true and the declared run time of the kind.
    double run_error = 1;
    double memory_error = 1;
    bool has_waves = false;
    bool can_checkpoint = false;
};

const std::array<kind_traits, kind_count>& get_kinds();

// What one kind does now: waves multiply its use.
struct kind_state {
    shared_amounts use{};
    bool is_in_wave = false;
};

struct fake_task {
    std::uint64_t number = 0;
    std::size_t request = 0;
    std::size_t kind = 0;
    resource_vector declared;
    double true_memory_mb = 0;
    // Seconds of work at a slowdown of 1.
    double work_s = 0;
    double left_s = 0;
    double started_s = 0;
    double checkpointed_s = -1;
    double rate = 1;
    int evictions = 0;
    bool is_throttled = false;
    bool is_stopping = false;
    // The step taken last against its memory use, and when.
    overuse_step last_step = overuse_step::none;
    double last_step_s = 0;

    double get_memory_mb() const {
        const double progress = work_s <= 0 ? 1.0 : 1.0 - left_s / work_s;
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

// Upstreams that run tasks at a speed that depends on what else they run. A shared part that is less than
// knee full costs nothing; above that the cost grows with the square, and beyond its capacity linearly with
// the load. A task is slowed down by the sum over the parts. Nothing here is a pair of kinds or a logarithm.
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

    // Moves the work of all tasks of the upstream on to now and sets their speeds.
    void update(std::size_t upstream, double now_s);

    // Returns the time at which the next task of the upstream finishes.
    std::optional<double> get_next_finish(std::size_t upstream) const;
    double get_memory_mb(std::size_t upstream) const;

private:
    void set_rates(fake_upstream& one);

    resource_vector size_;
    double use_scale_;
    std::vector<fake_upstream> upstreams_;
    std::array<kind_state, kind_count> kinds_;
};

}  // namespace jacinthvane::experiment
