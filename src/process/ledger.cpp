#include "process/ledger.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// The number of random draws before the levels are searched in order.
constexpr int max_random_draws = 16;
// Clamps the leases of a list: a longer lease is a fault of the upstream and could overflow the clock's type.
constexpr std::int64_t max_lease_ms = 24LL * 60 * 60 * 1000;
constexpr std::size_t not_indexed = static_cast<std::size_t>(-1);

resource_vector take_lower(const resource_vector& left, const resource_vector& right) {
    return {std::min(left.get_processors_milli(), right.get_processors_milli()),
            std::min(left.get_memory_mb(), right.get_memory_mb()),
            std::min(left.get_accelerators(), right.get_accelerators()),
            std::min(left.get_slots(), right.get_slots())};
}

absl::Status make_not_committed(const upstream_id& upstream, const task_id& task, std::uint64_t generation) {
    return make_error(error_kind::not_found, "generation " + std::to_string(generation) + " of task " +
                                                 task.get() + " is not committed on upstream " +
                                                 upstream.get());
}

}  // namespace

struct ledger::upstream_entry {
    upstream_record record;
    ledger_limit limit;
    bool is_open = false;
    bool is_leaving = false;
    std::vector<commitment> commitments;
    resource_vector committed;
    // The part of committed that counts within the reservation of a previous owner.
    resource_vector within_reservation;
    resource_vector room;
    bool is_in_accelerator_index = false;
    std::size_t level = not_indexed;
    std::size_t position = 0;
};

ledger::ledger(std::uint64_t random_seed) : random_(random_seed) {}

ledger::~ledger() = default;

void ledger::put_upstream(const upstream_record& record, const ledger_limit& limit) {
    std::lock_guard lock(mutex_);
    auto& slot = upstreams_[record.upstream];
    if (!slot) {
        slot = std::make_unique<upstream_entry>();
    }
    slot->record = record;
    slot->limit = limit;
    slot->is_leaving = slot->is_leaving || record.is_leaving;
    update_room(*slot);
}

void ledger::set_open(const upstream_id& upstream, bool is_open) {
    std::lock_guard lock(mutex_);
    if (auto* entry = find_entry(upstream)) {
        entry->is_open = is_open;
        update_room(*entry);
    }
}

void ledger::set_limit(const upstream_id& upstream, const ledger_limit& limit) {
    std::lock_guard lock(mutex_);
    if (auto* entry = find_entry(upstream)) {
        entry->limit = limit;
        update_room(*entry);
    }
}

void ledger::set_share(std::int64_t share_permille) {
    std::lock_guard lock(mutex_);
    for (auto& [id, entry] : upstreams_) {
        if (entry->limit.share_permille != share_permille) {
            entry->limit.share_permille = share_permille;
            update_room(*entry);
        }
    }
}

void ledger::set_leaving(const upstream_id& upstream, bool is_leaving) {
    std::lock_guard lock(mutex_);
    if (auto* entry = find_entry(upstream)) {
        entry->is_leaving = is_leaving;
        update_room(*entry);
    }
}

void ledger::drop_upstream(const upstream_id& upstream) {
    std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end()) {
        return;
    }
    auto& entry = *found->second;
    remove_from_index(entry);
    for (const auto& held : entry.commitments) {
        const auto indexed = tasks_.find(held.task);
        if (indexed != tasks_.end() && indexed->second == &entry) {
            tasks_.erase(indexed);
        }
    }
    upstreams_.erase(found);
}

absl::Status ledger::commit(const upstream_id& upstream, const commitment& entry) {
    std::lock_guard lock(mutex_);
    auto* target = find_entry(upstream);
    if (target == nullptr) {
        return make_error(error_kind::not_found,
                          "upstream " + upstream.get() + " is not owned by this process");
    }
    const auto held = tasks_.find(entry.task);
    if (held != tasks_.end()) {
        return make_error(
            error_kind::version_conflict,
            "task " + entry.task.get() + " is already committed on " + held->second->record.upstream.get());
    }
    if (entry.size.is_negative() || !entry.size.is_within(target->room)) {
        return make_error(error_kind::no_capacity, "upstream " + upstream.get() + " has room for " +
                                                       target->room.to_string() + ", task " +
                                                       entry.task.get() + " needs " + entry.size.to_string());
    }
    add_commitment(*target, entry);
    return absl::OkStatus();
}

absl::Status ledger::confirm(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                             time_point now) {
    std::lock_guard lock(mutex_);
    auto* held = find_commitment(upstream, task, generation);
    if (held == nullptr) {
        return make_not_committed(upstream, task, generation);
    }
    held->state = commitment_state::confirmed;
    held->changed_at = now;
    return absl::OkStatus();
}

absl::Status ledger::mark_unconfirmed(const upstream_id& upstream, const task_id& task,
                                      std::uint64_t generation, time_point now) {
    std::lock_guard lock(mutex_);
    auto* held = find_commitment(upstream, task, generation);
    if (held == nullptr) {
        return make_not_committed(upstream, task, generation);
    }
    held->state = commitment_state::unconfirmed;
    held->changed_at = now;
    return absl::OkStatus();
}

absl::Status ledger::extend_lease(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                                  time_point lease_until) {
    std::lock_guard lock(mutex_);
    auto* held = find_commitment(upstream, task, generation);
    if (held == nullptr) {
        return make_not_committed(upstream, task, generation);
    }
    held->lease_until = std::max(held->lease_until, lease_until);
    return absl::OkStatus();
}

absl::Status ledger::extend_start(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                                  time_point start_until, time_point lease_until) {
    std::lock_guard lock(mutex_);
    auto* held = find_commitment(upstream, task, generation);
    if (held == nullptr) {
        return make_not_committed(upstream, task, generation);
    }
    held->start_until = std::max(held->start_until, start_until);
    held->lease_until = std::max(held->lease_until, lease_until);
    return absl::OkStatus();
}

absl::Status ledger::release(const upstream_id& upstream, const task_id& task, std::uint64_t generation) {
    std::lock_guard lock(mutex_);
    auto* entry = find_entry(upstream);
    auto* held = find_commitment(upstream, task, generation);
    if (entry == nullptr || held == nullptr) {
        return make_not_committed(upstream, task, generation);
    }
    erase_commitment(*entry, static_cast<std::size_t>(held - entry->commitments.data()));
    update_room(*entry);
    return absl::OkStatus();
}

list_outcome ledger::apply_list(const upstream_id& upstream, const upstream_list& list, time_point sent_at,
                                time_point received_at, std::chrono::milliseconds clock_error) {
    list_outcome outcome;
    const auto& tasks = list.tasks;
    const auto get_lease_until = [&](const listed_task& task) {
        const auto left_ms = std::clamp<std::int64_t>(task.lease_deadline_ms - list.now_ms, 0, max_lease_ms);
        return received_at + std::chrono::milliseconds(left_ms) + clock_error;
    };
    std::lock_guard lock(mutex_);
    auto* entry = find_entry(upstream);
    if (entry == nullptr) {
        return outcome;
    }
    std::unordered_map<std::string, const listed_task*> listed;
    listed.reserve(tasks.size());
    for (const auto& task : tasks) {
        listed.emplace(task.task.get() + '/' + std::to_string(task.generation), &task);
    }
    for (std::size_t position = entry->commitments.size(); position-- > 0;) {
        auto& held = entry->commitments[position];
        const auto found = listed.find(held.task.get() + '/' + std::to_string(held.generation));
        if (found == listed.end()) {
            const bool is_proof = held.state != commitment_state::reserved && held.changed_at < sent_at &&
                                  (held.state == commitment_state::confirmed || held.start_until < sent_at);
            if (is_proof) {
                auto& removed =
                    held.state == commitment_state::confirmed ? outcome.vanished : outcome.never_started;
                removed.push_back(held);
                erase_commitment(*entry, position);
            }
            continue;
        }
        const auto& listed_entry = *found->second;
        listed.erase(found);
        if (!is_occupying(listed_entry.state)) {
            outcome.ended.push_back({listed_entry, held.work_class});
            erase_commitment(*entry, position);
            continue;
        }
        held.lease_until = std::max(held.lease_until, get_lease_until(listed_entry));
        if (held.state == commitment_state::unconfirmed) {
            held.state = commitment_state::confirmed;
            held.changed_at = received_at;
        }
    }
    for (const auto& task : tasks) {
        if (!listed.contains(task.task.get() + '/' + std::to_string(task.generation))) {
            continue;
        }
        if (!is_occupying(task.state)) {
            outcome.ended.push_back({task, std::nullopt});
            continue;
        }
        commitment adopted{.task = task.task,
                           .generation = task.generation,
                           .kind = task.kind,
                           .size = task.size,
                           .work_class = task_class::batch,
                           .state = commitment_state::confirmed,
                           .is_of_reserved_holder = entry->limit.reserved_permille > 0 &&
                                                    task.owner == entry->limit.reserved_holder,
                           .changed_at = received_at,
                           .start_until = received_at,
                           .lease_until = get_lease_until(task)};
        outcome.adopted.push_back(adopted);
        add_commitment(*entry, adopted);
    }
    update_room(*entry);
    return outcome;
}

std::vector<commitment> ledger::remove_expired(const upstream_id& upstream, time_point now) {
    std::vector<commitment> expired;
    std::lock_guard lock(mutex_);
    auto* entry = find_entry(upstream);
    if (entry == nullptr) {
        return expired;
    }
    for (std::size_t position = entry->commitments.size(); position-- > 0;) {
        const auto& held = entry->commitments[position];
        if (held.state != commitment_state::reserved && held.lease_until < now) {
            expired.push_back(held);
            erase_commitment(*entry, position);
        }
    }
    update_room(*entry);
    return expired;
}

std::vector<placement_candidate> ledger::sample_candidates(const resource_vector& size, std::size_t count) {
    std::vector<placement_candidate> chosen;
    std::lock_guard lock(mutex_);
    std::vector<const room_index*> indexes{&accelerator_room_};
    if (size.get_accelerators() == 0) {
        indexes.insert(indexes.begin(), &plain_room_);
    }
    const auto lowest = get_level(size);
    for (const auto* index : indexes) {
        std::size_t total = 0;
        for (std::size_t level = lowest; level < room_levels; ++level) {
            total += index->levels[level].size();
        }
        std::vector<const upstream_entry*> picked;
        const auto consider = [&](const upstream_entry* entry) {
            if (size.is_within(entry->room) &&
                std::find(picked.begin(), picked.end(), entry) == picked.end()) {
                picked.push_back(entry);
            }
        };
        const auto wanted = std::min(count - chosen.size(), total);
        for (int draw = 0; draw < max_random_draws && picked.size() < wanted; ++draw) {
            auto offset = std::uniform_int_distribution<std::size_t>(0, total - 1)(random_);
            for (std::size_t level = lowest; level < room_levels; ++level) {
                const auto& entries = index->levels[level];
                if (offset < entries.size()) {
                    consider(entries[offset]);
                    break;
                }
                offset -= entries.size();
            }
        }
        // If no draw found an upstream, searches from the largest room down, so that a task is refused only
        // if it fits on no upstream.
        for (std::size_t level = room_levels; level-- > lowest && picked.empty();) {
            for (const auto* entry : index->levels[level]) {
                consider(entry);
                if (!picked.empty()) {
                    break;
                }
            }
        }
        for (const auto* entry : picked) {
            chosen.push_back(describe(*entry));
        }
        // Upstreams with free accelerators take tasks that need none only if no other upstream has room.
        if (!chosen.empty()) {
            break;
        }
    }
    return chosen;
}

std::optional<upstream_id> ledger::find_task(const task_id& task) const {
    std::lock_guard lock(mutex_);
    const auto found = tasks_.find(task);
    if (found == tasks_.end()) {
        return std::nullopt;
    }
    return found->second->record.upstream;
}

std::optional<commitment> ledger::get_commitment(const upstream_id& upstream, const task_id& task) const {
    std::lock_guard lock(mutex_);
    const auto* entry = find_entry(upstream);
    if (entry == nullptr) {
        return std::nullopt;
    }
    const auto found = std::find_if(entry->commitments.begin(), entry->commitments.end(),
                                    [&](const auto& held) { return held.task == task; });
    if (found == entry->commitments.end()) {
        return std::nullopt;
    }
    return *found;
}

std::vector<commitment> ledger::get_commitments(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    const auto* entry = find_entry(upstream);
    return entry == nullptr ? std::vector<commitment>{} : entry->commitments;
}

std::vector<upstream_id> ledger::get_upstreams() const {
    std::lock_guard lock(mutex_);
    std::vector<upstream_id> ids;
    ids.reserve(upstreams_.size());
    for (const auto& [id, entry] : upstreams_) {
        ids.push_back(id);
    }
    return ids;
}

resource_vector ledger::get_committed(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    const auto* entry = find_entry(upstream);
    return entry == nullptr ? resource_vector{} : entry->committed;
}

free_summary ledger::get_free_summary() const {
    std::lock_guard lock(mutex_);
    free_summary summary;
    summary.upstreams = upstreams_.size();
    for (const auto& [id, entry] : upstreams_) {
        summary.total = summary.total + entry->record.size;
        summary.committed = summary.committed + entry->committed;
        if (entry->level != not_indexed) {
            ++summary.upstreams_with_room;
            summary.largest_room_processors_milli =
                std::max(summary.largest_room_processors_milli, entry->room.get_processors_milli());
        }
    }
    return summary;
}

std::size_t ledger::get_memory_bytes() const {
    std::lock_guard lock(mutex_);
    // A node of an unordered_map holds a pointer and the hash next to the pair.
    constexpr std::size_t node_overhead = 2 * sizeof(void*);
    constexpr std::size_t heap_overhead = 16;
    const auto get_text_bytes = [](const std::string& text) {
        return text.capacity() > 15 ? text.capacity() + 1 + heap_overhead : 0;
    };
    std::size_t bytes = sizeof(*this) + (upstreams_.bucket_count() + tasks_.bucket_count()) * sizeof(void*);
    for (const auto& [id, entry] : upstreams_) {
        bytes += node_overhead + sizeof(std::pair<upstream_id, std::unique_ptr<upstream_entry>>) +
                 sizeof(upstream_entry) + 2 * heap_overhead + sizeof(void*);
        bytes += 2 * get_text_bytes(id.get()) + get_text_bytes(entry->record.address);
        bytes += entry->commitments.capacity() * sizeof(commitment) + heap_overhead;
        for (const auto& held : entry->commitments) {
            bytes += 2 * get_text_bytes(held.task.get()) + get_text_bytes(held.kind.get());
            bytes += node_overhead + heap_overhead + sizeof(std::pair<task_id, upstream_entry*>);
        }
    }
    return bytes;
}

std::size_t ledger::get_level(const resource_vector& room) {
    return std::min<std::size_t>(
        room_levels - 1,
        static_cast<std::size_t>(std::max<std::int64_t>(0, room.get_processors_milli())) / 1000);
}

ledger::upstream_entry* ledger::find_entry(const upstream_id& upstream) const {
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : found->second.get();
}

commitment* ledger::find_commitment(const upstream_id& upstream, const task_id& task,
                                    std::uint64_t generation) {
    auto* entry = find_entry(upstream);
    if (entry == nullptr) {
        return nullptr;
    }
    const auto found =
        std::find_if(entry->commitments.begin(), entry->commitments.end(),
                     [&](const auto& held) { return held.task == task && held.generation == generation; });
    return found == entry->commitments.end() ? nullptr : &*found;
}

void ledger::update_room(upstream_entry& entry) {
    const auto& size = entry.record.size;
    const auto by_share = size.scale_permille(entry.limit.share_permille) - entry.committed;
    const auto by_reservation = size - size.scale_permille(entry.limit.reserved_permille) -
                                (entry.committed - entry.within_reservation);
    entry.room = take_lower(by_share, by_reservation);
    remove_from_index(entry);
    const bool has_room =
        entry.is_open && !entry.is_leaving && !entry.room.is_negative() && entry.room.get_slots() > 0;
    if (!has_room) {
        entry.room = resource_vector{0, 0, 0, -1};
        return;
    }
    entry.is_in_accelerator_index = entry.room.get_accelerators() > 0;
    auto& index = entry.is_in_accelerator_index ? accelerator_room_ : plain_room_;
    entry.level = get_level(entry.room);
    auto& entries = index.levels[entry.level];
    entry.position = entries.size();
    entries.push_back(&entry);
}

void ledger::remove_from_index(upstream_entry& entry) {
    if (entry.level == not_indexed) {
        return;
    }
    auto& index = entry.is_in_accelerator_index ? accelerator_room_ : plain_room_;
    auto& entries = index.levels[entry.level];
    entries[entry.position] = entries.back();
    entries[entry.position]->position = entry.position;
    entries.pop_back();
    entry.level = not_indexed;
}

void ledger::erase_commitment(upstream_entry& entry, std::size_t position) {
    const auto held = entry.commitments[position];
    entry.committed = entry.committed - held.size;
    if (held.is_of_reserved_holder) {
        entry.within_reservation = entry.within_reservation - held.size;
    }
    entry.commitments[position] = entry.commitments.back();
    entry.commitments.pop_back();
    const auto indexed = tasks_.find(held.task);
    const bool is_other_generation_left =
        std::any_of(entry.commitments.begin(), entry.commitments.end(),
                    [&](const auto& other) { return other.task == held.task; });
    if (indexed != tasks_.end() && indexed->second == &entry && !is_other_generation_left) {
        tasks_.erase(indexed);
    }
}

void ledger::add_commitment(upstream_entry& entry, const commitment& added) {
    entry.commitments.push_back(added);
    entry.committed = entry.committed + added.size;
    if (added.is_of_reserved_holder) {
        entry.within_reservation = entry.within_reservation + added.size;
    }
    tasks_.insert_or_assign(added.task, &entry);
    update_room(entry);
}

placement_candidate ledger::describe(const upstream_entry& entry) {
    placement_candidate candidate{.upstream = entry.record.upstream,
                                  .rack = entry.record.rack,
                                  .size = entry.record.size,
                                  .committed = entry.committed,
                                  .room = entry.room,
                                  .neighbors = {}};
    candidate.neighbors.reserve(entry.commitments.size());
    for (const auto& held : entry.commitments) {
        candidate.neighbors.push_back({held.kind, held.work_class});
    }
    return candidate;
}

}  // namespace jacinthvane
