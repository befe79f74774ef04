#include "process/work_pacer.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds late_after{40};
constexpr milliseconds on_time_within{15};
constexpr milliseconds first_pause{150};
// Together with the time for which an upstream holds a poll, leases are still renewed before half of them has
// passed.
constexpr milliseconds max_pause{900};
// An increase takes effect only after the calls in flight have ended.
constexpr milliseconds increase_interval{300};
constexpr int growth_percent = 140;
constexpr int decay_percent = 98;

}  // namespace

void work_pacer::add_timer(time_point due, time_point now) {
    const auto late = now - due;
    if (late >= late_after && now >= next_increase_) {
        pause_ = std::clamp(pause_ * growth_percent / 100, first_pause, max_pause);
        next_increase_ = now + increase_interval;
    } else if (late <= on_time_within) {
        pause_ = pause_ * decay_percent / 100;
    }
}

}  // namespace jacinthvane
