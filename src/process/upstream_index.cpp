#include "process/upstream_index.hpp"

#include <algorithm>
#include <utility>

namespace jacinthvane {

namespace {

// Changes are compacted when there are this many times as many as upstreams.
constexpr std::size_t max_changes_per_slot = 8;

}  // namespace

upstream_index::slot_number upstream_index::add(upstream_ledger& upstream) {
    slot_number number = static_cast<slot_number>(slots_.size());
    if (free_slots_.empty()) {
        slots_.emplace_back();
    } else {
        number = free_slots_.back();
        free_slots_.pop_back();
    }
    slots_[number].upstream = &upstream;
    mark_changed(number);
    return number;
}

void upstream_index::remove(slot_number number) {
    set_bounds(number, std::nullopt);
    std::erase(marked_, number);
    slots_[number] = slot();
    free_slots_.push_back(number);
}

void upstream_index::mark_changed(slot_number number) {
    if (!slots_[number].is_marked) {
        slots_[number].is_marked = true;
        marked_.push_back(number);
    }
}

std::vector<upstream_index::slot_number> upstream_index::take_marked() {
    for (const auto number : marked_) {
        slots_[number].is_marked = false;
    }
    return std::exchange(marked_, {});
}

void upstream_index::update(slot_number number, const std::optional<cost_bounds>& bounds) {
    set_bounds(number, bounds);
    slots_[number].revision = ++revision_;
    changes_.push_back({revision_, number});
    if (changes_.size() > slots_.size() * max_changes_per_slot) {
        compact_changes();
    }
}

void upstream_index::set_bounds(slot_number number, const std::optional<cost_bounds>& bounds) {
    auto& current = slots_[number].bounds;
    for (std::size_t kind = 0; kind < placement_kind_count; ++kind) {
        if (current && bounds && (*current)[kind] == (*bounds)[kind]) {
            continue;
        }
        if (current) {
            rankings_[kind].erase({(*current)[kind], number});
        }
        if (bounds) {
            rankings_[kind].insert({(*bounds)[kind], number});
        }
    }
    current = bounds;
}

void upstream_index::collect_changed_since(std::uint64_t revision, std::vector<slot_number>& changed) const {
    for (auto entry = changes_.rbegin(); entry != changes_.rend() && entry->revision > revision; ++entry) {
        if (is_last_change(*entry) && is_usable(entry->slot)) {
            changed.push_back(entry->slot);
        }
    }
}

void upstream_index::compact_changes() {
    std::erase_if(changes_, [&](const change& entry) { return !is_last_change(entry); });
}

}  // namespace jacinthvane
