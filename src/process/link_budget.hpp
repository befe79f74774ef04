#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// The bytes sent over links to other regions, whose traffic is billed by volume.
struct link_spending {
    std::uint64_t urgent_bytes = 0;
    std::uint64_t bulk_bytes = 0;
    // The number of times that a frame had to wait for tokens.
    std::uint64_t waits = 0;

    bool operator==(const link_spending&) const = default;
};

// This process's share of the bandwidth between regions, as a token bucket over all its connections to other
// regions. Bulk frames leave a part of the bucket unused, so urgent frames are not delayed by queued bulk.
class link_budget {
public:
    // The link carries 30 Mbit/s in each direction, shared by all processes.
    static constexpr std::int64_t link_bytes_per_second = 30'000'000 / 8;

    // burst_bytes is the size of the bucket: the most that can be sent at once after a pause. It should cover
    // at least one frame.
    link_budget(std::int64_t bytes_per_second, std::int64_t burst_bytes, time_point now);

    // Returns the rate of each process, in bytes per second, if this many processes share the link.
    static std::int64_t get_share(std::int64_t processes);

    // Changes the rate, for example because the number of live members changed.
    void set_rate(std::int64_t bytes_per_second, time_point now);

    // Takes tokens for the bytes and returns nullopt, or takes none and returns the time for the next
    // attempt.
    std::optional<time_point> spend_urgent(std::size_t bytes, time_point now);
    std::optional<time_point> spend_bulk(std::size_t bytes, time_point now);

    link_spending get_spending() const;

private:
    std::optional<time_point> spend(std::int64_t bytes, std::int64_t reserved_bytes, time_point now);
    void refill(time_point now);

    mutable ordered_mutex mutex_{lock_rank::link_budget};
    std::int64_t bytes_per_second_;
    std::int64_t burst_bytes_;
    double tokens_;
    time_point refilled_at_;
    link_spending spending_;
};

}  // namespace jacinthvane
