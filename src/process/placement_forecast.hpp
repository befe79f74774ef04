#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.hpp"
#include "process/resource_vector.hpp"
#include "process/upstream_index.hpp"

namespace jacinthvane {

struct run_record;
struct upstream_ledger;

// A run that has passed its expected end by this much is no longer expected to end. Under load an upstream is
// polled up to 0.9 s late, so an end is known that much late.
constexpr std::chrono::milliseconds overrun_margin{1000};

// Returns when the run will probably have freed its resources, at the earliest now; nothing if that is not
// known.
std::optional<time_point> get_release_time(const run_record& run, time_point now);

// Room that a run will free.
struct room_release {
    time_point at;
    resource_vector amount;

    bool operator==(const room_release&) const = default;
};

// Free room of an upstream now and as its runs end.
struct room_forecast {
    upstream_index::slot_number slot = 0;
    resource_vector room;
    // In ascending order of time.
    std::vector<room_release> releases;

    bool operator==(const room_forecast&) const = default;
};

room_forecast forecast_room(const upstream_ledger& upstream, time_point now);

// Returns the room that the upstream will have at the time if no further run starts there.
resource_vector get_room_at(const upstream_ledger& upstream, time_point at, time_point now);

// Returns when resources of this size first fit on the upstream; nothing if no expected end makes them fit.
std::optional<time_point> find_first_fit(const room_forecast& forecast, const resource_vector& size,
                                         time_point now);

// Tasks for which room is sought.
struct room_demand {
    // Size of one task.
    resource_vector size;
    std::uint32_t tasks = 1;
    // The tasks start together or not at all.
    bool is_gang = false;
    // Tasks that may still be placed on one upstream.
    std::uint32_t max_per_upstream = 0;
    // Room that is free only later is not worth waiting for.
    time_point latest;

    bool operator==(const room_demand&) const = default;
};

// Room on one upstream for a number of tasks, and when it will be free.
struct room_hold {
    upstream_index::slot_number slot = 0;
    std::uint32_t tasks = 0;
    time_point fits_at;

    bool operator==(const room_hold&) const = default;
};

// Chooses the upstreams on which the tasks first fit. For a gang the result has room for all tasks or is
// empty. It is also empty if a task, or the whole gang, fits now: then nothing has to be held. Among equal
// times the upstream with the least room left over is chosen.
std::vector<room_hold> plan_holds(const std::vector<room_forecast>& forecasts, const room_demand& demand,
                                  time_point now);

// Whether a task that starts now on the upstream and ends at the given time leaves too little room for the
// held resources at the time from which they are needed. Resources that the task does not use do not count,
// so a best-effort task delays a hold only for lack of memory.
bool delays_hold(const upstream_ledger& upstream, const resource_vector& held, time_point needed_at,
                 const resource_vector& size, time_point ends_at, time_point now);

}  // namespace jacinthvane
