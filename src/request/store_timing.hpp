#pragma once

#include <chrono>

#include "process/clock.hpp"

namespace jacinthvane {

// A call of the store is given up after this long; the store answers within some milliseconds when it is
// well.
constexpr std::chrono::milliseconds store_timeout{1500};
// Pause before a call that failed is repeated.
constexpr std::chrono::milliseconds store_retry_delay{150};

// Deadline of a call of the store that is sent now.
inline time_point get_store_deadline() {
    return std::chrono::steady_clock::now() + store_timeout;
}

}  // namespace jacinthvane
