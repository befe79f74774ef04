#include <chrono>
#include <cstdint>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "tests/owner_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

// A VM of the smallest kind with a cell of this size: the polls and start orders of such an owner need more
// than its link carries unless it holds them back.
constexpr std::size_t upstream_count = 144;
constexpr std::int64_t link_mbps = 2;
constexpr std::int64_t link_bytes_per_second = link_mbps * 1'000'000 / 8;
constexpr std::size_t payload_bytes = 1200;
constexpr std::uint32_t tasks_per_step = 39;
constexpr milliseconds task_time{1500};

owner_options make_owner_options() {
    owner_options options;
    options.link_mbps = link_mbps;
    options.payload_bytes = payload_bytes;
    return options;
}

// Submits the long-running tasks of such a cell and waits until they run.
void start_long_running_tasks(const upstream_process& upstreams, owner_process& owner) {
    constexpr int jobs = 28;
    constexpr std::uint32_t tasks = 24;
    for (int i = 0; i < jobs; ++i) {
        owner.submit_long_running(tasks);
    }
    BOOST_TEST(wait_for([&] { return upstreams.get_upstreams().get_start_count() >= jobs * tasks; }));
}

// Submits this many jobs, one in each interval.
void submit_jobs(owner_process& owner, int jobs, milliseconds interval) {
    for (int i = 0; i < jobs; ++i) {
        owner.submit(task_time, tasks_per_step);
        std::this_thread::sleep_for(interval);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(full_link)

// Guards against tasks that run twice because the link of the owner was full: it took the delay of its own
// calls for the silence of sound upstreams, let their leases end and started tasks again that were done.
BOOST_AUTO_TEST_CASE(no_lease_ends_and_no_task_runs_twice_behind_a_full_link) {
    const auto origin = std::chrono::steady_clock::now();
    upstream_process upstreams(upstream_count, link_bytes_per_second);
    owner_process owner(upstreams.get_entries(), make_owner_options());
    BOOST_REQUIRE(wait_for([&] { return owner.is_loaded(); }));
    start_long_running_tasks(upstreams, owner);
    submit_jobs(owner, 40, milliseconds(200));
    BOOST_TEST(wait_for([&] { return owner.count_jobs_done() == owner.get_job_count(); }));
    const auto runs = upstreams.get_upstreams().get_runs();
    const auto faults = find_faults(runs, origin);
    BOOST_TEST_MESSAGE("jobs " << owner.count_jobs_done() << " of " << owner.get_job_count() << ", runs "
                               << runs.size() << ", overlapping " << faults.overlapping_runs
                               << ", started after done " << faults.starts_after_done << ", lapsed "
                               << faults.lapsed_runs);
    BOOST_TEST(faults.overlapping_runs == 0U);
    BOOST_TEST(faults.starts_after_done == 0U);
    BOOST_TEST(faults.lapsed_runs == 0U);
}

// Guards against an owner that blames its own link for the silence of upstreams that are really gone: their
// tasks would never start again.
BOOST_AUTO_TEST_CASE(tasks_of_a_lost_failure_domain_start_again_beside_a_busy_link) {
    constexpr std::size_t lost_upstreams = 36;
    upstream_process upstreams(upstream_count, link_bytes_per_second);
    owner_process owner(upstreams.get_entries(), make_owner_options());
    BOOST_REQUIRE(wait_for([&] { return owner.is_loaded(); }));
    submit_jobs(owner, 6, milliseconds(200));
    upstreams.cut(0, lost_upstreams);
    submit_jobs(owner, 6, milliseconds(200));
    BOOST_TEST(wait_for([&] { return owner.count_jobs_done() == owner.get_job_count(); }));
    BOOST_TEST(owner.count_jobs_done() == owner.get_job_count());
}

BOOST_AUTO_TEST_SUITE_END()
