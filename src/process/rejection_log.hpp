#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

class metrics;

// Why a process rejects a remote side that exceeds a limit, or closes its connection.
enum class rejection {
    // An idle or a slow connection that was closed to make room for others.
    evicted_idle,
    evicted_slow,
    // A connection that was not accepted, since no other could be closed for it.
    connection_refused,
    // A request or response that does not fit into the memory of all connections.
    request_memory,
    response_memory,
    // A request or response that exceeds the limits of one connection.
    request_too_large,
    response_too_large,
    // A request, or the reading of a response by a client, that did not end before its deadline.
    request_timeout,
};

constexpr std::size_t rejection_kinds = static_cast<std::size_t>(rejection::request_timeout) + 1;

// Returns the name of a kind in metrics and log lines.
std::string_view get_name(rejection kind);

// Counts rejections in the metrics and writes a log line for each kind at most once in five seconds, with the
// number of rejections since the last line. Safe to call from any thread.
class rejection_log {
public:
    // The metrics may be null.
    explicit rejection_log(metrics* counters) : counters_(counters) {}

    void record(rejection kind, time_point now);
    // Returns the number of rejections of one kind.
    std::uint64_t get_count(rejection kind) const;

private:
    struct kind_state {
        std::uint64_t count = 0;
        std::uint64_t logged = 0;
        time_point next_line_at;
    };

    metrics* const counters_;
    mutable ordered_mutex mutex_{lock_rank::rejections};
    std::array<kind_state, rejection_kinds> kinds_;
};

}  // namespace jacinthvane
