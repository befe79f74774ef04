// Costs of placing a task on an upstream, in units of its processors: 1 is the cost of a fully committed
// upstream; see cell_scheduler.hpp.

#include <algorithm>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

constexpr double remote_data_cost = 3.0;
constexpr double failure_cost = 0.3;
constexpr double best_effort_share_cost = 0.3;
constexpr double slow_best_effort_cost = 2.0;
// Groups latency-critical tasks of one image, so that fewer kinds of best-effort tasks interfere on each
// upstream. More than 1, so that an empty upstream is preferred to one that runs other images.
constexpr double other_image_cost = 1.5;

}  // namespace

double cell_scheduler::get_cost(const upstream_ledger& upstream, const step_spec& spec, double gain) {
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto scale = static_cast<double>(processors);
    double cost = failure_cost * upstream.health.get_failures();
    if (!spec.data_rack.empty() && spec.data_rack != upstream.entry.get_rack()) {
        cost += remote_data_cost;
    }
    if (spec.is_best_effort) {
        return cost + get_best_effort_cost(upstream, gain);
    }
    if (spec.target_tail_ms > 0) {
        return cost + get_serving_cost(upstream, spec);
    }
    cost += static_cast<double>(upstream.committed.get_processors_milli()) / scale;
    return cost + best_effort_share_cost * static_cast<double>(upstream.best_effort_milli) / scale;
}

double cell_scheduler::get_best_effort_cost(const upstream_ledger& upstream, double gain) const {
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto scale = static_cast<double>(processors);
    const auto used =
        static_cast<double>(upstream.estimate_used_milli() + upstream.best_effort_milli) / scale;
    return used + slow_best_effort_cost * (1.0 - gain);
}

double cell_scheduler::get_serving_cost(const upstream_ledger& upstream, const step_spec& spec) {
    const auto image = tail_model_.get_index(spec.image);
    int other_image_count = 0;
    int serving_count = 0;
    for (const auto& [key, run] : upstream.runs) {
        serving_count += run.target_tail_ms > 0 ? 1 : 0;
        other_image_count += run.target_tail_ms > 0 && run.image != image ? 1 : 0;
    }
    // Fills one upstream before the next, which keeps other upstreams free of latency-critical tasks.
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto room = static_cast<double>(upstream.get_room().get_processors_milli());
    const double mixing = serving_count == 0 ? 0.0 : other_image_cost * other_image_count / serving_count;
    return room / static_cast<double>(processors) + mixing;
}

}  // namespace jacinthvane
