#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// The kinds of store calls.
enum class store_call { get, compare_and_swap, remove, grant_lease, renew_lease, release_lease, watch };

constexpr std::size_t store_call_kinds = 7;

std::string_view get_name(store_call call);

// Counts of calls by kind. A refused call was not sent, since the budget allowed it only after its deadline.
struct store_call_counts {
    std::array<std::uint64_t, store_call_kinds> sent{};
    std::uint64_t delayed = 0;
    std::uint64_t refused = 0;

    bool operator==(const store_call_counts&) const = default;
};

// Limits the rate of the store calls of this process, since the whole fleet shares the store's rate limit.
// Lease calls are counted but never delayed: the process loses its ownership if its lease is renewed too
// late.
class store_budget {
public:
    // Up to burst calls are allowed without delay.
    store_budget(std::uint64_t calls_per_second, std::uint64_t burst);

    // Reserves a send slot and returns its time, which is now or later. Returns nothing if the slot would be
    // after the deadline.
    std::optional<time_point> reserve(store_call call, time_point now, time_point deadline);

    store_call_counts get_counts() const;

private:
    const std::chrono::nanoseconds interval_;
    const std::chrono::nanoseconds burst_span_;
    mutable ordered_mutex mutex_{lock_rank::store};
    // The time of the next free send slot if all calls so far had been sent at an even rate.
    time_point next_slot_;
    store_call_counts counts_;
};

}  // namespace jacinthvane
