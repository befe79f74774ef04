#include "process/filler_pacing.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

constexpr std::int64_t crossed_permille = 950;
constexpr std::int64_t near_permille = 800;
constexpr std::int64_t relaxed_permille = 600;
constexpr std::int32_t lowest_pace = 10;
constexpr std::int32_t speed_up = 15;

}  // namespace

std::int32_t choose_filler_pace(std::int32_t pace, std::int64_t ratio_permille) {
    pace = std::clamp(pace, 0, 100);
    if (ratio_permille >= crossed_permille) {
        return pace <= 2 * lowest_pace ? 0 : pace * 2 / 5;
    }
    if (ratio_permille >= near_permille) {
        return std::max(pace * 3 / 4, std::min(pace, lowest_pace));
    }
    if (ratio_permille < relaxed_permille) {
        return std::min(pace + speed_up, 100);
    }
    return pace;
}

}  // namespace jacinthvane
