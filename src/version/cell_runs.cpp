// Periodic upkeep of runs and of the orders for them; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <utility>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds maintenance_interval{40};
// A run that reports no progress for this long, by the clock of its upstream, is stopped and started on
// another upstream. Time in which this process read no report says nothing about the run. Progress is in
// whole percent, so a long task is given the time for several of them.
constexpr std::chrono::milliseconds min_stall_timeout{3000};
constexpr std::int64_t stall_percent = 3;
constexpr std::int64_t full_percent = 100;
// Runs with a lower CPU limit are exempt from stall detection, since their progress may be too slow to see.
constexpr std::int32_t min_progress_cpu_limit_percent = 50;
// Runs with checkpoints on a leaving upstream are stopped this long before it is removed, so that their
// checkpoints are saved and reported.
constexpr std::chrono::milliseconds departure_margin{900};

}  // namespace

void cell_scheduler::maintain_runs(clock_reading clock) {
    if (clock.now < next_maintenance_) {
        return;
    }
    next_maintenance_ = clock.now + maintenance_interval;
    release_expired_runs(clock.now);
    for (auto& [id, upstream] : upstreams_) {
        move_runs_from_leaving(upstream, clock.now);
    }
    log_waiting_for_evacuation(clock.now);
    const auto scheduled = scheduled_jobs_;
    for (const auto& id : scheduled) {
        if (auto* job = find_job(id)) {
            open_due_occurrences(*job, clock);
            update_waiting(*job);
        }
    }
}

void cell_scheduler::release_expired_runs(time_point now) {
    std::vector<upstream_id> removed;
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.is_unresponsive || upstream.entry.is_leaving || !upstream.is_listed) {
            release_runs_if(
                upstream, [](const run_record& run) { return run.is_unsent(); }, now);
        }
        if (upstream.is_unresponsive && now >= upstream.leases_expire_at) {
            // The end of such a run need not be learned from the upstream, so no further poll has to fail.
            release_runs_if(
                upstream, [](const run_record& run) { return run.is_long_running; }, now);
        }
        const bool is_unreachable = upstream.is_unresponsive || !upstream.has_responded;
        // It has responded to this owner, so the ledger lists every run there, including those of earlier
        // owners. Without any it can be removed before its leases expire.
        const bool is_empty = upstream.has_responded && upstream.runs.empty() && !upstream.is_listed;
        if (!upstream.is_lost(now) && !(is_unreachable && is_empty)) {
            continue;
        }
        if (!upstream.runs.empty()) {
            LOG(INFO) << "event=leases_lapsed upstream=" << id.get() << " runs=" << upstream.runs.size()
                      << " answered=" << upstream.has_responded << " listed=" << upstream.is_listed;
        }
        while (!upstream.runs.empty()) {
            release_run(upstream, upstream.runs.begin()->first, now);
        }
        upstream.remove_expired_starts(now);
        if (!upstream.is_listed && upstream.unanswered_starts.empty()) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        remove_upstream(id);
    }
}

void cell_scheduler::release_runs_if(upstream_ledger& upstream, bool (*is_released)(const run_record&),
                                     time_point now) {
    std::vector<run_key> released;
    for (const auto& [key, run] : upstream.runs) {
        if (is_released(run)) {
            released.push_back(key);
        }
    }
    for (const auto& key : released) {
        release_run(upstream, key, now);
    }
}

void cell_scheduler::repeat_orders(time_point now, bool may_start, std::vector<upstream_order>& orders) {
    std::vector<upstream_index::slot_number> remaining;
    for (const auto slot : std::exchange(order_slots_, {})) {
        auto& upstream = index_.get_upstream(slot);
        upstream.has_pending_orders = repeat_orders_of(upstream, now, may_start, orders);
        if (upstream.has_pending_orders) {
            remaining.push_back(slot);
        }
    }
    order_slots_.insert(order_slots_.end(), remaining.begin(), remaining.end());
}

bool cell_scheduler::repeat_orders_of(upstream_ledger& upstream, time_point now, bool may_start,
                                      std::vector<upstream_order>& orders) {
    bool has_pending_orders = false;
    std::vector<run_key> withdrawn;
    for (auto& [key, run] : upstream.runs) {
        if (run.is_order_sent || run.phase == run_phase::running) {
            continue;
        }
        // A run that was not sent yet does not wait behind starts that the upstream leaves unanswered.
        const bool is_held_up = run.is_unsent() && !upstream.may_get_start() &&
                                (upstream.starts.is_failing() || upstream.leaves_starts_unanswered());
        const bool is_withdrawn = run.phase == run_phase::starting &&
                                  (is_held_up || !is_start_justified(upstream, key.first, key.second, now));
        if (is_held_up) {
            avoid_upstream(key.first, upstream.entry.id);
        }
        if (is_withdrawn && run.is_unsent()) {
            withdrawn.push_back(key);
            continue;
        }
        if (is_withdrawn) {
            begin_stop(upstream, run, now);
        }
        if (run.awaits_record && run.phase == run_phase::starting) {
            continue;
        }
        if (now < run.next_order) {
            has_pending_orders = true;
            continue;
        }
        if (run.phase == run_phase::stopping) {
            run.is_order_sent = true;
            orders.emplace_back(stop_order{upstream.entry.id, key.first, key.second, upstream.boot_unix_ms});
        } else if (may_start && !upstream.is_unresponsive && starts_left_ > 0 &&
                   (run.has_unknown_start || upstream.may_get_start())) {
            send_start(upstream, key, run, now, orders);
        } else {
            has_pending_orders = true;
        }
    }
    for (const auto& key : withdrawn) {
        release_run(upstream, key, now);
    }
    // Other members of a gang may have to be stopped now.
    return has_pending_orders || !withdrawn.empty();
}

void cell_scheduler::send_start(upstream_ledger& upstream, const run_key& key, run_record& run,
                                time_point now, std::vector<upstream_order>& orders) {
    run.started_at = run.is_unsent() ? now : run.started_at;
    run.is_order_sent = true;
    run.is_start_in_flight = true;
    --starts_left_;
    const auto* ticket = find_ticket(key.first.get_step(), upstream.entry.id, now);
    const auto& job = jobs_.at(key.first.job);
    orders.emplace_back(
        make_start(upstream, job, key.first, key.second, ticket == nullptr ? std::string() : *ticket, now));
}

std::chrono::milliseconds cell_scheduler::get_stall_timeout(const step_spec& spec,
                                                            const run_record& run) const {
    const std::chrono::milliseconds progress_time(spec.estimated_ms * stall_percent / full_percent);
    return std::max(min_stall_timeout, progress_time) +
           (run.is_fresh ? std::chrono::milliseconds(0) : limits_.restore_time);
}

void cell_scheduler::stop_stalled_runs(upstream_ledger& upstream, time_point now) {
    for (auto& [key, run] : upstream.runs) {
        const bool is_started_up = run.is_long_running && run.percent >= 100;
        const auto unchanged_ms = upstream.clock_ms - run.percent_changed_clock_ms;
        const bool may_be_stalled = run.phase == run_phase::running && !is_started_up && run.percent >= 0 &&
                                    run.cpu_limit_percent >= min_progress_cpu_limit_percent &&
                                    unchanged_ms > min_stall_timeout.count();
        auto* job = may_be_stalled ? find_job(key.first.job) : nullptr;
        auto* task = job == nullptr ? nullptr : job->find_task(key.first);
        if (task == nullptr ||
            unchanged_ms <= get_stall_timeout(job->job->spec.steps[key.first.step], run).count()) {
            continue;
        }
        record_failure(upstream, key.first.job, !task->avoided.empty(), run.started_at, now);
        task->avoided.push_back(upstream.entry.id);
        begin_stop(upstream, run, now);
    }
}

void cell_scheduler::move_runs_from_leaving(upstream_ledger& upstream, time_point now) {
    if (!upstream.entry.is_leaving || upstream.is_unresponsive) {
        return;
    }
    for (auto& [key, run] : upstream.runs) {
        const auto* job = find_job(key.first.job);
        if (run.phase != run_phase::running || job == nullptr) {
            continue;
        }
        const bool saves_progress = job->job->spec.steps[key.first.step].saves_checkpoints;
        const bool is_time_up = now + departure_margin >= upstream.leaves_at;
        if (run.is_long_running || (saves_progress && is_time_up)) {
            begin_stop(upstream, run, now);
        }
    }
}

}  // namespace jacinthvane
