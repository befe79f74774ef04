#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "process/metrics.hpp"
#include "request/cell_member.hpp"
#include "standin/link_relay.hpp"
#include "standin/platform_upstreams.hpp"

namespace jacinthvane {

// A process that owns a cell and speaks HTTP to upstreams of the same test, each side on threads of its own.

// Sound processes need a fraction of this even under a sanitizer; it only ends a test whose jobs do not end.
constexpr std::chrono::seconds max_owner_wait{60};

// Blocks a number of threads until another one releases them.
class thread_gate {
public:
    explicit thread_gate(std::size_t threads) : threads_(threads) {}

    void block();
    void wait_until_blocked();
    void release();

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
    explicit upstream_process(std::size_t upstream_count);
    // All traffic of the upstreams crosses one link, each direction with this rate and a queue without end.
    upstream_process(std::size_t upstream_count, std::int64_t link_bytes_per_second);
    ~upstream_process();

    upstream_process(const upstream_process&) = delete;
    upstream_process& operator=(const upstream_process&) = delete;

    // The entries as an owner has to know them: with a link, their addresses are at its other end.
    const std::vector<upstream_entry>& get_entries() const { return entries_; }
    const standin::platform_upstreams& get_upstreams() const { return upstreams_; }
    // Makes the upstreams at these positions unreachable for good.
    void cut(std::size_t first, std::size_t count);

private:
    void listen();
    void add_relays(std::int64_t link_bytes_per_second);
    void run();

    asio::io_context context_{1};
    standin::platform_upstreams upstreams_;
    std::vector<upstream_entry> entries_;
    std::vector<std::unique_ptr<link_relay>> relays_;
    std::thread thread_;
};

struct owner_options {
    // Threads of the owner. With two, the deadline of a call and its response are handled at the same time
    // after a block, so the deadline may win although the response has arrived.
    std::size_t threads = 1;
    // Lease that the owner grants to upstreams.
    std::chrono::milliseconds lease{6000};
    // Rate of its link that the owner knows from its settings; 0 if it is unknown.
    std::int64_t link_mbps = 0;
    // Added to the text of each job.
    std::size_t payload_bytes = 0;
    // See cell_limits.
    std::chrono::milliseconds evacuation_bound{0};
    // Failure domains that are evacuated before the owner starts.
    std::vector<failure_domain_id> evacuated = {};

    bool operator==(const owner_options&) const = default;
};

// A process that owns the cell, with its store in memory.
class owner_process {
public:
    owner_process(const std::vector<upstream_entry>& entries, const owner_options& options);
    ~owner_process();

    owner_process(const owner_process&) = delete;
    owner_process& operator=(const owner_process&) = delete;

    // Blocks all threads for each of the lengths in turn. The random numbers decide how many handlers of the
    // owner run in between, so that a block may also begin between two steps of one call.
    void block_for(const std::vector<std::chrono::milliseconds>& lengths, std::mt19937_64& random);
    // Submits a job of two steps, one after the other, whose tasks each run for the given time.
    void submit(std::chrono::milliseconds task_time, std::uint32_t tasks);
    // Submits a job whose tasks run until they are stopped. It counts neither as a job nor as done.
    void submit_long_running(std::uint32_t tasks);

    bool is_loaded() const;
    memory_registry& get_registry() { return *registry_; }
    memory_cell_store& get_store() { return *store_; }
    // See cell_owner.
    std::string dump_state() const;
    std::size_t get_job_count() const { return jobs_.size(); }
    std::size_t count_jobs_done() const;

private:
    static step_spec make_step(std::uint32_t tasks);
    accepted_job make_job(std::chrono::milliseconds task_time) const;
    job_id write_job(const accepted_job& job);
    // Lets the handlers that are ready run for this many turns and then blocks the thread that runs it.
    void post_gate(std::shared_ptr<thread_gate> gate, std::uint64_t turns);

    const owner_options options_;
    asio::io_context context_;
    metrics counters_;
    std::shared_ptr<memory_cell_store> store_ = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry_ = std::make_shared<memory_registry>();
    std::shared_ptr<cell_member> member_;
    std::vector<job_id> jobs_;
    std::size_t submitted_jobs_ = 0;
    std::vector<std::thread> threads_;
};

// What the upstreams saw of all tasks.
struct observed_faults {
    std::size_t overlapping_runs = 0;
    std::size_t starts_after_done = 0;
    std::size_t lapsed_runs = 0;

    bool operator==(const observed_faults&) const = default;
};

// Compares the runs of each task, which may have been on several upstreams, in the order of their starts.
observed_faults find_faults(const std::vector<standin::observed_run>& runs, time_point origin);

// Returns whether the condition came to hold before max_owner_wait had passed.
template <typename condition>
bool wait_for(condition holds) {
    constexpr std::chrono::milliseconds check_interval{10};
    const auto deadline = std::chrono::steady_clock::now() + max_owner_wait;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

}  // namespace jacinthvane
