#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/caller_codec.hpp"
#include "connection/peer_message.hpp"
#include "process/ordered_mutex.hpp"
#include "request/process_hooks.hpp"
#include "request/shard_service.hpp"

namespace jacinthvane {

struct job_options {
    std::size_t shards = 8;
    // How long after its record a start order can still reach an upstream.
    std::chrono::milliseconds start_expires_after{2200};
    // How often the state of a running job is queried while no report on it arrives.
    std::chrono::milliseconds check_interval{5000};
    std::chrono::milliseconds drive_interval{200};
    // Bounds the concurrent calls, so that a wave of cancellations causes only bounded work.
    std::size_t max_steps_in_progress = 200;
    std::uint64_t seed = 1;
    std::uint32_t max_failures = 5;

    bool operator==(const job_options&) const = default;
};

struct job_counters {
    std::atomic<std::uint64_t> accepted = 0;
    std::atomic<std::uint64_t> started = 0;
    std::atomic<std::uint64_t> refused_starts = 0;
    std::atomic<std::uint64_t> finished = 0;
    std::atomic<std::uint64_t> stopped = 0;
    std::atomic<std::uint64_t> resumed = 0;
    std::atomic<std::uint64_t> cancelled = 0;
    std::atomic<std::uint64_t> parked = 0;
    std::atomic<std::uint64_t> reports_sent = 0;
    std::atomic<std::uint64_t> checks = 0;
};

// Accepts batch jobs, drives those in shards that this process owns, and forwards the reports of upstreams to
// the owner of each job's shard. Every step is recorded in the journal before it is taken, so that another
// process can continue. Thread-safe.
class job_service {
public:
    job_service(asio::io_context& context, shard_service& shards, process_hooks hooks, job_options options);

    job_service(const job_service&) = delete;
    job_service& operator=(const job_service&) = delete;

    void start();
    void stop();

    // Accepts a client's job. The job is durable when this returns a reply.
    awaitable<absl::StatusOr<job_reply>> submit(caller_request request);
    awaitable<absl::StatusOr<job_reply>> query(job_id job, team_id team, time_point deadline);
    awaitable<absl::StatusOr<job_reply>> cancel(job_id job, team_id team, time_point deadline);
    awaitable<absl::StatusOr<std::vector<job_reply>>> list(team_id team, time_point deadline);

    // Do the same for another entry process, which chose this one because it owns the job's shard or is the
    // nearest process that can reach the store.
    awaitable<absl::StatusOr<job_reply>> submit_for_peer(submit_job_request request);
    awaitable<absl::StatusOr<job_reply>> query_for_peer(query_job_request request, time_point deadline);
    awaitable<absl::StatusOr<job_reply>> cancel_for_peer(cancel_job_request request, time_point deadline);
    // Returns OK once the report is durable or obsolete.
    awaitable<absl::Status> accept_report(task_report_request report);

    // Queues a report on a task that runs on an upstream of this process. The report is sent repeatedly until
    // the owner of the job's shard has accepted it.
    void report(const task_report_request& report);

    // Waits until no step and no report is in progress. Returns false if the deadline passes first.
    awaitable<bool> drain(time_point deadline);

    const job_counters& get_counters() const { return counters_; }
    std::size_t get_driven() const;
    std::size_t get_unsent_reports() const;

private:
    // State that the shard's owner keeps on a job in addition to the journal. It is lost with the process and
    // recovered by querying the upstream.
    struct driven_job {
        std::uint64_t generation = 0;
        bool is_step_in_progress = false;
        // When to query the outcome of the generation.
        time_point check_at;
        // When to retry the start of a queued job.
        time_point start_at;
    };

    awaitable<void> drive_shards();
    awaitable<void> drive_shard(std::size_t shard);
    void schedule_next_step(std::size_t shard, const std::shared_ptr<const job_entry>& job);
    awaitable<void> run_step(std::size_t shard, std::shared_ptr<const job_entry> job);
    awaitable<void> start_generation(std::size_t shard, std::shared_ptr<const job_entry> job);
    awaitable<void> check_generation(std::size_t shard, std::shared_ptr<const job_entry> job);
    awaitable<void> stop_cancelled(std::size_t shard, std::shared_ptr<const job_entry> job);
    awaitable<void> record_end(std::size_t shard, job_id job, task_reply attempt_reply);
    awaitable<void> send_reports();
    awaitable<void> send_report(task_report_request report);

    // Capacity reserved for a generation on an upstream of an entry process. An empty address denotes this
    // process.
    struct reservation {
        upstream_id upstream;
        std::string owner_address;
    };

    awaitable<absl::StatusOr<reservation>> reserve(task_start start);
    awaitable<absl::Status> send_start(reservation reserved, task_start start);
    void cancel_reservation(const reservation& reserved, const task_start& start);
    awaitable<absl::StatusOr<peer_reply>> call_shard_owner(std::size_t shard, peer_request request,
                                                           time_point deadline);
    awaitable<absl::StatusOr<job_reply>> find(job_id job, team_id team, time_point deadline);

    void finish_step(const job_id& job);

    asio::io_context& context_;
    shard_service& shards_;
    const process_hooks hooks_;
    const job_options options_;
    job_counters counters_;
    mutable ordered_mutex mutex_{lock_rank::shard_tables};
    std::map<job_id, driven_job> driven_;
    std::size_t steps_in_progress_ = 0;
    std::map<std::pair<job_id, std::uint64_t>, task_report_request> reports_;
    std::set<std::pair<job_id, std::uint64_t>> reports_in_progress_;
    std::mt19937_64 random_;
    async_signal work_changed_;
    async_signal step_finished_;
    std::atomic<bool> is_stopped_ = false;
};

}  // namespace jacinthvane
