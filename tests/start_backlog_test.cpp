#include <chrono>

#include <boost/test/unit_test.hpp>

#include "process/start_backlog.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));
constexpr milliseconds interval{500};
constexpr std::size_t starts = 50;

// Four seconds with 100 starts a second, and this many tasks that wait all the while.
time_point run_owner(start_backlog& backlog, time_point from, std::size_t waiting, bool is_bound) {
    for (int i = 0; i < 8; ++i) {
        from += interval;
        backlog.update(from, starts, waiting, is_bound);
    }
    return from;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(start_backlog)

// Guards against jobs that are accepted although the owner cannot start their tasks for many seconds.
BOOST_AUTO_TEST_CASE(jobs_are_refused_while_starts_wait_for_the_owner) {
    jacinthvane::start_backlog backlog(start);
    const auto now = run_owner(backlog, start, 1000, true);
    // 1,000 tasks at 100 starts a second take ten seconds.
    BOOST_TEST((backlog.get_expected_wait() >= milliseconds(9000)));
    BOOST_TEST((backlog.get_expected_wait() <= milliseconds(13000)));
    BOOST_TEST(backlog.is_refusing());
    BOOST_TEST((backlog.get_accepts_at() >= now + milliseconds(8000)));
    BOOST_TEST((backlog.get_accepts_at() <= now + backlog.get_expected_wait()));
}

// Guards against refusals when the cell is full: those jobs wait for room, which the bound does not change.
BOOST_AUTO_TEST_CASE(tasks_that_wait_for_room_refuse_no_jobs) {
    jacinthvane::start_backlog backlog(start);
    run_owner(backlog, start, 10000, false);
    BOOST_TEST(!backlog.is_refusing());
}

// Guards against refusals because of a burst that is started within a second.
BOOST_AUTO_TEST_CASE(a_short_burst_refuses_no_jobs) {
    jacinthvane::start_backlog backlog(start);
    run_owner(backlog, start, 80, true);
    BOOST_TEST(!backlog.is_refusing());
}

// Guards against refusals at the first burst after a quiet time, in which there was little to start.
BOOST_AUTO_TEST_CASE(a_burst_after_a_quiet_time_refuses_no_jobs) {
    jacinthvane::start_backlog backlog(start);
    auto now = start;
    for (int i = 0; i < 60; ++i) {
        now += interval;
        backlog.update(now, 1, 0, false);
    }
    run_owner(backlog, now, 80, true);
    BOOST_TEST(!backlog.is_refusing());
}

// Guards against an owner that switches between both answers with each job, and one that refuses for good.
BOOST_AUTO_TEST_CASE(jobs_are_accepted_again_once_the_backlog_is_short) {
    jacinthvane::start_backlog backlog(start);
    auto now = run_owner(backlog, start, 300, true);
    BOOST_TEST(backlog.is_refusing());
    now = run_owner(backlog, now, 100, true);
    BOOST_TEST(backlog.is_refusing());
    now = run_owner(backlog, now, 20, true);
    BOOST_TEST(!backlog.is_refusing());
    now = run_owner(backlog, now, 100, true);
    BOOST_TEST(!backlog.is_refusing());
}

BOOST_AUTO_TEST_SUITE_END()
