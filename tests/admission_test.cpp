#include "request/admission.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "process/random_source.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));

bool accept_any(const waiting_request&) {
    return true;
}

waiting_request make_request(admission_ticket ticket, const std::string& team, task_class work_class,
                             time_point now, milliseconds time_left = milliseconds(60000)) {
    return {.ticket = ticket,
            .team = team_id(team),
            .work_class = work_class,
            .size = {1000, 1000, 0, 1},
            .enqueued_at = now,
            .deadline = now + time_left,
            .expected_run = milliseconds(100)};
}

bool is_granted(const admission_decision& decision) {
    return std::holds_alternative<admission_grant>(decision);
}

// Simulates one server that needs 10 ms for each request, and returns the number of requests that finished in
// time.
int run_overload(int arrivals_per_100_ms, std::uint64_t seed) {
    random_source random(seed);
    admission_queue queue;
    admission_ticket ticket = 0;
    int in_time = 0;
    time_point free_at = start;
    for (int tick = 0; tick < 60000; ++tick) {
        const auto now = start + milliseconds(tick);
        if (static_cast<int>(pick_below(random, 100)) < arrivals_per_100_ms) {
            ++ticket;
            auto request = make_request(ticket, "t" + std::to_string(ticket % 5), task_class::urgent, now,
                                        milliseconds(500));
            request.expected_run = milliseconds(10);
            queue.offer(request, now);
        }
        queue.remove_expired(now);
        if (now < free_at) {
            continue;
        }
        const auto taken = queue.take_next(now, accept_any);
        if (taken) {
            free_at = now + milliseconds(10);
            in_time += free_at <= taken->deadline ? 1 : 0;
        }
    }
    return in_time;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against goodput that collapses under overload because requests that are already too late are served.
// At three times the load, the goodput must be at least 90% of the goodput at capacity.
BOOST_AUTO_TEST_CASE(goodput_holds_at_three_times_capacity) {
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        const int at_capacity = run_overload(10, seed);
        const int at_three_times = run_overload(30, seed);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << at_three_times << " of " << at_capacity);
        BOOST_TEST(at_three_times * 10 >= at_capacity * 9,
                   "seed " << seed << ": " << at_three_times << " of " << at_capacity);
    }
}

// Guards against an urgent request that is refused while batch requests fill the queue, and against an
// accepted job that is shed although its acceptance is durable (I10).
BOOST_AUTO_TEST_CASE(batch_is_shed_first_and_accepted_jobs_never) {
    admission_queue queue({.total_limit = 4, .urgent_limit = 4, .batch_limit = 4, .team_permille = 1000});
    for (admission_ticket ticket = 1; ticket <= 4; ++ticket) {
        auto request = make_request(ticket, "batch", task_class::batch, start);
        request.is_accepted_job = ticket <= 2;
        BOOST_REQUIRE(is_granted(queue.offer(request, start)));
    }
    std::set<admission_ticket> shed;
    for (admission_ticket ticket = 5; ticket <= 6; ++ticket) {
        const auto decision = queue.offer(make_request(ticket, "urgent", task_class::urgent, start), start);
        BOOST_REQUIRE(is_granted(decision));
        for (const auto& one : std::get<admission_grant>(decision).shed) {
            shed.insert(one.ticket);
        }
    }
    BOOST_TEST((shed == std::set<admission_ticket>{3, 4}));
    const auto refused = queue.offer(make_request(7, "urgent", task_class::urgent, start), start);
    BOOST_REQUIRE(!is_granted(refused));
    BOOST_TEST((std::get<admission_refusal>(refused).kind == error_kind::overloaded));
    BOOST_TEST(std::get<admission_refusal>(refused).retry_after.count() > 0);
    BOOST_TEST(!is_granted(queue.offer(make_request(8, "b2", task_class::batch, start), start)));
    BOOST_TEST(queue.get_count(task_class::batch) == 2U);
}

// Guards against one team that fills the queue and delays all other teams.
BOOST_AUTO_TEST_CASE(busy_team_does_not_delay_others_beyond_its_weight) {
    admission_queue queue;
    queue.set_team_weights({{team_id("heavy"), 2.0}});
    admission_ticket ticket = 0;
    for (int number = 0; number < 300; ++number) {
        queue.offer(make_request(++ticket, "heavy", task_class::urgent, start), start);
    }
    for (int number = 0; number < 100; ++number) {
        queue.offer(make_request(++ticket, "light", task_class::urgent, start), start);
    }
    int light = 0;
    for (int number = 0; number < 150; ++number) {
        light += queue.take_next(start, accept_any).value().team == team_id("light") ? 1 : 0;
    }
    BOOST_TEST(light >= 49);
    BOOST_TEST(light <= 51);
}

// Guards against requests of one team taken out of order: older first, and by deadline when equally old.
BOOST_AUTO_TEST_CASE(older_requests_come_first_then_earlier_deadlines) {
    admission_queue queue;
    queue.offer(make_request(1, "a", task_class::urgent, start, milliseconds(5000)), start);
    queue.offer(make_request(2, "a", task_class::urgent, start, milliseconds(2000)), start);
    queue.offer(make_request(3, "a", task_class::urgent, start + milliseconds(1000), milliseconds(500)),
                start);
    std::vector<admission_ticket> order;
    while (const auto taken = queue.take_next(start, accept_any)) {
        order.push_back(taken->ticket);
    }
    BOOST_TEST(order == (std::vector<admission_ticket>{2, 1, 3}), boost::test_tools::per_element());
}

// Guards against starvation of a large request because smaller requests always fit first.
BOOST_AUTO_TEST_CASE(large_request_is_not_overtaken_indefinitely) {
    admission_queue queue;
    auto large = make_request(1, "a", task_class::batch, start);
    large.size = {16000, 1000, 0, 1};
    queue.offer(large, start);
    int overtakes = 0;
    const auto fits_small = [](const waiting_request& one) {
        return one.size.get_processors_milli() <= 1000;
    };
    for (admission_ticket ticket = 2; ticket < 1000; ++ticket) {
        queue.offer(make_request(ticket, "a", task_class::batch, start), start);
        overtakes += queue.take_next(start, fits_small) ? 1 : 0;
    }
    BOOST_TEST(overtakes <= 100);
    BOOST_TEST(queue.take_next(start, accept_any).value().ticket == 1U);
}

// Guards against requests that leave the queue without a response: after any sequence of calls, each granted
// request is in exactly one of the states taken, shed, expired, cancelled and waiting.
BOOST_AUTO_TEST_CASE(each_granted_request_leaves_exactly_once) {
    random_source random(99);
    admission_queue queue({.total_limit = 50, .urgent_limit = 30, .batch_limit = 40});
    std::set<admission_ticket> waiting;
    admission_ticket ticket = 0;
    for (int step = 0; step < 20000; ++step) {
        const auto now = start + milliseconds(step * 5);
        const auto work_class = pick_below(random, 2) == 0 ? task_class::urgent : task_class::batch;
        // Drawn one by one: the order in which arguments are evaluated depends on the compiler.
        const auto team = "t" + std::to_string(pick_below(random, 6));
        const milliseconds time_left(100 + pick_below(random, 1000));
        const auto request = make_request(++ticket, team, work_class, now, time_left);
        const auto decision = queue.offer(request, now);
        if (const auto* grant = std::get_if<admission_grant>(&decision)) {
            waiting.insert(ticket);
            for (const auto& one : grant->shed) {
                BOOST_REQUIRE(waiting.erase(one.ticket) == 1);
            }
        }
        if (pick_below(random, 3) == 0) {
            const auto taken = queue.take_next(now, [&](const auto&) { return pick_below(random, 4) != 0; });
            BOOST_REQUIRE(!taken || waiting.erase(taken->ticket) == 1);
        }
        const admission_ticket cancelled = 1 + pick_below(random, static_cast<std::uint32_t>(ticket));
        const bool was_waiting = waiting.contains(cancelled);
        const bool is_cancelled = queue.cancel(cancelled);
        BOOST_REQUIRE((!is_cancelled || waiting.erase(cancelled) == 1));
        // A request that has expired in this step can no longer be cancelled; it has to be among the expired.
        bool has_expired = false;
        for (const auto& one : queue.remove_expired(now)) {
            BOOST_REQUIRE(waiting.erase(one.ticket) == 1);
            has_expired = has_expired || one.ticket == cancelled;
        }
        BOOST_REQUIRE(was_waiting == (is_cancelled || has_expired));
        BOOST_REQUIRE(queue.get_count(task_class::urgent) + queue.get_count(task_class::batch) ==
                      waiting.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
