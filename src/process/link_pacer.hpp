#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// Keeps the calls of an owner within what the link of its VM carries. Polls renew leases, so they come first:
// the pause between them leaves a part of the link free. Start orders fill what remains, with a bound on the
// bytes in flight: more of them would only lengthen the queue of the link, in which polls wait too. The rate
// of the link comes from the settings. While responses are slow, both are reduced, also without a rate. Not
// safe for concurrent use.
class link_pacer {
public:
    // Start orders without a response on any link. Responses of healthy upstreams take tens of milliseconds
    // at most, also between regions, so this allows thousands of starts a second.
    static constexpr std::size_t max_starts_in_flight = 256;

    // A rate of 0 is unknown.
    explicit link_pacer(std::int64_t link_mbps);

    // A poll was answered now: bytes sent and received for it. It counts by its heavier direction, since the
    // directions of a link are separate.
    void add_poll(time_point now, std::size_t sent_bytes, std::size_t received_bytes);
    // A start order was sent, and its call ended.
    void begin_start(std::size_t bytes);
    void end_start(std::size_t bytes);
    // The median time that responses took recently. While it is long, the queue of the link or of this
    // process is, so less is put into it.
    void set_response_time(std::chrono::milliseconds median) { response_time_ = median; }

    // Returns how many further start orders may be sent now.
    std::size_t get_free_starts() const;
    // Whether the rate of the link bounds the start orders in flight, and not max_starts_in_flight.
    bool is_link_narrow() const;
    // Returns the least time from the start of a poll of an upstream to the start of its next one. It is zero
    // while polls take less than their share of the link, and grows while they take more.
    std::chrono::milliseconds get_poll_pause(time_point now) const;
    std::size_t get_bytes_in_flight() const { return bytes_in_flight_; }

    bool operator==(const link_pacer&) const = default;

private:
    // By how much responses are slower than they may be; 1 if they are not.
    double get_slowdown() const;
    // Returns how many start orders the link carries within the longest queue that they may cause.
    double count_fitting_starts() const;

    std::int64_t bytes_per_second_ = 0;
    std::size_t starts_in_flight_ = 0;
    std::size_t bytes_in_flight_ = 0;
    // Moving average.
    double start_bytes_ = 0;
    // When the share of the link for polls will have carried all polls so far.
    time_point polls_carried_at_;
    std::chrono::milliseconds response_time_{0};
};

}  // namespace jacinthvane
