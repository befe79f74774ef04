#include "request/job_service.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/digest.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds call_timeout{5000};
constexpr std::chrono::milliseconds peer_call_timeout{2000};
constexpr std::chrono::milliseconds report_retry{500};
constexpr std::chrono::milliseconds start_retry{300};
constexpr std::size_t max_reports_in_progress = 64;
constexpr std::chrono::milliseconds shortest_pass_interval{20};

time_point now() {
    return std::chrono::steady_clock::now();
}

work_state to_work_state(job_state state) {
    switch (state) {
        case job_state::queued:
            return work_state::queued;
        case job_state::running:
        case job_state::cancelling:
            return work_state::running;
        case job_state::parked:
            return work_state::parked;
        case job_state::finished:
            return work_state::finished;
        case job_state::cancelled:
            return work_state::cancelled;
    }
    return work_state::unknown;
}

job_reply describe(const job_entry& entry) {
    job_reply reply;
    reply.job = entry.accepted->job;
    reply.state = to_work_state(entry.state);
    reply.generation = entry.generation;
    reply.upstream = entry.upstream;
    reply.run = entry.run;
    reply.reason = entry.reason;
    reply.evictions = entry.evictions;
    reply.failures = entry.failures;
    if (entry.state == job_state::finished && entry.answer.is_kept) {
        reply.answer = task_response{.task = task_id(entry.accepted->job.get()),
                                     .status = entry.answer.status,
                                     .content_type = entry.answer.content_type,
                                     .body = entry.answer.body};
    }
    return reply;
}

task_start make_start(const job_entry& entry) {
    task_start start;
    start.spec.task = task_id(entry.accepted->job.get());
    start.spec.team = entry.accepted->team;
    start.spec.kind = entry.accepted->kind;
    start.spec.work_class = task_class::batch;
    start.spec.size = entry.accepted->size;
    start.spec.is_idempotent = entry.accepted->is_idempotent;
    start.spec.body = entry.accepted->body;
    start.generation = entry.generation + 1;
    start.resume_from = entry.checkpoint;
    start.deadline = now() + call_timeout;
    return start;
}

// Returns whether the failure is transient: the store or a peer could not be reached.
bool is_transient(const absl::Status& status) {
    switch (get_error_kind(status)) {
        case error_kind::store_unavailable:
        case error_kind::store_outcome_unknown:
        case error_kind::peer_unreachable:
        case error_kind::peer_lost:
        case error_kind::overloaded:
        case error_kind::not_ready:
        case error_kind::shutting_down:
            return true;
        default:
            return false;
    }
}

}  // namespace

job_service::job_service(asio::io_context& context, shard_service& shards, process_hooks hooks,
                         job_options options)
    : context_(context),
      shards_(shards),
      hooks_(std::move(hooks)),
      options_(options),
      random_(options.seed) {}

void job_service::start() {
    spawn_task(context_, "drive_shards", drive_shards());
    spawn_task(context_, "send_reports", send_reports());
}

void job_service::stop() {
    is_stopped_ = true;
    work_changed_.notify_all();
}

awaitable<absl::StatusOr<job_reply>> job_service::submit(caller_request request) {
    reach(hooks_.observer, work_step::accept);
    if (!hooks_.would_ever_fit(request.spec.size)) {
        co_return make_error(error_kind::never_fits,
                             "no upstream is large enough for " + request.spec.size.to_string());
    }
    submit_job_request call;
    call.job = job_id(request.spec.task.get());
    call.shard = static_cast<std::uint32_t>(shards_.get_shard(call.job));
    call.spec = request.spec;
    call.key = request.key;
    call.digest = request.digest;
    call.deadline = std::min(request.deadline, now() + std::chrono::seconds(30));
    const peer_request message = call;
    const auto reply =
        co_await call_shard_owner(call.shard, message, std::min(call.deadline, now() + peer_call_timeout));
    if (reply.ok()) {
        if (const auto* accepted = std::get_if<job_reply>(&*reply)) {
            co_return *accepted;
        }
        if (const auto* error = std::get_if<error_reply>(&*reply);
            error != nullptr && !is_transient(to_status(*error))) {
            co_return to_status(*error);
        }
    }
    // The owner of the shard is unreachable or did not respond. Accepting a job twice is harmless, because
    // the journal keeps only one.
    co_return co_await submit_for_peer(call);
}

awaitable<absl::StatusOr<job_reply>> job_service::submit_for_peer(submit_job_request request) {
    job_accepted record;
    record.job = request.job;
    record.team = request.spec.team;
    record.kind = request.spec.kind;
    record.size = request.spec.size;
    record.is_idempotent = request.spec.is_idempotent;
    record.accepted_at_unix_ms = get_unix_ms();
    record.body = request.spec.body;
    const journal_record appended = record;
    const auto status = co_await shards_.append(request.shard, appended, request.deadline);
    if (!status.ok() && get_error_kind(status) != error_kind::version_conflict) {
        co_return status;
    }
    const auto entry = co_await shards_.find_job(request.job, request.deadline);
    if (!entry.ok()) {
        co_return entry.status();
    }
    const auto& accepted = *(*entry)->accepted;
    const bool is_same = accepted.team == record.team && accepted.kind == record.kind &&
                         accepted.size == record.size &&
                         ((*entry)->is_open() ? accepted.body == record.body : true);
    if (!is_same) {
        co_return make_error(error_kind::key_reused, "the idempotency key was used before for another job");
    }
    counters_.accepted += status.ok() ? 1 : 0;
    reach(hooks_.observer, work_step::record);
    work_changed_.notify_all();
    co_return describe(**entry);
}

awaitable<absl::StatusOr<job_reply>> job_service::query(job_id job, team_id team, time_point deadline) {
    const auto shard = shards_.get_shard(job);
    const query_job_request call{.job = job, .team = team};
    const peer_request message = call;
    const auto reply =
        co_await call_shard_owner(shard, message, std::min(deadline, now() + peer_call_timeout));
    if (reply.ok()) {
        if (const auto* found = std::get_if<job_reply>(&*reply)) {
            co_return *found;
        }
    }
    co_return co_await query_for_peer(call, deadline);
}

awaitable<absl::StatusOr<job_reply>> job_service::query_for_peer(query_job_request request,
                                                                 time_point deadline) {
    co_return co_await find(request.job, request.team, deadline);
}

awaitable<absl::StatusOr<job_reply>> job_service::find(job_id job, team_id team, time_point deadline) {
    const auto entry = co_await shards_.find_job(job, deadline);
    if (!entry.ok()) {
        co_return entry.status();
    }
    // A team must not learn anything about another team's jobs, not even that they exist.
    if (!team.is_empty() && (*entry)->accepted->team != team) {
        co_return make_error(error_kind::not_found, "job " + job.get() + " is unknown");
    }
    co_return describe(**entry);
}

awaitable<absl::StatusOr<job_reply>> job_service::cancel(job_id job, team_id team, time_point deadline) {
    const auto shard = shards_.get_shard(job);
    const cancel_job_request call{.job = job, .team = team};
    const peer_request message = call;
    const auto reply =
        co_await call_shard_owner(shard, message, std::min(deadline, now() + peer_call_timeout));
    if (reply.ok()) {
        if (const auto* found = std::get_if<job_reply>(&*reply)) {
            co_return *found;
        }
        if (const auto* error = std::get_if<error_reply>(&*reply);
            error != nullptr && !is_transient(to_status(*error))) {
            co_return to_status(*error);
        }
    }
    co_return co_await cancel_for_peer(call, deadline);
}

awaitable<absl::StatusOr<job_reply>> job_service::cancel_for_peer(cancel_job_request request,
                                                                  time_point deadline) {
    const auto found = co_await find(request.job, request.team, deadline);
    if (!found.ok()) {
        co_return found.status();
    }
    const journal_record record = job_cancelled{.job = request.job, .author = request.team.get()};
    const auto status = co_await shards_.append(shards_.get_shard(request.job), record, deadline);
    // A job that is being cancelled or has already ended is left unchanged.
    if (!status.ok() && get_error_kind(status) != error_kind::version_conflict) {
        co_return status;
    }
    counters_.cancelled += status.ok() ? 1 : 0;
    work_changed_.notify_all();
    co_return co_await find(request.job, request.team, deadline);
}

awaitable<absl::StatusOr<std::vector<job_reply>>> job_service::list(team_id team, time_point deadline) {
    const auto jobs = co_await shards_.list_jobs(team, deadline);
    if (!jobs.ok()) {
        co_return jobs.status();
    }
    std::vector<job_reply> result;
    for (const auto& job : *jobs) {
        result.push_back(describe(*job));
    }
    co_return result;
}

awaitable<absl::StatusOr<peer_reply>> job_service::call_shard_owner(std::size_t shard, peer_request request,
                                                                    time_point deadline) {
    const auto owner = hooks_.find_remote_shard_owner(shard);
    if (!owner) {
        co_return make_error(error_kind::peer_unreachable,
                             "this process owns shard " + std::to_string(shard) + " itself");
    }
    co_return co_await hooks_.call_peer(owner->peer_address, request, deadline);
}

awaitable<void> job_service::drive_shards() {
    while (!is_stopped_) {
        // Every finished step requests another pass. A pass iterates over all open jobs, so a minimum
        // interval separates the passes.
        co_await wait_until(now() + shortest_pass_interval);
        const auto seen = work_changed_.get_count();
        std::set<job_id> open;
        bool is_complete = true;
        for (std::size_t shard = 0; shard < options_.shards && !is_stopped_; ++shard) {
            if (hooks_.find_remote_shard_owner(shard)) {
                continue;
            }
            const auto jobs = co_await shards_.get_open_jobs(shard, now() + call_timeout);
            if (!jobs.ok()) {
                is_complete = false;
                continue;
            }
            for (const auto& job : *jobs) {
                open.insert(job->accepted->job);
                schedule_next_step(shard, job);
            }
        }
        if (is_complete) {
            std::lock_guard lock(mutex_);
            std::erase_if(driven_, [&](const auto& item) {
                return !item.second.is_step_in_progress && !open.contains(item.first);
            });
        }
        co_await work_changed_.wait(seen, now() + options_.drive_interval);
    }
}

// Starts the next step of a job if one is due and none is in progress.
void job_service::schedule_next_step(std::size_t shard, const std::shared_ptr<const job_entry>& job) {
    {
        std::lock_guard lock(mutex_);
        if (steps_in_progress_ >= options_.max_steps_in_progress) {
            return;
        }
        auto [found, is_new] = driven_.try_emplace(job->accepted->job);
        auto& driven = found->second;
        if (is_new || driven.generation != job->generation) {
            driven.generation = job->generation;
            // A shard owner that finds a running job does not know whether its start order is still in
            // flight.
            driven.check_at = now() + options_.start_expires_after;
            driven.start_at = is_new ? now() : driven.start_at;
        }
        if (driven.is_step_in_progress || job->state == job_state::parked) {
            return;
        }
        const bool is_due =
            job->state == job_state::queued ? now() >= driven.start_at : now() >= driven.check_at;
        if (!is_due && job->state != job_state::cancelling) {
            return;
        }
        driven.is_step_in_progress = true;
        ++steps_in_progress_;
    }
    spawn_task(context_, "run_step", run_step(shard, job));
}

awaitable<void> job_service::run_step(std::size_t shard, std::shared_ptr<const job_entry> job) {
    switch (job->state) {
        case job_state::queued:
            co_await start_generation(shard, job);
            break;
        case job_state::running:
            co_await check_generation(shard, job);
            break;
        case job_state::cancelling:
            co_await stop_cancelled(shard, job);
            break;
        default:
            break;
    }
    finish_step(job->accepted->job);
}

void job_service::finish_step(const job_id& job) {
    {
        std::lock_guard lock(mutex_);
        --steps_in_progress_;
        if (const auto found = driven_.find(job); found != driven_.end()) {
            found->second.is_step_in_progress = false;
        }
    }
    step_finished_.notify_all();
    work_changed_.notify_all();
}

awaitable<void> job_service::start_generation(std::size_t shard, std::shared_ptr<const job_entry> job) {
    const auto& id = job->accepted->job;
    const bool is_given_up = !job->is_startable || job->failures >= options_.max_failures;
    if (is_given_up) {
        job_parked record;
        record.job = id;
        record.generation = job->generation;
        record.run = job->run;
        record.reason = job->is_startable ? "failed " + std::to_string(job->failures) + " times"
                                          : "not idempotent, and generation " +
                                                std::to_string(job->generation) + " may have run";
        const journal_record appended = record;
        const auto status = co_await shards_.append(shard, appended, now() + call_timeout);
        counters_.parked += status.ok() ? 1 : 0;
        co_return;
    }
    const auto start = make_start(*job);
    reach(hooks_.observer, work_step::choose);
    const auto reserved = co_await reserve(start);
    if (!reserved.ok()) {
        std::lock_guard lock(mutex_);
        driven_[id].start_at = now() + start_retry;
        co_return;
    }
    const journal_record started =
        generation_started{.job = id, .generation = start.generation, .upstream = reserved->upstream};
    const auto recorded = co_await shards_.append(shard, started, now() + call_timeout);
    if (!recorded.ok()) {
        // No start order was sent. If the record took effect nevertheless, the next check finds the task
        // absent.
        cancel_reservation(*reserved, start);
        std::lock_guard lock(mutex_);
        driven_[id].start_at = now() + start_retry;
        co_return;
    }
    {
        std::lock_guard lock(mutex_);
        auto& driven = driven_[id];
        driven.generation = start.generation;
        driven.check_at = now() + options_.start_expires_after + options_.check_interval;
    }
    reach(hooks_.observer, work_step::start);
    const auto sent = co_await send_start(*reserved, start);
    if (sent.ok()) {
        ++counters_.started;
        counters_.resumed += start.resume_from ? 1 : 0;
        if (start.resume_from) {
            reach(hooks_.observer, work_step::resume);
        }
        co_return;
    }
    if (get_run_knowledge(sent) != run_knowledge::not_run) {
        // The task may be running. The check queries the upstream once the start order can no longer be in
        // flight.
        std::lock_guard lock(mutex_);
        driven_[id].check_at = now() + options_.start_expires_after;
        co_return;
    }
    ++counters_.refused_starts;
    const journal_record stopped = generation_stopped{.job = id,
                                                      .generation = start.generation,
                                                      .reason = stop_reason::not_started,
                                                      .checkpoint = std::nullopt};
    const auto stop_recorded = co_await shards_.append(shard, stopped, now() + call_timeout);
    std::lock_guard lock(mutex_);
    auto& driven = driven_[id];
    driven.start_at = now() + start_retry;
    if (!stop_recorded.ok()) {
        // In the journal the generation still runs. The next check finds it absent.
        driven.check_at = now() + options_.start_expires_after;
    }
}

awaitable<absl::StatusOr<job_service::reservation>> job_service::reserve(task_start start) {
    const auto local = hooks_.reserve_batch(start);
    if (local.ok()) {
        co_return reservation{*local, {}};
    }
    std::vector<route_target> routes;
    const auto peers = hooks_.get_peers();
    {
        std::lock_guard lock(mutex_);
        routes = order_routes(hooks_.place, peers, start.spec.size, routing_rules{}, random_);
    }
    for (const auto& target : routes) {
        const peer_request message = reserve_task_request{start};
        const auto reply = co_await hooks_.call_peer(target.peer_address, message, now() + peer_call_timeout);
        const auto* reserved = reply.ok() ? std::get_if<task_reply>(&*reply) : nullptr;
        if (reserved != nullptr) {
            co_return reservation{reserved->upstream, target.peer_address};
        }
    }
    co_return make_error(error_kind::no_capacity, "no upstream has room for job " + start.spec.task.get() +
                                                      " of size " + start.spec.size.to_string());
}

void job_service::cancel_reservation(const reservation& reserved, const task_start& start) {
    // A reservation on another process expires there if no start order follows.
    if (reserved.owner_address.empty()) {
        hooks_.cancel_reservation(start, reserved.upstream);
    }
}

awaitable<absl::Status> job_service::send_start(reservation reserved, task_start start) {
    start.deadline = now() + call_timeout;
    if (reserved.owner_address.empty()) {
        co_return co_await hooks_.start_reserved(start, reserved.upstream);
    }
    const peer_request message = start_task_request{.start = start, .upstream = reserved.upstream};
    const auto reply = co_await hooks_.call_peer(reserved.owner_address, message, start.deadline);
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (const auto* error = std::get_if<error_reply>(&*reply)) {
        co_return to_status(*error);
    }
    co_return absl::OkStatus();
}

awaitable<void> job_service::check_generation(std::size_t shard, std::shared_ptr<const job_entry> job) {
    ++counters_.checks;
    const auto& id = job->accepted->job;
    query_task_request call;
    call.upstream = job->upstream;
    call.task = task_id(id.get());
    call.generation = job->generation;
    const auto attempt_reply = co_await hooks_.query_task(call);
    {
        std::lock_guard lock(mutex_);
        driven_[id].check_at = now() + options_.check_interval;
    }
    // While no owner can determine the state of the task, it may be running, and a second start order would
    // run it twice.
    if (!attempt_reply.ok() || attempt_reply->state == work_state::unknown ||
        attempt_reply->state == work_state::running || attempt_reply->state == work_state::checkpointed) {
        co_return;
    }
    co_await record_end(shard, id, *attempt_reply);
}

awaitable<void> job_service::stop_cancelled(std::size_t shard, std::shared_ptr<const job_entry> job) {
    const auto& id = job->accepted->job;
    stop_task_request call;
    call.upstream = job->upstream;
    call.task = task_id(id.get());
    call.generation = job->generation;
    reach(hooks_.observer, work_step::stop);
    auto attempt_reply = co_await hooks_.stop_task(call);
    if (!attempt_reply.ok()) {
        co_await wait_until(now() + start_retry);
        co_return;
    }
    co_await record_end(shard, id, *attempt_reply);
}

awaitable<void> job_service::record_end(std::size_t shard, job_id job, task_reply attempt_reply) {
    journal_record record;
    if (attempt_reply.state == work_state::finished) {
        job_finished finished;
        finished.job = job;
        finished.generation = attempt_reply.generation;
        if (attempt_reply.answer) {
            finished.answer = {.status = attempt_reply.answer->status,
                               .content_type = attempt_reply.answer->content_type,
                               .body = attempt_reply.answer->body,
                               .is_kept = attempt_reply.answer->body.size() <= max_stored_response_bytes};
            if (!finished.answer.is_kept) {
                finished.answer.body.clear();
            }
        } else {
            finished.answer.is_kept = false;
        }
        record = finished;
    } else {
        generation_stopped stopped;
        stopped.job = job;
        stopped.generation = attempt_reply.generation;
        stopped.checkpoint = attempt_reply.checkpoint;
        switch (attempt_reply.state) {
            case work_state::failed:
                stopped.reason = stop_reason::failed;
                break;
            case work_state::stopped:
                stopped.reason = stop_reason::evicted;
                break;
            case work_state::queued:
                stopped.reason = stop_reason::not_started;
                break;
            default:
                stopped.reason = stop_reason::lost;
                break;
        }
        record = stopped;
    }
    const auto status = co_await shards_.append(shard, record, now() + call_timeout);
    if (status.ok()) {
        counters_.finished += attempt_reply.state == work_state::finished ? 1 : 0;
        counters_.stopped += attempt_reply.state == work_state::finished ? 0 : 1;
    }
}

void job_service::report(const task_report_request& report) {
    {
        std::lock_guard lock(mutex_);
        reports_[{report.job, report.generation}] = report;
    }
    work_changed_.notify_all();
}

awaitable<void> job_service::send_reports() {
    while (!is_stopped_) {
        const auto seen = work_changed_.get_count();
        std::vector<task_report_request> due;
        {
            std::lock_guard lock(mutex_);
            for (const auto& [report_key, report] : reports_) {
                if (reports_in_progress_.size() >= max_reports_in_progress) {
                    break;
                }
                if (reports_in_progress_.insert(report_key).second) {
                    due.push_back(report);
                }
            }
        }
        for (const auto& report : due) {
            spawn_task(context_, "send_report", send_report(report));
        }
        co_await work_changed_.wait(seen, now() + report_retry);
    }
}

awaitable<void> job_service::send_report(task_report_request report) {
    const auto shard = shards_.get_shard(report.job);
    const auto owner = hooks_.find_remote_shard_owner(shard);
    bool is_accepted = false;
    if (owner) {
        const peer_request message = report;
        const auto reply = co_await hooks_.call_peer(owner->peer_address, message, now() + call_timeout);
        is_accepted = reply.ok() && std::holds_alternative<accepted_reply>(*reply);
    } else {
        const auto status = co_await accept_report(report);
        is_accepted = status.ok();
    }
    if (!is_accepted) {
        co_await wait_until(now() + report_retry);
    }
    {
        std::lock_guard lock(mutex_);
        const std::pair<job_id, std::uint64_t> report_key{report.job, report.generation};
        reports_in_progress_.erase(report_key);
        if (is_accepted) {
            reports_.erase(report_key);
            ++counters_.reports_sent;
        }
    }
    step_finished_.notify_all();
    work_changed_.notify_all();
}

awaitable<absl::Status> job_service::accept_report(task_report_request report) {
    task_reply attempt_reply;
    attempt_reply.upstream = report.upstream;
    attempt_reply.task = report.task;
    attempt_reply.generation = report.generation;
    attempt_reply.state = report.state;
    attempt_reply.checkpoint = report.checkpoint;
    attempt_reply.answer = report.answer;
    const auto shard = shards_.get_shard(report.job);
    const auto is_current = [&](const job_entry& entry) {
        return entry.generation == report.generation &&
               (entry.state == job_state::running || entry.state == job_state::cancelling);
    };
    auto entry = co_await shards_.find_job(report.job, now() + call_timeout);
    if (entry.ok() && !is_current(**entry)) {
        // The table may be older than the generation that the report is about.
        const auto refreshed = co_await shards_.refresh(shard, now() + call_timeout);
        if (!refreshed.ok()) {
            co_return refreshed;
        }
        entry = co_await shards_.find_job(report.job, now() + call_timeout);
    }
    if (!entry.ok()) {
        // A report on a task that belongs to no job, such as one from an earlier installation of the fleet,
        // is dropped.
        co_return get_error_kind(entry.status()) == error_kind::not_found ? absl::OkStatus() : entry.status();
    }
    if (!is_current(**entry)) {
        co_return absl::OkStatus();
    }
    co_await record_end(shard, report.job, attempt_reply);
    const auto after = co_await shards_.find_job(report.job, now() + call_timeout);
    const bool is_recorded = after.ok() && !is_current(**after);
    work_changed_.notify_all();
    if (!is_recorded) {
        co_return make_error(error_kind::store_unavailable,
                             "the report on generation " + std::to_string(report.generation) + " of job " +
                                 report.job.get() + " is not recorded yet");
    }
    co_return absl::OkStatus();
}

awaitable<bool> job_service::drain(time_point deadline) {
    while (true) {
        const auto seen = step_finished_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (steps_in_progress_ == 0 && reports_.empty()) {
                co_return true;
            }
        }
        if (!co_await step_finished_.wait(seen, deadline)) {
            std::lock_guard lock(mutex_);
            co_return steps_in_progress_ == 0 && reports_.empty();
        }
    }
}

std::size_t job_service::get_driven() const {
    std::lock_guard lock(mutex_);
    return driven_.size();
}

std::size_t job_service::get_unsent_reports() const {
    std::lock_guard lock(mutex_);
    return reports_.size();
}

}  // namespace jacinthvane
