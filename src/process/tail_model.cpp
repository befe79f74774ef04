#include "process/tail_model.hpp"

#include <algorithm>
#include <cmath>

namespace jacinthvane {

namespace {

constexpr std::size_t max_images = 64;
// A pair that was never seen: one filler of usual size is let in beside the serving task, not several.
constexpr double unknown_weight = 4.0;
constexpr double max_weight = 60.0;
constexpr double pair_learning_rate = 0.35;
// Keeps a filler that uses next to nothing from changing its weight.
constexpr double share_floor = 0.05;
constexpr double base_learning_rate = 0.03;
constexpr std::uint32_t first_samples = 20;
// A tail without fillers is assumed to be this share of its target until it was measured.
constexpr double assumed_base_share = 0.35;
// The tail is kept below this share of the target, since the figures are rough.
constexpr double target_share = 0.8;
constexpr double min_allowed_rise = 0.1;
// Rises below this count as no disturbance when the base is learnt.
constexpr double negligible_rise = 0.1;

}  // namespace

tail_model::tail_model() : bases_(max_images), weights_(max_images * max_images, unknown_weight) {}

image_index tail_model::get_index(const std::string& image) {
    const auto next = static_cast<image_index>(std::min(indexes_.size(), max_images - 1));
    return indexes_.try_emplace(image, next).first->second;
}

double tail_model::get_weight(image_index serving, image_index filler) const {
    return weights_[serving * max_images + filler];
}

double tail_model::get_rise(image_index serving, const std::vector<filler_use>& fillers) const {
    double rise = 0;
    for (const auto& filler : fillers) {
        rise += get_weight(serving, filler.image) * filler.share;
    }
    return rise;
}

double tail_model::get_allowed_rise(image_index serving, std::int64_t target_ms) const {
    const auto& known = bases_[serving];
    const auto target = static_cast<double>(std::max<std::int64_t>(target_ms, 1));
    const double base = known.samples > 0 ? known.log_tail : std::log(target * assumed_base_share);
    return std::max(std::log(target * target_share) - base, min_allowed_rise);
}

void tail_model::learn(image_index serving, std::int64_t tail_ms, const std::vector<filler_use>& fillers) {
    const double measured = std::log(static_cast<double>(std::max<std::int64_t>(tail_ms, 1)));
    auto& known = bases_[serving];
    const double predicted_rise = get_rise(serving, fillers);
    if (predicted_rise < negligible_rise) {
        const double rate = std::max(base_learning_rate, 1.0 / (known.samples + 1.0));
        // A tail far above the base has a cause that the base must not learn.
        const double step = std::clamp(measured - known.log_tail, -1.0, known.samples < first_samples ? 4.0 : 0.5);
        known.log_tail = known.samples == 0 ? measured : known.log_tail + rate * step;
        ++known.samples;
    }
    if (fillers.empty() || known.samples == 0) {
        return;
    }
    const double error = measured - known.log_tail - predicted_rise;
    double power = share_floor * share_floor;
    for (const auto& filler : fillers) {
        power += filler.share * filler.share;
    }
    for (const auto& filler : fillers) {
        auto& weight = weights_[serving * max_images + filler.image];
        weight = std::clamp(weight + pair_learning_rate * error * filler.share / power, 0.0, max_weight);
    }
}

}  // namespace jacinthvane
