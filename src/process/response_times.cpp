#include "process/response_times.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds interval_length{100};
// Upper bounds of the ranges; the last one also holds everything above.
constexpr std::array<milliseconds, 8> range_bounds = {
    milliseconds(30),  milliseconds(60),   milliseconds(120),  milliseconds(250),
    milliseconds(500), milliseconds(1000), milliseconds(2000), milliseconds(4000)};
// How far back the responses decide the timeout of the next call.
constexpr milliseconds timeout_history{2000};
// A timeout is this many times the median.
constexpr int timeout_factor = 4;
constexpr milliseconds max_timeout{2500};

}  // namespace

std::int64_t response_times::get_interval_number(time_point at) {
    return at.time_since_epoch() / interval_length;
}

void response_times::add(time_point now, milliseconds time) {
    const auto number = get_interval_number(now);
    auto& current = intervals_.at(static_cast<std::size_t>(number) % interval_count);
    if (current.number != number) {
        current = interval{number, {}};
    }
    const auto found = std::lower_bound(range_bounds.begin(), range_bounds.end(), time);
    const auto last = range_bounds.end() - 1;
    ++current.counts.at(static_cast<std::size_t>(std::min(found, last) - range_bounds.begin()));
}

std::optional<milliseconds> response_times::get_median(time_point from, time_point now) const {
    const auto last = get_interval_number(now);
    const auto oldest = last - static_cast<std::int64_t>(interval_count) + 1;
    const auto first = std::max(get_interval_number(from), oldest);
    std::array<std::uint64_t, range_count> counts{};
    std::uint64_t total = 0;
    for (const auto& interval : intervals_) {
        if (interval.number < first || interval.number > last) {
            continue;
        }
        for (std::size_t i = 0; i < range_count; ++i) {
            counts.at(i) += interval.counts.at(i);
            total += interval.counts.at(i);
        }
    }
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t below = 0;
    std::size_t range = 0;
    while (range + 1 < range_count && (below + counts.at(range)) * 2 < total) {
        below += counts.at(range);
        ++range;
    }
    return range_bounds.at(range);
}

bool response_times::is_silence_conclusive(time_point sent_at, milliseconds waited, time_point now) const {
    const auto median = get_median(sent_at, now);
    return median && *median * 2 <= waited;
}

milliseconds response_times::get_timeout(milliseconds at_least, time_point now) const {
    const auto median = get_median(now - timeout_history, now);
    if (!median) {
        return at_least;
    }
    return std::clamp(*median * timeout_factor, at_least, std::max(at_least, max_timeout));
}

}  // namespace jacinthvane
