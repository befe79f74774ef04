#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/error_kind.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// A claim of an idempotency key, which allows its claimant to dispatch the request once. The number
// distinguishes the claims of one claimant.
struct key_claimed {
    team_id team;
    idempotency_key key;
    std::string digest;
    process_id claimant;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;

    bool operator==(const key_claimed&) const = default;
};

// The stored part of a response. If the body was too large to store, it is empty and is_kept is false.
struct stored_response {
    int status = 0;
    std::string content_type;
    std::string body;
    bool is_kept = true;

    bool operator==(const stored_response&) const = default;
};

// The outcome of a claim. It has to identify the claim that it resolves.
struct key_settled {
    team_id team;
    idempotency_key key;
    process_id claimant;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;
    run_knowledge run = run_knowledge::not_run;
    stored_response answer;

    bool operator==(const key_settled&) const = default;
};

// A batch job. Times are wall-clock milliseconds since 1970; they order the queue, and no safety property
// depends on them. A deadline of 0 means that there is none.
struct job_accepted {
    job_id job;
    team_id team;
    task_kind kind;
    resource_vector size;
    bool is_idempotent = true;
    std::int64_t accepted_at_unix_ms = 0;
    std::int64_t deadline_unix_ms = 0;
    std::string content_type;
    std::string body;

    bool operator==(const job_accepted&) const = default;
};

// Has to be durable before the start order is sent to the upstream.
struct generation_started {
    job_id job;
    std::uint64_t generation = 1;
    upstream_id upstream;

    bool operator==(const generation_started&) const = default;
};

enum class stop_reason {
    // The start order was refused, so the generation has not run.
    not_started,
    evicted,
    failed,
    overran,
    // The upstream is unreachable and the lease has expired. The generation may have run.
    lost,
};

// Recorded only after the stop is confirmed or, with the reason lost, after the lease has expired.
struct generation_stopped {
    job_id job;
    std::uint64_t generation = 1;
    stop_reason reason = stop_reason::not_started;
    std::optional<std::string> checkpoint;

    bool operator==(const generation_stopped&) const = default;
};

struct job_finished {
    job_id job;
    std::uint64_t generation = 1;
    stored_response answer;

    bool operator==(const job_finished&) const = default;
};

struct job_cancelled {
    job_id job;
    std::string author;

    bool operator==(const job_cancelled&) const = default;
};

// The job stays in the table and in listings, and does not start until an operator reopens it.
struct job_parked {
    job_id job;
    std::uint64_t generation = 0;
    run_knowledge run = run_knowledge::not_run;
    std::string reason;

    bool operator==(const job_parked&) const = default;
};

struct job_reopened {
    job_id job;
    std::string author;
    std::string reason;

    bool operator==(const job_reopened&) const = default;
};

// A named document that is replaced completely by each write, such as a runbook run. The revision is that of
// the previous version plus 1. Empty bytes remove the document.
struct document_written {
    std::string name;
    std::uint64_t revision = 1;
    std::string bytes;

    bool operator==(const document_written&) const = default;
};

using journal_record =
    std::variant<key_claimed, key_settled, job_accepted, generation_started, generation_stopped, job_finished,
                 job_cancelled, job_parked, job_reopened, document_written>;

// Identifies one batch that a writer formed. It is unique over all processes and incarnations.
struct writer_mark {
    process_id writer;
    std::uint64_t number = 0;

    auto operator<=>(const writer_mark&) const = default;
};

// A writer clamps the elapsed time of a batch to this value, so that one wrong clock reading cannot expire
// all keys at once.
constexpr std::int64_t max_batch_elapsed_ms = 12LL * 3600 * 1000;

// One value of the journal. The elapsed time is measured on the writer's monotonic clock since it observed
// the previous batch, so the sum over all batches never runs ahead of real time.
struct journal_batch {
    std::uint64_t sequence = 0;
    writer_mark mark;
    std::int64_t elapsed_ms = 0;
    std::vector<journal_record> records;

    bool operator==(const journal_batch&) const = default;
};

// Returns a text that identifies the key, job or document that the record changes.
std::string get_subject(const journal_record& record);

}  // namespace jacinthvane
