#pragma once

#include <compare>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// How far another entry process is. Requests go to the nearest that may have room.
enum class distance { same_failure_domain, same_region, other_region };

distance get_distance(const location& from, const location& to);

// Another entry process as the routing sees it: what it said of its room may be a second old.
struct route_target {
    process_id process;
    location place;
    std::string peer_address;
    // The largest task that would have fitted when the process last told.
    resource_vector largest_room;

    bool operator==(const route_target&) const = default;
};

struct routing_rules {
    bool may_cross_regions = true;
    // How many processes of one distance are tried; each costs a round trip.
    std::size_t max_targets_per_distance = 2;

    bool operator==(const routing_rules&) const = default;
};

// Returns the processes to try, nearest first. Within one distance the order is random among those that may
// have room, so that the entry processes do not all choose the same one. Processes that told of no room come
// last at their distance, since what they told may be old.
std::vector<route_target> order_routes(const location& origin, const std::vector<route_target>& targets,
                                       const resource_vector& size, const routing_rules& rules,
                                       std::mt19937_64& random);

}  // namespace jacinthvane
