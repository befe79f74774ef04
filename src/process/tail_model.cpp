#include "process/tail_model.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jacinthvane {

namespace {

constexpr std::size_t max_images = 64;
// Weight of a pair of images without measurements. With it, one best-effort task of typical size is admitted
// next to the latency-critical task, but not several.
constexpr double initial_weight = 3.0;
constexpr double initial_variance = 9.0;
constexpr double max_weight = 20.0;
// Variance that is added to a weight with each measurement, since the true weight may change over time.
constexpr double weight_variance_per_update = 0.01;
// Standard deviation of a measurement: a share of the measured headroom, plus a constant.
constexpr double measurement_deviation_share = 0.07;
constexpr double measurement_deviation = 0.06;
// Assumed headroom of a step before its first measurement, and its variances.
constexpr double assumed_headroom = 2.5;
constexpr double assumed_variance = 1.0;
constexpr double assumed_slope_variance = 0.1;
// Variance that the slope of a step gains per second, since its load fluctuates.
constexpr double slope_variance_per_s = 0.08;
// The estimate of a step's load is discarded if there was no measurement for this long.
constexpr double max_base_age_s = 4.0;
// Below this headroom, the tail latency depends on the duration of the overload and says little about its
// cause.
constexpr double min_informative_headroom = 0.25;
// Keeps the tail latency below 0.83 (1 / 1.2) of its target, since measurements are inaccurate and delayed.
constexpr double min_headroom = 1.2;
// The variances in a snapshot are multiplied by this, so that the weights of a previous owner count as less
// certain.
constexpr double inherited_variance_factor = 1.5;
constexpr double milli = 1000.0;

// Extrapolates the base to the present along its slope.
tail_base advance_base(tail_base base, time_point now) {
    const std::chrono::duration<double> since = now - base.updated_at;
    if (!base.is_known || since.count() > max_base_age_s) {
        return {assumed_headroom, 0, assumed_variance, assumed_slope_variance, 0, now, true};
    }
    const double span = std::max(since.count(), 0.0);
    base.headroom = std::max(base.headroom + base.slope * span, 0.0);
    base.variance += span * (2.0 * base.covariance + span * base.slope_variance) +
                     slope_variance_per_s * span * span * span / 3.0;
    base.covariance += span * base.slope_variance + slope_variance_per_s * span * span / 2.0;
    base.slope_variance += slope_variance_per_s * span;
    base.updated_at = now;
    return base;
}

}  // namespace

tail_model::tail_model() : weights_(max_images * max_images, {initial_weight, initial_variance}) {}

image_index tail_model::get_index(const std::string& image) {
    const auto next = static_cast<image_index>(std::min(indexes_.size(), max_images - 1));
    return indexes_.try_emplace(image, next).first->second;
}

double tail_model::get_weight(image_index serving, image_index best_effort_task) const {
    return weights_[serving * max_images + best_effort_task].mean;
}

double tail_model::get_budget(const tail_base& base, time_point until) {
    if (!base.is_known) {
        return assumed_headroom - min_headroom;
    }
    const std::chrono::duration<double> ahead = until - base.updated_at;
    const double predicted_drop = std::min(base.slope, 0.0) * std::clamp(ahead.count(), 0.0, max_base_age_s);
    return base.headroom + predicted_drop - min_headroom;
}

tail_base tail_model::learn(image_index serving, tail_base base, double measured_headroom,
                            const std::vector<best_effort_use>& best_effort_tasks, time_point now) {
    base = advance_base(base, now);
    double expected = base.headroom;
    const double deviation = measurement_deviation + measurement_deviation_share * measured_headroom;
    double variance = deviation * deviation + base.variance;
    for (const auto& best_effort_task : best_effort_tasks) {
        const auto& weight = weights_[serving * max_images + best_effort_task.image];
        expected -= weight.mean * best_effort_task.share;
        variance += weight.variance * best_effort_task.share * best_effort_task.share;
    }
    if (measured_headroom < min_informative_headroom && expected < measured_headroom) {
        return base;
    }
    // Kalman filter update: the base and each weight are corrected by the part of the error that their
    // variances account for.
    const double error = measured_headroom - expected;
    const double base_gain = base.variance / variance;
    const double slope_gain = base.covariance / variance;
    base.headroom = std::max(base.headroom + base_gain * error, 0.0);
    base.slope += slope_gain * error;
    base.slope_variance -= slope_gain * base.covariance;
    base.covariance *= 1.0 - base_gain;
    base.variance *= 1.0 - base_gain;
    for (const auto& best_effort_task : best_effort_tasks) {
        auto& weight = weights_[serving * max_images + best_effort_task.image];
        const double gain = weight.variance * best_effort_task.share / variance;
        weight.mean = std::clamp(weight.mean - gain * error, 0.0, max_weight);
        weight.variance =
            std::min(weight.variance * (1.0 - gain * best_effort_task.share) + weight_variance_per_update,
                     initial_variance);
    }
    return base;
}

tail_snapshot tail_model::make_snapshot() const {
    tail_snapshot snapshot;
    snapshot.images.resize(std::min(indexes_.size(), max_images - 1));
    for (const auto& [image, index] : indexes_) {
        if (index < snapshot.images.size()) {
            snapshot.images[index] = image;
        }
    }
    const auto count = snapshot.images.size();
    snapshot.weights.reserve(count * count);
    for (std::size_t serving = 0; serving < count; ++serving) {
        for (std::size_t best_effort_task = 0; best_effort_task < count; ++best_effort_task) {
            const auto& weight = weights_[serving * max_images + best_effort_task];
            snapshot.weights.push_back(
                {std::llround(weight.mean * milli), std::llround(weight.variance * milli)});
        }
    }
    return snapshot;
}

void tail_model::apply_snapshot(const tail_snapshot& snapshot) {
    const auto count = snapshot.images.size();
    if (snapshot.weights.size() != count * count) {
        return;
    }
    for (std::size_t serving = 0; serving < count; ++serving) {
        const auto row = get_index(snapshot.images[serving]);
        for (std::size_t best_effort_task = 0; best_effort_task < count; ++best_effort_task) {
            const auto& saved = snapshot.weights[serving * count + best_effort_task];
            const double mean = static_cast<double>(saved.mean_milli) / milli;
            const double variance = static_cast<double>(saved.variance_milli) / milli;
            weights_[row * max_images + get_index(snapshot.images[best_effort_task])] = {
                std::clamp(mean, 0.0, max_weight), std::clamp(variance * inherited_variance_factor,
                                                              weight_variance_per_update, initial_variance)};
        }
    }
}

}  // namespace jacinthvane
