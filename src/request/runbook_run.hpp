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

// What is known of one attempt at a step. The detail is for people.
struct step_outcome {
    run_knowledge knowledge = run_knowledge::may_have_run;
    // Counts only if the step is known to have run.
    bool is_success = false;
    std::string detail;

    bool operator==(const step_outcome&) const = default;
};

// What the driver of a run does next.
struct start_step {
    std::size_t step = 0;
    bool operator==(const start_step&) const = default;
};
// The step was started before, by a driver that may be gone.
struct resolve_step {
    std::size_t step = 0;
    bool operator==(const resolve_step&) const = default;
};
struct finish_run {
    bool operator==(const finish_run&) const = default;
};
// The run is over or waits for an operator.
struct leave_run {
    bool operator==(const leave_run&) const = default;
};
using run_action = std::variant<start_step, resolve_step, finish_run, leave_run>;

// The rules of a run. Each gives a new record and leaves the old one as it is.
runbook_run_record make_run(const runbook& book, const std::string& run_id, const std::string& started_by,
                            const std::string& reason, utc_time started_at);
run_action get_next_action(const runbook_run_record& record);
// Marks the step as started under a new task id. The record must be durable before the task is started.
runbook_run_record begin_step(const runbook_run_record& record, std::size_t step);
// Notes what became of an attempt. An outcome of an attempt that is no longer the newest one changes nothing.
runbook_run_record note_outcome(const runbook_run_record& record, std::size_t step, const task_id& task,
                                const step_outcome& outcome);
runbook_run_record finish(const runbook_run_record& record);
// Errors: version_conflict (the run does not wait for an operator), bad_request (the decision would run a
// non-idempotent step twice).
absl::StatusOr<runbook_run_record> decide(const runbook_run_record& record, run_decision decision,
                                          const std::string& author, const std::string& reason, utc_time at);
// Errors: version_conflict (the run is over).
absl::StatusOr<runbook_run_record> cancel(const runbook_run_record& record, const std::string& author,
                                          const std::string& reason, utc_time at);

struct loaded_run {
    std::uint64_t revision = 0;
    runbook_run_record record;

    bool operator==(const loaded_run&) const = default;
};

// What the driver of a run needs from the process.
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
    // Finds out what became of a task, and waits while it runs. May answer not_run only after it has made
    // sure that the task can never start, since the driver that wanted to start it may only be slow.
    std::function<awaitable<step_outcome>(runbook_step step, task_id task, time_point deadline)> find_outcome;
};

// Drives the run until it is over, waits for an operator, or the deadline passes. Any number of drivers may
// drive the same run one after the other or at the same time. Errors: those of the store; then the run stays
// as it is saved, and another call goes on from there.
awaitable<absl::StatusOr<runbook_run_record>> drive_run(runbook_run_operations operations, std::string run_id,
                                                        std::string driver, time_point deadline);

// Saves the decision or the cancellation of an operator. The record given back is the saved one.
awaitable<absl::StatusOr<runbook_run_record>> resume_run(runbook_run_operations operations,
                                                         std::string run_id, run_decision decision,
                                                         std::string author, std::string reason, utc_time at,
                                                         time_point deadline);
awaitable<absl::StatusOr<runbook_run_record>> cancel_run(runbook_run_operations operations,
                                                         std::string run_id, std::string author,
                                                         std::string reason, utc_time at,
                                                         time_point deadline);

}  // namespace jacinthvane
