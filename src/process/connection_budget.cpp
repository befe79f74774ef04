#include "process/connection_budget.hpp"

#include <mutex>
#include <utility>

namespace jacinthvane {

namespace {

// The coroutine, the socket and the first read buffer of a connection. 1,200 connections that wait for a
// request hold 5 kB each.
constexpr std::size_t fixed_bytes = 8U << 10U;

// Returns three quarters of a limit. No port gets more than that if there are several: requests that are
// being answered are not evicted, and those of one port must not shut the others.
std::size_t get_group_limit(std::size_t limit, std::size_t groups) {
    return groups > 1 ? limit - limit / 4 : limit;
}

// Returns the connection of a group that has been in a phase for the longest time, or null.
template <typename Group>
connection_budget::handle find_first(const Group& group, connection_phase phase) {
    const auto& members = group.members.at(static_cast<std::size_t>(phase));
    return members.empty() ? nullptr : members.front();
}

}  // namespace

class connection_budget::connection {
public:
    std::size_t group_number = 0;
    connection_phase phase = connection_phase::idle;
    time_point entered_at;
    std::size_t bytes = fixed_bytes;
    bool is_attached = true;
    bool is_evicted = false;
    std::function<void()> evict;
    // Position in the list of its phase, while it is attached.
    std::list<handle>::iterator position;
};

connection_budget::connection_budget(connection_limits limits, std::shared_ptr<rejection_log> log)
    : limits_(limits), log_(std::move(log)) {}

std::size_t connection_budget::add_group() {
    std::lock_guard lock(mutex_);
    groups_.emplace_back();
    return groups_.size() - 1;
}

connection_budget::handle connection_budget::add(std::size_t group_number, std::function<void()> evict) {
    auto added = std::make_shared<connection>();
    added->group_number = group_number;
    added->evict = std::move(evict);
    added->entered_at = std::chrono::steady_clock::now();
    std::vector<eviction> evictions;
    bool has_room = false;
    {
        std::lock_guard lock(mutex_);
        has_room = make_room_locked(fixed_bytes, 1, added, evictions);
        if (has_room) {
            auto& group = groups_.at(group_number);
            auto& idle = group.members.at(static_cast<std::size_t>(connection_phase::idle));
            added->position = idle.insert(idle.end(), added);
            ++group.connections;
            group.bytes += fixed_bytes;
            ++connections_;
            used_bytes_ += fixed_bytes;
        }
    }
    finish(evictions);
    if (!has_room) {
        log_->record(rejection::connection_refused, added->entered_at);
        return nullptr;
    }
    return added;
}

bool connection_budget::resize(const handle& changed, std::size_t bytes) {
    const auto wanted = fixed_bytes + bytes;
    std::vector<eviction> evictions;
    bool has_room = true;
    {
        std::lock_guard lock(mutex_);
        if (changed->is_evicted) {
            return false;
        }
        if (wanted > changed->bytes) {
            has_room = make_room_locked(wanted - changed->bytes, 0, changed, evictions);
        }
        if (has_room) {
            auto& group = groups_.at(changed->group_number);
            group.bytes = group.bytes - changed->bytes + wanted;
            used_bytes_ = used_bytes_ - changed->bytes + wanted;
            changed->bytes = wanted;
        }
    }
    finish(evictions);
    if (!has_room) {
        log_->record(rejection::request_memory, std::chrono::steady_clock::now());
    }
    return has_room;
}

bool connection_budget::enter(const handle& changed, connection_phase phase) {
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    if (changed->is_evicted) {
        return false;
    }
    auto& members = groups_.at(changed->group_number).members;
    auto& target = members.at(static_cast<std::size_t>(phase));
    target.splice(target.end(), members.at(static_cast<std::size_t>(changed->phase)), changed->position);
    changed->phase = phase;
    changed->entered_at = now;
    return true;
}

void connection_budget::remove(const handle& removed) {
    std::lock_guard lock(mutex_);
    if (removed->is_attached) {
        detach_locked(*removed);
    }
}

bool connection_budget::is_evicted(const handle& asked) const {
    std::lock_guard lock(mutex_);
    return asked->is_evicted;
}

std::size_t connection_budget::get_used_bytes() const {
    std::lock_guard lock(mutex_);
    return used_bytes_;
}

std::size_t connection_budget::get_connections() const {
    std::lock_guard lock(mutex_);
    return connections_;
}

namespace {

// Returns the connection of a group that has been sending its request or reading its response for the longest
// time, or null.
template <typename Group>
connection_budget::handle find_slowest(const Group& group) {
    const auto reading = find_first(group, connection_phase::reading);
    const auto writing = find_first(group, connection_phase::writing);
    if (!reading || !writing) {
        return reading ? reading : writing;
    }
    return reading->entered_at <= writing->entered_at ? reading : writing;
}

}  // namespace

bool connection_budget::make_room_locked(std::size_t bytes, std::size_t connections, const handle& asking,
                                         std::vector<eviction>& evictions) {
    const auto& own = groups_.at(asking->group_number);
    const auto max_own_bytes = get_group_limit(limits_.max_bytes, groups_.size());
    const auto max_own_connections = get_group_limit(limits_.max_connections, groups_.size());
    // One that never fits must not evict the others.
    const auto held = connections > 0 ? 0 : asking->bytes;
    if (held + bytes > max_own_bytes) {
        return false;
    }
    while (true) {
        const bool is_own_full =
            own.bytes + bytes > max_own_bytes || own.connections + connections > max_own_connections;
        const bool is_full =
            used_bytes_ + bytes > limits_.max_bytes || connections_ + connections > limits_.max_connections;
        if (!is_own_full && !is_full) {
            return true;
        }
        auto victim = is_own_full ? find_first(own, connection_phase::idle) : find_idle_locked();
        const auto kind = victim ? rejection::evicted_idle : rejection::evicted_slow;
        if (!victim) {
            victim = is_own_full ? find_slowest(own) : find_slowest_locked();
        }
        // The slowest connection gets no room at the expense of faster ones.
        if (!victim || victim == asking) {
            return false;
        }
        victim->is_evicted = true;
        detach_locked(*victim);
        evictions.push_back({std::move(victim), kind});
    }
}

connection_budget::handle connection_budget::find_idle_locked() const {
    const group* largest = nullptr;
    for (const auto& candidate : groups_) {
        if (find_first(candidate, connection_phase::idle) &&
            (largest == nullptr || candidate.connections > largest->connections)) {
            largest = &candidate;
        }
    }
    return largest == nullptr ? nullptr : find_first(*largest, connection_phase::idle);
}

connection_budget::handle connection_budget::find_slowest_locked() const {
    const group* largest = nullptr;
    for (const auto& candidate : groups_) {
        if (find_slowest(candidate) && (largest == nullptr || candidate.bytes > largest->bytes)) {
            largest = &candidate;
        }
    }
    return largest == nullptr ? nullptr : find_slowest(*largest);
}

void connection_budget::detach_locked(connection& detached) {
    auto& group = groups_.at(detached.group_number);
    --group.connections;
    group.bytes -= detached.bytes;
    --connections_;
    used_bytes_ -= detached.bytes;
    detached.is_attached = false;
    group.members.at(static_cast<std::size_t>(detached.phase)).erase(detached.position);
}

void connection_budget::finish(const std::vector<eviction>& evictions) {
    for (const auto& [victim, kind] : evictions) {
        log_->record(kind, std::chrono::steady_clock::now());
        victim->evict();
    }
}

}  // namespace jacinthvane
