#include <chrono>

#include <boost/test/unit_test.hpp>

#include "process/owner_history.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds proof_window{6000};

time_point at(seconds since_start) {
    return time_point() + std::chrono::hours(1) + since_start;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(owner_history)

BOOST_AUTO_TEST_CASE(the_first_owner_has_no_predecessor) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(1, "a", "a:1", at(seconds(0)));
    BOOST_TEST((history.get_last_action(1) == time_point()));
    BOOST_TEST(history.get_possible_owners(1, at(seconds(0))).empty());
}

BOOST_AUTO_TEST_CASE(an_owner_may_act_for_the_proof_window_after_the_next_takeover) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(1, "a", "a:1", at(seconds(0)));
    history.record_owner(2, "b", "b:1", at(seconds(20)));
    BOOST_TEST((history.get_last_action(2) == at(seconds(26))));
    BOOST_TEST(history.get_possible_owners(2, at(seconds(25))).size() == 1U);
    BOOST_TEST(history.get_possible_owners(2, at(seconds(26))).empty());
}

// Guards against a wait that begins anew with each takeover.
BOOST_AUTO_TEST_CASE(a_further_takeover_does_not_move_the_last_action_of_earlier_owners) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(1, "a", "a:1", at(seconds(0)));
    history.record_owner(2, "b", "b:1", at(seconds(20)));
    history.record_owner(3, "c", "c:1", at(seconds(25)));
    history.record_end(2, at(seconds(24)));
    BOOST_TEST((history.get_last_action(3) == at(seconds(26))));
}

BOOST_AUTO_TEST_CASE(an_end_counts_only_for_the_owner_that_ended) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(1, "a", "a:1", at(seconds(0)));
    history.record_owner(2, "b", "b:1", at(seconds(20)));
    history.record_end(1, at(seconds(18)));
    BOOST_TEST((history.get_last_action(2) == at(seconds(18))));
    history.record_owner(3, "c", "c:1", at(seconds(21)));
    BOOST_TEST((history.get_last_action(3) == at(seconds(27))));
}

// Guards against a process that has just started and takes the owners that it did not see for ended.
BOOST_AUTO_TEST_CASE(owners_that_were_not_seen_may_have_acted) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(5, "e", "e:1", at(seconds(10)));
    history.record_owner(6, "f", "f:1", at(seconds(11)));
    history.record_end(5, at(seconds(9)));
    BOOST_TEST((history.get_last_action(6) == at(seconds(16))));
    history.record_owner(8, "h", "h:1", at(seconds(20)));
    BOOST_TEST((history.get_last_action(8) == at(seconds(26))));
}

BOOST_AUTO_TEST_CASE(an_unseen_token_is_bounded_by_the_next_one) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(1, "a", "a:1", at(seconds(0)));
    history.record_owner(4, "d", "d:1", at(seconds(20)));
    history.record_owner(5, "e", "e:1", at(seconds(40)));
    BOOST_TEST((history.get_last_action(1) == time_point()));
    BOOST_TEST((history.get_last_action(2) == at(seconds(26))));
    BOOST_TEST((history.get_last_action(5) == at(seconds(46))));
}

// Guards against a restarted process that takes the cell again and waits for owners that ended long before it
// started: 8 tasks did not run for 12 s.
BOOST_AUTO_TEST_CASE(owners_that_are_known_to_have_ended_are_left_out) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(5, "e", "e:1", at(seconds(10)));
    history.record_owner(6, "f", "f:1", at(seconds(11)));
    history.record_end(5, at(seconds(9)));
    history.record_ended_before(5);
    BOOST_TEST((history.get_last_action(6) == at(seconds(9))));
    BOOST_TEST((history.get_last_action(5) == time_point()));
    history.record_ended_before(6);
    BOOST_TEST((history.get_last_action(6) == time_point()));
}

// Guards against a process that started between two takeovers and dates the owners before its start by it.
BOOST_AUTO_TEST_CASE(what_other_processes_know_bounds_owners_that_were_not_seen) {
    jacinthvane::owner_history history(proof_window);
    history.record_owner(5, "e", "e:1", at(seconds(10)));
    history.record_owner(6, "f", "f:1", at(seconds(11)));
    history.record_last_action(4, at(seconds(7)));
    BOOST_TEST((history.get_last_action(5) == at(seconds(7))));
    // Only the owners up to the token are bounded.
    BOOST_TEST((history.get_last_action(6) == at(seconds(17))));
    history.record_end(5, at(seconds(9)));
    BOOST_TEST((history.get_last_action(6) == at(seconds(9))));
    // A later bound does not replace an earlier one.
    history.record_last_action(4, at(seconds(8)));
    BOOST_TEST((history.get_last_action(5) == at(seconds(7))));
}

BOOST_AUTO_TEST_SUITE_END()
