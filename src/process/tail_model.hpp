#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace jacinthvane {

using image_index = std::uint32_t;

// Processors that a filler uses, as a share of its upstream's.
struct filler_use {
    image_index image = 0;
    double share = 0;

    bool operator==(const filler_use&) const = default;
};

// What is known of one serving task's tail. Its load swings within seconds, so each task has its own base.
struct tail_base {
    double log_tail = 0;
    bool is_known = false;

    bool operator==(const tail_base&) const = default;
};

// Learns from late, rough figures how fillers raise the tail latency of tasks that serve beside them. The
// logarithm of a tail is taken as the base of the serving task plus, for each filler, a weight of the pair of
// images times the processors that the filler uses. Most pairs do not disturb each other at all and some do
// strongly, so each pair is learnt by itself.
class tail_model {
public:
    tail_model();

    // Images beyond a limit share one index.
    image_index get_index(const std::string& image);

    // A serving task's tail, measured while these fillers ran beside it. Returns the task's new base.
    tail_base learn(image_index serving, tail_base base, std::int64_t tail_ms,
                    const std::vector<filler_use>& fillers);

    // Rise of the logarithm of the tail if the filler uses all processors of the upstream.
    double get_weight(image_index serving, image_index filler) const;
    // Rise that the fillers cause by the model.
    double get_rise(image_index serving, const std::vector<filler_use>& fillers) const;
    // Rise that leaves the tail under its target with a margin.
    static double get_allowed_rise(const tail_base& base, std::int64_t target_ms);

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
