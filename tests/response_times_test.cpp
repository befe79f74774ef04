#include <chrono>

#include <boost/test/unit_test.hpp>

#include "process/response_times.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));
constexpr milliseconds waited{500};

// Adds a response in each 10 ms, all with the same time.
time_point add_responses(response_times& times, time_point from, int count, milliseconds time) {
    for (int i = 0; i < count; ++i) {
        from += milliseconds(10);
        times.add(from, time);
    }
    return from;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(response_times)

// Guards against a sound upstream that counts as silent because the link of this process is full.
BOOST_AUTO_TEST_CASE(silence_proves_nothing_while_all_responses_are_slow) {
    jacinthvane::response_times times;
    const auto now = add_responses(times, start, 50, milliseconds(800));
    BOOST_TEST(!times.is_silence_conclusive(start, waited, now));
}

// Guards against an upstream that is gone and counts as sound since a few responses of others were slow.
BOOST_AUTO_TEST_CASE(silence_is_conclusive_while_others_respond) {
    jacinthvane::response_times times;
    auto now = add_responses(times, start, 30, milliseconds(20));
    now = add_responses(times, now, 20, milliseconds(800));
    BOOST_TEST(times.is_silence_conclusive(start, waited, now));
}

// Guards against a process that is cut off from everything and takes all others for gone.
BOOST_AUTO_TEST_CASE(silence_proves_nothing_while_nobody_responds) {
    jacinthvane::response_times times;
    const auto now = add_responses(times, start, 50, milliseconds(20)) + milliseconds(1000);
    BOOST_TEST(!times.is_silence_conclusive(now - waited, waited, now));
}

// Guards against calls that are given up, and sent again, before a response can arrive.
BOOST_AUTO_TEST_CASE(timeouts_follow_the_responses) {
    jacinthvane::response_times times;
    BOOST_TEST((times.get_timeout(milliseconds(600), start) == milliseconds(600)));
    auto now = add_responses(times, start, 50, milliseconds(20));
    BOOST_TEST((times.get_timeout(milliseconds(600), now) == milliseconds(600)));
    now = add_responses(times, now, 200, milliseconds(450));
    BOOST_TEST((times.get_timeout(milliseconds(600), now) >= milliseconds(1800)));
    now = add_responses(times, now, 300, milliseconds(20));
    BOOST_TEST((times.get_timeout(milliseconds(600), now) == milliseconds(600)));
}

// Guards against responses from long ago that decide about a call of now.
BOOST_AUTO_TEST_CASE(responses_are_forgotten) {
    jacinthvane::response_times times;
    const auto now = add_responses(times, start, 50, milliseconds(20)) + std::chrono::hours(1);
    BOOST_TEST(!times.get_median(start, now).has_value());
    times.add(now, milliseconds(450));
    BOOST_TEST((times.get_median(now - milliseconds(1000), now) == milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()
