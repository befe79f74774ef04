// Restarts of upstreams, and the list of upstreams; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// How long the entry of an incarnation that has responded is awaited. Upstreams write theirs about once a
// second.
constexpr std::chrono::seconds max_entry_delay{5};

const char* get_source_name(incarnation_source source) {
    switch (source) {
        case incarnation_source::report:
            return "report";
        case incarnation_source::listing:
            return "listing";
        case incarnation_source::refusal:
            return "refusal";
    }
    return "unknown";
}

}  // namespace

upstream_ledger& cell_scheduler::add_upstream(const upstream_entry& entry) {
    const auto [position, is_new] = upstreams_.try_emplace(entry.id);
    auto& upstream = position->second;
    if (is_new) {
        upstream.slot = index_.add(upstream);
        best_effort_views_.resize(std::max<std::size_t>(best_effort_views_.size(), upstream.slot + 1));
    }
    upstream.entry = entry;
    upstream.boot_unix_ms = entry.boot_unix_ms;
    mark_changed(upstream);
    return upstream;
}

void cell_scheduler::remove_upstream(const upstream_id& id) {
    const auto found = upstreams_.find(id);
    const auto slot = found->second.slot;
    index_.remove(slot);
    std::erase(order_slots_, slot);
    std::erase(slow_slots_, slot);
    std::erase(blocked_slots_, slot);
    best_effort_views_[slot] = best_effort_view();
    upstreams_.erase(found);
}

void cell_scheduler::expect_upstream(const upstream_entry& entry, std::uint64_t granting_token) {
    auto& upstream = add_upstream(entry);
    upstream.is_recorded = true;
    upstream.recorded_boot_unix_ms = entry.boot_unix_ms;
    upstream.may_have_inherited_runs = true;
    upstream.granting_token = granting_token;
    upstream.is_declared_silent = granting_token + 1 < token_;
    upstream.may_have_inherited_foreign_leases = !foreign_leases_.has_value();
    if (foreign_leases_) {
        const auto known = std::lower_bound(
            foreign_leases_->begin(), foreign_leases_->end(), entry.id,
            [](const foreign_lease& lease, const upstream_id& id) { return lease.upstream < id; });
        const bool is_known = known != foreign_leases_->end() && known->upstream == entry.id;
        upstream.foreign_leases_expire_at = is_known ? known->ends_by : time_point();
    }
    upstream.leases_expire_at = get_inherited_leases_end(upstream);
}

void cell_scheduler::list_upstream(const upstream_entry& entry, time_point now) {
    const auto found = upstreams_.find(entry.id);
    if (found == upstreams_.end()) {
        auto& upstream = add_upstream(entry);
        upstream.leases_expire_at = now;
        upstream.failed_polls_after_expiry = conclusive_failed_polls;
        upstream.leaves_at = now + std::chrono::milliseconds(entry.remaining_ms);
        upstream.is_listed = true;
        upstream.listed_boot_unix_ms = entry.boot_unix_ms;
        return;
    }
    auto& upstream = found->second;
    const bool had_current_entry = upstream.has_current_entry();
    upstream.listed_boot_unix_ms = std::max(upstream.listed_boot_unix_ms, entry.boot_unix_ms);
    if (entry.boot_unix_ms != 0 && entry.boot_unix_ms < upstream.boot_unix_ms) {
        // The entry of an earlier incarnation: that of the present one is still to come.
        upstream.is_listed = true;
        mark_changed(upstream);
        return;
    }
    // Upstreams write their entries about once a second, mostly without a change. Each change has tasks that
    // found no room sought a place there again.
    if (!upstream.is_listed || upstream.entry != entry) {
        mark_changed(upstream);
    }
    upstream.is_listed = true;
    if (entry.boot_unix_ms > upstream.boot_unix_ms && upstream.boot_unix_ms != 0) {
        begin_incarnation(upstream, entry.boot_unix_ms, incarnation_source::listing, {}, now);
    }
    if (!had_current_entry && upstream.entry_missed_at != time_point()) {
        record_current_entry(upstream, now);
    }
    if (entry.is_leaving && !upstream.entry.is_leaving) {
        upstream.leaves_at = now + std::chrono::milliseconds(entry.remaining_ms);
    }
    upstream.entry = entry;
}

void cell_scheduler::record_current_entry(upstream_ledger& upstream, time_point now) {
    mark_changed(upstream);
    const auto missed = now - std::exchange(upstream.entry_missed_at, time_point());
    LOG(INFO) << "event=upstream_entry_read upstream=" << upstream.entry.id.get()
              << " boot=" << upstream.boot_unix_ms
              << " missed_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(missed).count()
              << " token=" << token_;
}

bool cell_scheduler::has_missing_entries(time_point now) const {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const auto& upstream = entry.second;
        return !upstream.has_current_entry() && now < upstream.entry_missed_at + max_entry_delay;
    });
}

void cell_scheduler::record_upstreams(const std::vector<upstream_entry>& entries) {
    for (const auto& entry : entries) {
        const auto found = upstreams_.find(entry.id);
        // An upstream that has moved since the list was made is not in it at its present address.
        const bool is_same = found != upstreams_.end() && found->second.entry.address == entry.address;
        if (!is_same) {
            continue;
        }
        found->second.recorded_boot_unix_ms = entry.boot_unix_ms;
        if (!found->second.is_recorded) {
            found->second.is_recorded = true;
            mark_changed(found->second);
        }
    }
}

bool cell_scheduler::has_unrecorded_upstreams() const {
    return std::any_of(upstreams_.begin(), upstreams_.end(), [](const auto& entry) {
        const auto& upstream = entry.second;
        return !upstream.is_recorded || upstream.recorded_boot_unix_ms != upstream.entry.boot_unix_ms;
    });
}

void cell_scheduler::unlist_upstream(const upstream_id& id) {
    if (const auto found = upstreams_.find(id); found != upstreams_.end()) {
        found->second.is_listed = false;
        mark_changed(found->second);
    }
}

bool cell_scheduler::may_be_in_next_incarnation(const upstream_ledger& upstream, const run_key& key,
                                                const run_record& run, incarnation_source source,
                                                time_point now) const {
    switch (source) {
        case incarnation_source::refusal:
            // Where another upstream has responded at the address, only an order that is still in flight may
            // reach a later incarnation of this one.
            return run.is_start_in_flight;
        case incarnation_source::listing:
            // The new incarnation has not received the fencing token of this owner yet, and this owner does
            // not know which starts of earlier ones were unanswered.
            if (key.second < get_first_run() && now < history_.get_last_action(token_) + max_order_delay) {
                return true;
            }
            break;
        case incarnation_source::report:
            break;
    }
    return run.may_be_in_next_incarnation() || upstream.unanswered_starts.contains(key);
}

void cell_scheduler::stop_late_start(upstream_ledger& upstream, const run_key& key, time_point now) {
    if (upstream.find_run(key.first, key.second) != nullptr) {
        return;
    }
    auto* job = find_job(key.first.job);
    auto* task = job == nullptr ? nullptr : job->find_task(key.first);
    auto run = make_found_run(task == nullptr ? nullptr : job, key.first);
    run.has_unknown_start = true;
    run.is_incarnation_unknown = true;
    restart_stop(upstream, run, now);
    upstream.add_run(key.first, key.second, run);
    // A run of the task elsewhere began before the restart, so it is not waited for.
    const bool is_elsewhere =
        task != nullptr && task->phase == task_phase::active && task->upstream != upstream.entry.id;
    if (task != nullptr && !is_elsewhere) {
        std::erase(task->late_start_upstreams, upstream.entry.id);
        task->late_start_upstreams.push_back(upstream.entry.id);
    }
    LOG(INFO) << "event=late_start_stopped task=" << key.first.to_string() << "/" << key.second
              << " upstream=" << upstream.entry.id.get() << " boot=" << upstream.boot_unix_ms
              << " runs_elsewhere=" << is_elsewhere << " token=" << token_;
}

bool cell_scheduler::may_start_late(const step_ref& ref, std::uint32_t index, const task_record& task) const {
    if (task.late_start_upstreams.empty()) {
        return false;
    }
    const task_ref wanted{ref.job, ref.occurrence, ref.step, index};
    return std::any_of(task.late_start_upstreams.begin(), task.late_start_upstreams.end(),
                       [&](const upstream_id& id) {
                           const auto* upstream = find_upstream(id);
                           return upstream != nullptr && upstream->has_run_of(wanted);
                       });
}

void cell_scheduler::begin_incarnation(upstream_ledger& upstream, std::int64_t boot_unix_ms,
                                       incarnation_source source, const std::vector<running_row>& rows,
                                       time_point now) {
    upstream.remove_expired_starts(now);
    std::set<run_key> listed;
    for (const auto& row : rows) {
        listed.emplace(row.task, row.run);
    }
    std::vector<run_key> ended;
    for (auto& [key, run] : upstream.runs) {
        if (listed.contains(key) || may_be_in_next_incarnation(upstream, key, run, source, now)) {
            run.expect_in_next_incarnation();
            run.has_unknown_start = run.has_unknown_start || upstream.unanswered_starts.contains(key);
        } else {
            ended.push_back(key);
        }
    }
    LOG(INFO) << "event=upstream_restarted upstream=" << upstream.entry.id.get() << " boot=" << boot_unix_ms
              << " previous_boot=" << upstream.boot_unix_ms << " source=" << get_source_name(source)
              << " runs_ended=" << ended.size() << " runs_unknown=" << upstream.runs.size() - ended.size()
              << " token=" << token_;
    // An upstream that was leaving has shut down.
    if (!upstream.entry.is_leaving) {
        record_crash(upstream, now);
    }
    for (const auto& key : ended) {
        release_run(upstream, key, now);
    }
    if (source != incarnation_source::refusal) {
        for (const auto& [key, expires_at] : upstream.unanswered_starts) {
            stop_late_start(upstream, key, now);
        }
    }
    for (auto& [key, run] : upstream.runs) {
        const bool is_unknown_start =
            run.has_unknown_start && !run.is_start_in_flight && !listed.contains(key);
        if (run.phase == run_phase::stopping || is_unknown_start) {
            // The new incarnation knows of no earlier stop order.
            restart_stop(upstream, run, now);
        }
    }
    mark_changed(upstream);
    expect_orders(upstream);
    drop_tickets(upstream.entry.id);
    const auto foreign_calls_end = get_foreign_calls_end(upstream);
    upstream.boot_unix_ms = boot_unix_ms;
    upstream.entry.boot_unix_ms = boot_unix_ms;
    if (!upstream.has_current_entry()) {
        upstream.entry_missed_at = now;
        has_missed_entries_ = true;
    }
    upstream.applied_end = 0;
    upstream.durable_end = 0;
    upstream.clock_ms = 0;
    upstream.has_responded = false;
    upstream.health = upstream_health();
    upstream.starts = start_health();
    upstream.offered_lease_until = time_point();
    upstream.confirmed_lease_until = time_point();
    upstream.lease_answered_at = time_point();
    upstream.lease_unanswered_at = time_point();
    upstream.foreign_leases_expire_at = time_point();
    expect_leases_of_incarnation(upstream, source, now);
    if (foreign_calls_end != time_point()) {
        count_foreign_lease(upstream, foreign_calls_end);
    }
}

void cell_scheduler::end_incarnation(const upstream_id& id, time_point now) {
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    begin_incarnation(found->second, found->second.boot_unix_ms, incarnation_source::refusal, {}, now);
    found->second.is_unresponsive = true;
}

}  // namespace jacinthvane
