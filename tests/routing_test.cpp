#include "request/routing.hpp"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

const location tunis{region_id("tn-nord"), failure_domain_id("tunis-a")};
const location bizerte{region_id("tn-nord"), failure_domain_id("bizerte-a")};
const location sfax{region_id("tn-sud"), failure_domain_id("sfax-a")};
const resource_vector room(4000, 8000, 0, 4);
const resource_vector size(1000, 512, 0, 1);

route_target make_target(const std::string& vm, const location& place, const resource_vector& largest_room) {
    return {.process = {vm_id(vm), 1}, .place = place, .peer_address = vm, .largest_room = largest_room};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(routing)

// Guards against urgent work that is sent over the paid link to another region while a nearer failure domain
// has room.
BOOST_AUTO_TEST_CASE(nearer_processes_come_first) {
    std::mt19937_64 random(1);
    const std::vector<route_target> targets = {make_target("s", sfax, room), make_target("b", bizerte, room),
                                               make_target("t", tunis, {})};
    const auto routes = order_routes(tunis, targets, size, routing_rules{}, random);
    BOOST_REQUIRE(routes.size() == 3U);
    BOOST_TEST(routes[0].peer_address == "t");
    BOOST_TEST(routes[1].peer_address == "b");
    BOOST_TEST(routes[2].peer_address == "s");
}

// Guards against all processes sending to the same peer, and against a full peer that is tried instead of one
// with room.
BOOST_AUTO_TEST_CASE(choice_within_a_distance_is_spread_over_those_with_room) {
    std::mt19937_64 random(2);
    const std::vector<route_target> targets = {
        make_target("a", bizerte, room), make_target("b", bizerte, room), make_target("c", bizerte, {})};
    std::set<std::string> first;
    for (int i = 0; i < 50; ++i) {
        const auto routes = order_routes(tunis, targets, size, routing_rules{}, random);
        BOOST_REQUIRE(routes.size() == 2U);
        BOOST_TEST(routes[1].peer_address != "c");
        first.insert(routes[0].peer_address);
    }
    BOOST_TEST((first == std::set<std::string>{"a", "b"}));
}

// Guards against using the paid link after its budget is exhausted.
BOOST_AUTO_TEST_CASE(other_region_can_be_left_out) {
    std::mt19937_64 random(3);
    const routing_rules rules{.may_cross_regions = false};
    BOOST_TEST(order_routes(tunis, {make_target("s", sfax, room)}, size, rules, random).empty());
}

BOOST_AUTO_TEST_SUITE_END()
