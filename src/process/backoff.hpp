#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace jacinthvane {

struct backoff_limits {
    std::chrono::milliseconds initial{20};
    std::chrono::milliseconds maximum{2000};

    bool operator==(const backoff_limits&) const = default;
};

// Exponential backoff with jitter: the delay doubles after each failure up to a maximum, and is drawn
// uniformly from the upper half of that span, so that processes that failed together do not retry together.
class backoff_policy {
public:
    backoff_policy(backoff_limits limits, std::uint64_t seed) : limits_(limits), generator_(seed) {}

    // Returns how long to wait before the next attempt.
    std::chrono::milliseconds get_next_delay();

    // Returns to the shortest delay after a success.
    void reset() { failures_ = 0; }

private:
    backoff_limits limits_;
    std::mt19937_64 generator_;
    std::uint32_t failures_ = 0;
};

}  // namespace jacinthvane
