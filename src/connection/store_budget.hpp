#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// The kinds of calls that the store counts.
enum class store_call { get, compare_and_swap, remove, grant_lease, renew_lease, release_lease, watch };

constexpr std::size_t store_call_kinds = 7;

std::string_view get_name(store_call call);

// Counts of calls by kind; a refused call was not sent because its turn came after its deadline.
struct store_call_counts {
    std::array<std::uint64_t, store_call_kinds> sent{};
    std::uint64_t delayed = 0;
    std::uint64_t refused = 0;

    bool operator==(const store_call_counts&) const = default;
};

// Limits the store calls of this process to a rate, since the store's own rate is shared by the fleet. Calls
// for leases are counted but never held back: a late renewal would end the process's term.
class store_budget {
public:
    // Calls up to the burst are let through at once.
    store_budget(std::uint64_t calls_per_second, std::uint64_t burst);

    // Returns when the call may be sent, which is now or later, and takes that place. Returns nothing if the
    // place would come after the deadline.
    std::optional<time_point> reserve(store_call call, time_point now, time_point deadline);

    store_call_counts get_counts() const;

private:
    const std::chrono::nanoseconds interval_;
    const std::chrono::nanoseconds burst_span_;
    mutable ordered_mutex mutex_{lock_rank::store};
    // The time at which the calls made so far would have been sent at an even rate.
    time_point next_place_;
    store_call_counts counts_;
};

}  // namespace jacinthvane
