#include <algorithm>
#include <chrono>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/link_pacer.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t max_starts = jacinthvane::link_pacer::max_starts_in_flight;
constexpr std::size_t start_bytes = 1600;
constexpr std::size_t poll_bytes = 1200;
const time_point start = time_point(std::chrono::hours(1));

// Starts as many tasks as the pacer allows and returns their number.
std::size_t fill_link(link_pacer& pacer) {
    std::size_t starts = 0;
    while (pacer.get_free_starts() > 0) {
        pacer.begin_start(start_bytes);
        ++starts;
    }
    return starts;
}

// Polls upstreams that respond after 400 ms, each again once the pacer allows it. Returns the number of
// polls.
std::size_t run_polls(link_pacer& pacer, std::size_t upstreams, int seconds) {
    constexpr milliseconds response_time{400};
    constexpr milliseconds step{10};
    std::vector<time_point> started(upstreams, start - response_time);
    std::size_t polls = 0;
    for (auto now = start; now < start + std::chrono::seconds(seconds); now += step) {
        for (auto& last : started) {
            if (now >= last + std::max(response_time, pacer.get_poll_pause(now))) {
                pacer.add_poll(now, poll_bytes / 3, poll_bytes);
                last = now;
                ++polls;
            }
        }
    }
    return polls;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(link_pacer)

// Guards against start orders that fill the queue of a narrow link, in which the polls wait too until leases
// end: 2 Mbit/s carry 250 bytes in a millisecond.
BOOST_AUTO_TEST_CASE(start_orders_in_flight_fit_a_narrow_link) {
    constexpr std::size_t bytes_per_ms = 250;
    constexpr std::size_t max_queue_ms = 200;
    jacinthvane::link_pacer pacer(2);
    fill_link(pacer);
    BOOST_TEST(pacer.is_link_narrow());
    BOOST_TEST(pacer.get_bytes_in_flight() <= bytes_per_ms * max_queue_ms);
    BOOST_TEST(pacer.get_bytes_in_flight() > 0U);
    pacer.end_start(start_bytes);
    BOOST_TEST(pacer.get_free_starts() == 1U);
}

// Guards against a bound that a fast link, or one of unknown rate, does not need.
BOOST_AUTO_TEST_CASE(a_fast_link_carries_all_start_orders) {
    for (const std::int64_t link_mbps : {0, 200, 1000}) {
        jacinthvane::link_pacer pacer(link_mbps);
        BOOST_TEST(fill_link(pacer) == max_starts);
        BOOST_TEST(!pacer.is_link_narrow());
    }
}

// Guards against leases that end since polls and start orders share a link that carries either of them.
BOOST_AUTO_TEST_CASE(polls_leave_room_on_a_narrow_link) {
    jacinthvane::link_pacer pacer(2);
    constexpr int seconds = 10;
    constexpr std::size_t upstreams = 144;
    const auto polls = run_polls(pacer, upstreams, seconds);
    // Half of the link, and the first polls of all upstreams, which nothing came before.
    BOOST_TEST(polls * poll_bytes <= 125'000U * seconds + upstreams * poll_bytes);
    // Several polls of each upstream fit into the shortest lease.
    BOOST_TEST(polls >= upstreams * seconds / 2);
}

// Guards against polls that a fast link would carry and that are held back.
BOOST_AUTO_TEST_CASE(a_fast_link_needs_no_pause_between_polls) {
    for (const std::int64_t link_mbps : {0, 200, 1000}) {
        jacinthvane::link_pacer pacer(link_mbps);
        run_polls(pacer, 890, 10);
        const auto end = start + std::chrono::seconds(10);
        BOOST_TEST((pacer.get_poll_pause(end) == milliseconds(0)));
    }
}

// Guards against a queue that other traffic has filled, and that start orders lengthen.
BOOST_AUTO_TEST_CASE(slow_responses_reduce_what_is_in_flight) {
    jacinthvane::link_pacer pacer(0);
    pacer.set_response_time(milliseconds(1000));
    const auto starts = fill_link(pacer);
    BOOST_TEST(starts <= max_starts / 2);
    BOOST_TEST(starts > 0U);
    pacer.set_response_time(milliseconds(30));
    BOOST_TEST(starts + fill_link(pacer) == max_starts);
}

BOOST_AUTO_TEST_SUITE_END()
