#include "process/interference_model.hpp"

#include <cmath>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/random_source.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));
const upstream_id upstream("up");

task_id make_task(int number) {
    return task_id("t" + std::to_string(number));
}

// A workload on one upstream: a victim task runs next to a noisy and a quiet neighbor in turn. Each report
// arrives after the lag, when the next neighbor runs already. The slowdown is a fixed factor with random
// noise.
struct alternating_workload {
    interference_model& model;
    kind_index victim;
    kind_index noisy;
    kind_index quiet;
    random_source random{17};
    time_point now = start;
    int next_task = 0;

    void run(int rounds, double noisy_factor, milliseconds lag) {
        for (int round = 0; round < rounds; ++round) {
            const bool is_noisy = round % 2 == 0;
            const auto victim_task = make_task(next_task++);
            const auto neighbor_task = make_task(next_task++);
            model.record_start(upstream, victim_task, victim, now);
            model.record_start(upstream, neighbor_task, is_noisy ? noisy : quiet, now);
            const auto at = now + milliseconds(500);
            now += seconds(1);
            model.record_end(upstream, victim_task, now);
            model.record_end(upstream, neighbor_task, now);
            reports.push_back(
                {.upstream = upstream,
                 .task = victim_task,
                 .at = at,
                 .slowdown = (is_noisy ? noisy_factor : 1.0) * (0.9 + 0.2 * pick_unit(random))});
            while (!reports.empty() && reports.front().at + lag <= now) {
                model.record_report(reports.front(), now);
                reports.erase(reports.begin());
            }
        }
    }

    std::vector<slowdown_report> reports;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(interference_model)

// Guards against a report that is attributed to the tasks that run on its arrival instead of those that ran
// at the reported time, and against an estimate that does not follow when the interference of a pair ends.
BOOST_AUTO_TEST_CASE(late_reports_are_attributed_to_the_right_neighbor) {
    jacinthvane::interference_model model;
    const auto victim = model.get_kind_index(task_kind("victim"), task_class::urgent);
    const auto noisy = model.get_kind_index(task_kind("loud"), task_class::batch);
    const auto quiet = model.get_kind_index(task_kind("quiet"), task_class::batch);
    BOOST_TEST(std::exp(model.get_snapshot()->get_effect(victim, noisy)) == 1.2,
               boost::test_tools::tolerance(1e-5));
    BOOST_TEST(model.get_snapshot()->get_weight(victim, noisy) == 0.0);
    alternating_workload workload{
        .model = model, .victim = victim, .noisy = noisy, .quiet = quiet, .reports = {}};
    workload.run(200, 3.0, milliseconds(7000));
    auto snapshot = model.get_snapshot();
    BOOST_TEST(snapshot->get_effect(victim, noisy) > std::log(2.4));
    BOOST_TEST(snapshot->get_effect(victim, quiet) < std::log(1.25));
    BOOST_TEST(snapshot->get_weight(victim, noisy) > 10.0);
    workload.run(400, 1.0, milliseconds(7000));
    snapshot = model.get_snapshot();
    BOOST_TEST(snapshot->get_effect(victim, noisy) < std::log(1.25));
}

// Guards against reports on a task that did not run at that time, from the future, or too old.
BOOST_AUTO_TEST_CASE(unmatched_reports_are_dropped) {
    jacinthvane::interference_model model;
    const auto kind = model.get_kind_index(task_kind("k"), task_class::urgent);
    model.record_start(upstream, make_task(1), kind, start);
    model.record_end(upstream, make_task(1), start + seconds(1));
    const auto now = start + seconds(10);
    const auto report = [&](int task, time_point at, double slowdown) {
        return model.record_report(
            {.upstream = upstream, .task = make_task(task), .at = at, .slowdown = slowdown}, now);
    };
    BOOST_TEST(report(1, start, 2.0));
    BOOST_TEST(!report(1, start + seconds(2), 2.0));
    BOOST_TEST(!report(2, start, 2.0));
    BOOST_TEST(!report(1, start + seconds(11), 2.0));
    BOOST_TEST(!report(1, start - seconds(60), 2.0));
    BOOST_TEST(!report(1, start, 0.0));
    BOOST_TEST(!report(1, start, std::nan("")));
    BOOST_TEST(model.get_unmatched_count() == 6U);
}

// Guards against memory use that grows with the number of kinds that callers send.
BOOST_AUTO_TEST_CASE(kinds_are_bounded) {
    jacinthvane::interference_model model({.kind_limit = 16});
    for (int number = 0; number < 1000; ++number) {
        const auto index = model.get_kind_index(task_kind(std::to_string(number)), task_class::batch);
        BOOST_REQUIRE(index < 16);
    }
    BOOST_TEST(model.get_snapshot()->get_kind_count() == 16U);
}

// Guards against readers that observe a partially written table. A data race shows under the thread
// sanitizer.
BOOST_AUTO_TEST_CASE(snapshot_stays_consistent_while_reports_arrive) {
    jacinthvane::interference_model model({.snapshot_interval = milliseconds(0)});
    const auto kind = model.get_kind_index(task_kind("k"), task_class::urgent);
    model.record_start(upstream, make_task(0), kind, start);
    model.record_start(upstream, make_task(1), kind, start);
    std::jthread writer([&] {
        for (int number = 0; number < 2000; ++number) {
            const auto now = start + milliseconds(number);
            model.record_report({.upstream = upstream, .task = make_task(0), .at = now, .slowdown = 4.0},
                                now);
            model.get_kind_index(task_kind(std::to_string(number % 50)), task_class::batch);
        }
    });
    bool is_in_range = true;
    for (int number = 0; number < 2000; ++number) {
        const auto snapshot = model.get_snapshot();
        const double effect = snapshot->get_effect(kind, kind);
        is_in_range = is_in_range && effect >= 0.0 && effect <= 3.0 && snapshot->get_kind_count() >= 3;
    }
    BOOST_TEST(is_in_range);
}

BOOST_AUTO_TEST_SUITE_END()
