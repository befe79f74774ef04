#include "process/return_ramp.hpp"

#include <chrono>

namespace jacinthvane {

namespace {

// Few enough that a cold upstream delays little work, and enough that one slow run does not hold up the rest.
constexpr std::uint32_t first_limit = 4;
// The limit is removed instead of being doubled beyond this, which takes 16 runs at speed.
constexpr std::uint32_t max_limit = 16;
// CPU limits also make runs slower than estimated, so that an upstream under load may never show its speed.
constexpr std::chrono::seconds max_duration{4};
// Less time says little about the speed of a run, since progress is reported in whole percent.
constexpr std::int32_t full_percent = 100;
constexpr std::int64_t min_elapsed_ms = 300;
// A run that takes this much longer than estimated still counts as about as fast.
constexpr std::int64_t tolerated_slowness_percent = 150;

}  // namespace

bool is_at_estimated_speed(std::int32_t percent, std::int64_t elapsed_ms, std::int64_t estimated_ms) {
    if (estimated_ms <= 0) {
        return percent >= full_percent;
    }
    const bool is_conclusive = percent >= full_percent || elapsed_ms >= min_elapsed_ms;
    return is_conclusive &&
           elapsed_ms * full_percent * 100 <= percent * estimated_ms * tolerated_slowness_percent;
}

void return_ramp::begin(time_point now) {
    limit_ = first_limit;
    runs_at_speed_ = 0;
    ends_at_ = now + max_duration;
}

void return_ramp::record_run_at_speed() {
    if (limit_ == 0 || ++runs_at_speed_ < limit_) {
        return;
    }
    limit_ = limit_ < max_limit ? limit_ * 2 : 0;
}

}  // namespace jacinthvane
