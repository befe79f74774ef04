#pragma once

#include <cstdint>
#include <random>

namespace jacinthvane {

// The owner of a source seeds it, so that a run can be repeated.
using random_source = std::mt19937_64;

// Returns a number in [0, limit). The standard distributions give different results in different libraries;
// this function does not.
inline std::uint32_t pick_below(random_source& random, std::uint32_t limit) {
    return static_cast<std::uint32_t>(((random() >> 32U) * limit) >> 32U);
}

// Returns a number in [0, 1).
inline double pick_unit(random_source& random) {
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

}  // namespace jacinthvane
