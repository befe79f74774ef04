#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// An upstream that has not responded to the owner. No owner after the one with this fencing token has granted
// a lease there.
struct silent_upstream {
    upstream_id upstream;
    std::uint64_t granting_token = 0;

    bool operator==(const silent_upstream&) const = default;
};

// When all leases that earlier owners granted have ended.
struct lease_bound {
    // The last of these owners.
    std::uint64_t token = 0;
    time_point ends_by;

    bool operator==(const lease_bound&) const = default;
};

// A lease whose end was computed on the clock of an earlier incarnation of the upstream that holds it. Clocks
// of incarnations are unrelated, so only the longest lease that upstreams accept bounds it.
struct foreign_lease {
    upstream_id upstream;
    time_point ends_by;

    bool operator==(const foreign_lease&) const = default;
};

// What an owner writes for the next one together with the list of known upstreams. A list that was written
// without it belongs to an owner of an earlier version, which does not keep what it says.
struct takeover_notes {
    // The locations of all long-running jobs are recorded, so a job without a record runs nowhere.
    bool has_complete_locations = false;
    // In ascending order of ids.
    std::vector<silent_upstream> silent;
    // All owners before this token act no more, and their leases have ended.
    std::uint64_t ended_before = 0;
    // What is known of the owners from ended_before on, in ascending order of tokens. The record contains the
    // remaining times, so it is written again while they are needed.
    std::vector<lease_bound> lease_bounds;
    // In ascending order of ids; nullopt in notes of an earlier version. An upstream that has restarted since
    // the list was written may hold another one.
    std::optional<std::vector<foreign_lease>> foreign_leases = std::nullopt;

    bool operator==(const takeover_notes&) const = default;
};

}  // namespace jacinthvane
