#pragma once

#include <atomic>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "process/ordered_mutex.hpp"
#include "request/job_service.hpp"
#include "request/runbook_run.hpp"
#include "request/shard_service.hpp"

namespace jacinthvane {

// Keeps runbook runs as documents in the journal and drives those in shards that this process owns. A step is
// a batch job whose id is the task id in the record, so that a driver that takes over can determine its
// outcome.
class runbook_service {
public:
    runbook_service(asio::io_context& context, shard_service& shards, job_service& jobs, process_hooks hooks,
                    std::size_t shard_count);

    runbook_service(const runbook_service&) = delete;
    runbook_service& operator=(const runbook_service&) = delete;

    void start();
    void stop();

    // Saves a new run and starts to drive it. If the run id exists, returns the existing run.
    awaitable<absl::StatusOr<runbook_run_record>> start_run(runbook_run_record record, time_point deadline);
    awaitable<absl::StatusOr<runbook_run_record>> load_run(std::string run_id, time_point deadline);
    awaitable<absl::StatusOr<std::vector<runbook_run_record>>> list_runs(time_point deadline);
    awaitable<absl::StatusOr<runbook_run_record>> decide_run(std::string run_id, run_decision decision,
                                                             std::string author, std::string reason,
                                                             utc_time at, time_point deadline);
    awaitable<absl::StatusOr<runbook_run_record>> cancel_run(std::string run_id, std::string author,
                                                             std::string reason, utc_time at,
                                                             time_point deadline);

private:
    awaitable<void> look_for_runs();
    awaitable<void> drive(std::string run_id);
    awaitable<absl::StatusOr<loaded_run>> load(std::string run_id, time_point deadline);
    awaitable<absl::StatusOr<std::uint64_t>> save(runbook_run_record record, std::uint64_t expected_revision,
                                                  time_point deadline);
    awaitable<step_outcome> run_step(runbook_step step, task_id task, time_point deadline);
    awaitable<step_outcome> find_outcome(runbook_step step, task_id task, time_point deadline);
    awaitable<absl::StatusOr<job_reply>> submit(const runbook_step& step, const task_id& task,
                                                time_point deadline);
    awaitable<step_outcome> wait_for_end(task_id task, time_point deadline);
    runbook_run_operations make_operations();

    asio::io_context& context_;
    shard_service& shards_;
    job_service& jobs_;
    const process_hooks hooks_;
    const std::size_t shard_count_;
    ordered_mutex mutex_{lock_rank::admin};
    std::set<std::string> driven_;
    async_signal wake_;
    std::atomic<bool> is_stopped_ = false;
};

}  // namespace jacinthvane
