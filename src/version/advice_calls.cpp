#include "version/advice_calls.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// The service accepts no more upstreams in a call.
constexpr std::size_t max_named = 100;
constexpr std::size_t min_named = 20;

}  // namespace

std::size_t get_advice_call_size(const advice_settings& settings, std::size_t waiting_tasks) {
    if (settings.interval_ms <= 0) {
        return max_named;
    }
    // Up to this number the fixed time dominates, so that fewer upstreams would save little.
    const auto balanced = static_cast<std::size_t>(settings.decide_ms / settings.interval_ms);
    const auto wanted = std::clamp(std::max(balanced, waiting_tasks), min_named, max_named);
    if (settings.valid_ms <= 0) {
        return wanted;
    }
    // Tickets of a call that takes much longer than they are valid would be gone before the next answer.
    const auto timely = static_cast<std::size_t>(settings.valid_ms / 2 / settings.interval_ms);
    return std::max<std::size_t>(std::min(wanted, timely), 1);
}

time_point advice_calls::begin(const advice_settings& settings, std::size_t named, time_point now) {
    const auto length = settings.decide_ms + settings.interval_ms * static_cast<std::int64_t>(named);
    busy_until_ = std::max(busy_until_, now) + std::chrono::milliseconds(length);
    ++in_flight_;
    return busy_until_;
}

void advice_calls::end(time_point now) {
    --in_flight_;
    if (in_flight_ == 0) {
        busy_until_ = now;
    }
}

}  // namespace jacinthvane
