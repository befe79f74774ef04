#include "connection/memory_store.hpp"

#include <algorithm>
#include <mutex>
#include <vector>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// A watch rechecks the value at least this often, since a value is removed without any call when its lease
// expires.
constexpr std::chrono::milliseconds watch_recheck_interval{100};

}  // namespace

absl::StatusOr<stored_value> memory_store::get(const std::string& path) {
    const auto value = read(path);
    if (value.revision == 0) {
        return make_error(error_kind::not_found, "the store has no value at " + path);
    }
    return value;
}

absl::StatusOr<std::uint64_t> memory_store::compare_and_swap(const std::string& path,
                                                             std::uint64_t expected_revision,
                                                             const std::string& bytes, store_lease lease) {
    std::uint64_t written = 0;
    {
        std::lock_guard lock(mutex_);
        remove_expired();
        const auto found = entries_.find(path);
        const auto current = found == entries_.end() ? 0 : found->second.value.revision;
        if (current != expected_revision) {
            return make_error(error_kind::version_conflict, path + " is at revision " +
                                                                std::to_string(current) + ", not at " +
                                                                std::to_string(expected_revision));
        }
        if (lease.id != 0 && !leases_.contains(lease)) {
            return make_error(error_kind::not_found,
                              "lease " + std::to_string(lease.id) + " is unknown or has expired");
        }
        written = ++last_revision_;
        entries_.insert_or_assign(path, entry{stored_value{written, bytes}, lease});
    }
    changed_.notify_all();
    return written;
}

absl::Status memory_store::remove(const std::string& path, std::uint64_t expected_revision) {
    {
        std::lock_guard lock(mutex_);
        remove_expired();
        const auto found = entries_.find(path);
        if (found == entries_.end()) {
            return make_error(error_kind::not_found, "the store has no value at " + path);
        }
        if (found->second.value.revision != expected_revision) {
            return make_error(error_kind::version_conflict,
                              path + " is at revision " + std::to_string(found->second.value.revision) +
                                  ", not at " + std::to_string(expected_revision));
        }
        entries_.erase(found);
    }
    changed_.notify_all();
    return absl::OkStatus();
}

store_lease memory_store::grant_lease(std::chrono::milliseconds time_to_live) {
    std::lock_guard lock(mutex_);
    const store_lease lease{++last_lease_};
    leases_[lease] = lease_entry{time_to_live, get_now(clock_) + time_to_live};
    return lease;
}

absl::Status memory_store::renew_lease(store_lease lease) {
    std::lock_guard lock(mutex_);
    remove_expired();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return make_error(error_kind::not_found,
                          "lease " + std::to_string(lease.id) + " is unknown or has expired");
    }
    found->second.deadline = get_now(clock_) + found->second.time_to_live;
    return absl::OkStatus();
}

absl::Status memory_store::release_lease(store_lease lease) {
    {
        std::lock_guard lock(mutex_);
        if (!leases_.contains(lease)) {
            return make_error(error_kind::not_found,
                              "lease " + std::to_string(lease.id) + " is unknown or has expired");
        }
        drop_lease(lease);
    }
    changed_.notify_all();
    return absl::OkStatus();
}

awaitable<stored_value> memory_store::watch(std::string path, std::uint64_t seen_revision,
                                            time_point deadline) {
    while (true) {
        const auto seen_count = changed_.get_count();
        auto value = read(path);
        const auto now = std::chrono::steady_clock::now();
        if (value.revision != seen_revision || now >= deadline) {
            co_return value;
        }
        co_await changed_.wait(seen_count, std::min(deadline, now + watch_recheck_interval));
    }
}

void memory_store::remove_expired() {
    const auto now = get_now(clock_);
    std::vector<store_lease> expired;
    for (const auto& [lease, state] : leases_) {
        if (state.deadline <= now) {
            expired.push_back(lease);
        }
    }
    for (const auto& lease : expired) {
        drop_lease(lease);
    }
}

void memory_store::drop_lease(store_lease lease) {
    leases_.erase(lease);
    std::erase_if(entries_, [&](const auto& item) { return item.second.lease == lease; });
}

stored_value memory_store::read(const std::string& path) {
    std::lock_guard lock(mutex_);
    remove_expired();
    const auto found = entries_.find(path);
    return found == entries_.end() ? stored_value{} : found->second.value;
}

}  // namespace jacinthvane
