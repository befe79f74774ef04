#include "request/runbook_service.hpp"

#include <chrono>
#include <mutex>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "connection/runbook_codec.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::string_view document_prefix = "run/";
// Jobs of operators are accounted to a separate team.
constexpr std::string_view runbook_team = "operators";
constexpr std::chrono::seconds scan_interval{2};
constexpr std::chrono::seconds drive_timeout{60};
constexpr std::chrono::milliseconds job_poll_interval{200};

time_point now() {
    return std::chrono::steady_clock::now();
}

std::string get_document_name(const std::string& run_id) {
    return std::string(document_prefix) + run_id;
}

step_outcome make_outcome(const job_reply& job) {
    step_outcome outcome;
    outcome.knowledge = job.run;
    outcome.detail = job.reason;
    if (job.state == work_state::finished) {
        outcome.knowledge = run_knowledge::ran;
        outcome.is_success = !job.answer || job.answer->status < 400;
    }
    return outcome;
}

bool is_ended(work_state state) {
    return state == work_state::finished || state == work_state::cancelled || state == work_state::parked;
}

}  // namespace

runbook_service::runbook_service(asio::io_context& context, shard_service& shards, job_service& jobs,
                                 process_hooks hooks, std::size_t shard_count)
    : context_(context), shards_(shards), jobs_(jobs), hooks_(std::move(hooks)), shard_count_(shard_count) {}

void runbook_service::start() {
    spawn_task(context_, "look_for_runs", look_for_runs());
}

void runbook_service::stop() {
    is_stopped_ = true;
    wake_.notify_all();
}

awaitable<void> runbook_service::look_for_runs() {
    while (!is_stopped_) {
        const auto seen = wake_.get_count();
        for (std::size_t shard = 0; shard < shard_count_ && !is_stopped_; ++shard) {
            if (hooks_.find_remote_shard_owner(shard)) {
                continue;
            }
            const auto documents =
                co_await shards_.list_documents(shard, std::string(document_prefix), now() + scan_interval);
            if (!documents.ok()) {
                continue;
            }
            for (const auto& document : *documents) {
                const auto decoded = decode_runbook_run(document.bytes);
                const auto* record = std::get_if<runbook_run_record>(&decoded);
                if (record == nullptr || record->state != run_state::running) {
                    continue;
                }
                std::lock_guard lock(mutex_);
                if (driven_.insert(record->run_id).second) {
                    spawn_task(context_, "drive", drive(record->run_id));
                }
            }
        }
        co_await wake_.wait(seen, now() + scan_interval);
    }
}

awaitable<void> runbook_service::drive(std::string run_id) {
    auto operations = make_operations();
    const auto result =
        co_await drive_run(std::move(operations), run_id, hooks_.self.to_string(), now() + drive_timeout);
    std::lock_guard lock(mutex_);
    driven_.erase(run_id);
}

runbook_run_operations runbook_service::make_operations() {
    runbook_run_operations operations;
    operations.load = [this](std::string run_id, time_point deadline) {
        return load(std::move(run_id), deadline);
    };
    operations.save = [this](runbook_run_record record, std::uint64_t expected_revision,
                             time_point deadline) {
        return save(std::move(record), expected_revision, deadline);
    };
    operations.run = [this](runbook_step step, task_id task, time_point deadline) {
        return run_step(std::move(step), std::move(task), deadline);
    };
    operations.find_outcome = [this](runbook_step step, task_id task, time_point deadline) {
        return find_outcome(std::move(step), std::move(task), deadline);
    };
    return operations;
}

awaitable<absl::StatusOr<runbook_run_record>> runbook_service::start_run(runbook_run_record record,
                                                                         time_point deadline) {
    const auto run_id = record.run_id;
    const auto saved = co_await save(std::move(record), 0, deadline);
    if (!saved.ok() && get_error_kind(saved.status()) != error_kind::version_conflict) {
        co_return saved.status();
    }
    wake_.notify_all();
    co_return co_await load_run(run_id, deadline);
}

awaitable<absl::StatusOr<runbook_run_record>> runbook_service::load_run(std::string run_id,
                                                                        time_point deadline) {
    const auto loaded = co_await load(std::move(run_id), deadline);
    if (!loaded.ok()) {
        co_return loaded.status();
    }
    co_return loaded->record;
}

awaitable<absl::StatusOr<std::vector<runbook_run_record>>> runbook_service::list_runs(time_point deadline) {
    std::vector<runbook_run_record> result;
    for (std::size_t shard = 0; shard < shard_count_; ++shard) {
        const auto refreshed = co_await shards_.refresh(shard, deadline);
        if (!refreshed.ok()) {
            co_return refreshed;
        }
        const auto documents = co_await shards_.list_documents(shard, std::string(document_prefix), deadline);
        if (!documents.ok()) {
            co_return documents.status();
        }
        for (const auto& document : *documents) {
            auto decoded = decode_runbook_run(document.bytes);
            if (auto* record = std::get_if<runbook_run_record>(&decoded)) {
                result.push_back(std::move(*record));
            }
        }
    }
    co_return result;
}

awaitable<absl::StatusOr<runbook_run_record>> runbook_service::decide_run(std::string run_id,
                                                                          run_decision decision,
                                                                          std::string author,
                                                                          std::string reason, utc_time at,
                                                                          time_point deadline) {
    auto operations = make_operations();
    auto result = co_await resume_run(std::move(operations), std::move(run_id), decision, std::move(author),
                                      std::move(reason), at, deadline);
    wake_.notify_all();
    co_return result;
}

awaitable<absl::StatusOr<runbook_run_record>> runbook_service::cancel_run(std::string run_id,
                                                                          std::string author,
                                                                          std::string reason, utc_time at,
                                                                          time_point deadline) {
    auto operations = make_operations();
    co_return co_await jacinthvane::cancel_run(std::move(operations), std::move(run_id), std::move(author),
                                               std::move(reason), at, deadline);
}

awaitable<absl::StatusOr<loaded_run>> runbook_service::load(std::string run_id, time_point deadline) {
    const auto name = get_document_name(run_id);
    const auto shard = shards_.get_shard(name);
    const auto refreshed = co_await shards_.refresh(shard, deadline);
    if (!refreshed.ok()) {
        co_return refreshed;
    }
    const auto documents = co_await shards_.list_documents(shard, name, deadline);
    if (!documents.ok()) {
        co_return documents.status();
    }
    for (const auto& document : *documents) {
        if (document.name != name) {
            continue;
        }
        auto decoded = decode_runbook_run(document.bytes);
        if (auto* record = std::get_if<runbook_run_record>(&decoded)) {
            co_return loaded_run{.revision = document.revision, .record = std::move(*record)};
        }
        co_return make_error(error_kind::bad_configuration,
                             "the record of run " + run_id + " cannot be read");
    }
    co_return make_error(error_kind::not_found, "run " + run_id + " is unknown");
}

awaitable<absl::StatusOr<std::uint64_t>> runbook_service::save(runbook_run_record record,
                                                               std::uint64_t expected_revision,
                                                               time_point deadline) {
    document_written written;
    written.name = get_document_name(record.run_id);
    written.revision = expected_revision + 1;
    written.bytes = encode_runbook_run(record).dump();
    const auto shard = shards_.get_shard(written.name);
    const journal_record appended = written;
    const auto status = co_await shards_.append(shard, appended, deadline);
    if (!status.ok()) {
        co_return status;
    }
    co_return written.revision;
}

awaitable<absl::StatusOr<job_reply>> runbook_service::submit(const runbook_step& step, const task_id& task,
                                                             time_point deadline) {
    caller_request request;
    request.request = request_id(task.get());
    request.deadline = deadline;
    request.spec.task = task;
    request.spec.team = team_id(std::string(runbook_team));
    request.spec.kind = step.kind;
    request.spec.work_class = task_class::batch;
    request.spec.size = step.size;
    request.spec.is_idempotent = step.is_idempotent;
    request.spec.body = nlohmann::json{{"command", step.command}, {"arguments", step.arguments}}.dump();
    co_return co_await jobs_.submit(std::move(request));
}

awaitable<step_outcome> runbook_service::run_step(runbook_step step, task_id task, time_point deadline) {
    reach(hooks_.observer, work_step::runbook_step);
    const auto submitted = co_await submit(step, task, deadline);
    if (!submitted.ok()) {
        step_outcome outcome;
        outcome.detail = std::string(submitted.status().message());
        // The job may have been accepted although the call returned an error.
        outcome.knowledge = run_knowledge::may_have_run;
        co_return outcome;
    }
    co_return co_await wait_for_end(task, deadline);
}

awaitable<step_outcome> runbook_service::find_outcome(runbook_step step, task_id task, time_point deadline) {
    const job_id job(task.get());
    const auto found = co_await jobs_.query(job, team_id(), deadline);
    if (!found.ok() && get_error_kind(found.status()) == error_kind::not_found) {
        // Submitting the job and cancelling it immediately prevents a slow driver from starting it later,
        // because a job id is accepted only once.
        const auto submitted = co_await submit(step, task, deadline);
        if (submitted.ok()) {
            const auto cancelled = co_await jobs_.cancel(job, team_id(), deadline);
            if (!cancelled.ok()) {
                co_return step_outcome{.detail = std::string(cancelled.status().message())};
            }
        }
    }
    co_return co_await wait_for_end(task, deadline);
}

awaitable<step_outcome> runbook_service::wait_for_end(task_id task, time_point deadline) {
    step_outcome outcome;
    outcome.detail = "the step has not ended yet";
    while (!is_stopped_ && now() < deadline) {
        const auto job = co_await jobs_.query(job_id(task.get()), team_id(), deadline);
        if (job.ok() && is_ended(job->state)) {
            co_return make_outcome(*job);
        }
        co_await wait_until(std::min(deadline, now() + job_poll_interval));
    }
    co_return outcome;
}

}  // namespace jacinthvane
