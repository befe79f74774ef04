#include <chrono>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// One upstream with a latency-critical task, and two best-effort tasks next to it: one of a job that will be
// late, one of a job that can be in time. Each costs 0.3125 of headroom.
struct shared_upstream {
    shared_upstream() : cell(1) {
        auto serving = cell_fixture::make_step(1);
        serving.is_long_running = true;
        serving.image = "serving";
        serving.target_tail_ms = 50;
        cell.add_job("serving", cell_fixture::make_job({serving}));
        tail_snapshot learned;
        learned.images = {"serving", "best-effort"};
        learned.weights = {{0, 10}, {5000, 10}, {0, 10}, {0, 10}};
        cell.scheduler->apply_tail_snapshot(learned);
        cell.run_for(seconds(2));
        report.clock_ms = 10000;
        report.boot_unix_ms = cell.entries[0].boot_unix_ms;
        report.running = {{{job_id("serving"), 0, 0, 0}, 1, "", 100, 20}};
        for (int i = 0; i < 10; ++i) {
            advance(milliseconds(600));
        }
        add_best_effort_job("late", 0);
        add_best_effort_job("in-time", 60000);
        for (int i = 0; i < 4; ++i) {
            advance(milliseconds(300));
        }
    }

    void add_best_effort_job(const std::string& id, std::int64_t objective_ms) {
        auto step = cell_fixture::make_step(1);
        step.is_best_effort = true;
        step.image = "best-effort";
        step.estimated_ms = 5000;
        auto job = cell_fixture::make_job({step});
        job.rules.objective_ms = objective_ms;
        job.accepted_unix_ms = cell.read_clock().unix_ms;
        cell.add_job(id, job);
    }

    void advance(milliseconds span) {
        cell.clock->advance(span);
        report.clock_ms += span.count();
        for (std::size_t i = 1; i < report.running.size(); ++i) {
            report.running[i].percent += percent_step;
        }
        cell.scheduler->apply_report(cell.entries[0].id, report, cell.read_clock());
        for (std::size_t i = 1; i < cell.entries.size(); ++i) {
            upstream_report empty;
            empty.clock_ms = report.clock_ms;
            empty.boot_unix_ms = cell.entries[i].boot_unix_ms;
            cell.scheduler->apply_report(cell.entries[i].id, empty, cell.read_clock());
        }
        for (const auto& order : cell.scheduler->decide(cell.read_clock(), true).orders) {
            cell.scheduler->apply_order_response(order, {order_result::accepted, report.clock_ms},
                                                 cell.read_clock());
            if (const auto* start = std::get_if<start_order>(&order)) {
                report.running.push_back({start->task, start->run, "", 0, 1000});
            }
        }
    }

    // Stops both tasks at this progress, by a target that stays exceeded, beside an upstream that is free.
    migration_count stop_beside_free_upstream(std::int32_t percent) {
        cell.add_upstream("free");
        cell.scheduler->record_upstreams(cell.entries);
        percent_step = 0;
        report.running[0].load = 80;
        for (std::size_t i = 1; i < report.running.size(); ++i) {
            report.running[i].percent = percent;
        }
        for (int i = 0; i < 20; ++i) {
            advance(milliseconds(300));
        }
        return cell.scheduler->take_migrations();
    }

    cell_fixture cell;
    upstream_report report;
    std::int32_t percent_step = 2;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(migration_cell)

// Tasks without checkpoints that are stopped move to a free upstream if that ends them earlier. Guards
// against moves that only repeat work: tasks that are nearly done stay.
BOOST_AUTO_TEST_CASE(moves_only_tasks_that_end_earlier_elsewhere) {
    shared_upstream begun;
    const auto moved = begun.stop_beside_free_upstream(10);
    BOOST_TEST(moved.migrations == 2U);
    BOOST_TEST(moved.expected_gain.count() > 0);
    shared_upstream nearly_done;
    const auto stayed = nearly_done.stop_beside_free_upstream(97);
    BOOST_TEST(stayed.migrations == 0U);
    BOOST_TEST(stayed.refused > 0U);
}

// Guards against jobs that are all late under contention: the job that can be in time gets CPU time first,
// also where a late one runs already, and the late one gets it back.
BOOST_AUTO_TEST_CASE(gives_cpu_time_to_jobs_in_the_order_of_their_ranks) {
    shared_upstream shared;
    BOOST_REQUIRE(shared.report.running.size() == 3U);
    const auto get_limit = [&](const std::string& job) {
        const auto* upstream = shared.cell.scheduler->find_upstream(shared.cell.entries[0].id);
        for (const auto& [key, run] : upstream->runs) {
            if (key.first.job == job_id(job)) {
                return run.cpu_limit_percent;
            }
        }
        return -1;
    };
    // A tail latency of 45 ms leaves headroom for one of them, and a part of the other.
    shared.report.running[0].load = 45;
    for (int i = 0; i < 10; ++i) {
        shared.advance(milliseconds(600));
    }
    BOOST_TEST(get_limit("in-time") == 100);
    BOOST_TEST(get_limit("late") < 90);
    shared.report.running[0].load = 15;
    for (int i = 0; i < 10; ++i) {
        shared.advance(milliseconds(600));
    }
    BOOST_TEST(get_limit("in-time") == 100);
    BOOST_TEST(get_limit("late") == 100);
}

BOOST_AUTO_TEST_SUITE_END()
