#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace jacinthvane {

// The index of a task kind in the interference model. Decisions use it instead of the name, which would have
// to be hashed for each neighbor of each candidate.
using kind_index = std::uint16_t;

// The estimated interference of one ordered pair of kinds.
struct pair_effect {
    // The natural logarithm of the factor by which one neighbor slows the task down.
    float effect = 0;
    // The same for the effect of the task on the neighbor. A placement needs both effects, so they are stored
    // next to each other.
    float reverse_effect = 0;
    // The number of reports behind the effect, decayed with their age.
    float weight = 0;

    bool operator==(const pair_effect&) const = default;
};

// The learned effects at one moment. A snapshot is immutable and is replaced by a new one, so readers need no
// lock.
class interference_snapshot {
public:
    interference_snapshot() = default;
    // pairs holds kind_count rows of kind_count entries; the row is the kind that is slowed down.
    interference_snapshot(std::size_t kind_count, std::vector<pair_effect> pairs)
        : kind_count_(kind_count), pairs_(std::move(pairs)) {}

    // Returns the effect of the neighbor on the task. A kind that was added to the model after this snapshot
    // has an effect and a weight of 0.
    const pair_effect& get_pair(kind_index task, kind_index neighbor) const {
        static constexpr pair_effect unknown;
        const bool is_known = task < kind_count_ && neighbor < kind_count_;
        return is_known ? pairs_[task * kind_count_ + neighbor] : unknown;
    }

    double get_effect(kind_index task, kind_index neighbor) const { return get_pair(task, neighbor).effect; }
    double get_weight(kind_index task, kind_index neighbor) const { return get_pair(task, neighbor).weight; }
    std::size_t get_kind_count() const { return kind_count_; }

    bool operator==(const interference_snapshot&) const = default;

private:
    std::size_t kind_count_ = 0;
    std::vector<pair_effect> pairs_;
};

}  // namespace jacinthvane
