// The part of capacity_service that uses the store: the lease that bounds the term, and the ownership of
// slices.
#include <algorithm>
#include <mutex>
#include <tuple>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "connection/json_reader.hpp"
#include "connection/ownership_codec.hpp"
#include "process/error_kind.hpp"
#include "request/capacity_service.hpp"

namespace jacinthvane {

namespace {

// The number of members whose lease is read in one round. Together, the members read each lease about twice a
// round, so the store's load grows linearly with the number of members, not quadratically.
constexpr std::size_t members_checked_per_round = 2;
constexpr std::int64_t max_incarnation = std::int64_t{1} << 62U;

// Encodes the value at tenure/<failure domain>/<VM>, which the store removes when the lease expires.
std::string encode_tenure(const process_id& process) {
    return nlohmann::json{{"vm", process.vm.get()}, {"incarnation", process.incarnation}}.dump();
}

absl::StatusOr<std::uint64_t> decode_incarnation(const std::string& bytes) {
    const auto object = parse_json_object(bytes, "tenure");
    if (!object.ok()) {
        return object.status();
    }
    json_reader reader(*object, "tenure");
    const auto incarnation = reader.read_integer("incarnation", 0, max_incarnation);
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    return static_cast<std::uint64_t>(incarnation);
}

bool is_not_found(const absl::Status& status) {
    return !status.ok() && get_error_kind(status) == error_kind::not_found;
}

}  // namespace

std::string capacity_service::get_tenure_path(const vm_id& vm) const {
    return "tenure/" + settings_.place.failure_domain.get() + "/" + vm.get();
}

std::string capacity_service::get_ownership_path() const {
    return "ownership/" + settings_.place.failure_domain.get();
}

awaitable<void> capacity_service::keep_term() {
    const auto self = shared_from_this();
    const auto jitter = draw_jitter(settings_.startup_jitter);
    if (!co_await wait_unless_stopping(std::chrono::steady_clock::now() + jitter)) {
        co_return;
    }
    while (true) {
        bool has_lease = false;
        bool is_done = false;
        {
            std::lock_guard lock(mutex_);
            has_lease = lease_.lease.id != 0;
            is_done = is_handing_over_ || is_replaced_;
        }
        if (is_done) {
            co_return;
        }
        absl::Status status;
        if (has_lease) {
            status = co_await renew_lease();
        } else {
            status = co_await acquire_lease();
        }
        count(&capacity_counters::store_calls);
        if (!status.ok()) {
            count(&capacity_counters::store_failures);
        }
        changed_.notify_all();
        // An expired lease is replaced in the next iteration. After a failed store call, the next attempt
        // comes sooner than a renewal would.
        const auto pause = status.ok() ? settings_.renew_interval : settings_.renew_interval / 3;
        if (!co_await wait_unless_stopping(std::chrono::steady_clock::now() + pause)) {
            co_return;
        }
    }
}

awaitable<absl::Status> capacity_service::acquire_lease() {
    const auto sent_at = std::chrono::steady_clock::now();
    const auto deadline = sent_at + settings_.store_timeout;
    const auto granted = co_await store_.grant_lease(settings_.term.lease_time, deadline);
    if (!granted.ok()) {
        co_return granted.status();
    }
    const auto path = get_tenure_path(settings_.process.vm);
    const auto present = co_await store_.get(path, deadline);
    if (!present.ok() && !is_not_found(present.status())) {
        co_return present.status();
    }
    if (present.ok()) {
        const auto incarnation = decode_incarnation(present->bytes);
        if (incarnation.ok() && *incarnation > settings_.process.incarnation) {
            LOG(ERROR) << "event=replaced process=" << settings_.process.to_string()
                       << " by_incarnation=" << *incarnation;
            std::lock_guard lock(mutex_);
            is_replaced_ = true;
            tenure_ = tenure_.give_up();
            co_return make_error(error_kind::version_conflict,
                                 "incarnation " + std::to_string(*incarnation) + " has replaced " +
                                     settings_.process.to_string() + " on its VM");
        }
    }
    const auto revision = present.ok() ? present->revision : 0;
    const auto bytes = encode_tenure(settings_.process);
    const auto written = co_await store_.compare_and_swap(path, revision, bytes, *granted, deadline);
    if (!written.ok()) {
        // The next attempt reads the value back, so a write of unknown outcome needs no handling here.
        co_return written.status();
    }
    std::lock_guard lock(mutex_);
    lease_ = {*granted, sent_at, false};
    co_return absl::OkStatus();
}

awaitable<absl::Status> capacity_service::renew_lease() {
    store_lease lease;
    {
        std::lock_guard lock(mutex_);
        lease = lease_.lease;
    }
    const auto sent_at = std::chrono::steady_clock::now();
    auto status = co_await store_.renew_lease(lease, sent_at + settings_.store_timeout);
    {
        std::lock_guard lock(mutex_);
        if (lease_.lease != lease) {
            co_return status;
        }
        if (status.ok()) {
            lease_.renewed_at = sent_at;
        }
        if (status.ok() && lease_.is_bound) {
            tenure_ = tenure_.renew(sent_at);
        }
        if (!is_not_found(status)) {
            co_return status;
        }
        lease_ = {};
    }
    LOG(WARNING) << "event=lease_lapsed process=" << settings_.process.to_string() << " lease=" << lease.id;
    co_return status;
}

awaitable<void> capacity_service::keep_ownership() {
    const auto self = shared_from_this();
    while (true) {
        const auto round_start = std::chrono::steady_clock::now();
        bool is_ready = false;
        {
            std::lock_guard lock(mutex_);
            is_ready = lease_.lease.id != 0;
            if (is_handing_over_ || is_replaced_) {
                co_return;
            }
        }
        if (is_ready) {
            co_await run_ownership_round();
        }
        // The jitter keeps the members from all writing at the same moment and conflicting.
        const auto jitter = draw_jitter(settings_.ownership_interval / 4);
        if (!co_await wait_unless_stopping(round_start + settings_.ownership_interval + jitter)) {
            co_return;
        }
    }
}

awaitable<void> capacity_service::run_ownership_round() {
    ownership value;
    std::uint64_t revision = 0;
    bool is_known = false;
    {
        std::lock_guard lock(mutex_);
        is_known = is_watched_ && value_.has_value();
        if (is_known) {
            value = *value_;
            revision = revision_;
        }
    }
    if (!is_known) {
        auto read = co_await read_ownership();
        if (!read.ok()) {
            co_return;
        }
        std::tie(value, revision) = *std::move(read);
    }
    std::map<process_id, member_check> expired;
    for (const auto& member : pick_members_to_check(value)) {
        const auto checked = co_await check_member(member);
        if (checked.ok() && checked->is_expired) {
            expired[member] = *checked;
        }
    }
    bool is_fence_due = false;
    {
        std::lock_guard lock(mutex_);
        if (is_handing_over_ || lease_.lease.id == 0) {
            co_return;
        }
        is_fence_due = unknown_base_ == revision;
    }
    auto desired = plan_changes(value, expired);
    // A write of unknown outcome could still take effect. Another write against the same base revision
    // resolves it, because only one of the two can succeed.
    if (desired == value && !is_fence_due) {
        co_return;
    }
    co_await write_ownership(std::move(desired), revision);
}

awaitable<absl::StatusOr<std::pair<ownership, std::uint64_t>>> capacity_service::read_ownership() {
    count(&capacity_counters::store_calls);
    const auto path = get_ownership_path();
    const auto stored = co_await store_.get(path, std::chrono::steady_clock::now() + settings_.store_timeout);
    if (!stored.ok() && !is_not_found(stored.status())) {
        count(&capacity_counters::store_failures);
        co_return stored.status();
    }
    auto value = make_ownership(settings_.place.failure_domain);
    std::uint64_t revision = 0;
    if (stored.ok()) {
        auto decoded = decode_ownership(stored->bytes);
        if (!decoded.ok()) {
            LOG(ERROR) << "event=ownership_unreadable path=" << path << " error=\""
                       << decoded.status().message() << "\"";
            co_return decoded.status();
        }
        value = *std::move(decoded);
        revision = stored->revision;
    }
    adopt_ownership(value, revision);
    co_return std::pair(std::move(value), revision);
}

awaitable<void> capacity_service::watch_ownership() {
    const auto self = shared_from_this();
    const auto path = get_ownership_path();
    while (!is_stopping_) {
        std::uint64_t seen = 0;
        {
            std::lock_guard lock(mutex_);
            seen = revision_;
        }
        const auto called_at = std::chrono::steady_clock::now();
        count(&capacity_counters::store_calls);
        const auto stored = co_await store_.watch(path, seen, called_at + settings_.watch_time);
        auto value = stored.ok() && stored->revision > 0
                         ? decode_ownership(stored->bytes)
                         : absl::StatusOr<ownership>(make_error(error_kind::not_found, "no ownership value"));
        if (value.ok()) {
            adopt_ownership(*value, stored->revision);
            std::lock_guard lock(mutex_);
            is_watched_ = true;
            continue;
        }
        if (!stored.ok()) {
            count(&capacity_counters::store_failures);
        }
        {
            std::lock_guard lock(mutex_);
            is_watched_ = false;
        }
        // While the watch fails, each ownership round reads the value itself.
        if (!co_await wait_unless_stopping(std::max(called_at, std::chrono::steady_clock::now()) +
                                           settings_.ownership_interval)) {
            co_return;
        }
    }
}

std::vector<process_id> capacity_service::pick_members_to_check(const ownership& value) {
    std::vector<process_id> others;
    for (const auto& member : value.members) {
        if (member.process.vm != settings_.process.vm) {
            others.push_back(member.process);
        }
    }
    std::vector<process_id> picked;
    std::lock_guard lock(mutex_);
    if (next_member_ == 0) {
        // Members start at different positions, so that together they quickly check every lease.
        next_member_ = random_() % 1024;
    }
    for (std::size_t n = 0; n < std::min(members_checked_per_round, others.size()); ++n) {
        picked.push_back(others[next_member_++ % others.size()]);
    }
    return picked;
}

awaitable<absl::StatusOr<capacity_service::member_check>> capacity_service::check_member(process_id member) {
    count(&capacity_counters::store_calls);
    const auto path = get_tenure_path(member.vm);
    const auto stored = co_await store_.get(path, std::chrono::steady_clock::now() + settings_.store_timeout);
    if (!stored.ok() && !is_not_found(stored.status())) {
        count(&capacity_counters::store_failures);
        co_return stored.status();
    }
    member_check check;
    if (!stored.ok()) {
        check.is_expired = true;
        check.proof = find_proof(member);
        co_return check;
    }
    const auto incarnation = decode_incarnation(stored->bytes);
    if (!incarnation.ok()) {
        co_return incarnation.status();
    }
    if (*incarnation > member.incarnation) {
        check.is_expired = true;
        check.proof = newer_incarnation{{member.vm, *incarnation}};
    }
    co_return check;
}

std::optional<end_proof> capacity_service::find_proof(const process_id& process) const {
    std::lock_guard lock(mutex_);
    // The VM list lags, so a VM that has never appeared in it may only be too new.
    const bool is_removed =
        has_vms_ && seen_vms_.contains(process.vm) &&
        std::none_of(vms_.begin(), vms_.end(), [&](const auto& vm) { return vm.vm == process.vm; });
    if (is_removed) {
        return vm_reported_removed{process.vm};
    }
    for (const auto& statement : statements_) {
        if (is_proof_for(statement, process)) {
            return statement;
        }
    }
    return std::nullopt;
}

ownership capacity_service::plan_changes(const ownership& value,
                                         const std::map<process_id, member_check>& expired) {
    const auto& self = settings_.process;
    auto planned = value;
    std::uint64_t lease = 0;
    {
        std::lock_guard lock(mutex_);
        lease = lease_.lease.id;
    }
    const auto* member = find_member(planned, self);
    if (member == nullptr || member->lease != lease) {
        auto joined = join(planned, self, lease);
        if (!joined.ok()) {
            return value;
        }
        planned = *std::move(joined);
    }
    for (const auto& [process, check] : expired) {
        planned = take_over(planned, process, check.proof);
    }
    release_proved_reservations(planned, std::chrono::steady_clock::now());
    planned = claim_unowned_up_to_cap(planned, self);
    for (const auto& transfer : get_transfers(planned, self)) {
        auto moved = jacinthvane::hand_over(planned, transfer.slice, self, transfer.to);
        if (!moved.ok()) {
            continue;
        }
        planned = *std::move(moved);
        // Starts on the slice stop before the write is sent, because the next owner's waiting time begins as
        // soon as it sees the value.
        std::lock_guard lock(mutex_);
        const auto held = held_.find(transfer.slice);
        if (held == held_.end()) {
            continue;
        }
        held->second.is_handing_over = true;
        for (auto& [id, owned] : owned_) {
            if (owned->slice != transfer.slice) {
                continue;
            }
            auto changed = std::make_shared<owned_upstream>(*owned);
            changed->is_open = false;
            owned = changed;
            ledger_.set_open(id, false);
        }
    }
    return planned;
}

void capacity_service::release_proved_reservations(ownership& value, time_point now) {
    for (std::size_t slice = 0; slice < value.slices.size(); ++slice) {
        const auto reservation = value.slices[slice].reservation;
        if (!reservation) {
            continue;
        }
        auto proof = find_proof(reservation->holder);
        {
            std::lock_guard lock(mutex_);
            const auto lost = lost_.find(slice);
            const bool is_given_up = reservation->holder == settings_.process && !held_.contains(slice) &&
                                     (lost == lost_.end() || lost->second < now);
            if (is_given_up) {
                proof = holder_handed_over{settings_.process};
            }
            const auto seen = reservations_seen_.try_emplace({slice, reservation->holder}, now).first->second;
            const auto observed = std::chrono::duration_cast<std::chrono::milliseconds>(now - seen);
            const auto required =
                settings_.term.extended_tenure + settings_.term.lease_time + settings_.clock_error;
            if (!proof && observed >= required) {
                proof = tenure_ended{reservation->holder, observed, required};
            }
        }
        if (!proof) {
            continue;
        }
        auto released = release_reservation(value, slice, *proof);
        if (released.ok()) {
            value = *std::move(released);
        }
    }
}

awaitable<void> capacity_service::write_ownership(ownership value, std::uint64_t base_revision) {
    const auto path = get_ownership_path();
    auto bytes = encode_ownership(value);
    count(&capacity_counters::store_calls);
    const auto written =
        co_await store_.compare_and_swap(path, base_revision, std::move(bytes), store_lease{},
                                         std::chrono::steady_clock::now() + settings_.store_timeout);
    if (written.ok()) {
        {
            std::lock_guard lock(mutex_);
            unknown_base_.reset();
        }
        adopt_ownership(value, *written);
        co_return;
    }
    count(&capacity_counters::store_failures);
    const auto kind = get_error_kind(written.status());
    const bool is_without_effect = kind == error_kind::store_unavailable || kind == error_kind::overloaded;
    std::lock_guard lock(mutex_);
    // The next round reads the value instead of relying on the watch.
    is_watched_ = false;
    // An earlier write of unknown outcome stays unresolved until the revision advances.
    if (kind != error_kind::version_conflict && (!is_without_effect || unknown_base_ == base_revision)) {
        unknown_base_ = base_revision;
        co_return;
    }
    // A refused write handed over no slice, so the slices open again with the next list. After a version
    // conflict, they wait until the newer value has been adopted.
    for (auto& [slice, held] : held_) {
        held.is_handing_over = held.is_handing_over && kind == error_kind::version_conflict;
    }
}

void capacity_service::adopt_ownership(const ownership& value, std::uint64_t revision) {
    const auto& self = settings_.process;
    const auto now = std::chrono::steady_clock::now();
    // These events are logged after the lock is released.
    std::vector<std::string> events;
    {
        std::lock_guard lock(mutex_);
        if (revision < revision_) {
            return;
        }
        const bool has_advanced = revision > revision_;
        value_ = value;
        revision_ = revision;
        if (has_advanced && unknown_base_ && *unknown_base_ < revision) {
            unknown_base_.reset();
        }
        const auto* member = find_member(value, self);
        const bool is_bound = member != nullptr && lease_.lease.id != 0 && member->lease == lease_.lease.id;
        if (is_bound) {
            lease_.is_bound = true;
            tenure_ = tenure_.renew(lease_.renewed_at);
        }
        for (std::size_t slice = 0; slice < value.slices.size(); ++slice) {
            adopt_slice(slice, value.slices[slice], now, events);
        }
        std::erase_if(reservations_seen_, [&](const auto& entry) {
            const auto& reservation = value.slices[entry.first.first].reservation;
            return !reservation || reservation->holder != entry.first.second;
        });
    }
    for (const auto& event : events) {
        LOG(INFO) << "event=" << event;
    }
    update_share(now);
    sync_upstreams();
}

void capacity_service::adopt_slice(std::size_t slice, const slice_record& record, time_point now,
                                   std::vector<std::string>& events) {
    const auto held = held_.find(slice);
    if (record.owner != settings_.process) {
        if (held != held_.end()) {
            const bool was_handed_over = held->second.is_handing_over;
            count(was_handed_over ? &capacity_counters::slices_handed_over : &capacity_counters::slices_lost);
            LOG(INFO) << "event=" << (was_handed_over ? "slice_handed_over" : "slice_lost")
                      << " slice=" << slice << " epoch=" << record.epoch;
            lost_[slice] = now + settings_.start_window + settings_.clock_error;
            held_.erase(held);
        }
        return;
    }
    const auto reserved = record.reservation ? record.reservation->share_permille : 0;
    const auto holder = record.reservation ? record.reservation->holder.to_string() : std::string();
    const auto safe_after = now + settings_.start_window + settings_.clock_error;
    if (held == held_.end() || held->second.epoch != record.epoch) {
        held_.insert_or_assign(slice, held_slice{.epoch = record.epoch,
                                                 .opens_after = safe_after,
                                                 .reserved_permille = reserved,
                                                 .reserved_holder = holder,
                                                 .reservation_ends_after = std::nullopt,
                                                 .is_handing_over = false});
        lost_.erase(slice);
        count(&capacity_counters::slices_claimed);
        events.push_back("slice_claimed slice=" + std::to_string(slice) + " epoch=" +
                         std::to_string(record.epoch) + " reserved_permille=" + std::to_string(reserved));
        // Upstreams kept from an earlier epoch stay closed until they have been listed again.
        for (auto& [id, owned] : owned_) {
            if (owned->slice == slice) {
                auto changed = std::make_shared<owned_upstream>(*owned);
                changed->is_open = false;
                owned = changed;
                ledger_.set_open(id, false);
            }
        }
        return;
    }
    auto& current = held->second;
    if (reserved == 0 && current.reserved_permille > 0 && !current.reservation_ends_after) {
        // The holder's last start orders may still arrive. Its share becomes available once a list would show
        // every task that they started.
        current.reservation_ends_after = safe_after;
    }
    if (!unknown_base_) {
        current.is_handing_over = false;
    }
}

awaitable<bool> capacity_service::hand_over(time_point deadline) {
    const auto self = shared_from_this();
    {
        std::lock_guard lock(mutex_);
        is_handing_over_ = true;
        for (auto& [slice, held] : held_) {
            held.is_handing_over = true;
        }
    }
    update_share(std::chrono::steady_clock::now());
    const auto path = get_ownership_path();
    bool is_done = false;
    while (!is_done) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            break;
        }
        const auto call_deadline = std::min(deadline, now + settings_.store_timeout);
        const auto stored = co_await store_.get(path, call_deadline);
        if (is_not_found(stored.status())) {
            is_done = true;
            break;
        }
        if (stored.ok()) {
            const auto value = decode_ownership(stored->bytes);
            if (!value.ok()) {
                break;
            }
            const auto remaining = leave(*value, settings_.process);
            if (remaining == *value) {
                adopt_ownership(*value, stored->revision);
                is_done = true;
                break;
            }
            auto bytes = encode_ownership(remaining);
            const auto written = co_await store_.compare_and_swap(path, stored->revision, std::move(bytes),
                                                                  store_lease{}, call_deadline);
            if (written.ok()) {
                adopt_ownership(remaining, *written);
                is_done = true;
                break;
            }
        }
        co_await wait_until(
            std::min(deadline, std::chrono::steady_clock::now() + settings_.ownership_interval / 4));
    }
    store_lease lease;
    {
        std::lock_guard lock(mutex_);
        lease = std::exchange(lease_, {}).lease;
        tenure_ = tenure_.give_up();
    }
    if (is_done && lease.id != 0) {
        const auto released = co_await store_.release_lease(
            lease, std::max(deadline, std::chrono::steady_clock::now() + settings_.store_timeout));
        LOG(INFO) << "event=handed_over process=" << settings_.process.to_string()
                  << " lease_released=" << (released.ok() ? 1 : 0);
    }
    co_return is_done;
}

}  // namespace jacinthvane
