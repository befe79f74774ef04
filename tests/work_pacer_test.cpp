#include <chrono>

#include <boost/test/unit_test.hpp>

#include "process/work_pacer.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));

// Runs a timer every 50 ms for a second, each of them late by the same time.
time_point run_timers(work_pacer& pacer, time_point from, milliseconds late) {
    for (int i = 0; i < 20; ++i) {
        from += milliseconds(50);
        pacer.add_timer(from, from + late);
    }
    return from;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(work_pacer)

// Guards against an overloaded process that polls as often as an idle one.
BOOST_AUTO_TEST_CASE(pauses_grow_while_timers_are_late) {
    jacinthvane::work_pacer pacer;
    BOOST_TEST(pacer.get_pause().count() == 0);
    auto now = run_timers(pacer, start, milliseconds(200));
    const auto first = pacer.get_pause();
    BOOST_TEST(first.count() > 0);
    now = run_timers(pacer, now, milliseconds(200));
    BOOST_TEST((pacer.get_pause() > first));
    // The shortest lease is several seconds.
    run_timers(pacer, now, milliseconds(200));
    BOOST_TEST((pacer.get_pause() <= milliseconds(1000)));
}

// Guards against an owner that polls rarely because single decisions take long: nothing is queued behind
// them, and rare polls make the next decisions longer still.
BOOST_AUTO_TEST_CASE(a_long_decision_is_no_queue) {
    jacinthvane::work_pacer pacer;
    auto now = start;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(50);
        pacer.add_decision(now - milliseconds(10), now + milliseconds(60));
        pacer.add_timer(now, now + milliseconds(61));
    }
    BOOST_TEST(pacer.get_pause().count() == 0);
    // What the decision did not cause still counts.
    pacer.add_decision(now, now + milliseconds(60));
    pacer.add_timer(now, now + milliseconds(110));
    BOOST_TEST(pacer.get_pause().count() > 0);
}

// Guards against an owner with capacity that polls rarely because each burst of orders makes one timer late:
// its pauses grew to most of a second.
BOOST_AUTO_TEST_CASE(single_late_timers_do_not_lengthen_the_pause) {
    jacinthvane::work_pacer pacer;
    auto now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(50);
        pacer.add_timer(now, now + milliseconds(i % 4 == 0 ? 60 : 20));
    }
    BOOST_TEST(pacer.get_pause().count() > 0);
    BOOST_TEST((pacer.get_pause() <= milliseconds(250)));
}

// Guards against a process that stays slow after a short overload.
BOOST_AUTO_TEST_CASE(pauses_end_after_an_overload) {
    jacinthvane::work_pacer pacer;
    auto now = run_timers(pacer, start, milliseconds(200));
    for (int second = 0; second < 20; ++second) {
        now = run_timers(pacer, now, milliseconds(1));
    }
    BOOST_TEST((pacer.get_pause() < milliseconds(10)));
}

// Guards against an overloaded owner that reads all ends equally late: the processors of short runs stayed
// unused for most of a pause after each of them, and the next step of their job waited.
BOOST_AUTO_TEST_CASE(an_expected_end_shortens_the_pause) {
    jacinthvane::work_pacer pacer;
    auto now = run_timers(pacer, start, milliseconds(200));
    now = run_timers(pacer, now, milliseconds(200));
    const auto regular = now + pacer.get_pause();
    BOOST_REQUIRE((pacer.get_pause() > milliseconds(500)));
    BOOST_TEST((pacer.get_next_poll(now, now + milliseconds(400)) == now + milliseconds(400)));
    BOOST_TEST((pacer.get_next_poll(now, time_point::max()) == regular));
    // An end that does not come does not bring back the polls without a pause.
    const auto overdue = pacer.get_next_poll(now, now - milliseconds(3000));
    BOOST_TEST((overdue > now + milliseconds(100)));
    BOOST_TEST((overdue < regular));
}

// Guards against a pause that an idle process does not need.
BOOST_AUTO_TEST_CASE(an_expected_end_delays_no_poll) {
    const jacinthvane::work_pacer pacer;
    BOOST_TEST((pacer.get_next_poll(start, start + milliseconds(400)) == start));
    BOOST_TEST((pacer.get_next_poll(start, time_point::max()) == start));
}

BOOST_AUTO_TEST_SUITE_END()
