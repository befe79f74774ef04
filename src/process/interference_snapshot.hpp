#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace jacinthvane {

// Position of a task kind in the interference model. Decisions use it in place of the name, which would
// have to be hashed for each neighbour of each candidate.
using kind_index = std::uint16_t;

// What is known of one ordered pair of kinds.
struct pair_effect {
    // Natural logarithm of the factor by which one neighbour slows the task down.
    float effect = 0;
    // The same for the neighbour beside the task. A placement needs both, and finds them in one place.
    float reverse_effect = 0;
    // Number of recent reports behind the effect, decayed with their age.
    float weight = 0;

    bool operator==(const pair_effect&) const = default;
};

// The learnt effects at one moment. It is replaced as a whole, so readers need no lock.
class interference_snapshot {
public:
    interference_snapshot() = default;
    // pairs holds kind_count rows of kind_count entries; the row is the kind that is slowed down.
    interference_snapshot(std::size_t kind_count, std::vector<pair_effect> pairs)
        : kind_count_(kind_count), pairs_(std::move(pairs)) {}

    // Returns what is known of the task beside the neighbour. Of a kind that the model learnt of after this
    // snapshot nothing is known yet.
    const pair_effect& get_pair(kind_index task, kind_index neighbour) const {
        static constexpr pair_effect unknown;
        const bool is_known = task < kind_count_ && neighbour < kind_count_;
        return is_known ? pairs_[task * kind_count_ + neighbour] : unknown;
    }

    double get_effect(kind_index task, kind_index neighbour) const {
        return get_pair(task, neighbour).effect;
    }
    double get_weight(kind_index task, kind_index neighbour) const {
        return get_pair(task, neighbour).weight;
    }
    std::size_t get_kind_count() const { return kind_count_; }

    bool operator==(const interference_snapshot&) const = default;

private:
    std::size_t kind_count_ = 0;
    std::vector<pair_effect> pairs_;
};

}  // namespace jacinthvane
