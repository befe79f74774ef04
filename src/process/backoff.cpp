#include "process/backoff.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Bounds the shift below, so that the delay does not overflow 64 bits.
constexpr std::uint32_t max_doublings = 30;

}  // namespace

std::chrono::milliseconds backoff_policy::get_next_delay() {
    const auto doublings = std::min(failures_, max_doublings);
    ++failures_;
    const std::int64_t doubled = limits_.initial.count() << doublings;
    const std::int64_t span = std::min<std::int64_t>(doubled, limits_.maximum.count());
    std::uniform_int_distribution<std::int64_t> draw(span - span / 2, span);
    return std::chrono::milliseconds(draw(generator_));
}

}  // namespace jacinthvane
