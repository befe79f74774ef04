#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "process/clock.hpp"

namespace jacinthvane {

// How long the recent calls of this process took, to any server. A full link or a busy processor delays the
// responses of all servers, so the silence of one of them proves something about it only while the others
// respond in time. Times are counted in a few ranges, so the memory and the work for a call are constant. Not
// safe for concurrent use.
class response_times {
public:
    // A response arrived now. The time does not include how long the server was asked to wait.
    void add(time_point now, std::chrono::milliseconds time);

    // Returns an upper bound of the median over the responses that arrived from then until now; nothing
    // without any. It covers at most the last four seconds.
    std::optional<std::chrono::milliseconds> get_median(time_point from, time_point now) const;

    // Returns whether a call that got no response says something about its server: other responses arrived
    // while it was pending, and most of them took at most half as long as this call waited.
    bool is_silence_conclusive(time_point sent_at, std::chrono::milliseconds waited, time_point now) const;

    // Returns how long a call should wait for its response: no less than the given time, and long enough that
    // a response that is as slow as the recent ones arrives.
    std::chrono::milliseconds get_timeout(std::chrono::milliseconds at_least, time_point now) const;

    bool operator==(const response_times&) const = default;

private:
    static constexpr std::size_t range_count = 8;
    // Responses of one interval, by the range of their times.
    struct interval {
        std::int64_t number = -1;
        std::array<std::uint32_t, range_count> counts{};

        bool operator==(const interval&) const = default;
    };
    static constexpr std::size_t interval_count = 40;

    static std::int64_t get_interval_number(time_point at);

    std::array<interval, interval_count> intervals_{};
};

}  // namespace jacinthvane
