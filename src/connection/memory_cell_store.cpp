#include "connection/memory_cell_store.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>

#include "process/error_kind.hpp"

namespace jacinthvane {

void memory_cell_store::set_faults(faults wanted) {
    std::lock_guard lock(mutex_);
    faults_ = wanted;
}

void memory_cell_store::discard_history() {
    std::lock_guard lock(mutex_);
    history_.clear();
    compacted_revision_ = revision_;
}

std::uint64_t memory_cell_store::get_revision() const {
    std::lock_guard lock(mutex_);
    return revision_;
}

std::uint64_t memory_cell_store::get_write_count() const {
    std::lock_guard lock(mutex_);
    return writes_;
}

std::uint64_t memory_cell_store::get_call_count() const {
    std::lock_guard lock(mutex_);
    return calls_;
}

absl::Status memory_cell_store::check_available() {
    ++calls_;
    return faults_.is_down ? make_error(error_kind::store_unavailable, "the store is unavailable")
                           : absl::OkStatus();
}

void memory_cell_store::expire_leases_locked() {
    const auto now = get_now(clock_);
    std::vector<std::string> expired;
    for (const auto& [key, stored] : items_) {
        const auto lease = leases_.find(stored.lease);
        if (stored.lease != 0 && (lease == leases_.end() || lease->second.ends_at <= now)) {
            expired.push_back(key);
        }
    }
    for (const auto& key : expired) {
        remove_locked(key);
    }
    std::erase_if(leases_, [&](const auto& entry) { return entry.second.ends_at <= now; });
}

void memory_cell_store::remove_locked(const std::string& key) {
    if (items_.erase(key) == 0) {
        return;
    }
    ++revision_;
    history_.push_back({{key, std::string(), revision_, 0}, true});
}

awaitable<absl::StatusOr<store_item>> memory_cell_store::get(std::string key, time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    expire_leases_locked();
    const auto found = items_.find(key);
    if (found == items_.end()) {
        co_return store_item{key, std::string(), 0, 0};
    }
    co_return found->second.item;
}

awaitable<absl::StatusOr<store_listing>> memory_cell_store::list(std::string prefix, time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    expire_leases_locked();
    store_listing listing;
    listing.revision = revision_;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
        listing.items.push_back(it->second.item);
    }
    co_return listing;
}

awaitable<absl::StatusOr<store_changes>> memory_cell_store::watch(std::string prefix, std::uint64_t after,
                                                                  std::int64_t wait_ms, time_point deadline) {
    const auto until =
        std::min(deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms));
    bool is_first_check = true;
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (auto status = check_available(); !status.ok()) {
                co_return status;
            }
            // A watch counts as one call, however often it checks.
            calls_ -= is_first_check ? 0 : 1;
            is_first_check = false;
            expire_leases_locked();
            if (after < compacted_revision_) {
                co_return make_error(error_kind::version_conflict,
                                     "the history from revision " + std::to_string(after) +
                                         " is no longer available; it begins at revision " +
                                         std::to_string(compacted_revision_));
            }
            store_changes result;
            result.revision = revision_;
            for (const auto& change : history_) {
                if (change.item.revision > after && change.item.key.starts_with(prefix)) {
                    result.changes.push_back(change);
                }
            }
            if (!result.changes.empty() || std::chrono::steady_clock::now() >= until) {
                co_return result;
            }
        }
        // Leases expire without a call, so the watch checks them periodically.
        const auto next_poll = std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
        co_await changed_.wait(seen, std::min(until, next_poll));
    }
}

transaction_result memory_cell_store::apply_locked(const store_transaction& transaction) {
    transaction_result result;
    bool holds = true;
    for (const auto& condition : transaction.conditions) {
        const auto found = items_.find(condition.key);
        const auto item =
            found == items_.end() ? store_item{condition.key, std::string(), 0, 0} : found->second.item;
        holds = holds && item.revision == condition.revision;
        result.present.push_back(item);
    }
    if (!holds) {
        return result;
    }
    result.present.clear();
    result.is_applied = true;
    ++writes_;
    ++revision_;
    for (const auto& write : transaction.writes) {
        auto& stored = items_[write.key];
        const auto created = stored.item.revision == 0 ? revision_ : stored.item.created_revision;
        stored = {{write.key, write.value, revision_, created}, write.lease};
        history_.push_back({stored.item, false});
    }
    for (const auto& key : transaction.removals) {
        remove_locked(key);
    }
    result.revision = revision_;
    return result;
}

transaction_result memory_cell_store::apply(const store_transaction& transaction) {
    transaction_result result;
    {
        std::lock_guard lock(mutex_);
        expire_leases_locked();
        result = apply_locked(transaction);
    }
    changed_.notify_all();
    return result;
}

awaitable<absl::StatusOr<transaction_result>> memory_cell_store::transact(store_transaction transaction,
                                                                          time_point) {
    bool is_response_lost = false;
    {
        std::lock_guard lock(mutex_);
        if (auto status = check_available(); !status.ok()) {
            co_return status;
        }
        expire_leases_locked();
        for (const auto& write : transaction.writes) {
            if (write.lease != 0 && !leases_.contains(write.lease)) {
                co_return make_error(error_kind::not_found,
                                     "lease " + std::to_string(write.lease) + " has ended");
            }
        }
        is_response_lost = faults_.loses_responses;
    }
    const auto result = apply(transaction);
    if (is_response_lost) {
        co_return make_error(error_kind::store_outcome_unknown, "the response was lost");
    }
    co_return result;
}

awaitable<absl::StatusOr<granted_lease>> memory_cell_store::grant_lease(std::int64_t time_to_live_ms,
                                                                        time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    const auto id = next_lease_++;
    leases_[id] = {get_now(clock_) + std::chrono::milliseconds(time_to_live_ms), time_to_live_ms};
    co_return granted_lease{id, time_to_live_ms};
}

awaitable<absl::Status> memory_cell_store::renew_lease(std::uint64_t lease, time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    expire_leases_locked();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        co_return make_error(error_kind::not_found, "lease " + std::to_string(lease) + " has ended");
    }
    found->second.ends_at = get_now(clock_) + std::chrono::milliseconds(found->second.time_to_live_ms);
    co_return absl::OkStatus();
}

awaitable<absl::Status> memory_cell_store::end_lease(std::uint64_t lease, time_point) {
    {
        std::lock_guard lock(mutex_);
        if (auto status = check_available(); !status.ok()) {
            co_return status;
        }
        leases_.erase(lease);
        expire_leases_locked();
    }
    changed_.notify_all();
    co_return absl::OkStatus();
}

}  // namespace jacinthvane
