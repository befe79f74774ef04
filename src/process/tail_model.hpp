#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "process/clock.hpp"

namespace jacinthvane {

using image_index = std::uint32_t;

// Processors that a best-effort task uses, as a share of its upstream's processors.
struct best_effort_use {
    image_index image = 0;
    double share = 0;

    bool operator==(const best_effort_use&) const = default;
};

// Estimated load of one latency-critical step. All its tasks carry the same load, which fluctuates within
// seconds, so the measurements of all of them contribute to one estimate.
struct tail_base {
    // Target divided by tail latency in the absence of best-effort tasks: 1 means that the tail latency is at
    // its target; more is better.
    double headroom = 0;
    // Change of the headroom per second.
    double slope = 0;
    // Variances of the headroom and the slope, and their covariance.
    double variance = 0;
    double slope_variance = 0;
    double covariance = 0;
    time_point updated_at;
    bool is_known = false;

    bool operator==(const tail_base&) const = default;
};

// Learned state of a tail_model, for the next owner: names of images, and the weight of each pair of them in
// thousandths.
struct tail_snapshot {
    struct pair_weight {
        std::int64_t mean_milli = 0;
        std::int64_t variance_milli = 0;

        bool operator==(const pair_weight&) const = default;
    };

    std::vector<std::string> images;
    // In row-major order: one row per image of a latency-critical task, one column per image of a best-effort
    // task.
    std::vector<pair_weight> weights;

    bool operator==(const tail_snapshot&) const = default;
};

// Estimates from delayed, inaccurate measurements how best-effort tasks raise the tail latency of
// latency-critical tasks on the same upstream. As in a queue, the tail latency grows without bound when its
// server approaches full utilization, so the model uses the inverse, the headroom (target divided by tail
// latency). Each best-effort task lowers the headroom by a weight, which depends on the pair of images, times
// the processors that the task uses. Most pairs do not interfere at all and some interfere strongly, so each
// pair has its own weight.
class tail_model {
public:
    tail_model();

    // Returns the index of the image. All images above a maximum number of images share one index.
    image_index get_index(const std::string& image);

    // Updates the model with the headroom of a latency-critical task that was measured while the given
    // best-effort tasks ran on the same upstream. Returns the new base of its step.
    tail_base learn(image_index serving, tail_base base, double measured_headroom,
                    const std::vector<best_effort_use>& best_effort_tasks, time_point now);

    // Returns the headroom that the best-effort task costs the latency-critical task if it uses all
    // processors of the upstream.
    double get_weight(image_index serving, image_index best_effort_task) const;
    // Returns the headroom that a latency-critical task may lose to best-effort tasks from now until the
    // given time while its tail latency stays below its target by a margin.
    static double get_budget(const tail_base& base, time_point until);

    tail_snapshot make_snapshot() const;
    // Restores the weights of a previous owner, with increased variances.
    void apply_snapshot(const tail_snapshot& snapshot);

private:
    struct pair_weight {
        double mean = 0;
        // Variance of the estimate of the mean.
        double variance = 0;
    };

    std::unordered_map<std::string, image_index> indexes_;
    // In row-major order: one row per image of a latency-critical task.
    std::vector<pair_weight> weights_;
};

}  // namespace jacinthvane
