#include "connection/memory_registry.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// Changes that one watch returns, as with the platform's store.
constexpr std::size_t max_watched_changes = 500;

time_point get_wait_deadline(std::int64_t wait_ms, time_point deadline) {
    return std::min(deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms));
}

}  // namespace

awaitable<absl::StatusOr<upstream_changes>> memory_registry::list_upstreams(time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    upstream_changes result;
    result.revision = revision_;
    for (const auto& [id, entry] : entries_) {
        result.changes.push_back({id, entry});
    }
    co_return result;
}

awaitable<absl::StatusOr<upstream_changes>> memory_registry::watch_upstreams(std::uint64_t after,
                                                                             std::int64_t wait_ms,
                                                                             time_point deadline) {
    const auto until = get_wait_deadline(wait_ms, deadline);
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (auto status = check_available(); !status.ok()) {
                co_return status;
            }
            upstream_changes result;
            result.revision = revision_;
            auto next = std::upper_bound(history_.begin(), history_.end(), after,
                                         [](std::uint64_t revision, const numbered_change& numbered) {
                                             return revision < numbered.revision;
                                         });
            for (; next != history_.end() && result.changes.size() < max_watched_changes; ++next) {
                result.changes.push_back(next->change);
                result.revision = next->revision;
            }
            if (!result.changes.empty()) {
                co_return result;
            }
        }
        if (!co_await changed_.wait(seen, until)) {
            co_return upstream_changes{{}, after};
        }
    }
}

awaitable<absl::StatusOr<evacuation_changes>> memory_registry::list_evacuations(time_point deadline) {
    if (auto status = co_await check_evacuation_call(deadline); !status.ok()) {
        co_return status;
    }
    std::lock_guard lock(mutex_);
    evacuation_changes result;
    result.revision = revision_;
    for (const auto& domain : evacuations_) {
        result.changes.push_back({domain, false});
    }
    co_return result;
}

awaitable<absl::StatusOr<evacuation_changes>> memory_registry::watch_evacuations(std::uint64_t after,
                                                                                 std::int64_t wait_ms,
                                                                                 time_point deadline) {
    const auto until = get_wait_deadline(wait_ms, deadline);
    if (auto status = co_await check_evacuation_call(deadline); !status.ok()) {
        co_return status;
    }
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (auto status = check_available(); !status.ok()) {
                co_return status;
            }
            if (after < discarded_evacuations_) {
                co_return make_error(error_kind::version_conflict, "the history has been discarded");
            }
            evacuation_changes result;
            result.revision = revision_;
            for (const auto& numbered : evacuation_history_) {
                if (numbered.revision > after) {
                    result.changes.push_back(numbered.change);
                }
            }
            if (!result.changes.empty()) {
                co_return result;
            }
        }
        if (!co_await changed_.wait(seen, until)) {
            co_return evacuation_changes{{}, after};
        }
    }
}

awaitable<absl::StatusOr<config_state>> memory_registry::get_config(time_point) {
    std::lock_guard lock(mutex_);
    if (auto status = check_available(); !status.ok()) {
        co_return status;
    }
    co_return config_state{config_, revision_};
}

awaitable<absl::StatusOr<config_state>> memory_registry::watch_config(std::uint64_t after,
                                                                      std::int64_t wait_ms,
                                                                      time_point deadline) {
    const auto until = get_wait_deadline(wait_ms, deadline);
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (auto status = check_available(); !status.ok()) {
                co_return status;
            }
            if (config_revision_ > after) {
                co_return config_state{config_, revision_};
            }
        }
        if (!co_await changed_.wait(seen, until)) {
            co_return config_state{nullptr, after};
        }
    }
}

absl::Status memory_registry::check_available() const {
    return is_down_ ? make_error(error_kind::store_unavailable, "the registry is unavailable")
                    : absl::OkStatus();
}

awaitable<absl::Status> memory_registry::check_evacuation_call(time_point deadline) {
    bool is_lost = false;
    absl::Status status;
    {
        std::lock_guard lock(mutex_);
        ++evacuation_calls_;
        is_lost = loses_evacuation_responses_;
        status = check_available();
    }
    if (is_lost) {
        co_await wait_until(deadline);
        status = make_error(error_kind::store_unavailable, "the response was lost");
    }
    co_return status;
}

void memory_registry::set_evacuation(const failure_domain_id& domain, bool is_evacuated) {
    {
        std::lock_guard lock(mutex_);
        if (is_evacuated) {
            evacuations_.insert(domain);
        } else {
            evacuations_.erase(domain);
        }
        evacuation_history_.push_back({++revision_, {domain, !is_evacuated}});
    }
    changed_.notify_all();
}

void memory_registry::lose_evacuation_responses(bool is_lost) {
    std::lock_guard lock(mutex_);
    loses_evacuation_responses_ = is_lost;
}

void memory_registry::discard_evacuation_history() {
    {
        std::lock_guard lock(mutex_);
        evacuation_history_.clear();
        discarded_evacuations_ = ++revision_;
    }
    changed_.notify_all();
}

std::uint64_t memory_registry::get_evacuation_calls() const {
    std::lock_guard lock(mutex_);
    return evacuation_calls_;
}

void memory_registry::set_down(bool is_down) {
    {
        std::lock_guard lock(mutex_);
        is_down_ = is_down;
    }
    changed_.notify_all();
}

void memory_registry::set_upstream(const upstream_entry& entry) {
    {
        std::lock_guard lock(mutex_);
        entries_[entry.id] = entry;
        history_.push_back({++revision_, {entry.id, entry}});
    }
    changed_.notify_all();
}

void memory_registry::remove_upstream(const upstream_id& id) {
    {
        std::lock_guard lock(mutex_);
        entries_.erase(id);
        history_.push_back({++revision_, {id, std::nullopt}});
    }
    changed_.notify_all();
}

void memory_registry::set_config(std::shared_ptr<const dispatch_config> config) {
    {
        std::lock_guard lock(mutex_);
        config_ = std::move(config);
        config_revision_ = ++revision_;
    }
    changed_.notify_all();
}

}  // namespace jacinthvane
