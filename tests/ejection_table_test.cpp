#include "process/ejection_table.hpp"

#include <string>

#include <boost/test/unit_test.hpp>

#include "process/random_source.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));
const failure_domain_id domain("a");

upstream_id make_id(int number) {
    return upstream_id("up-" + std::to_string(number));
}

void add_upstreams(jacinthvane::ejection_table& table, int count) {
    for (int number = 0; number < count; ++number) {
        table.add(make_id(number), domain);
    }
}

void fail_often(jacinthvane::ejection_table& table, int number, int times) {
    for (int step = 0; step < times; ++step) {
        table.record_outcome(make_id(number), run_outcome::failed, start, start);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ejection_table)

// Guards against an upstream that fails all tasks, appears idle and therefore attracts all new tasks. It is
// ejected after 10 failures, and also if it worked for a long time before.
BOOST_AUTO_TEST_CASE(failing_upstream_is_ejected) {
    jacinthvane::ejection_table table;
    add_upstreams(table, 10);
    fail_often(table, 0, 9);
    BOOST_TEST(table.try_admit(make_id(0), start));
    fail_often(table, 0, 1);
    BOOST_TEST(!table.try_admit(make_id(0), start));
    for (int step = 0; step < 100000; ++step) {
        table.record_outcome(make_id(1), run_outcome::succeeded, start, start);
    }
    fail_often(table, 1, 20);
    BOOST_TEST(!table.try_admit(make_id(1), start));
}

// Guards against one caller whose bad requests cause the ejection of healthy upstreams.
BOOST_AUTO_TEST_CASE(caller_faults_never_count) {
    jacinthvane::ejection_table table;
    add_upstreams(table, 10);
    for (int step = 0; step < 1000; ++step) {
        table.record_outcome(make_id(0), run_outcome::caller_fault, start, start);
    }
    BOOST_TEST((table.get_state(make_id(0)) == ejection_state::closed));
    fail_often(table, 0, 10);
    BOOST_TEST((table.get_state(make_id(0)) == ejection_state::open));
}

// Guards against ejecting so many upstreams of a failure domain that the rest is overloaded, with any order
// of failures, probes and removals.
BOOST_AUTO_TEST_CASE(at_most_thirty_percent_are_ejected) {
    random_source random(21);
    jacinthvane::ejection_table table;
    add_upstreams(table, 20);
    auto now = start;
    for (int step = 0; step < 20000; ++step) {
        now += milliseconds(pick_below(random, 200));
        const auto id = make_id(static_cast<int>(pick_below(random, 20)));
        if (table.try_admit(id, now)) {
            const bool is_failed = pick_below(random, 10) < 8;
            table.record_outcome(id, is_failed ? run_outcome::failed : run_outcome::succeeded, now, now);
        }
        BOOST_REQUIRE(table.get_ejected_count(domain) <= 6U);
    }
    for (int number = 0; number < 20; ++number) {
        table.remove(make_id(number));
    }
    BOOST_TEST(table.get_ejected_count(domain) == 0U);
}

// Guards against an ejected upstream that never returns, one that gets more than one task as a probe, and one
// that returns because of a task that had started before the ejection.
BOOST_AUTO_TEST_CASE(one_probe_at_a_time_decides) {
    jacinthvane::ejection_table table;
    add_upstreams(table, 10);
    fail_often(table, 0, 10);
    BOOST_TEST(!table.try_admit(make_id(0), start + milliseconds(4999)));
    const auto first_probe = start + seconds(5);
    BOOST_TEST(table.try_admit(make_id(0), first_probe));
    BOOST_TEST(!table.try_admit(make_id(0), first_probe));
    table.record_outcome(make_id(0), run_outcome::succeeded, start, first_probe);
    BOOST_TEST((table.get_state(make_id(0)) == ejection_state::probing));
    table.record_outcome(make_id(0), run_outcome::failed, first_probe, first_probe);
    BOOST_TEST(!table.try_admit(make_id(0), first_probe + milliseconds(9999)));
    const auto second_probe = first_probe + seconds(10);
    BOOST_TEST(table.try_admit(make_id(0), second_probe));
    // The outcome of this probe is lost, so another probe is sent.
    BOOST_TEST(table.try_admit(make_id(0), second_probe + seconds(30)));
    table.record_outcome(make_id(0), run_outcome::succeeded, second_probe + seconds(30),
                         second_probe + seconds(31));
    BOOST_TEST((table.get_state(make_id(0)) == ejection_state::closed));
    BOOST_TEST(table.get_ejected_count(domain) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
