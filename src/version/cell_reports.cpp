// Applies reports of upstreams to the state of the cell; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// An upstream lists at most this many ends in a report; a list of this length may be truncated.
constexpr std::size_t max_listed_ends = 500;
constexpr std::size_t max_avoided_upstreams = 3;
constexpr std::chrono::milliseconds failure_delay{50};
constexpr std::chrono::milliseconds max_failure_delay{2000};
// Progress of a long-running task that has started up.
constexpr std::int32_t at_work_percent = 100;
constexpr std::int32_t full_percent = 100;
// How long an upstream without runs may hold a poll.
constexpr std::int64_t empty_poll_wait_ms = 2000;
// Allowed in addition to the stop timeout before an absent run is released.
constexpr std::chrono::milliseconds stop_margin{100};
// While it is unknown which incarnation received a start order, the next report is requested soon.
constexpr std::int64_t unknown_incarnation_poll_wait_ms = 50;
// Upstreams with latency-critical tasks or runs that are being stopped report at least this often, since CPU
// limits follow the reported latency.
constexpr std::int64_t short_poll_wait_ms = 500;
// Longest interval between the reports of all other upstreams with runs.
constexpr std::int64_t normal_poll_wait_ms = 1500;

// How long leases may last from now on, in milliseconds; negative if all have ended.
std::int64_t get_lease_left_ms(const upstream_ledger& upstream, time_point now) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(upstream.leases_expire_at - now).count();
}

std::chrono::milliseconds get_failure_delay(std::uint32_t failures) {
    return std::min(failure_delay * (1U << std::min(failures, 6U)), max_failure_delay);
}

}  // namespace

poll_order cell_scheduler::make_poll(const upstream_id& id, time_point now, bool is_same_connection,
                                     bool may_renew) {
    poll_order poll;
    poll.upstream = id;
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return poll;
    }
    auto& upstream = found->second;
    upstream.polled_at = now;
    // After a failed poll no lease is renewed: a renewal that does not arrive would only delay
    // leases_expire_at.
    const bool is_responsive = upstream.has_responded && !upstream.is_unresponsive;
    // On a new connection another incarnation may respond, which would apply acknowledged_end to its own
    // ends. The lease is renewed there all the same, since an owner that has to reconnect often would
    // otherwise let the leases of sound upstreams end; see count_foreign_lease.
    poll.acknowledged_end = is_responsive && is_same_connection ? upstream.durable_end : 0;
    poll.needs_same_connection = is_responsive && is_same_connection;
    upstream.exposed_poll_boot_unix_ms.reset();
    if (is_responsive) {
        const bool may_grant = may_renew && !upstream.is_declared_silent;
        poll.lease_until_clock_ms = may_grant ? grant_lease(upstream, limits_.max_lease, now) : 0;
        poll.boot_unix_ms = upstream.boot_unix_ms;
        if (may_grant && !is_same_connection) {
            upstream.exposed_poll_boot_unix_ms = upstream.boot_unix_ms;
        }
        upstream.offered_lease_until = may_grant ? now + limits_.max_lease : upstream.offered_lease_until;
        const bool is_stopping =
            std::any_of(upstream.runs.begin(), upstream.runs.end(),
                        [](const auto& entry) { return entry.second.phase == run_phase::stopping; });
        // The effect of a best-effort task that starts during a poll has to be measured before the
        // interference limit of its neighbors ends.
        const bool has_target =
            std::any_of(upstream.runs.begin(), upstream.runs.end(),
                        [](const auto& entry) { return entry.second.target_tail_ms > 0; });
        poll.wait_ms = upstream.has_unknown_incarnations() ? unknown_incarnation_poll_wait_ms
                       : has_target || is_stopping         ? short_poll_wait_ms
                       : upstream.runs.empty()             ? empty_poll_wait_ms
                                                           : normal_poll_wait_ms;
    }
    return poll;
}

bool cell_scheduler::has_unacknowledged_ends(const upstream_id& id) const {
    const auto* upstream = find_upstream(id);
    return upstream != nullptr && upstream->applied_end > upstream->durable_end;
}

void cell_scheduler::apply_report(const upstream_id& id, const upstream_report& report, clock_reading clock) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    auto& upstream = found->second;
    const auto now = clock.now;
    if (report.boot_unix_ms != 0 && report.boot_unix_ms != upstream.boot_unix_ms) {
        if (report.boot_unix_ms < upstream.boot_unix_ms) {
            return;
        }
        begin_incarnation(upstream, report.boot_unix_ms, incarnation_source::report, report.running, now);
    }
    record_exposed_poll(upstream, true, now);
    mark_changed(upstream);
    upstream.responded_at = upstream.has_responded ? upstream.responded_at : now;
    upstream.is_unresponsive = false;
    upstream.may_have_inherited_runs = false;
    upstream.failed_polls_after_expiry = 0;
    upstream.confirmed_lease_until = upstream.offered_lease_until;
    upstream.clock_ms = report.clock_ms;
    upstream.clock_read_at = now;
    upstream.reported_poll_at = upstream.polled_at;
    for (const auto& row : report.ended) {
        if (row.number > upstream.applied_end) {
            apply_end(upstream, row, now);
            upstream.applied_end = row.number;
            has_uncommitted_ends_ = true;
        }
    }
    for (const auto& row : report.running) {
        apply_running(upstream, row, report.clock_ms, now);
    }
    if (report.ended.size() < max_listed_ends) {
        release_absent_runs(upstream, report, now);
    }
    upstream.has_responded = true;
    if (!report.running.empty() && !upstream.starts.is_failing()) {
        // As after a takeover: it has accepted these starts.
        upstream.starts.record_accepted();
    }
    clear_proven_runs(upstream);
    stop_stalled_runs(upstream, now);
    apply_latency_measurements(upstream, report, now);
}

void cell_scheduler::apply_end(upstream_ledger& upstream, const ended_row& row, time_point now) {
    LOG(INFO) << "event=run_ended task=" << row.task.to_string() << "/" << row.run
              << " upstream=" << upstream.entry.id.get() << " how=" << get_name(row.how)
              << " end=" << row.number << " token=" << token_;
    auto* known = upstream.find_run(row.task, row.run);
    const bool was_known = known != nullptr;
    if (was_known && row.how == run_end::done) {
        observe_return(upstream, row.task, *known, full_percent, now);
    }
    double measured_ms = 0;
    if (was_known && row.how == run_end::done && !known->is_long_running) {
        known->count_work(now);
        measured_ms = known->estimate_full_time_ms(full_percent);
    }
    const auto started_at = was_known ? known->started_at : time_point();
    if (was_known && known->best_effort_milli > 0) {
        const auto capacity = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
        const auto share = static_cast<double>(known->load) / static_cast<double>(capacity);
        upstream.ended_best_effort_tasks.push_back({{known->image, share}, now});
    }
    upstream.remove_run(row.task, row.run);
    auto* job = find_job(row.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(row.task);
    if (task == nullptr || is_final(job->pending_end)) {
        return;
    }
    const auto& spec = job->job->spec.steps[row.task.step];
    if (row.how == run_end::done && !spec.is_long_running && task->phase != task_phase::done) {
        if (measured_ms > 0) {
            task->measured_ms = measured_ms;
            durations_.learn(job->job->rules.queue, spec.estimated_ms, measured_ms);
        }
        // Also the end of an earlier run: its work is done, so a later one is superfluous.
        upstream.health.record_success();
        stop_superfluous_runs(*job, upstream, row, now);
        job->has_started = true;
        finish_task(*job, row.task, now);
        return;
    }
    const bool is_current =
        task->phase == task_phase::active && task->upstream == upstream.entry.id && task->last_run == row.run;
    // A run that this owner neither started nor stopped, found by the first poll after a takeover.
    const bool is_inherited = task->phase == task_phase::waiting && !was_known && row.run > task->last_run;
    if (row.how == run_end::failed) {
        // Counted even if the run is not current: an upstream may list the end of an earlier run after
        // another upstream has reported a later one.
        count_failure(*job, row.task, row.run, now);
    }
    if (!is_current && !is_inherited) {
        return;
    }
    task->last_run = row.run;
    job->has_started = true;
    if (!row.checkpoint.empty()) {
        task->checkpoint = row.checkpoint;
    }
    if (row.how == run_end::failed) {
        fail_task(*job, row.task, upstream, started_at, now);
        return;
    }
    if (!row.checkpoint.empty() && !spec.is_long_running) {
        dirty_jobs_.insert(job->id);
    }
    requeue_task(*job, row.task, now);
}

void cell_scheduler::stop_superfluous_runs(job_record& job, const upstream_ledger& upstream,
                                           const ended_row& row, time_point now) {
    const bool is_gang = job.job->spec.steps[row.task.step].is_gang;
    auto& tasks = job.find_step(row.task.get_step())->tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const auto& task = tasks[i];
        const bool is_superfluous =
            task.last_run != row.run || (i == row.task.index && task.upstream != upstream.entry.id);
        if ((i != row.task.index && !is_gang) || task.phase != task_phase::active || !is_superfluous) {
            continue;
        }
        const auto found = upstreams_.find(task.upstream);
        const task_ref ref{row.task.job, row.task.occurrence, row.task.step, i};
        auto* run = found == upstreams_.end() ? nullptr : found->second.find_run(ref, task.last_run);
        if (run != nullptr) {
            begin_stop(found->second, *run, now);
        }
    }
}

void cell_scheduler::requeue_task(job_record& job, const task_ref& ref, time_point not_before) {
    auto* task = job.find_task(ref);
    auto* step = job.find_step(ref.get_step());
    if (task->phase == task_phase::active) {
        --step->active_tasks;
        task->phase = task_phase::waiting;
        task->upstream = upstream_id();
    }
    task->not_before = not_before;
    task->percent = task->checkpoint.empty() ? 0 : std::max(task->percent, 0);
    const auto& spec = job.job->spec.steps[ref.step];
    if (spec.is_long_running) {
        task->not_before += get_crash_delay(task->crashed_runs.size());
        dirty_jobs_.insert(job.id);
    }
    if (spec.is_gang) {
        // Members of a gang run only together, so the remaining ones are stopped.
        for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
            auto& member = step->tasks[i];
            if (member.phase != task_phase::active) {
                continue;
            }
            const auto upstream = upstreams_.find(member.upstream);
            auto* run =
                upstream == upstreams_.end()
                    ? nullptr
                    : upstream->second.find_run({ref.job, ref.occurrence, ref.step, i}, member.last_run);
            if (run != nullptr) {
                begin_stop(upstream->second, *run, not_before);
            }
        }
    }
    update_waiting(job);
}

void cell_scheduler::finish_task(job_record& job, const task_ref& ref, time_point now) {
    auto* step = job.find_step(ref.get_step());
    const bool is_gang = job.job->spec.steps[ref.step].is_gang;
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
        auto& task = step->tasks[i];
        // The end of one member completes the gang.
        if ((i != ref.index && !is_gang) || task.phase == task_phase::done) {
            continue;
        }
        if (task.phase == task_phase::active) {
            --step->active_tasks;
        }
        task.phase = task_phase::done;
        task.avoided.clear();
        task.failed_runs.clear();
        task.checkpoint.clear();
        ++step->done_tasks;
    }
    dirty_jobs_.insert(job.id);
    auto& occurrence = job.occurrences.at(ref.occurrence);
    if (step->is_done()) {
        learn_slowest_task(job, *step);
        release_steps(job.job->spec, occurrence);
        if (occurrence.is_done()) {
            job.occurrences.erase(ref.occurrence);
        }
        if (job.occurrences.empty() && job.next_occurrence == job.job->spec.get_occurrence_count()) {
            end_job(job, job_phase::done, now);
        }
    }
    update_waiting(job);
}

void cell_scheduler::learn_slowest_task(const job_record& job, const step_state& step) {
    double sum_ms = 0;
    double longest_ms = 0;
    for (const auto& task : step.tasks) {
        if (task.measured_ms == 0) {
            return;
        }
        sum_ms += task.measured_ms;
        longest_ms = std::max(longest_ms, task.measured_ms);
    }
    durations_.learn_slowest(job.job->rules.queue,
                             longest_ms * static_cast<double>(step.tasks.size()) / sum_ms);
}

void cell_scheduler::fail_task(job_record& job, const task_ref& ref, upstream_ledger& upstream,
                               time_point started_at, time_point now) {
    auto* task = job.find_task(ref);
    record_failure(upstream, job.id, task->failures_in_row > 0, started_at, now);
    record_avoided_upstream(*task, upstream.entry.id);
    ++task->failures_in_row;
    requeue_task(job, ref, now + get_failure_delay(task->failures_in_row));
}

void cell_scheduler::record_failure(upstream_ledger& upstream, const job_id& job, bool failed_elsewhere,
                                    time_point started_at, time_point now) {
    if (!upstream.health.record_failure(job, failed_elsewhere, started_at, now)) {
        return;
    }
    const auto span =
        std::chrono::duration_cast<std::chrono::milliseconds>(upstream.health.get_blocked_until() - now);
    LOG(INFO) << "event=upstream_blocked upstream=" << upstream.entry.id.get() << " job=" << job.get()
              << " for_ms=" << span.count() << " blocks=" << upstream.health.get_blocks()
              << " runs=" << upstream.runs.size() << " token=" << token_;
}

void cell_scheduler::record_avoided_upstream(task_record& task, const upstream_id& upstream) {
    std::erase(task.avoided, upstream);
    task.avoided.push_back(upstream);
    if (task.avoided.size() > max_avoided_upstreams) {
        task.avoided.erase(task.avoided.begin());
    }
}

void cell_scheduler::count_failure(job_record& job, const task_ref& ref, std::uint64_t run, time_point now) {
    const auto& spec = job.job->spec.steps[ref.step];
    if (spec.is_long_running) {
        return;
    }
    auto& tasks = job.find_step(ref.get_step())->tasks;
    auto& failed_runs = (spec.is_gang ? tasks.front() : tasks[ref.index]).failed_runs;
    const auto position = std::lower_bound(failed_runs.begin(), failed_runs.end(), run);
    if (position != failed_runs.end() && *position == run) {
        return;
    }
    failed_runs.insert(position, run);
    dirty_jobs_.insert(job.id);
    if (failed_runs.size() >= get_max_attempts(job)) {
        end_job(job, job_phase::failed, now);
    }
}

void cell_scheduler::apply_running(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms,
                                   time_point now) {
    auto* run = upstream.find_run(row.task, row.run);
    if (run == nullptr) {
        adopt_run(upstream, row, clock_ms, now);
        run = upstream.find_run(row.task, row.run);
    }
    run->seen_clock_ms = clock_ms;
    run->has_unknown_start = false;
    run->is_listed = true;
    run->is_incarnation_unknown = false;
    if (run->phase == run_phase::starting) {
        run->phase = run_phase::running;
        run->percent_changed_clock_ms = clock_ms;
    }
    if (run->percent != row.percent) {
        run->record_percent(row.percent, now);
        run->percent_changed_clock_ms = clock_ms;
        run->update_expected_end(now);
    }
    run->load = row.load;
    run->count_work(now);
    observe_return(upstream, row.task, *run, row.percent, now);
    auto* job = find_job(row.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(row.task);
    if (task != nullptr && task->phase == task_phase::active && task->last_run == row.run &&
        !row.checkpoint.empty()) {
        task->checkpoint = row.checkpoint;
    }
    if (task != nullptr && task->phase == task_phase::active && task->last_run == row.run) {
        task->percent = row.percent;
        const double measured_ms = run->estimate_full_time_ms(row.percent);
        task->measured_ms = measured_ms > 0 ? measured_ms : task->measured_ms;
    }
}

void cell_scheduler::adopt_run(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms,
                               time_point now) {
    LOG(INFO) << "event=run_adopted task=" << row.task.to_string() << "/" << row.run
              << " upstream=" << upstream.entry.id.get() << " clock_ms=" << clock_ms << " token=" << token_;
    auto* job = find_job(row.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(row.task);
    auto run = make_found_run(task == nullptr ? nullptr : job, row.task);
    run.phase = run_phase::running;
    run.seen_clock_ms = clock_ms;
    run.percent_changed_clock_ms = clock_ms;
    // A long-running task at work has survived its start, which is what crashes an upstream.
    run.started_at = run.is_long_running && row.percent >= at_work_percent ? time_point() : now;
    if (task == nullptr) {
        begin_stop(upstream, run, now);
        upstream.add_run(row.task, row.run, run);
        return;
    }
    run.earlier_crashes = get_earlier_crashes(*task, run.is_long_running);
    const bool is_wanted =
        task->phase == task_phase::waiting && row.run > task->last_run && !is_final(job->pending_end);
    if (is_wanted) {
        task->phase = task_phase::active;
        task->upstream = upstream.entry.id;
        task->last_run = row.run;
        job->has_started = true;
        ++job->find_step(row.task.get_step())->active_tasks;
        update_waiting(*job);
    } else {
        begin_stop(upstream, run, now);
    }
    upstream.add_run(row.task, row.run, run);
}

run_record cell_scheduler::make_found_run(const job_record* job, const task_ref& ref) {
    run_record run;
    if (job == nullptr) {
        run.is_size_unknown = true;
        return run;
    }
    const auto& spec = job->job->spec.steps[ref.step];
    run.committed = spec.get_reserved_size();
    run.best_effort_milli = spec.is_best_effort ? spec.size.get_processors_milli() : 0;
    run.is_long_running = spec.is_long_running;
    run.target_tail_ms = spec.target_tail_ms;
    run.image = tail_model_.get_index(spec.image);
    run.cpu_limit_percent = unknown_cpu_limit_percent;
    return run;
}

std::chrono::milliseconds cell_scheduler::get_longest_stop() const {
    return limits_.stop_timeout + stop_margin;
}

void cell_scheduler::release_absent_runs(upstream_ledger& upstream, const upstream_report& report,
                                         time_point now) {
    std::set<const run_record*> listed;
    for (const auto& row : report.running) {
        listed.insert(upstream.find_run(row.task, row.run));
    }
    // A run that is being stopped is in neither list and still uses its resources, so it is released only
    // after the longest time that a stop takes.
    const auto longest_stop = get_longest_stop().count();
    std::vector<run_key> absent;
    for (auto& [key, run] : upstream.runs) {
        if (!listed.contains(&run) && upstream.is_of_earlier_incarnation(run)) {
            if (!run.has_unknown_start) {
                absent.push_back(key);
                continue;
            }
            // Another copy of the start may still be carried out by this incarnation.
            begin_stop(upstream, run, now);
        }
        const bool was_there = run.seen_clock_ms > 0 && report.clock_ms > run.seen_clock_ms;
        const bool is_excluded = run.stopped_clock_ms > 0 && report.clock_ms > run.stopped_clock_ms;
        if (listed.contains(&run) || !(was_there || is_excluded)) {
            run.absent_clock_ms = 0;
            continue;
        }
        if (run.absent_clock_ms == 0) {
            run.absent_clock_ms = report.clock_ms;
        }
        if (report.clock_ms - run.absent_clock_ms > longest_stop && !run.is_start_in_flight) {
            absent.push_back(key);
        }
    }
    for (const auto& key : absent) {
        count_crash_of_earlier_incarnation(upstream, key, now);
        release_run(upstream, key, now);
    }
}

// Takes the key by value, since callers pass a reference into the entry that is removed.
void cell_scheduler::release_run(upstream_ledger& upstream, run_key key, time_point now) {
    const auto* run = upstream.find_run(key.first, key.second);
    if (run == nullptr) {
        return;
    }
    LOG(INFO) << "event=run_released task=" << key.first.to_string() << "/" << key.second
              << " upstream=" << upstream.entry.id.get() << " silent=" << upstream.is_unresponsive
              << " leaving=" << upstream.entry.is_leaving << " unsent=" << run->is_unsent()
              << " awaits_record=" << run->awaits_record << " failed_orders=" << run->failed_orders
              << " boot=" << upstream.boot_unix_ms << " lease_left_ms=" << get_lease_left_ms(upstream, now)
              << " token=" << token_;
    upstream.remove_run(key.first, key.second);
    mark_changed(upstream);
    auto* job = find_job(key.first.job);
    auto* task = job == nullptr ? nullptr : job->find_task(key.first);
    if (task == nullptr || is_final(job->pending_end)) {
        return;
    }
    if (task->phase == task_phase::active && task->last_run == key.second &&
        task->upstream == upstream.entry.id) {
        requeue_task(*job, key.first, now);
    }
}

void cell_scheduler::mark_unresponsive(const upstream_id& id, time_point sent_at) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    auto& upstream = found->second;
    upstream.is_unresponsive = true;
    mark_changed(upstream);
    if (sent_at >= upstream.leases_expire_at) {
        ++upstream.failed_polls_after_expiry;
    }
}

}  // namespace jacinthvane
