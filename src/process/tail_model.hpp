#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "process/clock.hpp"

namespace jacinthvane {

using image_index = std::uint32_t;

// Processors that a filler uses, as a share of its upstream's.
struct best_effort_use {
    image_index image = 0;
    double share = 0;

    bool operator==(const best_effort_use&) const = default;
};

// What is known of the load of one serving step. All its tasks carry the same load, which swings within
// seconds, so the figures of all of them are evidence for one value.
struct tail_base {
    // Target over tail without any filler beside: 1 is a tail at its target, more is better.
    double headroom = 0;
    // Change of the headroom in a second.
    double slope = 0;
    // How uncertain both are, and how their errors go together.
    double variance = 0;
    double slope_variance = 0;
    double covariance = 0;
    time_point updated_at;
    bool is_known = false;

    bool operator==(const tail_base&) const = default;
};

// What a tail_model has learnt, for a successor: names of images, and for each pair of them its weight in
// thousandths.
struct tail_snapshot {
    struct pair_weight {
        std::int64_t mean_milli = 0;
        std::int64_t variance_milli = 0;

        bool operator==(const pair_weight&) const = default;
    };

    std::vector<std::string> images;
    // Row by row, one row a serving image, as many entries as there are images.
    std::vector<pair_weight> weights;

    bool operator==(const tail_snapshot&) const = default;
};

// Learns from late, rough figures how fillers raise the tail latency of tasks that serve beside them. A tail
// grows like that of a queue, without bound as its server is used up, so the model follows its inverse, the
// headroom: target over tail falls by a weight of the pair of images times the processors that the filler
// uses. Most pairs do not disturb each other at all and some do strongly, so each pair is learnt by itself.
class tail_model {
public:
    tail_model();

    // Images beyond a limit share one index.
    image_index get_index(const std::string& image);

    // A serving task's tail, measured while these fillers ran beside it. Returns the new base of its step.
    tail_base learn(image_index serving, tail_base base, double measured_headroom,
                    const std::vector<best_effort_use>& best_effort_tasks, time_point now);

    // Headroom that the filler costs the serving task if it uses all processors of the upstream.
    double get_weight(image_index serving, image_index best_effort_task) const;
    // Headroom that a serving task may lose to fillers from now until the given time, so that its tail stays
    // under its target with a margin.
    static double get_budget(const tail_base& base, time_point until);

    tail_snapshot make_snapshot() const;
    // Takes over what a predecessor has learnt, less sure of it than the predecessor was.
    void apply_snapshot(const tail_snapshot& snapshot);

private:
    struct pair_weight {
        double mean = 0;
        // How uncertain the mean is.
        double variance = 0;
    };

    std::unordered_map<std::string, image_index> indexes_;
    // Row by row, one row a serving image.
    std::vector<pair_weight> weights_;
};

}  // namespace jacinthvane
