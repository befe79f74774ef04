#include "process/start_backlog.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// Jobs are refused once the expected wait is longer, and accepted again once it is shorter than the second
// value. That one is so short that the jobs at the end of the order begin too before others come.
constexpr milliseconds max_wait{1500};
constexpr milliseconds short_wait{600};
constexpr milliseconds min_retry_after{1000};
constexpr milliseconds max_retry_after{30000};
// Time constant of the moving average of the starts.
constexpr double average_seconds = 2.0;
// With fewer starts the rate says little, and a wait computed from it would be endless.
constexpr double min_starts_per_second = 1.0;

}  // namespace

void start_backlog::update(time_point now, std::size_t starts, std::size_t waiting_tasks, bool is_bound) {
    const auto seconds = std::chrono::duration<double>(now - updated_at_).count();
    if (seconds <= 0) {
        return;
    }
    updated_at_ = now;
    if (is_bound) {
        // Otherwise the starts show how much there was to start, and not how much can be.
        const auto rate = static_cast<double>(starts) / seconds;
        const auto weight = starts_per_second_ > 0 ? std::min(seconds / average_seconds, 1.0) : 1.0;
        starts_per_second_ += (rate - starts_per_second_) * weight;
    }
    const auto usable_rate = std::max(starts_per_second_, min_starts_per_second);
    const auto wait_ms = static_cast<double>(waiting_tasks) / usable_rate * 1000.0;
    expected_wait_ = is_bound ? milliseconds(static_cast<std::int64_t>(wait_ms)) : milliseconds(0);
    is_refusing_ = expected_wait_ > (is_refusing_ ? short_wait : max_wait);
    accepts_at_ = now + std::clamp(expected_wait_ - short_wait, min_retry_after, max_retry_after);
}

}  // namespace jacinthvane
