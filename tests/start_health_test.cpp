#include <chrono>
#include <map>
#include <set>
#include <string>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "process/start_health.hpp"
#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t task_count = 6;

accepted_job make_long_running_job(std::uint32_t tasks, std::int64_t processors_milli) {
    auto step = cell_fixture::make_step(tasks, processors_milli);
    step.is_long_running = true;
    return cell_fixture::make_job({step});
}

void check_no_violations(const cell_fixture& cell) {
    for (const auto& violation : cell.upstreams.get_violations()) {
        BOOST_ERROR(violation);
    }
}

// Fills all upstreams but the first one in part, so that the first one is the cheapest.
void fill_all_but_the_first(cell_fixture& cell) {
    auto entry = cell.entries.front();
    entry.is_leaving = true;
    entry.remaining_ms = 60000;
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.add_job("filler", make_long_running_job(6, 4000));
    cell.run_for(seconds(1));
    BOOST_REQUIRE(cell.upstreams.count_running() == 6U);
    cell.scheduler->list_upstream(cell.entries.front(), cell.clock->get_now());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(start_health)

// Guards against long-running tasks whose start orders come to nothing one after the other: an upstream that
// answers polls and takes no starts stays empty, and so the cheapest one for each of them again.
BOOST_AUTO_TEST_CASE(an_upstream_that_takes_no_starts_does_not_hold_up_long_running_tasks) {
    for (const auto result : {order_result::unknown, order_result::not_sent, order_result::refused_busy}) {
        cell_fixture cell(4);
        cell.run_for(milliseconds(100));
        fill_all_but_the_first(cell);
        const auto refusing = cell.entries.front().id;
        cell.answers_order = [&](const upstream_order& order) -> std::optional<order_response> {
            const auto* start = std::get_if<start_order>(&order);
            if (start == nullptr || start->upstream != refusing) {
                return std::nullopt;
            }
            return order_response{result, 0};
        };
        cell.add_job("lasting", make_long_running_job(task_count, 1000));
        cell.run_for(seconds(3));
        BOOST_TEST(cell.upstreams.count_running() == 6U + task_count);
        check_no_violations(cell);
    }
}

// Guards against a long-running task whose starts come to nothing one after the other on upstreams that are
// new and leave orders unanswered: it took part in the batch of starts that each of them got, for it was the
// emptiest, and its order waited for a connection until its deadline. Five runs in five seconds were seen.
BOOST_AUTO_TEST_CASE(a_long_running_task_is_not_tried_out_on_one_new_upstream_after_the_other) {
    constexpr std::size_t new_upstreams = 10;
    constexpr milliseconds interval{500};
    cell_fixture cell(6);
    cell.run_for(milliseconds(100));
    cell.add_job("filler", make_long_running_job(12, 4000));
    cell.run_for(seconds(1));
    BOOST_REQUIRE(cell.upstreams.count_running() == 12U);
    std::map<task_ref, std::set<std::uint64_t>> failed_runs;
    cell.holds_order = [&](const upstream_order& order) {
        const auto* start = std::get_if<start_order>(&order);
        const bool is_on_new = start != nullptr && start->upstream.get().starts_with("new");
        if (is_on_new) {
            failed_runs[start->task].insert(start->run);
        }
        return is_on_new;
    };
    cell.add_job("lasting", make_long_running_job(task_count, 500));
    for (std::size_t i = 0; i < new_upstreams; ++i) {
        cell.add_upstream("new" + std::to_string(i));
        cell.add_job("job" + std::to_string(i), cell_fixture::make_job({cell_fixture::make_step(4, 500)}));
        cell.run_for(interval);
    }
    cell.run_for(seconds(5));
    for (const auto& [task, runs] : failed_runs) {
        BOOST_TEST(runs.size() <= 2U, task.to_string() << ": " << runs.size() << " runs came to nothing");
    }
    // The finite tasks have ended.
    BOOST_TEST(cell.upstreams.count_running() == 12U + task_count);
    check_no_violations(cell);
}

// Guards against a task that returns to the upstream that has just refused it, since no upstream of the cell
// has accepted a start yet.
BOOST_AUTO_TEST_CASE(a_refused_task_goes_elsewhere_also_among_unproven_upstreams) {
    cell_fixture cell(4);
    cell.run_for(milliseconds(100));
    std::map<upstream_id, int> refused;
    cell.answers_order = [&](const upstream_order& order) -> std::optional<order_response> {
        const auto* start = std::get_if<start_order>(&order);
        if (start == nullptr || (!refused.empty() && !refused.contains(start->upstream))) {
            return std::nullopt;
        }
        ++refused[start->upstream];
        return order_response{order_result::refused_room, 0};
    };
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}));
    cell.run_for(seconds(1));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.begin()->second == 1);
    BOOST_TEST(cell.upstreams.get_start_count() == 1U);
}

// Guards against an upstream that gets start after start while it takes none, and against a pause without
// end.
BOOST_AUTO_TEST_CASE(several_failed_starts_pause_an_upstream_for_a_limited_time) {
    jacinthvane::start_health starts;
    time_point now = time_point(seconds(100));
    starts.record_failure(now);
    BOOST_TEST(starts.is_unproven());
    BOOST_TEST(!starts.is_paused(now));
    starts.record_failure(now);
    BOOST_TEST(starts.is_paused(now + milliseconds(499)));
    BOOST_TEST(!starts.is_paused(now + milliseconds(500)));
    for (int i = 0; i < 20; ++i) {
        starts.record_failure(now);
    }
    BOOST_TEST(!starts.is_paused(now + seconds(4)));
    starts.record_accepted();
    BOOST_TEST(!starts.is_unproven());
    BOOST_TEST(!starts.is_paused(now));
}

// Guards against an upstream that stays out of use after it takes starts again.
BOOST_AUTO_TEST_CASE(an_upstream_that_takes_starts_again_is_used_again) {
    cell_fixture cell(1);
    cell.run_for(milliseconds(100));
    cell.loses_order = [](const upstream_order& order) { return std::holds_alternative<start_order>(order); };
    cell.add_job("lasting", make_long_running_job(task_count, 1000));
    cell.run_for(seconds(10));
    BOOST_TEST(cell.upstreams.count_running() == 0U);
    cell.loses_order = nullptr;
    cell.run_for(seconds(5));
    BOOST_TEST(cell.upstreams.count_running() == task_count);
    check_no_violations(cell);
}

BOOST_AUTO_TEST_SUITE_END()
