#pragma once

#include <compare>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// Distance to another entry process. Requests are sent to the nearest process that may have room.
enum class distance { same_failure_domain, same_region, other_region };

distance get_distance(const location& from, const location& to);

// Another entry process with the room that it reported last, which may be one second old.
struct route_target {
    process_id process;
    location place;
    std::string peer_address;
    // Size of the largest task that fitted at the time of the last report.
    resource_vector largest_room;

    bool operator==(const route_target&) const = default;
};

struct routing_rules {
    bool may_cross_regions = true;
    // Maximum number of processes of one distance that are tried; each attempt costs a round trip.
    std::size_t max_targets_per_distance = 2;

    bool operator==(const routing_rules&) const = default;
};

// Returns the processes to try, nearest first. Within one distance, the order is random among those that may
// have room, so that the entry processes do not all choose the same one. Processes that reported too little
// room come last within their distance instead of being left out, since their report may be outdated.
std::vector<route_target> order_routes(const location& origin, const std::vector<route_target>& targets,
                                       const resource_vector& size, const routing_rules& rules,
                                       std::mt19937_64& random);

}  // namespace jacinthvane
