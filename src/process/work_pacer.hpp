#pragma once

#include <chrono>

#include "process/clock.hpp"

namespace jacinthvane {

// Returns the pause after a decision that took this long. Changes that arrive together are decided together,
// and long decisions are followed by longer pauses.
std::chrono::milliseconds get_decision_pause(time_point::duration decision);

// Spaces out repeated work of a process that cannot keep up. Late timers show that more work is ready than
// the processor can carry, whatever its size; the pause between two polls of one upstream then grows until
// timers are on time again. Without it, a slow process polls as often as a fast one, and everything else
// waits behind the polls. Not safe for concurrent use.
class work_pacer {
public:
    // A decision held up all other work from its begin to its end.
    void add_decision(time_point begin, time_point end);
    // A timer whose deadline was due ran at now. The part of its delay that the last decision caused does not
    // count: it shows how long a decision takes, not that work is queued.
    void add_timer(time_point due, time_point now);
    // Returns the least time from the start of a poll to the start of the next one of the same upstream.
    std::chrono::milliseconds get_pause() const { return pause_; }
    // Returns when to poll an upstream again. A poll that is due to bring the end of a run comes before the
    // pause is over: until the owner reads the end, the room of the run stays unused and the next step of its
    // job waits.
    time_point get_next_poll(time_point last_poll, time_point expected_end) const;

    bool operator==(const work_pacer&) const = default;

private:
    std::chrono::milliseconds pause_{0};
    bool was_late_ = false;
    time_point next_increase_;
    time_point decision_begin_;
    time_point decision_end_;
};

}  // namespace jacinthvane
