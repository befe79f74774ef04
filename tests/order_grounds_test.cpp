#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Start orders of the cell, in the order in which they were decided. All of them get no response.
struct lost_starts {
    explicit lost_starts(cell_fixture& cell) {
        cell.loses_order = [this](const upstream_order& order) {
            const auto* start = std::get_if<start_order>(&order);
            if (start != nullptr) {
                orders.push_back(*start);
            }
            return start != nullptr;
        };
    }

    std::size_t count_on(const upstream_id& upstream) const {
        return static_cast<std::size_t>(std::count_if(
            orders.begin(), orders.end(), [&](const auto& order) { return order.upstream == upstream; }));
    }

    std::vector<start_order> orders;
};

upstream_entry find_entry(const cell_fixture& cell, const upstream_id& id) {
    for (const auto& entry : cell.entries) {
        if (entry.id == id) {
            return entry;
        }
    }
    BOOST_FAIL("there is no upstream " + id.get());
    return {};
}

accepted_job make_job(bool is_long_running) {
    auto step = cell_fixture::make_step(1, 1000);
    step.is_long_running = is_long_running;
    return cell_fixture::make_job({step});
}

void check_no_violations(const cell_fixture& cell) {
    for (const auto& violation : cell.upstreams.get_violations()) {
        BOOST_ERROR(violation);
    }
}

}  // namespace

// A start order is sent, for the first time or again, only if it would still be decided so.
BOOST_AUTO_TEST_SUITE(order_grounds)

// Guards against a start that got no response and is sent again seconds after its upstream began to leave.
BOOST_AUTO_TEST_CASE(a_start_is_not_repeated_on_an_upstream_that_leaves) {
    for (const bool is_long_running : {false, true}) {
        cell_fixture cell(2);
        cell.run_for(milliseconds(100));
        lost_starts starts(cell);
        cell.add_job("job", make_job(is_long_running));
        while (starts.orders.empty()) {
            cell.run_for(milliseconds(20));
        }
        const auto leaving = starts.orders.front().upstream;
        auto entry = find_entry(cell, leaving);
        entry.is_leaving = true;
        entry.remaining_ms = 8000;
        const auto before = starts.count_on(leaving);
        cell.scheduler->list_upstream(entry, cell.clock->get_now());
        cell.run_for(seconds(2));
        BOOST_TEST(starts.count_on(leaving) == before);
        cell.loses_order = nullptr;
        cell.run_for(seconds(1));
        BOOST_TEST(cell.upstreams.get_start_count() == 1U);
        BOOST_TEST(cell.upstreams.count_running(leaving) == 0U);
        check_no_violations(cell);
    }
}

// Guards against a start that was decided before its upstream began to leave, and is sent after.
BOOST_AUTO_TEST_CASE(a_decided_start_is_not_sent_to_an_upstream_that_leaves) {
    cell_fixture cell(2);
    cell.run_for(milliseconds(100));
    cell.add_job("job", make_job(false));
    const auto decisions = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(decisions.orders.size() == 1U);
    const auto& start = std::get<start_order>(decisions.orders.front());
    const auto now = cell.clock->get_now();
    BOOST_TEST(cell.scheduler->is_start_pending(start, now));
    auto entry = find_entry(cell, start.upstream);
    entry.is_leaving = true;
    cell.scheduler->list_upstream(entry, now);
    BOOST_TEST(!cell.scheduler->is_start_pending(start, now));
}

// Guards against a task that waits for the repeat delay of an order that was never sent, although another
// upstream has room: the next decision starts it there.
BOOST_AUTO_TEST_CASE(the_task_of_a_withdrawn_start_may_start_elsewhere_at_once) {
    cell_fixture cell(2);
    cell.run_for(milliseconds(100));
    cell.add_job("job", make_job(false));
    const auto first = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(first.orders.size() == 1U);
    const auto& start = std::get<start_order>(first.orders.front());
    auto entry = find_entry(cell, start.upstream);
    entry.is_leaving = true;
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.scheduler->apply_order_response(first.orders.front(), {order_result::withdrawn, 0},
                                         cell.read_clock());
    const auto second = cell.scheduler->decide(cell.read_clock(), true);
    BOOST_REQUIRE(second.orders.size() == 1U);
    BOOST_TEST(std::get<start_order>(second.orders.front()).upstream.get() != start.upstream.get());
}

// Guards against a start that waited until its location was durable, while its upstream lost the label that
// the task requires.
BOOST_AUTO_TEST_CASE(a_start_that_waited_for_its_record_is_checked_again) {
    cell_fixture cell(2);
    cell.run_for(milliseconds(100));
    cell.delays_commits = true;
    auto job = make_job(true);
    job.spec.steps.front().required_label = "a";
    cell.add_job("job", job);
    cell.run_for(milliseconds(20));
    upstream_id chosen;
    for (const auto& entry : cell.entries) {
        chosen = cell.scheduler->find_upstream(entry.id)->runs.empty() ? chosen : entry.id;
    }
    auto entry = find_entry(cell, chosen);
    entry.labels.front() = "other";
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.delays_commits = false;
    std::set<upstream_id> started;
    cell.loses_order = [&](const upstream_order& order) {
        if (const auto* start = std::get_if<start_order>(&order)) {
            started.insert(start->upstream);
        }
        return false;
    };
    cell.run_for(seconds(1));
    BOOST_TEST(!started.contains(chosen));
    BOOST_TEST(cell.upstreams.count_running() == 1U);
}

// Guards against a start that is sent again to an upstream that has become another one: its labels or its
// service no longer suit the task.
BOOST_AUTO_TEST_CASE(a_start_is_not_repeated_where_the_task_may_no_longer_run) {
    for (const bool is_other_service : {false, true}) {
        cell_fixture cell(1);
        cell.run_for(milliseconds(100));
        lost_starts starts(cell);
        auto job = make_job(false);
        job.spec.steps.front().required_label = "a";
        cell.add_job("job", job);
        cell.run_for(milliseconds(20));
        BOOST_REQUIRE(starts.orders.size() == 1U);
        auto entry = cell.entries.front();
        (is_other_service ? entry.service : entry.labels.front()) = "other";
        cell.scheduler->list_upstream(entry, cell.clock->get_now());
        cell.run_for(seconds(2));
        BOOST_TEST(starts.orders.size() == 1U);
    }
}

// Guards against a start that is held up on its way and takes effect after its upstream began to leave: it
// has to be refused within the shortest time that upstreams are given to get no more starts.
BOOST_AUTO_TEST_CASE(a_start_that_is_held_up_is_refused) {
    constexpr milliseconds shortest_drain_bound{2500};
    cell_fixture cell(1);
    cell.run_for(milliseconds(100));
    lost_starts starts(cell);
    cell.add_job("job", make_job(false));
    cell.run_for(milliseconds(20));
    BOOST_REQUIRE(starts.orders.size() == 1U);
    cell.is_polling = false;
    cell.clock->advance(shortest_drain_bound);
    const auto response = cell.upstreams.send_now(starts.orders.front(), cell.token);
    BOOST_TEST((response.result == order_result::refused_late));
}

BOOST_AUTO_TEST_SUITE_END()
