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

// Guards against a process that stays slow after a short overload.
BOOST_AUTO_TEST_CASE(pauses_end_after_an_overload) {
    jacinthvane::work_pacer pacer;
    auto now = run_timers(pacer, start, milliseconds(200));
    for (int second = 0; second < 20; ++second) {
        now = run_timers(pacer, now, milliseconds(1));
    }
    BOOST_TEST((pacer.get_pause() < milliseconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
