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

// A claimant may dispatch the request of an idempotency key once. The number tells the claims of one claimant
// apart.
struct key_claimed {
    team_id team;
    idempotency_key key;
    std::string digest;
    process_id claimant;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;

    bool operator==(const key_claimed&) const = default;
};

// What is kept of an answer. The body is empty and is_kept false if it was too large to keep.
struct kept_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    bool is_kept = true;

    bool operator==(const kept_answer&) const = default;
};

// The outcome of a claim. It has to name the claim that it settles.
struct key_settled {
    team_id team;
    idempotency_key key;
    process_id claimant;
    std::uint64_t claim_number = 0;
    std::uint64_t generation = 1;
    run_knowledge run = run_knowledge::not_run;
    kept_answer answer;

    bool operator==(const key_settled&) const = default;
};

// A batch job. Times are wall-clock milliseconds since 1970; they order the queue and decide nothing that has
// to be safe. A deadline of 0 stands for none.
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

// Has to be durable before the start is sent to the upstream.
struct generation_started {
    job_id job;
    std::uint64_t generation = 1;
    upstream_id upstream;

    bool operator==(const generation_started&) const = default;
};

enum class stop_reason {
    // The start was refused, so the generation is known not to have run.
    not_started,
    evicted,
    failed,
    overran,
    // The upstream cannot be asked; its lease has lapsed, but the generation may have run.
    lost,
};

// Recorded only after the stop is confirmed.
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
    kept_answer answer;

    bool operator==(const job_finished&) const = default;
};

struct job_cancelled {
    job_id job;
    std::string author;

    bool operator==(const job_cancelled&) const = default;
};

// The job is kept and shown, and does not start until an operator reopens it.
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

// A named document that is replaced as a whole, such as a runbook run. The revision is that of the document
// before, plus 1. Empty bytes remove the document.
struct document_written {
    std::string name;
    std::uint64_t revision = 1;
    std::string bytes;

    bool operator==(const document_written&) const = default;
};

using journal_record =
    std::variant<key_claimed, key_settled, job_accepted, generation_started, generation_stopped, job_finished,
                 job_cancelled, job_parked, job_reopened, document_written>;

// Names one attempt to write a batch. It is unique over all processes and lives.
struct writer_mark {
    process_id writer;
    std::uint64_t number = 0;

    auto operator<=>(const writer_mark&) const = default;
};

// A writer cuts the elapsed time of a batch off here, so one wrong reading of a clock cannot end the
// retention of all keys at once.
constexpr std::int64_t max_batch_elapsed_ms = 12LL * 3600 * 1000;

// One value of the journal. The elapsed time is what the writer's monotonic clock measured since it saw the
// batch before, so the sum over all batches never runs ahead of real time.
struct journal_batch {
    std::uint64_t sequence = 0;
    writer_mark mark;
    std::int64_t elapsed_ms = 0;
    std::vector<journal_record> records;

    bool operator==(const journal_batch&) const = default;
};

// Returns the name of the key, job or document that the record changes.
std::string get_subject(const journal_record& record);

}  // namespace jacinthvane
