#include "request/runbook_run.hpp"

#include <algorithm>
#include <utility>

#include "connection/async_signal.hpp"
#include "process/error_kind.hpp"
#include "process/random_id.hpp"

namespace jacinthvane {

namespace {

// The number of attempts at a step, each of which is known not to have run or may safely be repeated, before
// an operator has to decide.
constexpr std::uint32_t max_attempts = 3;
constexpr std::size_t max_detail_bytes = 1024;
constexpr std::chrono::milliseconds save_retry{50};

bool is_passed(const runbook_step& step, const step_record& record) {
    return record.state == step_state::done || record.state == step_state::skipped ||
           (record.state == step_state::failed && step.on_failure == failure_action::go_on);
}

// Returns the index of the first step that is not completed, or the number of steps.
std::size_t find_current_step(const runbook_run_record& record) {
    for (std::size_t i = 0; i < record.steps.size(); ++i) {
        if (!is_passed(record.book.steps[i], record.steps[i])) {
            return i;
        }
    }
    return record.steps.size();
}

std::string describe_step(const runbook_run_record& record, std::size_t step) {
    const auto& planned = record.book.steps[step];
    return "step " + std::to_string(step + 1) + " \"" + planned.name + "\" (" + planned.command +
           (planned.is_idempotent ? "), idempotent" : "), not idempotent");
}

std::string describe_knowledge(const step_record& step) {
    return "attempt " + std::to_string(step.attempts) + " as task " + step.task.get() + ": " +
           std::string(get_name(step.knowledge)) + (step.detail.empty() ? "" : "; " + step.detail);
}

void ask_operator(runbook_run_record& record, std::size_t step, const std::string& what) {
    record.state = run_state::asking;
    record.question =
        describe_step(record, step) + " " + what + "; " + describe_knowledge(record.steps[step]);
}

// Applies the consequence of a known failure, or of an attempt that is known not to have run, to the run.
void apply_failure(runbook_run_record& record, std::size_t step) {
    switch (record.book.steps[step].on_failure) {
        case failure_action::go_on:
            return;
        case failure_action::stop:
            record.state = run_state::stopped;
            record.question = describe_step(record, step) +
                              (record.steps[step].knowledge == run_knowledge::not_run
                                   ? " could not be started and stops the run; "
                                   : " failed and stops the run; ") +
                              describe_knowledge(record.steps[step]);
            return;
        case failure_action::ask:
            ask_operator(
                record, step,
                record.steps[step].knowledge == run_knowledge::not_run ? "could not be started" : "failed");
            return;
    }
}

void add_decision(runbook_run_record& record, const std::string& what, const std::string& author,
                  const std::string& reason, utc_time at) {
    if (record.decisions.size() >= max_run_decisions) {
        record.decisions.erase(record.decisions.begin());
    }
    record.decisions.push_back(format_utc(at) + " " + author + " " + what + ": " + reason);
}

bool waits_for_operator(const runbook_run_record& record) {
    return record.state == run_state::asking || record.state == run_state::stopped;
}

// Saves the record with a unique writer mark. A lost response is resolved by reading the record back.
awaitable<absl::StatusOr<std::uint64_t>> save_record(const runbook_run_operations& operations,
                                                     runbook_run_record& record,
                                                     std::uint64_t expected_revision, std::string driver,
                                                     time_point deadline) {
    record.writer = driver + "/" + make_random_id();
    bool is_write_open = false;
    while (true) {
        auto saved = co_await operations.save(record, expected_revision, deadline);
        if (saved.ok()) {
            co_return saved;
        }
        const auto kind = get_error_kind(saved.status());
        is_write_open = is_write_open || kind == error_kind::store_outcome_unknown;
        if (kind == error_kind::version_conflict && !is_write_open) {
            co_return saved;
        }
        if (is_write_open) {
            auto loaded = co_await operations.load(record.run_id, deadline);
            if (loaded.ok() && loaded->record.writer == record.writer) {
                co_return loaded->revision;
            }
            if (loaded.ok() && loaded->revision != expected_revision) {
                co_return make_error(error_kind::version_conflict,
                                     "run " + record.run_id + " was changed by another writer");
            }
        }
        const auto retry_at = std::chrono::steady_clock::now() + save_retry;
        if (retry_at >= deadline) {
            if (is_write_open) {
                co_return make_error(error_kind::store_outcome_unknown,
                                     "the store did not confirm before the deadline whether run " +
                                         record.run_id + " was saved");
            }
            co_return saved;
        }
        co_await wait_until(retry_at);
    }
}

bool is_conflict(const absl::Status& status) {
    return !status.ok() && get_error_kind(status) == error_kind::version_conflict;
}

// Saves the outcome of an attempt, merging it into what other writers have saved in the meantime.
awaitable<absl::StatusOr<loaded_run>> save_outcome(const runbook_run_operations& operations,
                                                   loaded_run current, std::size_t step, task_id task,
                                                   step_outcome outcome, std::string driver,
                                                   time_point deadline) {
    while (true) {
        auto next = record_outcome(current.record, step, task, outcome);
        if (next == current.record) {
            co_return current;
        }
        const auto saved = co_await save_record(operations, next, current.revision, driver, deadline);
        if (saved.ok()) {
            co_return loaded_run{*saved, std::move(next)};
        }
        if (!is_conflict(saved.status())) {
            co_return saved.status();
        }
        auto loaded = co_await operations.load(current.record.run_id, deadline);
        if (!loaded.ok()) {
            co_return loaded.status();
        }
        current = std::move(*loaded);
    }
}

using record_change = std::function<absl::StatusOr<runbook_run_record>(const runbook_run_record&)>;

// Applies an operator's change to the newest record.
awaitable<absl::StatusOr<runbook_run_record>> change_run(const runbook_run_operations& operations,
                                                         std::string run_id, record_change change,
                                                         std::string author, time_point deadline) {
    while (true) {
        auto loaded = co_await operations.load(run_id, deadline);
        if (!loaded.ok()) {
            co_return loaded.status();
        }
        auto changed = change(loaded->record);
        if (!changed.ok()) {
            co_return changed.status();
        }
        const auto saved = co_await save_record(operations, *changed, loaded->revision, author, deadline);
        if (saved.ok()) {
            co_return changed;
        }
        if (!is_conflict(saved.status())) {
            co_return saved.status();
        }
    }
}

}  // namespace

runbook_run_record make_run(const runbook& book, const std::string& run_id, const std::string& started_by,
                            const std::string& reason, utc_time started_at) {
    runbook_run_record record;
    record.run_id = run_id;
    record.book = book;
    record.steps.resize(book.steps.size());
    record.started_by = started_by;
    record.reason = reason;
    record.started_at = started_at;
    return record;
}

run_action get_next_action(const runbook_run_record& record) {
    if (record.state != run_state::running) {
        return leave_run{};
    }
    const auto step = find_current_step(record);
    if (step == record.steps.size()) {
        return finish_run{};
    }
    if (record.steps[step].state == step_state::started) {
        return resolve_step{step};
    }
    return start_step{step};
}

runbook_run_record begin_step(const runbook_run_record& record, std::size_t step) {
    auto next = record;
    auto& started = next.steps[step];
    started.state = step_state::started;
    started.knowledge = run_knowledge::may_have_run;
    ++started.attempts;
    started.task =
        task_id(record.run_id + "-" + std::to_string(step + 1) + "-" + std::to_string(started.attempts));
    started.detail.clear();
    return next;
}

runbook_run_record record_outcome(const runbook_run_record& record, std::size_t step, const task_id& task,
                                  const step_outcome& outcome) {
    const auto& old = record.steps[step];
    const bool is_open = old.state == step_state::started || old.state == step_state::unknown_outcome;
    const bool adds_knowledge =
        old.state == step_state::started || outcome.knowledge != run_knowledge::may_have_run;
    if (old.task != task || !is_open || !adds_knowledge) {
        return record;
    }
    auto next = record;
    auto& recorded = next.steps[step];
    recorded.knowledge = outcome.knowledge;
    recorded.detail = outcome.detail.substr(0, max_detail_bytes);
    // A definite outcome that arrives late resolves the open question about this step.
    if (old.state == step_state::unknown_outcome && next.state == run_state::asking) {
        next.state = run_state::running;
        next.question.clear();
    }
    const bool is_cancelled = next.state == run_state::cancelled;
    const bool may_repeat = next.book.steps[step].is_idempotent;
    switch (outcome.knowledge) {
        case run_knowledge::ran:
            recorded.state = outcome.is_success ? step_state::done : step_state::failed;
            if (!outcome.is_success && !is_cancelled) {
                apply_failure(next, step);
            }
            return next;
        case run_knowledge::not_run:
            recorded.state = recorded.attempts < max_attempts ? step_state::waiting : step_state::failed;
            if (recorded.state == step_state::failed && !is_cancelled) {
                apply_failure(next, step);
            }
            return next;
        case run_knowledge::may_have_run:
            recorded.state = step_state::unknown_outcome;
            if (may_repeat && recorded.attempts < max_attempts) {
                recorded.state = step_state::waiting;
            } else if (!is_cancelled) {
                ask_operator(next, step, "has an unknown outcome");
            }
            return next;
    }
    return next;
}

runbook_run_record finish(const runbook_run_record& record) {
    auto next = record;
    next.state = run_state::finished;
    return next;
}

absl::StatusOr<runbook_run_record> decide(const runbook_run_record& record, run_decision decision,
                                          const std::string& author, const std::string& reason, utc_time at) {
    if (!waits_for_operator(record)) {
        return make_error(error_kind::version_conflict, "run " + record.run_id + " is " +
                                                            std::string(get_name(record.state)) +
                                                            " and waits for no decision");
    }
    const auto step = find_current_step(record);
    if (step == record.steps.size()) {
        return make_error(error_kind::version_conflict, "run " + record.run_id + " has no open step");
    }
    auto next = record;
    auto& decided = next.steps[step];
    const bool is_idempotent = next.book.steps[step].is_idempotent;
    const bool is_known_to_have_run = decided.knowledge == run_knowledge::ran;
    const bool is_known_not_to_have_run = decided.knowledge == run_knowledge::not_run;
    next.state = run_state::running;
    next.question.clear();
    switch (decision) {
        case run_decision::it_ran:
            decided.state = step_state::skipped;
            break;
        case run_decision::it_failed:
            decided.state = step_state::failed;
            if (next.book.steps[step].on_failure != failure_action::go_on) {
                next.state = run_state::cancelled;
            }
            break;
        case run_decision::did_not_run:
            if (is_known_to_have_run) {
                return make_error(error_kind::bad_request,
                                  describe_step(record, step) + " is known to have run");
            }
            decided.state = step_state::waiting;
            decided.knowledge = run_knowledge::not_run;
            break;
        case run_decision::repeat:
            if (!is_idempotent && !is_known_not_to_have_run) {
                return make_error(error_kind::bad_request,
                                  describe_step(record, step) +
                                      " must not run twice and cannot be repeated; " +
                                      describe_knowledge(record.steps[step]));
            }
            decided.state = step_state::waiting;
            break;
    }
    add_decision(next, std::string(get_name(decision)) + " for " + next.book.steps[step].name, author, reason,
                 at);
    return next;
}

absl::StatusOr<runbook_run_record> cancel(const runbook_run_record& record, const std::string& author,
                                          const std::string& reason, utc_time at) {
    if (record.state == run_state::finished || record.state == run_state::cancelled) {
        return make_error(error_kind::version_conflict,
                          "run " + record.run_id + " is already " + std::string(get_name(record.state)));
    }
    auto next = record;
    next.state = run_state::cancelled;
    next.question.clear();
    add_decision(next, "cancel", author, reason, at);
    return next;
}

awaitable<absl::StatusOr<runbook_run_record>> drive_run(runbook_run_operations operations, std::string run_id,
                                                        std::string driver, time_point deadline) {
    auto loaded = co_await operations.load(run_id, deadline);
    if (!loaded.ok()) {
        co_return loaded.status();
    }
    auto current = std::move(*loaded);
    while (std::chrono::steady_clock::now() < deadline) {
        const auto action = get_next_action(current.record);
        if (std::holds_alternative<leave_run>(action)) {
            break;
        }
        if (const auto* open = std::get_if<resolve_step>(&action)) {
            const auto step = current.record.book.steps[open->step];
            const auto task = current.record.steps[open->step].task;
            auto outcome = co_await operations.find_outcome(step, task, deadline);
            auto saved = co_await save_outcome(operations, current, open->step, task, std::move(outcome),
                                               driver, deadline);
            if (!saved.ok()) {
                co_return saved.status();
            }
            current = std::move(*saved);
            continue;
        }
        const auto* start = std::get_if<start_step>(&action);
        auto next = start == nullptr ? finish(current.record) : begin_step(current.record, start->step);
        const auto saved = co_await save_record(operations, next, current.revision, driver, deadline);
        if (is_conflict(saved.status())) {
            // Another driver or an operator saved first, so its record is used.
            auto newest = co_await operations.load(run_id, deadline);
            if (!newest.ok()) {
                co_return newest.status();
            }
            current = std::move(*newest);
            continue;
        }
        if (!saved.ok()) {
            co_return saved.status();
        }
        current = loaded_run{*saved, std::move(next)};
        if (start == nullptr) {
            break;
        }
        const auto step = current.record.book.steps[start->step];
        const auto task = current.record.steps[start->step].task;
        const auto step_deadline =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(step.timeout_ms);
        auto outcome = co_await operations.run(step, task, step_deadline);
        auto recorded = co_await save_outcome(operations, current, start->step, task, std::move(outcome),
                                              driver, std::max(deadline, step_deadline));
        if (!recorded.ok()) {
            co_return recorded.status();
        }
        current = std::move(*recorded);
    }
    co_return current.record;
}

awaitable<absl::StatusOr<runbook_run_record>> resume_run(runbook_run_operations operations,
                                                         std::string run_id, run_decision decision,
                                                         std::string author, std::string reason, utc_time at,
                                                         time_point deadline) {
    // An outcome that the system can determine takes precedence over the operator's statement. Determining it
    // also ensures that an attempt reported as not run cannot start later.
    auto loaded = co_await operations.load(run_id, deadline);
    if (!loaded.ok()) {
        co_return loaded.status();
    }
    const auto step = find_current_step(loaded->record);
    const bool is_open =
        step < loaded->record.steps.size() && loaded->record.steps[step].state == step_state::unknown_outcome;
    if (is_open) {
        const auto planned = loaded->record.book.steps[step];
        const auto task = loaded->record.steps[step].task;
        auto outcome = co_await operations.find_outcome(planned, task, deadline);
        if (outcome.knowledge != run_knowledge::may_have_run) {
            auto saved =
                co_await save_outcome(operations, *loaded, step, task, std::move(outcome), author, deadline);
            if (!saved.ok()) {
                co_return saved.status();
            }
            if (saved->record.state == run_state::running) {
                co_return saved->record;
            }
        }
    }
    const record_change change = [=](const runbook_run_record& record) {
        return decide(record, decision, author, reason, at);
    };
    auto changed = co_await change_run(operations, run_id, change, author, deadline);
    co_return changed;
}

awaitable<absl::StatusOr<runbook_run_record>> cancel_run(runbook_run_operations operations,
                                                         std::string run_id, std::string author,
                                                         std::string reason, utc_time at,
                                                         time_point deadline) {
    const record_change change = [=](const runbook_run_record& record) {
        return cancel(record, author, reason, at);
    };
    auto changed = co_await change_run(operations, run_id, change, author, deadline);
    co_return changed;
}

}  // namespace jacinthvane
