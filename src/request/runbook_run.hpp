#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/clock.hpp"
#include "version/runbook.hpp"

namespace jacinthvane {

// The known outcome of one attempt at a step. The detail is text for operators.
struct step_outcome {
    run_knowledge knowledge = run_knowledge::may_have_run;
    // Meaningful only if the step is known to have run.
    bool is_success = false;
    std::string detail;

    bool operator==(const step_outcome&) const = default;
};

// The next action of the driver of a run.
struct start_step {
    std::size_t step = 0;
    bool operator==(const start_step&) const = default;
};
// The step was already started, by a driver that may have ended.
struct resolve_step {
    std::size_t step = 0;
    bool operator==(const resolve_step&) const = default;
};
struct finish_run {
    bool operator==(const finish_run&) const = default;
};
// The run has ended or waits for an operator.
struct leave_run {
    bool operator==(const leave_run&) const = default;
};
using run_action = std::variant<start_step, resolve_step, finish_run, leave_run>;

// The state transitions of a run. Each function returns a new record and leaves the old one unchanged.
runbook_run_record make_run(const runbook& book, const std::string& run_id, const std::string& started_by,
                            const std::string& reason, utc_time started_at);
run_action get_next_action(const runbook_run_record& record);
// Marks the step as started under a new task id. The record must be durable before the task is started.
runbook_run_record begin_step(const runbook_run_record& record, std::size_t step);
// Records the outcome of an attempt. The outcome of an attempt that is not the newest one has no effect.
runbook_run_record record_outcome(const runbook_run_record& record, std::size_t step, const task_id& task,
                                  const step_outcome& outcome);
runbook_run_record finish(const runbook_run_record& record);
// Applies an operator's decision. Errors: version_conflict (the run does not wait for an operator),
// bad_request (the decision would run a non-idempotent step twice).
absl::StatusOr<runbook_run_record> decide(const runbook_run_record& record, run_decision decision,
                                          const std::string& author, const std::string& reason, utc_time at);
// Errors: version_conflict (the run has ended).
absl::StatusOr<runbook_run_record> cancel(const runbook_run_record& record, const std::string& author,
                                          const std::string& reason, utc_time at);

struct loaded_run {
    std::uint64_t revision = 0;
    runbook_run_record record;

    bool operator==(const loaded_run&) const = default;
};

// The operations that the driver of a run needs from the process.
struct runbook_run_operations {
    // Errors: not_found, store_unavailable.
    std::function<awaitable<absl::StatusOr<loaded_run>>(std::string run_id, time_point deadline)> load;
    // Writes the record if the revision is the expected one (0: must not exist) and returns the new revision.
    // Errors: version_conflict, store_unavailable, store_outcome_unknown.
    std::function<awaitable<absl::StatusOr<std::uint64_t>>(
        runbook_run_record record, std::uint64_t expected_revision, time_point deadline)>
        save;
    // Runs the step as a task of the given id and waits for its outcome until the deadline.
    std::function<awaitable<step_outcome>(runbook_step step, task_id task, time_point deadline)> run;
    // Determines the outcome of a task, waiting while it runs. May return not_run only after it has ensured
    // that the task can never start, because the driver that tried to start it may only be slow.
    std::function<awaitable<step_outcome>(runbook_step step, task_id task, time_point deadline)> find_outcome;
};

// Drives the run until it ends, it waits for an operator, or the deadline passes. Any number of drivers may
// drive the same run consecutively or concurrently. Errors: those of the store. After an error the run stays
// as it was last saved, and another call continues from there.
awaitable<absl::StatusOr<runbook_run_record>> drive_run(runbook_run_operations operations, std::string run_id,
                                                        std::string driver, time_point deadline);

// Saves an operator's decision or cancellation and returns the saved record.
awaitable<absl::StatusOr<runbook_run_record>> resume_run(runbook_run_operations operations,
                                                         std::string run_id, run_decision decision,
                                                         std::string author, std::string reason, utc_time at,
                                                         time_point deadline);
awaitable<absl::StatusOr<runbook_run_record>> cancel_run(runbook_run_operations operations,
                                                         std::string run_id, std::string author,
                                                         std::string reason, utc_time at,
                                                         time_point deadline);

}  // namespace jacinthvane
