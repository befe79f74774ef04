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
// Least time between two polls of one upstream, of which the second is due to bring an end.
constexpr milliseconds expected_end_pause{150};
constexpr milliseconds min_decision_pause{20};
constexpr milliseconds max_decision_pause{150};
// The pause after a decision is this many times as long as the decision, within its bounds.
constexpr int pause_to_decision_ratio = 5;
constexpr int growth_percent = 140;
constexpr int decay_percent = 98;

}  // namespace

milliseconds get_decision_pause(time_point::duration decision) {
    const auto pause = std::chrono::duration_cast<milliseconds>(decision) * pause_to_decision_ratio;
    return std::clamp(pause, min_decision_pause, max_decision_pause);
}

void work_pacer::add_decision(time_point begin, time_point end) {
    decision_begin_ = begin;
    decision_end_ = end;
}

void work_pacer::add_timer(time_point due, time_point now) {
    const auto held_up = std::min(decision_end_, now) - std::max(decision_begin_, due);
    const auto late = now - due - std::max(held_up, time_point::duration::zero());
    const bool is_late = late >= late_after;
    if (is_late && now >= next_increase_) {
        // One late timer between others on time follows from a burst, such as the orders of one decision, or
        // from the end of this process's share of a processor for a moment. Work is queued only if the next
        // timer is late too.
        pause_ = was_late_ ? std::clamp(pause_ * growth_percent / 100, first_pause, max_pause)
                           : std::max(pause_, first_pause);
        next_increase_ = now + increase_interval;
    } else if (late <= on_time_within) {
        pause_ = pause_ * decay_percent / 100;
    }
    was_late_ = is_late;
}

time_point work_pacer::get_next_poll(time_point last_poll, time_point expected_end) const {
    const auto regular = last_poll + pause_;
    return std::min(regular, std::max(last_poll + expected_end_pause, expected_end));
}

}  // namespace jacinthvane
