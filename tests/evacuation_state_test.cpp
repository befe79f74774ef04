#include <chrono>
#include <string>

#include <boost/test/unit_test.hpp>

#include "version/evacuation_state.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds bound{5000};
const time_point start = time_point(std::chrono::hours(1));
const failure_domain_id first("zone1");
const failure_domain_id second("zone2");

}  // namespace

// The set of evacuated failure domains, and for how long it is good enough to start tasks.
BOOST_AUTO_TEST_SUITE(evacuation_state)

BOOST_AUTO_TEST_CASE(without_a_bound_starts_are_always_allowed) {
    const jacinthvane::evacuation_state state(milliseconds(0));
    BOOST_TEST(!state.is_enabled());
    BOOST_TEST(state.allows_starts(start));
}

// Guards against a new owner that starts tasks before it has read the evacuations.
BOOST_AUTO_TEST_CASE(no_start_is_allowed_before_the_first_read) {
    jacinthvane::evacuation_state state(bound);
    BOOST_TEST(!state.allows_starts(start));
    state.apply_listing({{}, 1}, start);
    BOOST_TEST(state.allows_starts(start));
}

// Guards against starts that rely on an old read: an evacuation that was accepted right after it would be
// exceeded.
BOOST_AUTO_TEST_CASE(starts_are_allowed_for_less_than_the_bound_after_a_read) {
    jacinthvane::evacuation_state state(bound);
    state.apply_listing({{}, 1}, start);
    BOOST_TEST(state.allows_starts(start + bound - milliseconds(251)));
    BOOST_TEST(!state.allows_starts(start + bound - milliseconds(250)));
    BOOST_TEST((state.get_effect_limit() < start + bound));
    state.apply_changes({{}, 1}, start + milliseconds(1000));
    BOOST_TEST(state.allows_starts(start + bound));
    // A read that was sent earlier and arrives later takes nothing back.
    state.apply_changes({{}, 1}, start + milliseconds(500));
    BOOST_TEST(state.allows_starts(start + bound));
}

BOOST_AUTO_TEST_CASE(the_state_is_the_set_of_keys) {
    jacinthvane::evacuation_state state(bound);
    auto delta = state.apply_changes({{{first, false}, {second, false}}, 2}, start);
    BOOST_TEST((delta.begun == std::vector{first, second}));
    // The same domain twice.
    BOOST_TEST(state.apply_changes({{{first, false}}, 3}, start).is_empty());
    delta = state.apply_changes({{{first, true}}, 4}, start);
    BOOST_TEST((delta.ended == std::vector{first}));
    BOOST_TEST(state.is_evacuated(second));
    // Withdrawn before the request was read, and requested again before the removal was.
    BOOST_TEST(state.apply_changes({{{first, false}, {first, true}}, 6}, start).is_empty());
    BOOST_TEST(state.apply_changes({{{second, true}, {second, false}}, 8}, start).is_empty());
    BOOST_TEST(state.is_evacuated(second));
}

// Guards against an evacuation that stays in force because its removal was in the discarded history.
BOOST_AUTO_TEST_CASE(a_listing_ends_what_it_does_not_contain) {
    jacinthvane::evacuation_state state(bound);
    state.apply_listing({{{first, false}}, 2}, start);
    const auto delta = state.apply_listing({{{second, false}}, 9}, start);
    BOOST_TEST((delta.ended == std::vector{first}));
    BOOST_TEST((delta.begun == std::vector{second}));
    BOOST_TEST(state.get_revision() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
