#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "process/clock.hpp"
#include "process/error_kind.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// A priority class of messages. The urgent lane is sent before the bulk lane. Within a lane, messages start
// in the order in which they were queued, and the chunks of large messages are interleaved.
enum class peer_lane { urgent, bulk };

// State of a task or job as recorded by the process that manages it.
enum class work_state {
    unknown,
    queued,
    running,
    checkpointed,
    finished,
    failed,
    stopped,
    cancelled,
    parked,
    // The run cannot be in progress any more, and its outcome is unknown.
    lost
};

// Runs a task on an upstream that the receiver owns. The reply contains the task's response.
struct dispatch_request {
    task_start start;
    // Number of entry processes that have forwarded the request. Bounds forwarding loops caused by stale
    // tables.
    std::uint32_t hops = 0;
    // The key that the sender has claimed. Set for a non-idempotent request.
    std::optional<idempotency_key> key;

    bool operator==(const dispatch_request&) const = default;
};

struct dispatch_reply {
    task_response answer;
    upstream_id upstream;

    bool operator==(const dispatch_reply&) const = default;
};

// Requests the exclusive right to run a non-idempotent request from the owner of the key's shard.
struct claim_key_request {
    std::uint32_t shard = 0;
    team_id team;
    idempotency_key key;
    std::string digest;
    process_id claimant;
    // The latest time until which the owner waits for the resolution of a claim in progress.
    time_point deadline;

    bool operator==(const claim_key_request&) const = default;
};

enum class claim_outcome { granted, settled, in_progress, claimant_not_live };

struct claim_key_reply {
    claim_outcome outcome = claim_outcome::granted;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;
    // The remaining fields describe a resolved key. A response that was too large to store is absent.
    run_knowledge run = run_knowledge::not_run;
    std::optional<task_response> answer;

    bool operator==(const claim_key_reply&) const = default;
};

struct settle_key_request {
    std::uint32_t shard = 0;
    team_id team;
    idempotency_key key;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;
    process_id claimant;
    run_knowledge run = run_knowledge::not_run;
    std::optional<task_response> answer;

    bool operator==(const settle_key_request&) const = default;
};

struct submit_job_request {
    std::uint32_t shard = 0;
    job_id job;
    task_spec spec;
    std::optional<idempotency_key> key;
    std::string digest;
    // Set if the result of the job has no value after this time.
    std::optional<time_point> finish_by;
    // The caller's deadline for accepting the job.
    time_point deadline;

    bool operator==(const submit_job_request&) const = default;
};

struct query_job_request {
    job_id job;
    team_id team;

    bool operator==(const query_job_request&) const = default;
};

struct cancel_job_request {
    job_id job;
    team_id team;

    bool operator==(const cancel_job_request&) const = default;
};

// The reply to submit_job, query_job and cancel_job.
struct job_reply {
    job_id job;
    work_state state = work_state::unknown;
    std::uint64_t generation = 0;
    upstream_id upstream;
    run_knowledge run = run_knowledge::not_run;
    // Why the job is waiting, failed or parked.
    std::string reason;
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    std::optional<task_response> answer;

    bool operator==(const job_reply&) const = default;
};

// Reserves capacity for a generation of a job on an upstream of the receiver. The receiver releases the
// reservation unless start_task follows within a few seconds.
struct reserve_task_request {
    task_start start;

    bool operator==(const reserve_task_request&) const = default;
};

// Starts a generation of a job on an upstream of the receiver on which capacity was reserved.
struct start_task_request {
    task_start start;
    upstream_id upstream;

    bool operator==(const start_task_request&) const = default;
};

struct stop_task_request {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 1;
    // Number of entry processes that have forwarded the request. Bounds forwarding loops caused by stale
    // tables.
    std::uint32_t hops = 0;

    bool operator==(const stop_task_request&) const = default;
};

struct checkpoint_task_request {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 1;

    bool operator==(const checkpoint_task_request&) const = default;
};

struct query_task_request {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 1;
    // Number of entry processes that have forwarded the request. Bounds forwarding loops caused by stale
    // tables.
    std::uint32_t hops = 0;

    bool operator==(const query_task_request&) const = default;
};

// The reply to reserve_task, start_task, stop_task, checkpoint_task and query_task.
struct task_reply {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 1;
    work_state state = work_state::unknown;
    std::optional<std::string> checkpoint;
    std::optional<task_response> answer;

    bool operator==(const task_reply&) const = default;
};

// Reports the outcome of a generation to the owner of the job's shard.
struct task_report_request {
    job_id job;
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 1;
    work_state state = work_state::unknown;
    std::optional<std::string> checkpoint;
    std::optional<task_response> answer;
    std::string reason;

    bool operator==(const task_report_request&) const = default;
};

// Requests the newest configuration version of the receiver, if it is newer than the known version.
struct fetch_config_request {
    std::uint64_t known_version = 0;

    bool operator==(const fetch_config_request&) const = default;
};

struct fetch_config_reply {
    std::uint64_t version = 0;
    // Empty if the receiver's version is not newer than the known version.
    std::string bytes;

    bool operator==(const fetch_config_reply&) const = default;
};

// Announces leaving upstreams and entry VMs immediately; gossip alone would take a few seconds.
struct announce_leaving_request {
    std::vector<upstream_id> upstreams;
    std::vector<vm_id> entry_vms;
    std::uint64_t version = 0;

    bool operator==(const announce_leaving_request&) const = default;
};

// The reply to settle_key, task_report and announce_leaving.
struct accepted_reply {
    bool operator==(const accepted_reply&) const = default;
};

struct error_reply {
    error_kind kind = error_kind::internal;
    std::string message;
    run_knowledge run = run_knowledge::may_have_run;

    bool operator==(const error_reply&) const = default;
};

using peer_request =
    std::variant<dispatch_request, claim_key_request, settle_key_request, submit_job_request,
                 query_job_request, cancel_job_request, start_task_request, stop_task_request,
                 checkpoint_task_request, query_task_request, task_report_request, fetch_config_request,
                 announce_leaving_request, reserve_task_request>;

using peer_reply = std::variant<error_reply, accepted_reply, dispatch_reply, claim_key_reply, job_reply,
                                task_reply, fetch_config_reply>;

// Dispatches of batch tasks, job submissions and queries, reservations, start orders and task reports use the
// bulk lane. All other requests use the urgent lane.
peer_lane get_lane(const peer_request& request);

absl::Status to_status(const error_reply& reply);
error_reply make_error_reply(const absl::Status& status);

}  // namespace jacinthvane
