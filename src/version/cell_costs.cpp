// Costs of placing a task on an upstream, in units of its processors: 1 is the cost of a fully committed
// upstream; and the least gain for which a best-effort task starts; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

constexpr double remote_data_cost = 3.0;
constexpr double failure_cost = 0.3;
constexpr double best_effort_share_cost = 0.3;
constexpr double slow_best_effort_cost = 2.0;
// For a task with reserved processors, what each processor of the upstream adds to the cost. It decides only
// between equal shares: the smaller upstream is taken, as the room left over on the larger one suits more
// tasks.
constexpr double upstream_size_cost = 1e-6;
// Groups latency-critical tasks of one image, so that fewer kinds of best-effort tasks interfere on each
// upstream. More than 1, so that an empty upstream is preferred to one that runs other images.
constexpr double other_image_cost = 1.5;

// A best-effort task starts only where it raises the total speed of all best-effort tasks by at least this
// share of its own full speed.
constexpr double min_best_effort_gain = 0.9;
// If no upstream offers that gain, this share of the best gain seen in the last seconds is sufficient.
constexpr double min_share_of_best_gain = 0.9;
// Time constant with which the best gain seen for an image decays.
constexpr std::chrono::duration<double> best_gain_decay_time{4.0};

// Share of the latency-critical tasks of the upstream that run another image.
double get_other_image_share(const upstream_ledger& upstream, image_index image) {
    int other_image_count = 0;
    int serving_count = 0;
    for (const auto& [key, run] : upstream.runs) {
        serving_count += run.target_tail_ms > 0 ? 1 : 0;
        other_image_count += run.target_tail_ms > 0 && run.image != image ? 1 : 0;
    }
    return serving_count == 0 ? 0.0 : static_cast<double>(other_image_count) / serving_count;
}

}  // namespace

cost_bounds cell_scheduler::get_cost_bounds(const upstream_ledger& upstream) {
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto get_share = [&](std::int64_t milli) {
        return static_cast<double>(milli) / static_cast<double>(processors);
    };
    const double failures = failure_cost * upstream.health.get_failures();
    const double best_effort = best_effort_share_cost * get_share(upstream.best_effort_milli);
    return {
        failures + get_share(upstream.committed.get_processors_milli()) + best_effort +
            upstream_size_cost * static_cast<double>(processors) / 1000,
        // Fills one upstream before the next, which keeps other upstreams free of latency-critical tasks.
        failures + get_share(upstream.get_room().get_processors_milli()),
        failures + get_share(upstream.used_milli + upstream.best_effort_milli),
    };
}

double cell_scheduler::get_cost(const upstream_ledger& upstream, const step_terms& terms, double gain) {
    const auto& spec = *terms.spec;
    double cost = get_cost_bounds(upstream)[static_cast<std::size_t>(terms.kind)];
    if (!spec.data_rack.empty() && spec.data_rack != upstream.entry.get_rack()) {
        cost += remote_data_cost;
    }
    switch (terms.kind) {
        case placement_kind::reserved:
            break;
        case placement_kind::serving:
            cost += other_image_cost * get_other_image_share(upstream, terms.image);
            break;
        case placement_kind::best_effort:
            cost += slow_best_effort_cost * std::max(1.0 - gain, 0.0);
            break;
    }
    return cost;
}

double cell_scheduler::get_min_gain(image_index image, time_point now) {
    const auto found = best_gains_.find(image);
    if (found == best_gains_.end()) {
        return min_best_effort_gain;
    }
    const std::chrono::duration<double> age = now - found->second.seen_at;
    const double best = found->second.gain * std::exp(-age / best_gain_decay_time);
    return std::clamp(best * min_share_of_best_gain, min_useful_best_effort_gain, min_best_effort_gain);
}

void cell_scheduler::record_gain(image_index image, double gain, time_point now) {
    auto& best = best_gains_[image];
    const std::chrono::duration<double> age = now - best.seen_at;
    if (best.seen_at == time_point() || gain >= best.gain * std::exp(-age / best_gain_decay_time)) {
        best = {gain, now};
    }
}

best_effort_use cell_scheduler::get_best_effort_use(const upstream_ledger& upstream,
                                                    const step_terms& terms) const {
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto size = static_cast<double>(terms.spec->size.get_processors_milli()) * mean_use_ratio_;
    return {terms.image, size / static_cast<double>(processors)};
}

}  // namespace jacinthvane
