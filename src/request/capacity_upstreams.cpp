// The part of capacity_service that monitors the owned upstreams: task lists, lease renewals, usage and
// leaving marks.
#include <algorithm>
#include <mutex>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/capacity_service.hpp"

namespace jacinthvane {

namespace {

// A leaving mark is cleared only after both the VM list and the upstream itself have contradicted it for this
// long, which is longer than the lag of the VM list.
constexpr std::chrono::seconds leaving_mark_hold{30};

attempt_state get_end_state(const listed_task& shown) {
    switch (shown.state) {
        case task_state::finished:
            return attempt_finished{};
        case task_state::failed:
            return attempt_failed{};
        case task_state::stopped:
            return attempt_stopped{shown.checkpoint};
        case task_state::running:
        case task_state::checkpointed:
            break;
    }
    return attempt_running{shown.checkpoint};
}

upstream_record make_upstream_record(const vm_record& vm, const location& place) {
    return {.upstream = upstream_id(vm.vm.get()),
            .place = {place.region, vm.failure_domain},
            .rack = vm.rack,
            .address = vm.address,
            .size = vm.size,
            .connections = vm.connections,
            .is_leaving = vm.is_leaving};
}

}  // namespace

awaitable<void> capacity_service::keep_vm_list() {
    const auto self = shared_from_this();
    // When a do-while condition contains co_await, g++ 12 skips the condition on continue, so the wait is in
    // the loop body.
    while (true) {
        const auto sent_at = std::chrono::steady_clock::now();
        const auto next = sent_at + settings_.vm_list_interval;
        const auto vms = co_await vm_list_.get(sent_at + settings_.store_timeout);
        if (!vms.ok()) {
            if (!co_await wait_unless_stopping(next)) {
                co_return;
            }
            continue;
        }
        std::vector<upstream_id> leaving;
        {
            std::lock_guard lock(mutex_);
            vms_ = *vms;
            has_vms_ = true;
            vms_read_at_ = sent_at;
            std::set<upstream_id> live;
            for (const auto& vm : vms_) {
                seen_vms_.insert(vm.vm);
                const upstream_id upstream(vm.vm.get());
                if (vm.role == vm_role::upstream && vm.is_leaving) {
                    leaving.push_back(upstream);
                } else if (vm.role == vm_role::upstream) {
                    live.insert(upstream);
                }
            }
            for (auto& [upstream, mark] : leaving_) {
                if (live.contains(upstream)) {
                    mark.is_in_vm_list = false;
                }
            }
            // A VM that the platform no longer lists has been removed, so its mark is dropped.
            std::erase_if(leaving_, [&](const auto& entry) {
                return entry.second.is_in_vm_list && !live.contains(entry.first) &&
                       std::find(leaving.begin(), leaving.end(), entry.first) == leaving.end();
            });
        }
        for (const auto& upstream : leaving) {
            mark_leaving_from(upstream, true);
        }
        sync_upstreams();
        if (!co_await wait_unless_stopping(next)) {
            co_return;
        }
    }
}

void capacity_service::sync_upstreams() {
    {
        std::lock_guard lock(mutex_);
        if (!has_vms_) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        std::set<upstream_id> listed;
        for (const auto& vm : vms_) {
            const upstream_id id(vm.vm.get());
            const auto slice = get_slice(id);
            const bool is_owned_here = vm.role == vm_role::upstream &&
                                       vm.failure_domain == settings_.place.failure_domain &&
                                       held_.contains(slice);
            if (!is_owned_here) {
                continue;
            }
            listed.insert(id);
            const auto record = make_upstream_record(vm, settings_.place);
            auto& owned = owned_[id];
            if (owned && owned->record == record) {
                continue;
            }
            const auto& held = held_.at(slice);
            auto changed = std::make_shared<owned_upstream>();
            if (owned) {
                *changed = *owned;
            } else {
                changed->owned_since = now;
            }
            changed->record = record;
            changed->slice = slice;
            owned = changed;
            ledger_.put_upstream(record, {last_share_, held.reserved_permille, held.reserved_holder});
            ledger_.set_leaving(id, record.is_leaving || leaving_.contains(id));
        }
        std::erase_if(owned_, [&](const auto& entry) {
            const auto& [id, owned] = entry;
            // An upstream that is no longer in the VM list may still run tasks and is kept until they have
            // ended.
            const bool is_kept =
                held_.contains(owned->slice) && (listed.contains(id) || !ledger_.get_commitments(id).empty());
            if (is_kept && !listed.contains(id)) {
                ledger_.set_leaving(id, true);
            }
            if (!is_kept) {
                ledger_.drop_upstream(id);
                reported_.erase(id);
            }
            return !is_kept;
        });
    }
    changed_.notify_all();
}

awaitable<void> capacity_service::watch_upstreams() {
    const auto self = shared_from_this();
    while (true) {
        const auto round_start = std::chrono::steady_clock::now();
        update_share(round_start);
        std::vector<upstream_id> due;
        {
            std::lock_guard lock(mutex_);
            for (const auto& [id, owned] : owned_) {
                if (visits_.insert(id).second) {
                    due.push_back(id);
                }
            }
        }
        for (const auto& upstream : due) {
            spawn_task(context_, "visit_upstream", visit_upstream(upstream));
        }
        if (!co_await wait_unless_stopping(round_start + settings_.list_interval)) {
            co_return;
        }
    }
}

awaitable<void> capacity_service::visit_upstream(upstream_id upstream) {
    const auto self = shared_from_this();
    // The jitter keeps a process with many upstreams from sending all its list requests at once.
    const auto jitter = draw_jitter(settings_.list_interval / 4);
    co_await wait_unless_stopping(std::chrono::steady_clock::now() + jitter);
    auto owned = find_owned(upstream);
    if (owned && !is_stopping_) {
        const auto permit = co_await list_limiter_.acquire(time_point::max());
        static_cast<void>(co_await refresh(owned));
    }
    owned = find_owned(upstream);
    if (owned && owned->is_responsive && !is_stopping_) {
        const auto permit = co_await renewal_limiter_.acquire(time_point::max());
        co_await renew_tasks(owned);
        const auto now = std::chrono::steady_clock::now();
        if (callbacks_.on_usage && owned->usage_read_at + settings_.usage_interval <= now) {
            co_await read_usage(owned);
        }
    }
    std::lock_guard lock(mutex_);
    visits_.erase(upstream);
}

awaitable<absl::StatusOr<upstream_list>> capacity_service::refresh(owned_pointer upstream) {
    const auto sent_at = std::chrono::steady_clock::now();
    count(&capacity_counters::lists);
    auto list = co_await upstreams_.list(upstream->record, sent_at + settings_.call_timeout);
    const auto received_at = std::chrono::steady_clock::now();
    const auto& id = upstream->record.upstream;
    if (list.ok()) {
        apply_list(upstream, *list, sent_at, received_at);
        co_return list;
    }
    count(&capacity_counters::list_failures);
    {
        std::lock_guard lock(mutex_);
        const auto found = owned_.find(id);
        if (found == owned_.end()) {
            co_return list;
        }
        auto changed = std::make_shared<owned_upstream>(*found->second);
        changed->is_responsive = false;
        found->second = changed;
    }
    const auto expired = ledger_.remove_expired(id, received_at);
    count(&capacity_counters::vanished, expired.size());
    for (const auto& removed : expired) {
        if (removed.work_class == task_class::batch) {
            report_end({id, removed.task, removed.generation, removed.kind, attempt_absent{}});
        }
    }
    changed_.notify_all();
    co_return list;
}

void capacity_service::apply_list(const owned_pointer& upstream, const upstream_list& list,
                                  time_point sent_at, time_point received_at) {
    const auto& id = upstream->record.upstream;
    list_outcome outcome;
    {
        std::lock_guard lock(mutex_);
        const auto found = owned_.find(id);
        if (found == owned_.end() || found->second->list_sent_at > sent_at) {
            return;
        }
        outcome = ledger_.apply_list(id, list, sent_at, received_at, settings_.clock_error);
        const auto& held = held_.at(found->second->slice);
        auto changed = std::make_shared<owned_upstream>(*found->second);
        changed->is_responsive = true;
        changed->clock_ms = list.now_ms;
        changed->clock_read_at = received_at;
        changed->list_sent_at = sent_at;
        changed->is_open = !held.is_handing_over && (found->second->is_open || sent_at > held.opens_after);
        const bool is_reservation_over =
            held.reservation_ends_after && sent_at > *held.reservation_ends_after;
        ledger_.set_limit(
            id, {last_share_, is_reservation_over ? 0 : held.reserved_permille, held.reserved_holder});
        ledger_.set_open(id, changed->is_open);
        found->second = changed;
    }
    count(&capacity_counters::adopted, outcome.adopted.size());
    count(&capacity_counters::vanished, outcome.vanished.size());
    if (list.is_leaving) {
        mark_leaving_from(id, false);
    } else {
        clear_leaving(id, sent_at);
    }
    report_ends(id, outcome);
    const bool has_room = !outcome.ended.empty() || !outcome.vanished.empty() ||
                          !outcome.never_started.empty() || !upstream->is_open;
    if (has_room && callbacks_.on_room) {
        callbacks_.on_room();
    }
    changed_.notify_all();
}

void capacity_service::report_ends(const upstream_id& upstream, const list_outcome& outcome) {
    std::vector<task_end> ends;
    {
        std::lock_guard lock(mutex_);
        auto& reported = reported_[upstream];
        std::set<std::pair<task_id, std::uint64_t>> shown;
        for (const auto& ended : outcome.ended) {
            const auto key = std::pair(ended.shown.task, ended.shown.generation);
            shown.insert(key);
            // The outcome of a task that this process started and no longer has committed has already been
            // reported.
            const bool is_due = ended.work_class ? *ended.work_class == task_class::batch
                                                 : ended.shown.owner != settings_.process.to_string();
            if (is_due && !reported.contains(key)) {
                ends.push_back({upstream, ended.shown.task, ended.shown.generation, ended.shown.kind,
                                get_end_state(ended.shown)});
            }
        }
        // An upstream lists ended tasks for a while. They are remembered for as long as they are listed, so
        // that each end is reported once.
        reported = std::move(shown);
    }
    for (const auto& removed : outcome.vanished) {
        if (removed.work_class == task_class::batch) {
            ends.push_back({upstream, removed.task, removed.generation, removed.kind, attempt_absent{}});
        }
    }
    for (const auto& removed : outcome.never_started) {
        if (removed.work_class == task_class::batch) {
            ends.push_back({upstream, removed.task, removed.generation, removed.kind, attempt_absent{}});
        }
    }
    for (const auto& end : ends) {
        report_end(end);
    }
}

awaitable<void> capacity_service::renew_tasks(owned_pointer upstream) {
    const auto& id = upstream->record.upstream;
    for (const auto& held : ledger_.get_commitments(id)) {
        const auto now = std::chrono::steady_clock::now();
        const auto renewed_at = held.lease_until - settings_.clock_error - settings_.task_lease;
        if (held.state == commitment_state::unconfirmed || now < renewed_at + settings_.task_renew_interval) {
            continue;
        }
        const auto current = find_owned(id);
        if (!current || is_stopping_) {
            co_return;
        }
        // The ledger is updated before the call, because the response can be lost after the upstream has
        // extended the lease.
        ledger_
            .extend_lease(id, held.task, held.generation, now + settings_.task_lease + settings_.clock_error)
            .IgnoreError();
        const task_attempt attempt{held.task, held.generation};
        const auto lease_deadline_ms = to_upstream_clock(*current, now + settings_.task_lease);
        count(&capacity_counters::renewals);
        const auto renewed = co_await upstreams_.renew(current->record, attempt, lease_deadline_ms,
                                                       now + settings_.call_timeout);
        if (renewed.ok() || get_error_kind(renewed.status()) == error_kind::not_found) {
            continue;
        }
        count(&capacity_counters::renewal_failures);
        co_return;
    }
}

awaitable<void> capacity_service::read_usage(owned_pointer upstream) {
    const auto sent_at = std::chrono::steady_clock::now();
    const auto& id = upstream->record.upstream;
    const auto usage = co_await upstreams_.get_usage(upstream->record, sent_at + settings_.call_timeout);
    const auto received_at = std::chrono::steady_clock::now();
    {
        std::lock_guard lock(mutex_);
        const auto found = owned_.find(id);
        if (found != owned_.end()) {
            auto changed = std::make_shared<owned_upstream>(*found->second);
            changed->usage_read_at = sent_at;
            found->second = changed;
        }
    }
    if (!usage.ok()) {
        co_return;
    }
    constexpr std::int64_t max_age_ms = 3600 * 1000;
    for (const auto& sample : usage->samples) {
        const auto age_ms = std::clamp<std::int64_t>(usage->now_ms - sample.at_ms, 0, max_age_ms);
        callbacks_.on_usage({id, sample, received_at - std::chrono::milliseconds(age_ms)});
    }
}

capacity_service::owned_pointer capacity_service::find_owned(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    const auto found = owned_.find(upstream);
    return found == owned_.end() ? nullptr : found->second;
}

void capacity_service::mark_leaving_from(const upstream_id& upstream, bool is_in_vm_list) {
    bool is_new = false;
    {
        std::lock_guard lock(mutex_);
        is_new = !leaving_.contains(upstream);
        auto& mark = leaving_[upstream];
        mark.marked_at = std::chrono::steady_clock::now();
        mark.is_in_vm_list = mark.is_in_vm_list || is_in_vm_list;
        ledger_.set_leaving(upstream, true);
    }
    if (!is_new) {
        return;
    }
    LOG(INFO) << "event=upstream_leaving upstream=" << upstream.get();
    if (callbacks_.on_leaving) {
        callbacks_.on_leaving(upstream);
    }
    changed_.notify_all();
}

void capacity_service::clear_leaving(const upstream_id& upstream, time_point sent_at) {
    {
        std::lock_guard lock(mutex_);
        const auto found = leaving_.find(upstream);
        if (found == leaving_.end() || found->second.is_in_vm_list ||
            sent_at < found->second.marked_at + leaving_mark_hold ||
            vms_read_at_ < found->second.marked_at + leaving_mark_hold) {
            return;
        }
        leaving_.erase(found);
        ledger_.set_leaving(upstream, false);
    }
    LOG(INFO) << "event=upstream_not_leaving upstream=" << upstream.get();
}

}  // namespace jacinthvane
