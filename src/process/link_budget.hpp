#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Bytes spent on links to another region, which are paid for by volume.
struct link_spending {
    std::uint64_t urgent_bytes = 0;
    std::uint64_t bulk_bytes = 0;
    // How often a frame had to wait.
    std::uint64_t waits = 0;

    bool operator==(const link_spending&) const = default;
};

// This process's share of the link between regions, as a token bucket over all its links there. Bulk frames
// leave a part of the bucket untouched, so an urgent frame finds room at once however much bulk is queued.
class link_budget {
public:
    // The whole link carries 30 Mbit/s in each direction.
    static constexpr std::int64_t whole_link_bytes_per_second = 30'000'000 / 8;

    // The burst is the most that can be spent at once after a pause; at least one frame.
    link_budget(std::int64_t bytes_per_second, std::int64_t burst_bytes, time_point now);

    // Returns the rate of one of the given number of processes that share the link.
    static std::int64_t get_share(std::int64_t processes);

    // Changes the rate, for example because the number of live members changed.
    void set_rate(std::int64_t bytes_per_second, time_point now);

    // Takes the bytes and returns nothing, or returns the time at which to try again.
    std::optional<time_point> spend_urgent(std::size_t bytes, time_point now);
    std::optional<time_point> spend_bulk(std::size_t bytes, time_point now);

    link_spending get_spending() const;

private:
    std::optional<time_point> spend(std::int64_t bytes, std::int64_t kept_back, time_point now);
    void refill(time_point now);

    mutable ordered_mutex mutex_{lock_rank::link_budget};
    std::int64_t bytes_per_second_;
    std::int64_t burst_bytes_;
    double tokens_;
    time_point refilled_at_;
    link_spending spending_;
};

}  // namespace jacinthvane
