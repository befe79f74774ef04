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

// Learns from late, rough figures how fillers raise the tail latency of tasks that serve beside them. The
// logarithm of a tail is taken as a base of the serving image plus, for each filler, a weight of the pair of
// images times the processors that the filler uses. Most pairs do not disturb each other at all and some do
// strongly, so each pair is learnt by itself.
class tail_model {
public:
    tail_model();

    // Images beyond a limit share one index.
    image_index get_index(const std::string& image);

    // A serving task's tail, measured while these fillers ran beside it.
    void learn(image_index serving, std::int64_t tail_ms, const std::vector<filler_use>& fillers);

    // Rise of the logarithm of the tail if the filler uses all processors of the upstream.
    double get_weight(image_index serving, image_index filler) const;
    // Rise that the fillers cause by the model.
    double get_rise(image_index serving, const std::vector<filler_use>& fillers) const;
    // Rise that leaves the tail under its target with a margin.
    double get_allowed_rise(image_index serving, std::int64_t target_ms) const;

private:
    struct base {
        double log_tail = 0;
        std::uint32_t samples = 0;
    };

    std::unordered_map<std::string, image_index> indexes_;
    std::vector<base> bases_;
    // Row by row, one row a serving image.
    std::vector<double> weights_;
};

}  // namespace jacinthvane
