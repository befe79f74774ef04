#include "request/routing.hpp"

#include <algorithm>
#include <array>

namespace jacinthvane {

distance get_distance(const location& from, const location& to) {
    if (from.region != to.region) {
        return distance::other_region;
    }
    return from.failure_domain == to.failure_domain ? distance::same_failure_domain : distance::same_region;
}

std::vector<route_target> order_routes(const location& origin, const std::vector<route_target>& targets,
                                       const resource_vector& size, const routing_rules& rules,
                                       std::mt19937_64& random) {
    std::vector<route_target> result;
    for (const auto at_distance :
         {distance::same_failure_domain, distance::same_region, distance::other_region}) {
        if (at_distance == distance::other_region && !rules.may_cross_regions) {
            continue;
        }
        std::vector<route_target> group;
        std::copy_if(
            targets.begin(), targets.end(), std::back_inserter(group),
            [&](const route_target& target) { return get_distance(origin, target.place) == at_distance; });
        std::shuffle(group.begin(), group.end(), random);
        std::stable_partition(group.begin(), group.end(), [&](const route_target& target) {
            return size.is_within(target.largest_room);
        });
        group.resize(std::min(group.size(), rules.max_targets_per_distance));
        result.insert(result.end(), group.begin(), group.end());
    }
    return result;
}

}  // namespace jacinthvane
