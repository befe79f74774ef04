#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "process/clock.hpp"

namespace jacinthvane {

struct upstream_ledger;

// Kinds of tasks whose placement costs start from different figures of an upstream.
enum class placement_kind : std::uint8_t {
    // A task whose processors are reserved.
    reserved,
    // A latency-critical task.
    serving,
    best_effort,
};
constexpr std::size_t placement_kind_count = 3;

// The least cost of a placement on an upstream, by kind of task. What the step adds to it depends on the step
// and is never negative.
using cost_bounds = std::array<double, placement_kind_count>;

// Orders the usable upstreams of a cell by the least cost of a placement, and knows which of them have
// changed, so that a decision looks at the cheapest and at the changed ones and not at all of them. Changes
// are marked when they happen and take effect with update. Not safe for concurrent use.
class upstream_index {
public:
    using slot_number = std::uint32_t;

    // An upstream in the order of its least cost. Equal costs are ordered by slot.
    struct ranked_slot {
        double cost = 0;
        slot_number slot = 0;

        auto operator<=>(const ranked_slot&) const = default;
    };
    using ranking = std::set<ranked_slot>;

    // Adds an upstream, which stays at its address until it is removed. It is not usable before an update.
    slot_number add(upstream_ledger& upstream);
    void remove(slot_number slot);
    upstream_ledger& get_upstream(slot_number slot) const { return *slots_[slot].upstream; }
    bool is_usable(slot_number slot) const { return slots_[slot].bounds.has_value(); }

    void mark_changed(slot_number slot);
    // Returns the upstreams that were marked since the last call, each once.
    std::vector<slot_number> take_marked();
    // Sets the least costs of a marked upstream, or nothing if no task may start there, and counts a change.
    void update(slot_number slot, const std::optional<cost_bounds>& bounds);

    const ranking& get_ranking(placement_kind kind) const {
        return rankings_[static_cast<std::size_t>(kind)];
    }
    // Number of the last change.
    std::uint64_t get_revision() const { return revision_; }
    // Whether the upstream is usable and has not changed after the revision.
    bool is_usable_since(slot_number slot, std::uint64_t revision) const {
        return is_usable(slot) && slots_[slot].revision <= revision;
    }
    // Appends the usable upstreams that have changed after the revision, each once.
    void collect_changed_since(std::uint64_t revision, std::vector<slot_number>& changed) const;

private:
    struct slot {
        upstream_ledger* upstream = nullptr;
        std::optional<cost_bounds> bounds;
        // Number of its last change.
        std::uint64_t revision = 0;
        bool is_marked = false;
    };
    struct change {
        std::uint64_t revision = 0;
        slot_number slot = 0;
    };

    void set_bounds(slot_number slot, const std::optional<cost_bounds>& bounds);
    // Drops changes that were followed by another one of the same upstream.
    void compact_changes();
    bool is_last_change(const change& entry) const { return slots_[entry.slot].revision == entry.revision; }

    std::vector<slot> slots_;
    std::vector<slot_number> free_slots_;
    std::vector<slot_number> marked_;
    std::array<ranking, placement_kind_count> rankings_;
    // In ascending order of their revisions.
    std::vector<change> changes_;
    std::uint64_t revision_ = 0;
};

}  // namespace jacinthvane
