#include "process/duration_model.hpp"

#include <algorithm>
#include <cmath>

namespace jacinthvane {

namespace {

// The moving averages cover about this many tasks, which are those of a few dozen jobs.
constexpr double averaged_tasks = 1000.0;
constexpr double averaged_steps = 100.0;
// Measurements as many as these have to say something else before a declared estimate loses half of its
// weight. Tasks of one step resemble each other, so they are far from independent.
constexpr double declared_weight = 40.0;
// The variance among the declared estimates that the trust in them is worth.
constexpr double declared_variance = 1.0;

}  // namespace

void duration_model::learn(const std::string& queue, std::int64_t declared_ms, double measured_ms) {
    if (declared_ms <= 0 || measured_ms <= 0) {
        return;
    }
    auto& known = queues_[queue];
    known.count = std::min(known.count + 1, averaged_tasks);
    const double rate = 1.0 / known.count;
    const double declared = std::log(static_cast<double>(declared_ms)) - known.mean_declared;
    const double measured = std::log(measured_ms) - known.mean_measured;
    known.mean_declared += rate * declared;
    known.mean_measured += rate * measured;
    known.variance += rate * ((1.0 - rate) * declared * declared - known.variance);
    known.covariance += rate * ((1.0 - rate) * declared * measured - known.covariance);
}

void duration_model::learn_slowest(const std::string& queue, double factor) {
    auto& known = queues_[queue];
    known.slowest_count = std::min(known.slowest_count + 1, averaged_steps);
    known.slowest_factor += (std::max(factor, 1.0) - known.slowest_factor) / known.slowest_count;
}

double duration_model::estimate(const std::string& queue, std::int64_t declared_ms) const {
    const auto found = queues_.find(queue);
    if (found == queues_.end() || found->second.count == 0 || declared_ms <= 0) {
        return static_cast<double>(declared_ms);
    }
    const auto& known = found->second;
    const double trust = declared_weight / (known.count + declared_weight);
    const double slope =
        (known.covariance + trust * declared_variance) / (known.variance + trust * declared_variance);
    const double declared = std::log(static_cast<double>(declared_ms));
    const double learned = known.mean_measured + slope * (declared - known.mean_declared);
    return std::exp(trust * declared + (1.0 - trust) * learned);
}

double duration_model::get_slowest_factor(const std::string& queue) const {
    const auto found = queues_.find(queue);
    return found == queues_.end() ? 1.0 : found->second.slowest_factor;
}

}  // namespace jacinthvane
