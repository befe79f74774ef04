#include "process/start_health.hpp"

#include <algorithm>
#include <chrono>

namespace jacinthvane {

namespace {

// Failed starts in a row that pause the upstream. The pause doubles with each further one.
constexpr std::uint32_t failures_to_pause = 2;
constexpr std::chrono::milliseconds first_pause{500};
constexpr std::uint32_t max_doublings = 3;

}  // namespace

void start_health::record_failure(time_point now) {
    has_accepted_ = false;
    ++failures_in_row_;
    if (failures_in_row_ < failures_to_pause) {
        return;
    }
    const auto doublings = std::min(failures_in_row_ - failures_to_pause, max_doublings);
    paused_until_ = now + first_pause * (1U << doublings);
}

void start_health::record_accepted() {
    *this = start_health();
    has_accepted_ = true;
}

}  // namespace jacinthvane
