#include <chrono>
#include <map>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds time_step{20};
// After three upstreams have crashed under a task, it may be started twice more.
constexpr std::size_t max_deadly_starts = 5;

// A cell in which the upstream of each start of some tasks crashes and is back at once, as a new incarnation.
struct crash_fixture {
    explicit crash_fixture(std::size_t upstreams) : cell(upstreams) {
        cell.loses_order = [this](const upstream_order& order) {
            if (const auto* start = std::get_if<start_order>(&order)) {
                ++starts[start->task];
                if (deadly.contains(start->task)) {
                    crashing.insert(start->upstream);
                }
            }
            return false;
        };
    }

    void crash(const upstream_id& id) {
        cell.upstreams.restart(id, ++boot);
        ++crashes;
    }

    void run_for(milliseconds span) {
        for (milliseconds passed{0}; passed < span; passed += time_step) {
            cell.run_for(time_step);
            for (const auto& id : crashing) {
                crash(id);
            }
            crashing.clear();
        }
    }

    cell_fixture cell;
    std::set<task_ref> deadly;
    std::map<task_ref, std::size_t> starts;
    std::set<upstream_id> crashing;
    std::int64_t boot = 1;
    std::size_t crashes = 0;
};

accepted_job make_long_running_job(std::uint32_t tasks) {
    auto step = cell_fixture::make_step(tasks);
    step.is_long_running = true;
    return cell_fixture::make_job({step});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_crash)

// Guards against a task that crashes one upstream after the other without end: nothing counted a crash
// against the tasks that ran there.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_upstreams_is_given_up) {
    crash_fixture fixture(8);
    fixture.cell.add_job("lasting", make_long_running_job(16));
    fixture.cell.add_job("deadly", cell_fixture::make_job({cell_fixture::make_step(4)}));
    fixture.cell.add_job("other", cell_fixture::make_job({cell_fixture::make_step(40)}), 3000);
    const task_ref deadly{job_id("deadly"), 0, 0, 2};
    fixture.deadly.insert(deadly);
    fixture.run_for(seconds(30));
    BOOST_TEST((fixture.cell.get_state("deadly") == job_phase::failed));
    BOOST_TEST(fixture.starts[deadly] <= 3U);
    // Tasks that ran next to it are not given up.
    BOOST_TEST((fixture.cell.get_state("other") == job_phase::done));
    BOOST_TEST((fixture.cell.get_state("lasting") == job_phase::running));
    BOOST_TEST(fixture.cell.upstreams.count_running() == 16U);
}

// Guards against crashes that are forgotten when the owner changes, so that each owner starts the task again.
BOOST_AUTO_TEST_CASE(crashes_are_remembered_by_the_next_owner) {
    crash_fixture fixture(8);
    fixture.cell.add_job("deadly", cell_fixture::make_job({cell_fixture::make_step(1)}));
    const task_ref deadly{job_id("deadly"), 0, 0, 0};
    fixture.deadly.insert(deadly);
    for (int owner = 0; owner < 12; ++owner) {
        const auto before = fixture.crashes;
        // Ends soon after a crash has been noticed and before the next start.
        for (int i = 0; i < 200 && fixture.crashes == before; ++i) {
            fixture.run_for(time_step);
        }
        fixture.run_for(milliseconds(60));
        fixture.cell.take_over();
    }
    fixture.run_for(seconds(20));
    BOOST_TEST((fixture.cell.get_state("deadly") == job_phase::failed));
    BOOST_TEST(fixture.starts[deadly] <= max_deadly_starts);
}

// Guards against several such tasks that hide behind each other, because each crash has more than one
// suspect.
BOOST_AUTO_TEST_CASE(several_deadly_tasks_are_told_apart_from_their_neighbors) {
    crash_fixture fixture(12);
    for (int i = 0; i < 6; ++i) {
        const auto name = "deadly-" + std::to_string(i);
        fixture.cell.add_job(name, cell_fixture::make_job({cell_fixture::make_step(6)}));
        fixture.deadly.insert({job_id(name), 0, 0, 3});
    }
    for (int i = 0; i < 6; ++i) {
        const auto name = "other-" + std::to_string(i);
        fixture.cell.add_job(name, cell_fixture::make_job({cell_fixture::make_step(20)}), 1500);
    }
    fixture.run_for(seconds(60));
    for (const auto& task : fixture.deadly) {
        BOOST_TEST((fixture.cell.get_state(task.job.get()) == job_phase::failed));
        BOOST_TEST(fixture.starts[task] <= max_deadly_starts);
    }
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST((fixture.cell.get_state("other-" + std::to_string(i)) == job_phase::done));
    }
}

// Guards against sound tasks that are given up because upstreams crash for other reasons: a long-running task
// sees many crashes in its life, and those that hit many upstreams at once hit many tasks.
BOOST_AUTO_TEST_CASE(crashes_without_a_deadly_task_fail_no_job) {
    crash_fixture fixture(10);
    fixture.cell.add_job("lasting", make_long_running_job(30));
    for (int round = 0; round < 8; ++round) {
        const auto name = "short-" + std::to_string(round);
        fixture.cell.add_job(name, cell_fixture::make_job({cell_fixture::make_step(40)}), 2000);
        fixture.run_for(seconds(1));
        for (std::size_t i = 0; i < 4; ++i) {
            fixture.crash(fixture.cell.entries[(static_cast<std::size_t>(round) + i) % 10].id);
        }
        fixture.run_for(seconds(8));
    }
    fixture.run_for(seconds(20));
    BOOST_TEST((fixture.cell.get_state("lasting") == job_phase::running));
    BOOST_TEST(fixture.cell.upstreams.count_running() == 30U);
    for (int round = 0; round < 8; ++round) {
        BOOST_TEST((fixture.cell.get_state("short-" + std::to_string(round)) == job_phase::done));
    }
}

// Guards against a long-running job that is ended because upstreams crashed under its tasks: it has no limit
// of attempts, and has to run again however its runs end.
BOOST_AUTO_TEST_CASE(crashes_never_end_a_long_running_job) {
    crash_fixture fixture(6);
    fixture.cell.add_job("lasting", make_long_running_job(1));
    const task_ref task{job_id("lasting"), 0, 0, 0};
    fixture.deadly.insert(task);
    fixture.run_for(seconds(10));
    BOOST_TEST((fixture.cell.get_state("lasting") == job_phase::running));
    // It backs off, so that it does not take one upstream after the other.
    BOOST_TEST(fixture.starts[task] <= 10U);
    fixture.deadly.clear();
    fixture.run_for(seconds(3));
    BOOST_TEST(fixture.cell.upstreams.count_running() == 1U);
}

// Guards against a sound task that is given up for the crash of an upstream that had never received it: the
// start order was sent when the upstream had already crashed, together with many others.
BOOST_AUTO_TEST_CASE(a_crash_before_the_response_is_not_conclusive) {
    cell_fixture cell(4);
    std::int64_t boot = 1;
    std::size_t starts = 0;
    cell.loses_order = [&](const upstream_order& order) {
        const auto* start = std::get_if<start_order>(&order);
        starts += start != nullptr ? 1 : 0;
        if (start == nullptr || starts != 2) {
            return false;
        }
        cell.upstreams.restart(start->upstream, ++boot);
        return true;
    };
    cell.add_job("sound", cell_fixture::make_job({cell_fixture::make_step(1)}));
    cell.run_for(milliseconds(500));
    for (const auto& entry : cell.entries) {
        cell.upstreams.restart(entry.id, ++boot);
    }
    cell.run_for(seconds(5));
    BOOST_TEST((cell.get_state("sound") == job_phase::done));
    BOOST_TEST(starts == 3U);
}

// Guards against crashes that are counted against long-running tasks because the owner has changed: an
// adopted run counted as just started, however long it had run.
BOOST_AUTO_TEST_CASE(an_adopted_long_running_task_is_no_suspect) {
    crash_fixture fixture(2);
    fixture.cell.add_job("lasting", make_long_running_job(1));
    fixture.run_for(seconds(7));
    fixture.cell.take_over();
    fixture.run_for(seconds(1));
    for (const auto& entry : fixture.cell.entries) {
        fixture.crash(entry.id);
    }
    fixture.run_for(seconds(1));
    BOOST_TEST(fixture.cell.committed[job_id("lasting")].crashes.empty());
    BOOST_TEST(fixture.cell.upstreams.count_running() == 1U);
}

// Guards against a long-running task that waits too long for an upstream of its own after two crashes: in a
// busy cell each upstream has runs that started in the last seconds.
BOOST_AUTO_TEST_CASE(a_long_running_task_waits_for_isolation_only_for_a_while) {
    constexpr std::uint32_t upstreams = 3;
    crash_fixture fixture(upstreams);
    fixture.cell.add_job("lasting", make_long_running_job(1));
    const task_ref task{job_id("lasting"), 0, 0, 0};
    fixture.deadly.insert(task);
    for (int i = 0; i < 500 && fixture.starts[task] < 2U; ++i) {
        fixture.run_for(time_step);
    }
    BOOST_REQUIRE(fixture.starts[task] == 2U);
    fixture.deadly.clear();
    // One for each upstream.
    auto young = cell_fixture::make_step(upstreams, 9000);
    young.is_long_running = true;
    fixture.cell.add_job("young", cell_fixture::make_job({young}));
    fixture.run_for(seconds(2));
    BOOST_TEST(fixture.cell.upstreams.count_running() == upstreams + 1U);
}

// Guards against starts beyond a capacity that has shrunk while tasks run, and against room that stays unused
// when it has grown again.
BOOST_AUTO_TEST_CASE(starts_follow_a_capacity_that_shrinks_and_grows) {
    cell_fixture cell(1);
    cell.add_job("first", make_long_running_job(10));
    cell.run_for(seconds(1));
    auto entry = cell.entries.front();
    entry.capacity = resource_vector(11000, 64000, 0, 0);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.add_job("second", make_long_running_job(4));
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.count_running() == 11U);
    entry.capacity = resource_vector(8000, 64000, 0, 0);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.count_running() == 11U);
    entry.capacity = resource_vector(16000, 64000, 0, 0);
    cell.scheduler->list_upstream(entry, cell.clock->get_now());
    cell.run_for(seconds(1));
    BOOST_TEST(cell.upstreams.count_running() == 14U);
    BOOST_TEST(cell.upstreams.get_violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()
