#include "process/tenure.hpp"

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

using std::chrono::milliseconds;
const time_point origin = time_point(std::chrono::hours(1));

}  // namespace

BOOST_AUTO_TEST_SUITE(tenure)

// Guards against a process that starts tasks before it has held a lease.
BOOST_AUTO_TEST_CASE(no_lease_allows_nothing) {
    const jacinthvane::tenure none{tenure_rules{}};
    BOOST_TEST(none.get_allowance(origin).share_permille == 0);
    BOOST_TEST(!none.is_valid(origin));
}

// Guards against a term that lasts longer in the process than in the store: it begins before the renewal is
// sent.
BOOST_AUTO_TEST_CASE(the_term_begins_before_the_renewal_is_sent) {
    const tenure_rules rules;
    const auto held = jacinthvane::tenure(rules).renew(origin);
    const auto deadline = origin + rules.lease_time;
    BOOST_TEST((held.get_term_deadline() == deadline));
    BOOST_TEST((held.get_allowance(deadline - milliseconds(1)) == tenure_allowance{1000, deadline}));
    BOOST_TEST(held.get_allowance(deadline).share_permille == 750);
}

// Guards against the response to an old renewal that shortens the term, and against an expired term that a
// renewal does not restore.
BOOST_AUTO_TEST_CASE(renewals_only_lengthen_the_term) {
    const auto held = jacinthvane::tenure(tenure_rules{}).renew(origin + milliseconds(500));
    BOOST_TEST((held.renew(origin) == held));
    const auto later = origin + std::chrono::minutes(10);
    BOOST_TEST(held.renew(later).get_allowance(later).share_permille == 1000);
}

// Guards against an owner that continues to start tasks forever after its term expired: the next owner takes
// over the reserved share after the extended tenure.
BOOST_AUTO_TEST_CASE(after_the_extended_tenure_nothing_starts) {
    const tenure_rules rules;
    const auto held = jacinthvane::tenure(rules).renew(origin);
    const auto end = origin + rules.lease_time + rules.extended_tenure;
    BOOST_TEST((held.get_allowance(end - milliseconds(1)) == tenure_allowance{750, end}));
    BOOST_TEST(held.get_allowance(end).share_permille == 0);
}

// Guards against tasks that are started after the slices were handed over.
BOOST_AUTO_TEST_CASE(releasing_the_lease_ends_the_term) {
    const auto ended = jacinthvane::tenure(tenure_rules{}).renew(origin).give_up();
    BOOST_TEST(ended.get_allowance(origin).share_permille == 0);
}

BOOST_AUTO_TEST_SUITE_END()
