#include "version/cell_scheduler.hpp"

#include <algorithm>
#include <chrono>

#include "process/job_order.hpp"

namespace jacinthvane {

namespace {

// A scheduled occurrence starts this long after its due time, to allow for clock skew between VMs.
constexpr std::int64_t due_margin_ms = 40;
// Smoothing factor of the moving average of the work per job of a queue.
constexpr double mean_work_rate = 0.02;

}  // namespace

cell_scheduler::cell_scheduler(cell_limits limits, std::uint64_t token, time_point owner_since)
    : limits_(limits),
      token_(token),
      owner_since_(owner_since),
      history_(limits.proof_window),
      evacuations_(limits.evacuation_bound) {
    history_.record_owner(token, std::string(), std::string(), owner_since);
}

void cell_scheduler::set_queues(std::shared_ptr<const queue_index> queues) {
    // A change may arrive while the owner starts with the version before.
    const bool is_older = queues_ && queues && queues->get_config().version < queues_->get_config().version;
    queues_ = is_older ? queues_ : std::move(queues);
    // The service of a queue may have changed.
    unplaced_.clear();
}

void cell_scheduler::add_job(const job_id& id, std::shared_ptr<const accepted_job> job,
                             const job_progress* progress, bool is_inherited, clock_reading clock) {
    // A cancellation may have arrived before the job. Its entry has no queue, unlike that of a job that has
    // ended.
    const auto ended = ended_jobs_.find(id);
    const bool is_cancelled = ended != ended_jobs_.end() && ended->second.queue.empty();
    if (jobs_.contains(id) || (ended != ended_jobs_.end() && !is_cancelled)) {
        return;
    }
    auto& record = jobs_[id];
    record.id = id;
    record.job = std::move(job);
    record.objective_ms = get_objective_ms(record.job->rules, record.job->spec);
    record.is_inherited = is_inherited;
    auto& mean_work = mean_work_[record.job->rules.queue];
    const auto work = get_expected_work(*record.job, durations_);
    mean_work = mean_work > 0 ? mean_work + (work - mean_work) * mean_work_rate : work;
    if (progress != nullptr) {
        apply_progress(record, *progress, clock);
    }
    open_due_occurrences(record, clock);
    if (record.next_occurrence < record.job->spec.get_occurrence_count()) {
        scheduled_jobs_.insert(id);
    }
    update_waiting(record);
    if (is_cancelled) {
        ended_jobs_.erase(ended);
        end_job(record, job_phase::cancelled, clock.now);
    }
}

void cell_scheduler::add_ended_job(const job_id& id, const job_progress& progress) {
    ended_jobs_[id] = {progress.queue, progress.state, progress.ended_unix_ms};
}

void cell_scheduler::apply_progress(job_record& job, const job_progress& progress, clock_reading clock) {
    job.has_started = progress.state != job_phase::queued;
    job.next_occurrence = progress.first_open_occurrence;
    open_due_occurrences(job, clock);
    for (const auto number : progress.done_occurrences) {
        job.occurrences.erase(number);
    }
    for (const auto& saved : progress.steps) {
        auto* step = job.find_step({job.id, saved.occurrence, saved.step});
        if (step == nullptr) {
            continue;
        }
        for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
            const bool is_done =
                saved.is_done || std::binary_search(saved.done_tasks.begin(), saved.done_tasks.end(), i);
            if (is_done) {
                step->tasks[i].phase = task_phase::done;
                ++step->done_tasks;
            }
        }
        for (const auto& history : saved.histories) {
            if (history.index < step->tasks.size()) {
                step->tasks[history.index].failed_runs = history.failed_runs;
                step->tasks[history.index].checkpoint = history.checkpoint;
            }
        }
    }
    for (const auto& crashes : progress.crashes) {
        if (auto* task = job.find_task({job.id, crashes.occurrence, crashes.step, crashes.index})) {
            task->crashed_runs = crashes.runs;
            task->not_before = clock.now;
        }
    }
    for (auto& [number, occurrence] : job.occurrences) {
        release_steps(job.job->spec, occurrence);
    }
}

void cell_scheduler::open_due_occurrences(job_record& job, clock_reading clock) {
    const auto& accepted = *job.job;
    const auto count = accepted.spec.get_occurrence_count();
    const std::chrono::milliseconds objective(job.objective_ms);
    while (job.next_occurrence < count) {
        const auto number = job.next_occurrence;
        const bool is_scheduled = accepted.spec.occurrences > 0;
        const auto due = is_scheduled ? accepted.spec.first_due_unix_ms + number * accepted.spec.period_ms
                                      : accepted.accepted_unix_ms;
        if (is_scheduled && clock.unix_ms < due + due_margin_ms) {
            return;
        }
        const auto due_at = clock.now - std::chrono::milliseconds(clock.unix_ms - due);
        job.occurrences.emplace(number, make_occurrence(accepted, number, due_at + objective));
        ++job.next_occurrence;
    }
    scheduled_jobs_.erase(job.id);
}

void cell_scheduler::cancel_job(const job_id& id, clock_reading clock) {
    auto* job = find_job(id);
    if (job == nullptr) {
        // The record of the cancellation may arrive before that of the job, or without it.
        if (!ended_jobs_.contains(id)) {
            ended_jobs_[id] = {std::string(), job_phase::cancelled, clock.unix_ms};
        }
        return;
    }
    if (!is_final(job->pending_end)) {
        end_job(*job, job_phase::cancelled, clock.now);
    }
}

void cell_scheduler::end_job(job_record& job, job_phase state, time_point now) {
    job.pending_end = state;
    stop_runs_of_job(job, now);
    waiting_jobs_.erase(job.id);
    scheduled_jobs_.erase(job.id);
    dirty_jobs_.insert(job.id);
}

void cell_scheduler::stop_runs_of_job(job_record& job, time_point now) {
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            auto& tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase != task_phase::active) {
                    continue;
                }
                const auto upstream = upstreams_.find(tasks[index].upstream);
                if (upstream == upstreams_.end()) {
                    continue;
                }
                const task_ref task{job.id, number, step, index};
                if (auto* run = upstream->second.find_run(task, tasks[index].last_run)) {
                    begin_stop(upstream->second, *run, now);
                }
            }
        }
    }
}

std::optional<job_phase> cell_scheduler::get_state(const job_id& id, const std::string& queue) const {
    if (const auto found = jobs_.find(id); found != jobs_.end()) {
        const auto& job = found->second;
        if (job.job->rules.queue != queue) {
            return std::nullopt;
        }
        if (job.pending_end == job_phase::cancelled) {
            return job_phase::cancelled;
        }
        return job.has_started ? job_phase::running : job_phase::queued;
    }
    const auto ended = ended_jobs_.find(id);
    if (ended == ended_jobs_.end() || ended->second.queue != queue) {
        return std::nullopt;
    }
    return ended->second.state;
}

std::vector<job_id> cell_scheduler::take_expired_jobs(std::int64_t now_unix_ms, std::size_t limit) {
    // Twice the promised retention, so that a late retry of a submission still finds the record.
    const auto oldest = now_unix_ms - 2 * limits_.status_retention.count();
    std::vector<job_id> expired;
    for (const auto& [id, ended] : ended_jobs_) {
        if (expired.size() == limit) {
            break;
        }
        if (ended.ended_unix_ms < oldest) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        ended_jobs_.erase(id);
    }
    return expired;
}

void cell_scheduler::begin_commit_batch() {
    commit_batch_.swap(dirty_jobs_);
    has_uncommitted_ends_ = false;
    batch_ends_.clear();
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.applied_end > upstream.durable_end) {
            batch_ends_[id] = {upstream.boot_unix_ms, upstream.applied_end};
        }
    }
}

progress_commit::job_entry cell_scheduler::make_commit_entry(job_record& job,
                                                             std::int64_t now_unix_ms) const {
    progress_commit::job_entry entry{job.id, job.make_progress(now_unix_ms), std::nullopt,
                                     job.has_stored_locations};
    if (!is_final(entry.progress.state)) {
        entry.locations = make_locations(job);
        // Also if the outcome of the commit stays unknown.
        job.has_stored_locations = job.has_stored_locations || entry.locations.has_value();
    }
    return entry;
}

progress_commit cell_scheduler::collect_commit(std::size_t max_entries, std::int64_t now_unix_ms) {
    if (commit_batch_.empty()) {
        begin_commit_batch();
    }
    progress_commit commit;
    std::size_t entries = 0;
    while (!commit_batch_.empty()) {
        const auto first = commit_batch_.begin();
        if (auto* job = find_job(*first)) {
            auto entry = make_commit_entry(*job, now_unix_ms);
            entries += entry.count_entries();
            if (entries > max_entries) {
                return commit;
            }
            commit.jobs.push_back(std::move(entry));
            // The commit contains all changes of the job so far.
            dirty_jobs_.erase(*first);
        }
        commit_batch_.erase(first);
    }
    commit.ends.swap(batch_ends_);
    return commit;
}

void cell_scheduler::confirm_commit(const progress_commit& commit) {
    for (const auto& entry : commit.jobs) {
        if (!is_final(entry.progress.state)) {
            if (entry.locations) {
                confirm_locations(entry.job, *entry.locations);
            }
            continue;
        }
        ended_jobs_[entry.job] = {entry.progress.queue, entry.progress.state, entry.progress.ended_unix_ms};
        for (auto first = tickets_.lower_bound({entry.job, 0, 0});
             first != tickets_.end() && first->first.job == entry.job;) {
            first = tickets_.erase(first);
        }
        for (auto first = tail_bases_.lower_bound({entry.job, 0, 0});
             first != tail_bases_.end() && first->first.job == entry.job;) {
            first = tail_bases_.erase(first);
        }
        waiting_jobs_.erase(entry.job);
        scheduled_jobs_.erase(entry.job);
        jobs_.erase(entry.job);
    }
    for (const auto& [id, end] : commit.ends) {
        const auto found = upstreams_.find(id);
        // A new incarnation of the upstream restarts the numbering of its ends.
        if (found != upstreams_.end() && end.boot_unix_ms == found->second.boot_unix_ms) {
            found->second.durable_end = std::max(found->second.durable_end, end.number);
        }
    }
}

void cell_scheduler::reject_commit(const progress_commit& commit) {
    // The jobs stay in their batch, since the ends of the batch may be acknowledged only after them.
    for (const auto& entry : commit.jobs) {
        commit_batch_.insert(entry.job);
    }
    if (!commit.ends.empty()) {
        batch_ends_ = commit.ends;
    }
    has_uncommitted_ends_ = true;
}

std::vector<upstream_entry> cell_scheduler::get_upstreams() const {
    std::vector<upstream_entry> entries;
    for (const auto& [id, upstream] : upstreams_) {
        entries.push_back(upstream.entry);
    }
    return entries;
}

const upstream_ledger* cell_scheduler::find_upstream(const upstream_id& id) const {
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second;
}

std::size_t cell_scheduler::get_run_count() const {
    std::size_t runs = 0;
    for (const auto& [id, upstream] : upstreams_) {
        runs += upstream.runs.size();
    }
    return runs;
}

job_record* cell_scheduler::find_job(const job_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const queue_settings* cell_scheduler::find_queue(const job_record& job) const {
    return queues_ ? queues_->find_queue(job.job->rules.queue) : nullptr;
}

std::string cell_scheduler::get_service(const job_record& job) const {
    const auto* queue = find_queue(job);
    return queue == nullptr ? job.job->rules.service : queue->rules.service;
}

std::uint32_t cell_scheduler::get_max_attempts(const job_record& job) const {
    const auto* queue = find_queue(job);
    return std::max(queue == nullptr ? job.job->rules.max_attempts : queue->rules.max_attempts, 1U);
}

std::int32_t cell_scheduler::get_priority(const job_record& job) const {
    const auto* queue = find_queue(job);
    return queue == nullptr ? job.job->rules.priority : queue->rules.priority;
}

void cell_scheduler::update_waiting(const job_record& job) {
    bool is_waiting = false;
    if (!is_final(job.pending_end)) {
        for (const auto& [number, occurrence] : job.occurrences) {
            is_waiting =
                is_waiting ||
                std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const step_state& step) {
                    return step.is_released && step.get_waiting_tasks() > 0;
                });
        }
    }
    if (is_waiting) {
        waiting_jobs_.insert(job.id);
    } else {
        waiting_jobs_.erase(job.id);
    }
}

std::vector<queue_status> cell_scheduler::get_queue_statuses() const {
    std::map<std::string, queue_status> statuses;
    for (const auto& [id, job] : jobs_) {
        if (job.has_started || is_final(job.pending_end)) {
            continue;
        }
        auto& status = statuses[job.job->rules.queue];
        status.queue = job.job->rules.queue;
        ++status.pending;
    }
    std::vector<queue_status> list;
    list.reserve(statuses.size());
    for (auto& [name, status] : statuses) {
        list.push_back(status);
    }
    return list;
}

bool cell_scheduler::is_takeover_resolved(time_point now) const {
    return std::none_of(upstreams_.begin(), upstreams_.end(),
                        [&](const auto& entry) { return is_unresolved(entry.second, now); });
}

bool cell_scheduler::is_unresolved(const upstream_ledger& upstream, time_point now) {
    return upstream.may_have_inherited_runs && !upstream.is_lost(now);
}

}  // namespace jacinthvane
