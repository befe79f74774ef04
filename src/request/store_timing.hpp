#pragma once

#include <chrono>

#include "process/clock.hpp"

namespace jacinthvane {

// Timeout of a store call. A healthy store responds within a few milliseconds.
constexpr std::chrono::milliseconds store_timeout{1500};
// Pause before a failed call is repeated.
constexpr std::chrono::milliseconds store_retry_delay{150};

// Returns the deadline of something that begins now.
inline time_point get_deadline(std::chrono::milliseconds timeout) {
    return std::chrono::steady_clock::now() + timeout;
}

// Returns the deadline of a store call that is sent now.
inline time_point get_store_deadline() {
    return get_deadline(store_timeout);
}

}  // namespace jacinthvane
