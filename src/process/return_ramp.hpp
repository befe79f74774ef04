#pragma once

#include <cstddef>
#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// Whether a run of which this share was done after a time on its upstream's clock is about as fast as its
// estimate says. Without an estimate, a run counts once it is done.
bool is_at_estimated_speed(std::int32_t percent, std::int64_t elapsed_ms, std::int64_t estimated_ms);

// Limits the unfinished runs of an upstream whose failure domain was evacuated, until its reports show that
// it carries them. The load that it addresses: after an evacuation a whole failure domain is empty, and so
// the first choice for all waiting tasks at once, while its upstreams may be cold. The limit doubles each
// time that as many runs as it allows have been shown to be at their estimated speed.
class return_ramp {
public:
    void begin(time_point now);
    void record_run_at_speed();

    // Whether runs are limited at all.
    bool is_active(time_point now) const { return limit_ > 0 && now < ends_at_; }
    // Whether another run may start beside these.
    bool allows_run(std::size_t unfinished_runs, time_point now) const {
        return !is_active(now) || unfinished_runs < limit_;
    }

    bool operator==(const return_ramp&) const = default;

private:
    // 0 means no limit.
    std::uint32_t limit_ = 0;
    // Since the limit began. Those that still run go on to count, since long runs may leave no room for more.
    std::uint32_t runs_at_speed_ = 0;
    // The limit ends by then, so that wrong estimates cannot keep capacity unused.
    time_point ends_at_;
};

}  // namespace jacinthvane
