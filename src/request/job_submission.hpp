#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/cell_store.hpp"
#include "connection/http_client.hpp"
#include "process/job_progress.hpp"
#include "process/job_spec.hpp"
#include "process/metrics.hpp"
#include "process/ordered_mutex.hpp"
#include "request/cell_member.hpp"

namespace jacinthvane {

// The operations that any process of the cell offers to callers: submit, look up, cancel and count jobs.
// Accepting a job needs only the store; queries are sent to the owner, and to the store if the owner does not
// respond. Thread-safe.
class job_submission {
public:
    job_submission(asio::io_context& context, cell_store store, std::shared_ptr<cell_member> member,
                   metrics& counters);

    // Makes the job durable; repeated submissions create it only once. Errors: overloaded (refused, never
    // runs), store_unavailable (refused, never runs), store_outcome_unknown (may be accepted),
    // deadline_exceeded (not sent to the store, but may have been accepted before).
    awaitable<absl::Status> submit(queue_rules rules, job_id id, job_spec spec, time_point deadline);
    // Errors: not_found, store_unavailable.
    awaitable<absl::StatusOr<job_phase>> get_state(std::string queue, job_id id, time_point deadline);
    // Errors: store_unavailable, store_outcome_unknown.
    awaitable<absl::Status> cancel(job_id id, time_point deadline);
    // Returns the number of jobs in the queue of which no task has started. Errors: peer_unreachable.
    awaitable<absl::StatusOr<std::uint64_t>> count_pending(std::string queue, time_point deadline);

private:
    // Refuses a job that the owner could not start in time, unless it was accepted before.
    awaitable<absl::Status> refuse_unless_known(job_id id, std::int64_t retry_after_ms, time_point deadline);
    awaitable<absl::StatusOr<job_phase>> query_owner(std::string queue, job_id id, time_point deadline);
    awaitable<absl::StatusOr<job_phase>> read_state(std::string queue, job_id id, time_point deadline);
    awaitable<absl::StatusOr<std::vector<queue_status>>> get_statuses(time_point deadline);

    cell_store store_;
    std::shared_ptr<cell_member> member_;
    metrics& metrics_;
    http_client peers_;
    ordered_mutex mutex_{lock_rank::pending_responses};
    std::vector<queue_status> statuses_;
    time_point statuses_read_at_;
};

}  // namespace jacinthvane
