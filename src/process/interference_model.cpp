#include "process/interference_model.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace jacinthvane {

namespace {

constexpr kind_index other_urgent = 0;
constexpr kind_index other_batch = 1;

// Bounds of the natural logarithm of a reported slowdown: a factor outside of [0.2, 20] carries little more
// information than the bound.
constexpr double lowest_measured = -1.6;
constexpr double highest_measured = 3.0;

// The variance of one report, relative to the variance of a part with no reports and a prior weight of 1.
constexpr double report_variance = 1.0;

// Returns the weighted mean of an estimate and its prior, so that an estimate with few reports stays close to
// its prior.
double blend(double value, double weight, double prior, double prior_weight) {
    return (value * weight + prior * prior_weight) / (weight + prior_weight);
}

double get_decay(time_point::duration age, std::chrono::milliseconds half_life) {
    return age.count() <= 0 ? 1.0 : std::exp2(-std::chrono::duration<double>(age) / half_life);
}

}  // namespace

interference_model::interference_model(interference_settings settings)
    : settings_(settings),
      classes_{task_class::urgent, task_class::batch},
      pairs_(settings.kind_limit * settings.kind_limit),
      bases_(settings.kind_limit),
      snapshot_(std::make_shared<const interference_snapshot>()) {
    std::lock_guard lock(mutex_);
    publish({});
}

double interference_model::get_prior(kind_index neighbor) const {
    return std::log(classes_[neighbor] == task_class::urgent ? settings_.urgent_prior
                                                             : settings_.batch_prior);
}

kind_index interference_model::get_kind_index(const task_kind& kind, task_class work_class) {
    std::lock_guard lock(mutex_);
    const auto found = kinds_.find({kind, work_class});
    if (found != kinds_.end()) {
        return found->second;
    }
    if (classes_.size() >= settings_.kind_limit) {
        return work_class == task_class::urgent ? other_urgent : other_batch;
    }
    const auto index = static_cast<kind_index>(classes_.size());
    classes_.push_back(work_class);
    kinds_.emplace(std::pair(kind, work_class), index);
    for (std::size_t other = 0; other < classes_.size(); ++other) {
        pairs_[other * settings_.kind_limit + index].value = get_prior(index);
        pairs_[index * settings_.kind_limit + other].value = get_prior(static_cast<kind_index>(other));
    }
    publish(published_at_);
    return index;
}

void interference_model::prune_history(upstream_history& history, time_point now) const {
    std::erase_if(history, [&](const run_record& run) {
        return run.ended_at && *run.ended_at + settings_.history < now;
    });
    if (history.size() >= settings_.history_limit) {
        const auto oldest = std::min_element(history.begin(), history.end(),
                                             [](const run_record& left, const run_record& right) {
                                                 const bool is_left_running = !left.ended_at;
                                                 const bool is_right_running = !right.ended_at;
                                                 return std::pair(is_left_running, left.started_at) <
                                                        std::pair(is_right_running, right.started_at);
                                             });
        history.erase(oldest);
    }
}

void interference_model::record_start(const upstream_id& upstream, const task_id& task, kind_index kind,
                                      time_point now) {
    std::lock_guard lock(mutex_);
    if (histories_.size() >= settings_.upstream_limit && !histories_.contains(upstream)) {
        return;
    }
    auto& history = histories_[upstream];
    prune_history(history, now);
    history.push_back({.task = task, .kind = kind, .started_at = now, .ended_at = std::nullopt});
}

void interference_model::record_end(const upstream_id& upstream, const task_id& task, time_point now) {
    std::lock_guard lock(mutex_);
    const auto found = histories_.find(upstream);
    if (found == histories_.end()) {
        return;
    }
    for (auto& run : found->second) {
        if (!run.ended_at && run.task == task) {
            run.ended_at = now;
        }
    }
}

void interference_model::remove_upstream(const upstream_id& upstream) {
    std::lock_guard lock(mutex_);
    histories_.erase(upstream);
}

bool interference_model::record_report(const slowdown_report& report, time_point now) {
    std::lock_guard lock(mutex_);
    const auto found = histories_.find(report.upstream);
    const bool is_usable = report.slowdown > 0 && report.at + settings_.history >= now && report.at <= now;
    if (found == histories_.end() || !is_usable) {
        ++unmatched_;
        return false;
    }
    const run_record* reported_run = nullptr;
    for (const auto& run : found->second) {
        if (run.task == report.task && run.is_running_at(report.at)) {
            reported_run = &run;
        }
    }
    if (reported_run == nullptr) {
        ++unmatched_;
        return false;
    }
    std::vector<std::pair<kind_index, double>> neighbors;
    for (const auto& run : found->second) {
        if (&run == reported_run || !run.is_running_at(report.at)) {
            continue;
        }
        const auto known = std::find_if(neighbors.begin(), neighbors.end(),
                                        [&](const auto& one) { return one.first == run.kind; });
        if (known == neighbors.end()) {
            neighbors.emplace_back(run.kind, 1.0);
        } else {
            known->second += 1.0;
        }
    }
    const double measured = std::clamp(std::log(report.slowdown), lowest_measured, highest_measured);
    update_estimates(reported_run->kind, neighbors, measured, now);
    if (now - published_at_ >= settings_.snapshot_interval) {
        publish(now);
    }
    return true;
}

// Decays only the weight. With a decayed value as well, the estimate of a pair with a report each second
// stayed a third below the true effect.
void interference_model::decay_weight(estimate& one, time_point now) const {
    one.weight *= get_decay(now - one.updated_at, settings_.half_life);
    one.updated_at = now;
}

void interference_model::update_estimates(kind_index kind,
                                          const std::vector<std::pair<kind_index, double>>& neighbors,
                                          double measured, time_point now) {
    auto& base = bases_[kind];
    decay_weight(base, now);
    const double base_variance = 1.0 / (base.weight + settings_.declared_weight);
    double predicted = blend(base.value, base.weight, 0.0, settings_.declared_weight);
    double variance = report_variance + base_variance;
    const auto get_variance = [&](const estimate& one) {
        return 1.0 / (one.weight + settings_.prior_weight);
    };
    for (const auto& [neighbor, count] : neighbors) {
        auto& pair = pairs_[kind * settings_.kind_limit + neighbor];
        decay_weight(pair, now);
        predicted += count * blend(pair.value, pair.weight, get_prior(neighbor), settings_.prior_weight);
        variance += count * count * get_variance(pair);
    }
    const double error = measured - predicted;
    base.value += base_variance / variance * error;
    base.weight = std::min(base.weight + 1.0, settings_.weight_limit);
    for (const auto& [neighbor, count] : neighbors) {
        auto& pair = pairs_[kind * settings_.kind_limit + neighbor];
        // A neighbor never speeds a task up; a negative part would only cancel the part of another neighbor.
        pair.value = std::max(pair.value + get_variance(pair) * count / variance * error, 0.0);
        pair.weight = std::min(pair.weight + count, settings_.weight_limit);
    }
}

void interference_model::publish(time_point now) {
    const std::size_t count = classes_.size();
    std::vector<pair_effect> pairs(count * count);
    for (std::size_t row = 0; row < count; ++row) {
        for (std::size_t column = 0; column < count; ++column) {
            estimate one = pairs_[row * settings_.kind_limit + column];
            decay_weight(one, now);
            const double prior = get_prior(static_cast<kind_index>(column));
            const double effect = blend(one.value, one.weight, prior, settings_.prior_weight);
            pairs[row * count + column].effect = static_cast<float>(effect);
            pairs[row * count + column].weight = static_cast<float>(one.weight);
            pairs[column * count + row].reverse_effect = static_cast<float>(effect);
        }
    }
    snapshot_ = std::make_shared<const interference_snapshot>(count, std::move(pairs));
    published_at_ = now;
}

std::shared_ptr<const interference_snapshot> interference_model::get_snapshot() const {
    std::lock_guard lock(mutex_);
    return snapshot_;
}

std::uint64_t interference_model::get_unmatched_count() const {
    std::lock_guard lock(mutex_);
    return unmatched_;
}

}  // namespace jacinthvane
