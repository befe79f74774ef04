#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"
#include "version/advice_calls.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Steps that start only on upstreams for which an advice service issues tickets.

namespace {

constexpr milliseconds valid_time{3000};

// A cell whose only queue needs advice, and the answers of its advice service.
struct advised_cell : cell_fixture {
    explicit advised_cell(std::size_t upstreams, const advice_settings& settings = {100, 10, 3000})
        : cell_fixture(upstreams), advice(settings) {
        dispatch_config config;
        queue_settings queue;
        queue.rules = make_job({}).rules;
        queue.advice = advice;
        config.queues.push_back(queue);
        scheduler->set_queues(
            std::make_shared<const queue_index>(std::make_shared<const dispatch_config>(config)));
        run_for(milliseconds(200));
        prove_upstreams_with_tickets();
    }

    // Decides, and returns the calls that result.
    std::vector<advice_request> decide() {
        clock->advance(milliseconds(20));
        auto decisions = scheduler->decide(read_clock(), true);
        for (const auto& order : decisions.orders) {
            starts += std::holds_alternative<start_order>(order) ? 1 : 0;
            scheduler->apply_order_response(order, upstreams.send_now(order, token), read_clock());
        }
        return decisions.advice;
    }

    advice_request decide_one_call() {
        const auto calls = decide();
        BOOST_REQUIRE_EQUAL(calls.size(), 1U);
        return calls.front();
    }

    // The service answers after the time that the settings give.
    void answer(const advice_request& request) {
        clock->advance(milliseconds(advice.decide_ms) +
                       milliseconds(advice.interval_ms) * request.upstreams.size());
        std::vector<std::pair<upstream_id, std::string>> tickets;
        for (const auto& id : request.upstreams) {
            if (is_any_allowed || allowed.contains(id)) {
                tickets.emplace_back(id, "ticket");
            }
        }
        const auto now = clock->get_now();
        scheduler->apply_advice(request, tickets, now + valid_time, now);
    }

    void fail(const advice_request& request, milliseconds after_expected) {
        clock->advance(std::chrono::duration_cast<milliseconds>(request.expected_at - clock->get_now()) +
                       after_expected);
        scheduler->record_failed_advice(request, clock->get_now());
    }

    // Answers all calls until the job is done or the time has passed.
    void answer_for(milliseconds span) {
        const auto end = clock->get_now() + span;
        while (clock->get_now() < end) {
            for (const auto& request : decide()) {
                answer(request);
            }
            run_polls();
        }
    }

    void run_polls() {
        for (const auto& entry : entries) {
            const auto poll = scheduler->make_poll(entry.id, clock->get_now(), true, true);
            const auto response = upstreams.poll_now(entry.address, poll, token);
            scheduler->apply_report(entry.id, response.report, read_clock());
        }
    }

    // A task that fills an upstream.
    void add_full_tasks(const std::string& id, std::uint32_t tasks, bool is_gang = false) {
        auto step = make_step(tasks, 16000);
        step.is_gang = is_gang;
        add_job(id, make_job({step}), 60000);
    }

    const advice_settings advice;
    bool is_any_allowed = false;
    std::set<upstream_id> allowed;
    std::size_t starts = 0;

private:
    // Has each upstream accept a start, so that it may get several at a time.
    void prove_upstreams_with_tickets() {
        is_any_allowed = true;
        add_job("proof", make_job({make_step(static_cast<std::uint32_t>(entries.size() * 2))}), 100);
        answer_for(seconds(10));
        is_any_allowed = false;
        starts = 0;
    }
};

bool names(const advice_request& request, const upstream_id& id) {
    return std::find(request.upstreams.begin(), request.upstreams.end(), id) != request.upstreams.end();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_advice)

// Guards against a limit of the call that does not follow from the times of the service: answers that came
// later than 3 s were thrown away.
BOOST_AUTO_TEST_CASE(the_answer_is_expected_after_the_time_that_the_queue_gives) {
    advised_cell cell(30, {1100, 100, 5000});
    cell.add_full_tasks("job", 1);
    const auto request = cell.decide_one_call();
    const auto length = milliseconds(1100) + milliseconds(100) * request.upstreams.size();
    BOOST_TEST((request.expected_at == cell.clock->get_now() + length));
    BOOST_TEST((request.useful_until == request.expected_at + milliseconds(5000)));
}

// Guards against calls that name a fixed number of upstreams: too many where each takes long, too few where
// none takes any time or many tasks wait.
BOOST_AUTO_TEST_CASE(the_number_of_upstreams_in_a_call_follows_from_the_times) {
    BOOST_TEST(get_advice_call_size({100, 0, 3000}, 1) == 100U);
    BOOST_TEST(get_advice_call_size({100, 10, 3000}, 1) == 20U);
    BOOST_TEST(get_advice_call_size({600, 10, 3000}, 1) == 60U);
    BOOST_TEST(get_advice_call_size({100, 10, 3000}, 50) == 50U);
    BOOST_TEST(get_advice_call_size({100, 10, 3000}, 5000) == 100U);
    BOOST_TEST(get_advice_call_size({100, 500, 3000}, 50) == 3U);
    BOOST_TEST(get_advice_call_size({100, 5000, 3000}, 50) == 1U);
    BOOST_TEST(get_advice_call_size({100, 10, 0}, 50) == 50U);
}

// Guards against a call that is repeated in the same form for ever after it has ended late.
BOOST_AUTO_TEST_CASE(a_call_that_ended_late_is_repeated_with_fewer_upstreams) {
    advised_cell cell(30);
    cell.add_full_tasks("job", 1);
    auto request = cell.decide_one_call();
    for (const std::size_t expected : {10U, 5U, 2U, 1U, 1U}) {
        cell.fail(request, milliseconds(1000));
        BOOST_TEST(cell.decide().empty());
        cell.clock->advance(seconds(2));
        request = cell.decide_one_call();
        BOOST_TEST(request.upstreams.size() == expected);
    }
    cell.answer(request);
    BOOST_TEST(cell.decide_one_call().upstreams.size() == 20U);
}

// Guards against smaller calls after failures that are no matter of time, as a service that is overloaded.
BOOST_AUTO_TEST_CASE(a_call_that_was_refused_is_repeated_later) {
    advised_cell cell(30);
    cell.add_full_tasks("job", 1);
    const auto request = cell.decide_one_call();
    cell.fail(request, milliseconds(-100));
    BOOST_TEST(cell.decide().empty());
    cell.clock->advance(milliseconds(300));
    BOOST_TEST((cell.decide_one_call().upstreams == request.upstreams));
}

// Guards against a gang that never holds enough tickets at a time, since the upstreams that it may use are
// spread over several calls.
BOOST_AUTO_TEST_CASE(a_gang_collects_tickets_over_several_calls) {
    advised_cell cell(90);
    for (const int number : {3, 40, 60, 85}) {
        cell.allowed.insert(upstream_id("u" + std::to_string(number)));
    }
    cell.add_full_tasks("gang", 4, true);
    cell.answer_for(seconds(6));
    BOOST_TEST(cell.starts == 4U);
}

// Guards against the same where one round of calls takes longer than tickets are valid: upstreams that were
// allowed before are asked about together.
BOOST_AUTO_TEST_CASE(upstreams_that_were_allowed_are_asked_about_first) {
    advised_cell cell(90, {1000, 20, 3000});
    for (const int number : {3, 40, 60, 85}) {
        cell.allowed.insert(upstream_id("u" + std::to_string(number)));
    }
    cell.add_full_tasks("gang", 4, true);
    cell.answer_for(seconds(14));
    BOOST_TEST(cell.starts == 4U);
}

// Guards against a step that waits until the ticket for an upstream that is lost or full has run out.
BOOST_AUTO_TEST_CASE(further_tickets_are_requested_while_tasks_wait) {
    advised_cell cell(2);
    cell.allowed = {upstream_id("u0")};
    cell.add_full_tasks("job", 1);
    cell.scheduler->mark_unresponsive(upstream_id("u1"), cell.clock->get_now());
    cell.answer(cell.decide_one_call());
    cell.scheduler->mark_unresponsive(upstream_id("u0"), cell.clock->get_now());
    cell.run_polls();
    cell.scheduler->mark_unresponsive(upstream_id("u0"), cell.clock->get_now());
    BOOST_TEST(names(cell.decide_one_call(), upstream_id("u1")));
}

// Guards against calls about upstreams for which the answer is known.
BOOST_AUTO_TEST_CASE(refused_upstreams_are_asked_about_again_only_later) {
    advised_cell cell(4);
    cell.add_full_tasks("job", 1);
    cell.answer(cell.decide_one_call());
    BOOST_TEST(cell.decide().empty());
    cell.clock->advance(seconds(5));
    BOOST_TEST(cell.decide_one_call().upstreams.size() == 4U);
}

// Guards against a start that is refused again and again for a ticket that its upstream does not accept.
BOOST_AUTO_TEST_CASE(a_ticket_that_was_refused_is_replaced) {
    advised_cell cell(1);
    cell.is_any_allowed = true;
    cell.add_full_tasks("job", 1);
    cell.answer(cell.decide_one_call());
    cell.clock->advance(milliseconds(20));
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE_EQUAL(decisions.orders.size(), 1U);
    cell.scheduler->apply_order_response(decisions.orders.front(), {order_result::refused_ticket, 0},
                                         cell.read_clock());
    cell.clock->advance(milliseconds(300));
    BOOST_TEST(cell.decide_one_call().upstreams.size() == 1U);
}

// Guards against more calls than the service accepts: it serves those of a process one after the other, and
// a call that waits behind others takes longer.
BOOST_AUTO_TEST_CASE(calls_wait_for_each_other) {
    advised_cell cell(4);
    for (int i = 0; i < 40; ++i) {
        cell.add_full_tasks("job" + std::to_string(i), 1);
    }
    auto calls = cell.decide();
    BOOST_REQUIRE_EQUAL(calls.size(), 2U);
    const auto length = milliseconds(100) + milliseconds(10) * 4;
    BOOST_TEST((calls[1].expected_at == calls[0].expected_at + length));
    BOOST_TEST(cell.decide().empty());
    std::set<job_id> asked{calls[0].step.job, calls[1].step.job};
    // Each step has its turn before one is asked about twice.
    while (asked.size() < 40) {
        const auto before = asked.size();
        cell.answer(calls.front());
        calls.erase(calls.begin());
        for (const auto& call : cell.decide()) {
            asked.insert(call.step.job);
            calls.push_back(call);
        }
        BOOST_REQUIRE_GT(asked.size(), before);
    }
}

BOOST_AUTO_TEST_SUITE_END()
