#pragma once

#include <chrono>
#include <cstdint>

namespace jacinthvane {

// The figures of an upstream cover the last half second, so a change of pace shows in them only after that.
constexpr std::chrono::milliseconds pace_settling_time{600};

// Chooses the pace of the fillers of one upstream, in percent, from the highest ratio of tail latency to
// target among its serving tasks, in thousandths. Slows down fast before the target is crossed and speeds up
// slowly, since the figures are late and a crossed target harms users at once.
std::int32_t choose_filler_pace(std::int32_t pace, std::int64_t ratio_permille);

}  // namespace jacinthvane
