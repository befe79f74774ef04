#include <algorithm>
#include <chrono>
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(cell_commit)

// Guards against ends that are never acknowledged while jobs change faster than one commit can hold: the ends
// waited until no job had changes, and the upstreams listed them again and again.
BOOST_AUTO_TEST_CASE(acknowledges_ends_although_jobs_keep_changing) {
    cell_fixture cell(8);
    cell.delays_commits = true;
    for (int i = 0; i < 40; ++i) {
        auto step = cell_fixture::make_step(4, 500);
        cell.add_job("job" + std::to_string(i), cell_fixture::make_job({step}), 300 + 20 * i);
    }
    constexpr std::size_t max_entries = 6;
    cell.run_for(milliseconds(600));
    const auto has_durable_end = [&](const upstream_entry& entry) {
        return cell.scheduler->find_upstream(entry.id)->durable_end > 0;
    };
    for (int commit = 0; commit < 20; ++commit) {
        const auto written = cell.scheduler->collect_commit(max_entries, cell.read_clock().unix_ms);
        cell.scheduler->confirm_commit(written);
        cell.run_for(milliseconds(20));
    }
    BOOST_TEST(std::any_of(cell.entries.begin(), cell.entries.end(), has_durable_end));
}

// Guards against an acknowledgement of ends whose jobs are not written: a commit in the middle of a batch
// fails, and the rest of the batch is written before it.
BOOST_AUTO_TEST_CASE(acknowledges_no_end_before_a_failed_commit_is_repeated) {
    cell_fixture cell(4);
    cell.delays_commits = true;
    for (int i = 0; i < 12; ++i) {
        cell.add_job("job" + std::to_string(i), cell_fixture::make_job({cell_fixture::make_step(1)}), 300);
    }
    cell.run_for(seconds(1));
    constexpr std::size_t max_entries = 8;
    std::set<job_id> written;
    bool has_failed = false;
    while (cell.scheduler->has_commit_work()) {
        const auto commit = cell.scheduler->collect_commit(max_entries, cell.read_clock().unix_ms);
        if (!has_failed) {
            has_failed = true;
            cell.scheduler->reject_commit(commit);
            continue;
        }
        for (const auto& entry : commit.jobs) {
            written.insert(entry.job);
        }
        BOOST_TEST((commit.ends.empty() || written.size() == 12U));
        cell.scheduler->confirm_commit(commit);
    }
    BOOST_TEST(written.size() == 12U);
}

// "done" is shown only after it is durable, since the next owner would otherwise show the job as running
// again.
BOOST_AUTO_TEST_CASE(shows_done_only_after_the_commit) {
    cell_fixture cell(2);
    cell.delays_commits = true;
    cell.add_job("job", cell_fixture::make_job({cell_fixture::make_step(1)}));
    cell.run_for(seconds(3));
    BOOST_TEST((cell.get_state("job") == job_phase::running));
    cell.delays_commits = false;
    cell.run_for(milliseconds(100));
    BOOST_TEST((cell.get_state("job") == job_phase::done));
}

BOOST_AUTO_TEST_SUITE_END()
