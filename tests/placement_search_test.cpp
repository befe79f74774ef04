#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/upstream_index.hpp"
#include "process/upstream_ledger.hpp"
#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr double tolerance = 1e-9;

// The scheduler refuses a best-effort task with less than one of these gains, depending on the gains that it
// has seen lately.
constexpr double least_useful_gain = 0.85;
constexpr double usual_min_gain = 0.9;

// Cost of a task of the step on the upstream as the scheduler defines it, for cells without latency-critical
// tasks; nothing if it may not start there.
std::optional<double> compute_cost(const upstream_ledger& upstream, const step_spec& spec, double min_gain) {
    if (!spec.get_reserved_size().is_within(upstream.get_room())) {
        return std::nullopt;
    }
    const auto capacity = static_cast<double>(upstream.entry.capacity.get_processors_milli());
    const double best_effort = static_cast<double>(upstream.best_effort_milli) / capacity;
    const double committed = static_cast<double>(upstream.committed.get_processors_milli()) / capacity;
    const bool is_remote = !spec.data_rack.empty() && spec.data_rack != upstream.entry.get_rack();
    const double remote = is_remote ? 3.0 : 0.0;
    if (!spec.is_best_effort) {
        return committed + 0.3 * best_effort + remote;
    }
    const double size = static_cast<double>(spec.size.get_processors_milli()) / capacity;
    const double free = 1.0 - committed;
    const double gain = (std::min(best_effort + size, free) - std::min(best_effort, free)) / size;
    if (gain < min_gain) {
        return std::nullopt;
    }
    return committed + best_effort + 2.0 * (1.0 - gain) + remote;
}

// The least cost among all upstreams.
std::optional<double> find_least_cost(const cell_fixture& cell, const step_spec& spec, double min_gain) {
    std::optional<double> least;
    for (const auto& entry : cell.entries) {
        const auto cost = compute_cost(*cell.scheduler->find_upstream(entry.id), spec, min_gain);
        if (cost && (!least || *cost < *least)) {
            least = cost;
        }
    }
    return least;
}

// Decides, carries the orders out and returns the upstream on which the job started.
std::optional<upstream_id> decide(cell_fixture& cell, const std::string& job) {
    std::optional<upstream_id> chosen;
    for (const auto& order : cell.scheduler->decide(cell.read_clock(), true).orders) {
        if (const auto* start = std::get_if<start_order>(&order); start && start->task.job == job_id(job)) {
            chosen = start->upstream;
        }
        const auto response = cell.upstreams.send_now(order, cell.token);
        cell.scheduler->apply_order_response(order, response, cell.read_clock());
    }
    return chosen;
}

step_spec draw_step(std::mt19937_64& random) {
    auto step = cell_fixture::make_step(1, 500 + static_cast<std::int64_t>(random() % 5000));
    step.is_best_effort = random() % 2 == 0;
    step.image = "image" + std::to_string(random() % 3);
    if (random() % 4 == 0) {
        step.data_rack = "rack" + std::to_string(random() % 4);
    }
    return step;
}

// Checks the choice for one job after another, with as many of them active as fit, and more.
void check_choices(std::uint64_t seed, std::size_t upstream_count) {
    std::mt19937_64 random(seed);
    cell_fixture cell(upstream_count);
    cell.run_for(milliseconds(100));
    std::size_t placed = 0;
    std::size_t waiting = 0;
    for (int i = 0; i < 400; ++i) {
        const auto id = "job" + std::to_string(i);
        const auto step = draw_step(random);
        auto job = cell_fixture::make_job({step});
        // Each job ranks after all before it, so that none takes CPU time from running tasks.
        job.rules.priority = i;
        cell.add_job(id, job, 500 + static_cast<std::int64_t>(random() % 4000));
        const auto least = find_least_cost(cell, step, least_useful_gain);
        const auto usual = find_least_cost(cell, step, usual_min_gain);
        std::map<upstream_id, std::optional<double>> costs;
        for (const auto& entry : cell.entries) {
            costs[entry.id] = compute_cost(*cell.scheduler->find_upstream(entry.id), step, least_useful_gain);
        }
        const auto chosen = decide(cell, id);
        BOOST_TEST_INFO(id << " best effort " << step.is_best_effort << " rack " << step.data_rack);
        if (chosen) {
            ++placed;
            BOOST_REQUIRE(costs.at(*chosen).has_value());
            BOOST_TEST(*costs.at(*chosen) >= *least - tolerance);
            BOOST_TEST((!usual || *costs.at(*chosen) <= *usual + tolerance));
        } else {
            ++waiting;
            BOOST_TEST(!usual.has_value());
            cell.scheduler->cancel_job(job_id(id), cell.read_clock());
        }
        if (random() % 3 == 0) {
            cell.run_for(milliseconds(20 + random() % 200));
        }
    }
    BOOST_TEST(placed > 50U);
    BOOST_TEST((waiting > 20U || upstream_count > 8U));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_search)

// Guards against a search that stops before the cheapest upstream, or that overlooks room which reports and
// ends of runs have freed since the last search.
BOOST_AUTO_TEST_CASE(chooses_what_a_scan_of_all_upstreams_chooses) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            check_choices(seed, 8);
            check_choices(seed, 20);
        }
    }
}

// Guards against changes that are lost when the list of changes is shortened, and against upstreams that stay
// in the order of costs after they were removed.
BOOST_AUTO_TEST_CASE(the_index_agrees_with_a_plain_list) {
    constexpr std::size_t count = 30;
    std::mt19937_64 random(7);
    upstream_index index;
    std::vector<upstream_ledger> ledgers(count);
    std::vector<std::optional<double>> costs(count);
    std::vector<std::uint64_t> revisions(count, 0);
    for (auto& ledger : ledgers) {
        ledger.slot = index.add(ledger);
    }
    for (const auto slot : index.take_marked()) {
        index.update(slot, std::nullopt);
    }
    for (int i = 0; i < 5000; ++i) {
        const auto slot = static_cast<upstream_index::slot_number>(random() % count);
        index.mark_changed(slot);
        BOOST_REQUIRE(index.take_marked().size() == 1U);
        costs[slot] = random() % 5 == 0 ? std::nullopt : std::optional<double>(random() % 10);
        index.update(slot, costs[slot] ? std::optional(cost_bounds{*costs[slot], 0, 0}) : std::nullopt);
        revisions[slot] = index.get_revision();
        const auto since =
            index.get_revision() - std::min<std::uint64_t>(random() % 50, index.get_revision());
        std::vector<upstream_index::slot_number> changed;
        index.collect_changed_since(since, changed);
        std::sort(changed.begin(), changed.end());
        std::vector<upstream_index::slot_number> expected;
        std::vector<upstream_index::ranked_slot> ranked;
        for (upstream_index::slot_number other = 0; other < count; ++other) {
            if (costs[other] && revisions[other] > since) {
                expected.push_back(other);
            }
            if (costs[other]) {
                ranked.push_back({*costs[other], other});
            }
        }
        std::sort(ranked.begin(), ranked.end());
        const auto& ranking = index.get_ranking(placement_kind::reserved);
        BOOST_REQUIRE(changed == expected);
        BOOST_REQUIRE(std::equal(ranking.begin(), ranking.end(), ranked.begin(), ranked.end()));
    }
}

// Guards against an upstream that takes the slot of a removed one and with it its place in the order.
BOOST_AUTO_TEST_CASE(a_removed_upstream_leaves_the_index) {
    upstream_index index;
    std::vector<upstream_ledger> ledgers(2);
    const auto first = index.add(ledgers[0]);
    index.update(first, cost_bounds{1, 1, 1});
    index.remove(first);
    BOOST_TEST(index.get_ranking(placement_kind::serving).empty());
    BOOST_TEST(index.take_marked().empty());
    const auto second = index.add(ledgers[1]);
    BOOST_TEST(second == first);
    std::vector<upstream_index::slot_number> changed;
    index.collect_changed_since(0, changed);
    BOOST_TEST(changed.empty());
    BOOST_TEST((&index.get_upstream(second) == &ledgers[1]));
}

BOOST_AUTO_TEST_SUITE_END()
