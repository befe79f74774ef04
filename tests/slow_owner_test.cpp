#include <algorithm>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <random>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/owner_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t upstream_count = 6;
// Enough that the report of an upstream takes several reads.
constexpr std::uint32_t tasks_per_step = 60;

// How the threads of the owner are blocked. The seed decides the order of the bursts and the pauses
// between them.
struct block_schedule {
    owner_options owner;
    // Lengths of blocks that follow one another with only a few handlers of the owner in between.
    std::vector<std::vector<milliseconds>> bursts;
    // A burst begins only while the lease of each upstream lasts this much longer than the burst, so that the
    // owner has had the chance to renew it after the burst before.
    bool keeps_leases = false;
    milliseconds lease_reserve{0};
};

milliseconds draw(std::mt19937_64& random, milliseconds min, milliseconds max) {
    const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
    return min + milliseconds(random() % span);
}

// Runs jobs while the owner is blocked again and again, checks that all of them end as done, and returns what
// the upstreams saw.
observed_faults run_blocked_owner(block_schedule schedule) {
    const auto origin = std::chrono::steady_clock::now();
    std::mt19937_64 random(seed);
    std::shuffle(schedule.bursts.begin(), schedule.bursts.end(), random);
    upstream_process upstreams(upstream_count);
    owner_process owner(upstreams.get_entries(), schedule.owner);
    BOOST_REQUIRE(wait_for([&] { return owner.is_loaded(); }));
    for (const auto& burst : schedule.bursts) {
        for (int i = 0; i < 2; ++i) {
            const auto task_time = draw(random, milliseconds(150), milliseconds(900));
            owner.submit(task_time, tasks_per_step);
        }
        const auto pause = draw(random, milliseconds(60), milliseconds(240));
        std::this_thread::sleep_for(pause);
        if (schedule.keeps_leases) {
            const auto reserve = std::accumulate(burst.begin(), burst.end(), schedule.lease_reserve);
            BOOST_TEST(wait_for([&] {
                const auto lease_end = upstreams.get_upstreams().get_first_lease_end();
                return lease_end == time_point::max() ||
                       lease_end > std::chrono::steady_clock::now() + reserve;
            }));
        }
        owner.block_for(burst, random);
    }
    BOOST_TEST(wait_for([&] { return owner.count_jobs_done() == owner.get_job_count(); }));
    BOOST_TEST(owner.count_jobs_done() == owner.get_job_count());
    const auto runs = upstreams.get_upstreams().get_runs();
    const auto faults = find_faults(runs, origin);
    BOOST_TEST_MESSAGE("jobs " << owner.get_job_count() << ", runs " << runs.size() << ", overlapping "
                               << faults.overlapping_runs << ", started after done "
                               << faults.starts_after_done << ", lapsed " << faults.lapsed_runs);
    return faults;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slow_owner)

// Guards against tasks that run twice because the owner was blocked for longer than a lease: it took its own
// delay for the silence of the upstreams and started tasks again whose ends it had not read yet.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_after_a_block_longer_than_a_lease) {
    block_schedule schedule;
    schedule.owner.threads = 2;
    schedule.owner.lease = milliseconds(1000);
    schedule.bursts = {{milliseconds(200), milliseconds(1300)}, {milliseconds(300), milliseconds(1400)}};
    const auto faults = run_blocked_owner(schedule);
    BOOST_TEST(faults.overlapping_runs == 0U);
    BOOST_TEST(faults.starts_after_done == 0U);
}

// Guards against leases that end, and tasks that run twice, because the owner stopped to renew the leases of
// sound upstreams after delays that were each shorter than a lease.
BOOST_AUTO_TEST_CASE(no_lease_ends_by_blocks_shorter_than_a_lease) {
    block_schedule schedule;
    schedule.owner.lease = milliseconds(3500);
    schedule.bursts = {{milliseconds(1500)}, {milliseconds(200), milliseconds(500), milliseconds(200)}};
    schedule.keeps_leases = true;
    schedule.lease_reserve = milliseconds(1000);
    const auto faults = run_blocked_owner(schedule);
    BOOST_TEST(faults.overlapping_runs == 0U);
    BOOST_TEST(faults.starts_after_done == 0U);
    BOOST_TEST(faults.lapsed_runs == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
