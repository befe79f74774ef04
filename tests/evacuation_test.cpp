#include <algorithm>
#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds bound{5000};
const failure_domain_id domain("zone0");

cell_limits make_limits() {
    cell_limits limits;
    limits.evacuation_bound = bound;
    return limits;
}

// Two upstreams in each of two failure domains. Records the start orders in the one that is evacuated.
struct evacuation_cell : cell_fixture {
    explicit evacuation_cell(std::size_t upstream_count = 4)
        : cell_fixture(upstream_count, {4000, 64000, 0, 0}, make_limits()) {
        loses_order = [this](const upstream_order& order) {
            const auto* start = std::get_if<start_order>(&order);
            starts_there += start != nullptr && is_there(start->upstream) ? 1U : 0U;
            return start != nullptr && loses_starts;
        };
        run_for(milliseconds(100));
    }

    bool is_there(const upstream_id& id) const {
        return scheduler->find_upstream(id)->entry.failure_domain == domain;
    }
    std::size_t count_running_there() const {
        std::size_t running = 0;
        for (const auto& entry : entries) {
            running += is_there(entry.id) ? upstreams.count_running(entry.id) : 0;
        }
        return running;
    }
    // Reads the evacuations at once, without a decision.
    void begin() {
        evacuated.insert(domain);
        scheduler->apply_evacuations({{{domain, false}}, 2}, true, clock->get_now(), clock->get_now());
    }

    std::size_t starts_there = 0;
    bool loses_starts = false;
};

accepted_job make_job(std::uint32_t tasks, bool is_long_running = false) {
    auto step = cell_fixture::make_step(tasks);
    step.is_long_running = is_long_running;
    return cell_fixture::make_job({step});
}

}  // namespace

// No task starts in a failure domain that is evacuated.
BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_CASE(nothing_starts_in_the_domain_until_the_end) {
    evacuation_cell cell;
    cell.evacuated = {domain};
    cell.add_job("job", make_job(16), 60000);
    cell.run_for(seconds(2));
    BOOST_TEST(cell.starts_there == 0U);
    BOOST_TEST(cell.upstreams.count_running() == 8U);
    cell.evacuated.clear();
    cell.run_for(seconds(4));
    BOOST_TEST(cell.count_running_there() == 8U);
}

// Guards against tasks that are stopped because their failure domain is evacuated.
BOOST_AUTO_TEST_CASE(runs_in_the_domain_go_on) {
    evacuation_cell cell;
    cell.prove_upstreams();
    cell.add_job("finite", make_job(8), 60000);
    cell.add_job("lasting", make_job(8, true));
    cell.run_for(seconds(2));
    BOOST_REQUIRE(cell.count_running_there() == 8U);
    const auto starts = cell.upstreams.get_start_count();
    cell.begin();
    cell.run_for(seconds(8));
    BOOST_TEST(cell.count_running_there() == 8U);
    BOOST_TEST(cell.upstreams.get_start_count() == starts);
}

// Guards against a start that was decided before the evacuation and is sent after, and against a task that
// waits, or avoids the upstream later, because its start was withdrawn.
BOOST_AUTO_TEST_CASE(a_decided_start_is_withdrawn_and_decided_elsewhere_at_once) {
    evacuation_cell cell;
    cell.evacuated = {failure_domain_id("zone1")};
    cell.run_for(milliseconds(100));
    cell.add_job("job", make_job(1));
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(decisions.orders.size() == 1U);
    const auto start = std::get<start_order>(decisions.orders.front());
    BOOST_REQUIRE(cell.is_there(start.upstream));
    const auto now = cell.clock->get_now();
    BOOST_TEST(cell.scheduler->is_start_pending(start, now));
    cell.begin();
    BOOST_TEST(!cell.scheduler->is_start_pending(start, now));
    cell.evacuated = {domain};
    cell.scheduler->apply_evacuations({{{domain, false}}, 3}, true, now, now);
    cell.scheduler->apply_order_response(start, {order_result::withdrawn, 0}, cell.read_clock());
    const auto later = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(later.orders.size() == 1U);
    BOOST_TEST(!cell.is_there(std::get<start_order>(later.orders.front()).upstream));
}

// Guards against a start without a response that is sent again during the evacuation. Its task must run
// elsewhere.
BOOST_AUTO_TEST_CASE(a_start_is_not_sent_again) {
    evacuation_cell cell;
    cell.evacuated = {failure_domain_id("zone1")};
    cell.loses_starts = true;
    cell.add_job("job", make_job(1), 60000);
    cell.run_for(milliseconds(40));
    BOOST_REQUIRE(cell.starts_there == 1U);
    cell.evacuated = {domain};
    cell.loses_starts = false;
    cell.run_for(seconds(3));
    BOOST_TEST(cell.starts_there == 1U);
    BOOST_TEST(cell.upstreams.count_running() == 1U);
}

// Guards against a long-running task that starts in the domain once its location is durable.
BOOST_AUTO_TEST_CASE(a_start_that_waits_for_its_record_is_withdrawn) {
    evacuation_cell cell;
    cell.evacuated = {failure_domain_id("zone1")};
    cell.delays_commits = true;
    cell.add_job("job", make_job(1, true));
    cell.run_for(milliseconds(100));
    cell.evacuated = {domain};
    cell.run_for(milliseconds(100));
    cell.delays_commits = false;
    cell.run_for(seconds(1));
    BOOST_TEST(cell.starts_there == 0U);
    BOOST_TEST(cell.upstreams.count_running() == 1U);
}

// Guards against members of a gang that hold room elsewhere after others were withdrawn.
BOOST_AUTO_TEST_CASE(a_gang_with_members_in_the_domain_starts_elsewhere) {
    evacuation_cell cell;
    cell.prove_upstreams();
    cell.run_for(seconds(1));
    auto job = make_job(8);
    job.spec.steps.front().is_gang = true;
    job.spec.steps.front().max_per_upstream = 2;
    cell.add_job("gang", job, 500);
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(decisions.orders.size() == 8U);
    cell.begin();
    for (const auto& order : decisions.orders) {
        const bool is_sent =
            cell.scheduler->is_start_pending(std::get<start_order>(order), cell.clock->get_now());
        const auto response =
            is_sent ? cell.upstreams.send_now(order, cell.token) : order_response{order_result::withdrawn, 0};
        cell.scheduler->apply_order_response(order, response, cell.read_clock());
    }
    cell.starts_there = 0;
    cell.run_for(seconds(2));
    BOOST_TEST((cell.get_state("gang") == job_phase::running));
    BOOST_TEST(cell.upstreams.count_running() == 0U);
    cell.add_upstream("u4", {4000, 64000, 0, 0});
    cell.add_upstream("u5", {4000, 64000, 0, 0});
    cell.add_upstream("u6", {4000, 64000, 0, 0});
    cell.add_upstream("u7", {4000, 64000, 0, 0});
    cell.run_for(seconds(4));
    BOOST_TEST((cell.get_state("gang") == job_phase::done));
    BOOST_TEST(cell.starts_there == 0U);
}

// Guards against starts that rely on a view that is too old, while the store cannot be read.
BOOST_AUTO_TEST_CASE(nothing_starts_while_the_view_is_too_old) {
    evacuation_cell cell;
    cell.is_store_readable = false;
    cell.run_for(bound);
    cell.add_job("job", make_job(1), 60000);
    cell.run_for(seconds(5));
    BOOST_TEST(cell.upstreams.count_running() == 0U);
    BOOST_TEST(cell.scheduler->find_upstream(cell.entries.front().id)->is_unresponsive == false);
    cell.is_store_readable = true;
    cell.run_for(milliseconds(100));
    BOOST_TEST(cell.upstreams.count_running() == 1U);
}

// Guards against a start order that is held up on its way and takes effect after the bound.
BOOST_AUTO_TEST_CASE(a_start_takes_effect_before_the_bound_or_not_at_all) {
    evacuation_cell cell(1);
    cell.is_store_readable = false;
    const auto confirmed_at = cell.clock->get_now();
    cell.run_for(milliseconds(4000));
    cell.add_job("job", make_job(1), 60000);
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(decisions.orders.size() == 1U);
    cell.clock->advance(
        std::chrono::duration_cast<milliseconds>(confirmed_at + bound - cell.clock->get_now()));
    const auto response = cell.upstreams.send_now(decisions.orders.front(), cell.token);
    BOOST_TEST((response.result == order_result::refused_late));
}

// Guards against an owner that starts tasks in the domain before it knows of the evacuation, and against one
// that ends the runs there.
BOOST_AUTO_TEST_CASE(a_new_owner_starts_nothing_in_the_domain) {
    evacuation_cell cell;
    cell.prove_upstreams();
    cell.add_job("job", make_job(4), 60000);
    cell.run_for(seconds(1));
    const auto running = cell.count_running_there();
    cell.begin();
    cell.starts_there = 0;
    cell.is_store_readable = false;
    cell.take_over();
    cell.add_job("later", make_job(12), 60000);
    cell.run_for(seconds(2));
    BOOST_TEST(cell.upstreams.count_running() == 4U);
    cell.is_store_readable = true;
    cell.run_for(seconds(2));
    BOOST_TEST(cell.starts_there == 0U);
    BOOST_TEST(cell.count_running_there() == running);
    BOOST_TEST(cell.upstreams.count_running() == 8U + running);
}

// Guards against starts on an upstream that moves into the domain or restarts there.
BOOST_AUTO_TEST_CASE(the_entry_at_the_time_of_the_order_decides) {
    evacuation_cell cell(2);
    cell.evacuated = {domain};
    cell.add_job("job", make_job(8), 60000);
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.count_running() == 4U);
    auto& entry = cell.entries.front();
    entry.boot_unix_ms = 2;
    cell.upstreams.restart(entry.id, entry.boot_unix_ms);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.run_for(seconds(8));
    BOOST_TEST(cell.starts_there == 0U);
    entry.failure_domain = failure_domain_id("zone1");
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.run_for(seconds(8));
    BOOST_TEST(cell.upstreams.count_running() == 8U);
}

// Guards against tickets that are held for upstreams in the domain, so that no others are requested.
BOOST_AUTO_TEST_CASE(tickets_for_the_domain_are_replaced) {
    evacuation_cell cell(2);
    dispatch_config config;
    queue_settings queue;
    queue.rules = make_job(1).rules;
    queue.advice.emplace();
    config.queues.push_back(queue);
    cell.scheduler->set_queues(
        std::make_shared<const queue_index>(std::make_shared<const dispatch_config>(config)));
    cell.add_job("job", make_job(1));
    cell.is_polling = false;
    const auto decide = [&] { return cell.scheduler->decide(cell.read_clock(), true); };
    const auto request = decide().advice.front();
    const auto valid_until = cell.clock->get_now() + seconds(60);
    const upstream_id there("u0");
    cell.scheduler->apply_advice(request, {{there, "ticket"}}, valid_until, cell.clock->get_now());
    cell.begin();
    const auto next = decide();
    BOOST_TEST(next.orders.empty());
    BOOST_REQUIRE(next.advice.size() == 1U);
    // Also one that was requested before the evacuation.
    cell.scheduler->apply_advice(next.advice.front(), {{there, "ticket"}}, valid_until,
                                 cell.clock->get_now());
    BOOST_TEST(decide().orders.empty());
}

// Guards against all waiting tasks in one domain whose upstreams may be cold, against capacity that stays
// unused although they are fast, and against long-running tasks that wait for it.
BOOST_AUTO_TEST_CASE(load_returns_as_reports_show_the_speed) {
    for (const bool is_slow : {false, true}) {
        evacuation_cell cell(1);
        cell.evacuated = {domain};
        cell.run_for(milliseconds(100));
        auto job = make_job(200);
        job.spec.steps.front().size = {100, 100, 0, 0};
        job.spec.steps.front().estimated_ms = 60000;
        cell.add_job("job", job, is_slow ? 240000 : 60000);
        auto lasting = make_job(10, true);
        lasting.spec.steps.front().size = {10, 10, 0, 0};
        cell.evacuated.clear();
        cell.run_for(milliseconds(500));
        BOOST_TEST(cell.upstreams.count_running() == 4U);
        cell.add_job("lasting", lasting);
        cell.run_for(seconds(3));
        BOOST_TEST(cell.upstreams.count_running() == (is_slow ? 14U : 49U));
        cell.run_for(seconds(2));
        BOOST_TEST(cell.upstreams.count_running() == 49U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
