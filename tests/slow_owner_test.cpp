#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <numeric>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "platform/upstream_connection.hpp"
#include "process/metrics.hpp"
#include "request/cell_member.hpp"
#include "standin/platform_upstreams.hpp"

using namespace jacinthvane;
using standin::observed_run;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string queue = "jobs";
constexpr std::uint64_t seed = 20261204;
constexpr std::size_t upstream_count = 6;
// Enough that the report of an upstream takes several reads.
constexpr std::uint32_t tasks_per_step = 60;
// Sound processes need a fraction of this even under a sanitizer; it only ends a test whose jobs do not end.
constexpr seconds max_wait{60};
constexpr milliseconds check_interval{10};

// How the threads of the owner are blocked. The seed decides the order of the bursts and the pauses
// between them.
struct block_schedule {
    // Threads of the owner. With two, the deadline of a call and its response are handled at the same time
    // after a block, so the deadline may win although the response has arrived.
    std::size_t threads = 1;
    // Lease that the owner grants to upstreams.
    milliseconds lease{0};
    // Lengths of blocks that follow one another with only a few handlers of the owner in between.
    std::vector<std::vector<milliseconds>> bursts;
    // A burst begins only while the lease of each upstream lasts this much longer than the burst, so that the
    // owner has had the chance to renew it after the burst before.
    bool keeps_leases = false;
    milliseconds lease_reserve{0};
};

// Blocks a number of threads until another one releases them.
class thread_gate {
public:
    explicit thread_gate(std::size_t threads) : threads_(threads) {}

    void block() {
        std::unique_lock lock(mutex_);
        ++blocked_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return is_released_; });
    }

    void wait_until_blocked() {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return blocked_ == threads_; });
    }

    void release() {
        std::lock_guard lock(mutex_);
        is_released_ = true;
        changed_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    const std::size_t threads_;
    std::size_t blocked_ = 0;
    bool is_released_ = false;
};

// Sound upstreams on a thread of their own.
class upstream_process {
public:
    upstream_process() : upstreams_(context_, upstream_count), entries_(upstreams_.listen()) {
        thread_ = std::thread([this] { context_.run(); });
    }

    ~upstream_process() {
        context_.stop();
        thread_.join();
    }

    upstream_process(const upstream_process&) = delete;
    upstream_process& operator=(const upstream_process&) = delete;

    const absl::StatusOr<std::vector<upstream_entry>>& get_entries() const { return entries_; }
    const standin::platform_upstreams& get_upstreams() const { return upstreams_; }

private:
    asio::io_context context_{1};
    standin::platform_upstreams upstreams_;
    absl::StatusOr<std::vector<upstream_entry>> entries_;
    std::thread thread_;
};

queue_rules make_rules() {
    queue_rules rules;
    rules.queue = queue;
    rules.service = "tree";
    rules.max_attempts = 3;
    return rules;
}

// A process that owns the cell, with its store in memory.
class owner_process {
public:
    owner_process(const std::vector<upstream_entry>& entries, const block_schedule& schedule)
        : thread_count_(schedule.threads), context_(static_cast<int>(schedule.threads)) {
        dispatch_config config;
        config.version = 1;
        queue_settings queue_of_test;
        queue_of_test.rules = make_rules();
        config.queues.push_back(queue_of_test);
        registry_->set_config(std::make_shared<const dispatch_config>(config));
        for (const auto& entry : entries) {
            registry_->set_upstream(entry);
        }
        const cell_ports ports{
            cell_store(store_), registry_port(registry_),
            upstream_port(std::make_shared<platform::upstream_connection>(context_, std::string()))};
        entry_settings settings;
        settings.vm = vm_id("owner");
        settings.peer_address = "127.0.0.1:1";
        settings.limits.max_lease = schedule.lease;
        member_ = std::make_shared<jacinthvane::cell_member>(context_, ports, settings, "owner", counters_);
        member_->start();
        for (std::size_t i = 0; i < thread_count_; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    ~owner_process() {
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
    }

    owner_process(const owner_process&) = delete;
    owner_process& operator=(const owner_process&) = delete;

    // Blocks all threads for each of the lengths in turn. The seed decides how many handlers of the owner run
    // in between, so that a block may also begin between two steps of one call.
    void block_for(const std::vector<milliseconds>& lengths, std::mt19937_64& random) {
        constexpr std::uint64_t max_turns = 16;
        auto gate = std::make_shared<thread_gate>(thread_count_);
        const auto post_gates = [&] {
            for (std::size_t i = 0; i < thread_count_; ++i) {
                post_gate(gate, random() % max_turns);
            }
        };
        post_gates();
        for (std::size_t i = 0; i < lengths.size(); ++i) {
            gate->wait_until_blocked();
            std::this_thread::sleep_for(lengths[i]);
            const auto blocked = std::exchange(gate, std::make_shared<thread_gate>(thread_count_));
            if (i + 1 < lengths.size()) {
                post_gates();
            }
            blocked->release();
        }
    }

    // Submits a job whose tasks each run for the given time.
    void submit(milliseconds task_time, std::uint32_t tasks) {
        accepted_job job;
        job.rules = make_rules();
        job.rules.objective_ms = 1000;
        job.spec.payload = std::to_string(task_time.count());
        step_spec step;
        step.task_count = tasks;
        step.size = resource_vector(200, 200, 0, 0);
        step.estimated_ms = task_time.count();
        step.image = "short";
        // Upstreams of tasks with a target are polled at short intervals, so a block soon exceeds the
        // deadline of a poll. The target is far above the latency that the upstreams report.
        step.target_tail_ms = 60000;
        job.spec.steps = {step, step};
        job.spec.steps[1].after = {0};
        job.accepted_unix_ms = get_unix_ms();
        char id[17];
        std::snprintf(id, sizeof(id), "%016zx", jobs_.size() + 1);
        jobs_.emplace_back(id);
        store_transaction transaction;
        transaction.conditions = {{make_job_key(jobs_.back()), 0}};
        transaction.writes = {{make_job_key(jobs_.back()), encode_record(job), 0}};
        store_->apply(transaction);
    }

    bool is_loaded() const {
        const auto owner = member_->get_owner();
        return owner != nullptr && owner->is_loaded();
    }

    std::size_t get_job_count() const { return jobs_.size(); }

    std::size_t count_jobs_done() const {
        const auto owner = member_->get_owner();
        if (owner == nullptr) {
            return 0;
        }
        return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const job_id& id) {
            return owner->get_state(id, queue) == job_phase::done;
        }));
    }

private:
    // Lets the handlers that are ready run for this many turns and then blocks the thread that runs it.
    void post_gate(std::shared_ptr<thread_gate> gate, std::uint64_t turns) {
        asio::post(context_, [this, gate, turns] {
            if (turns == 0) {
                gate->block();
                return;
            }
            post_gate(gate, turns - 1);
        });
    }

    const std::size_t thread_count_;
    asio::io_context context_;
    metrics counters_;
    std::shared_ptr<memory_cell_store> store_ = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry_ = std::make_shared<memory_registry>();
    std::shared_ptr<jacinthvane::cell_member> member_;
    std::vector<job_id> jobs_;
    std::vector<std::thread> threads_;
};

// Returns whether the condition came to hold before max_wait had passed.
template <typename condition>
bool wait_for(condition holds) {
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

milliseconds draw(std::mt19937_64& random, milliseconds min, milliseconds max) {
    const auto span = static_cast<std::uint64_t>((max - min).count()) + 1;
    return min + milliseconds(random() % span);
}

// What the upstreams saw of all tasks.
struct observed_faults {
    std::size_t overlapping_runs = 0;
    std::size_t starts_after_done = 0;
    std::size_t lapsed_runs = 0;
};

std::string describe(const observed_run& run, time_point origin) {
    const auto to_ms = [&](time_point at) {
        return at == time_point::max()
                   ? std::string("?")
                   : std::to_string(std::chrono::duration_cast<milliseconds>(at - origin).count());
    };
    return "run " + std::to_string(run.number) + " on " + run.upstream + " from " + to_ms(run.started_at) +
           " ms to " + to_ms(run.ended_at) + " ms " + run.how;
}

// Compares the runs of each task, which may have been on several upstreams, in the order of their starts.
observed_faults find_faults(const std::vector<observed_run>& runs, time_point origin) {
    std::map<std::string, std::vector<observed_run>> runs_by_task;
    for (const auto& run : runs) {
        runs_by_task[run.task].push_back(run);
    }
    observed_faults faults;
    for (auto& [task, runs_of_task] : runs_by_task) {
        std::sort(runs_of_task.begin(), runs_of_task.end(),
                  [](const auto& a, const auto& b) { return a.started_at < b.started_at; });
        for (std::size_t i = 0; i < runs_of_task.size(); ++i) {
            const auto& run = runs_of_task[i];
            faults.lapsed_runs += run.how == "lapsed" ? 1 : 0;
            const auto is_overlapping = [&](const auto& earlier) {
                return earlier.ended_at > run.started_at;
            };
            const auto is_done_before = [&](const auto& earlier) {
                return earlier.how == "done" && earlier.ended_at <= run.started_at;
            };
            const auto begin = runs_of_task.begin();
            const auto end = begin + static_cast<std::ptrdiff_t>(i);
            const bool overlaps = std::any_of(begin, end, is_overlapping);
            const bool is_superfluous = std::any_of(begin, end, is_done_before);
            faults.overlapping_runs += overlaps ? 1 : 0;
            faults.starts_after_done += is_superfluous ? 1 : 0;
            if (overlaps || is_superfluous) {
                BOOST_TEST_MESSAGE("task " << task << ": " << describe(runs_of_task[i - 1], origin)
                                           << ", then " << describe(run, origin));
            }
        }
    }
    return faults;
}

// Runs jobs while the owner is blocked again and again, checks that all of them end as done, and returns what
// the upstreams saw.
observed_faults run_blocked_owner(block_schedule schedule) {
    const auto origin = std::chrono::steady_clock::now();
    std::mt19937_64 random(seed);
    std::shuffle(schedule.bursts.begin(), schedule.bursts.end(), random);
    upstream_process upstreams;
    BOOST_REQUIRE(upstreams.get_entries().ok());
    owner_process owner(*upstreams.get_entries(), schedule);
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
    schedule.threads = 2;
    schedule.lease = milliseconds(1000);
    schedule.bursts = {{milliseconds(200), milliseconds(1300)}, {milliseconds(300), milliseconds(1400)}};
    const auto faults = run_blocked_owner(schedule);
    BOOST_TEST(faults.overlapping_runs == 0U);
    BOOST_TEST(faults.starts_after_done == 0U);
}

// Guards against leases that end, and tasks that run twice, because the owner stopped to renew the leases of
// sound upstreams after delays that were each shorter than a lease.
BOOST_AUTO_TEST_CASE(no_lease_ends_by_blocks_shorter_than_a_lease) {
    block_schedule schedule;
    schedule.lease = milliseconds(3500);
    schedule.bursts = {{milliseconds(1500)}, {milliseconds(200), milliseconds(500), milliseconds(200)}};
    schedule.keeps_leases = true;
    schedule.lease_reserve = milliseconds(1000);
    const auto faults = run_blocked_owner(schedule);
    BOOST_TEST(faults.overlapping_runs == 0U);
    BOOST_TEST(faults.starts_after_done == 0U);
    BOOST_TEST(faults.lapsed_runs == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
