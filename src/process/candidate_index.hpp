#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/ids.hpp"
#include "process/interference_snapshot.hpp"
#include "process/random_source.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// The tasks of one kind and class that run on an upstream.
struct neighbor_group {
    kind_index kind = 0;
    task_class work_class = task_class::urgent;
    std::uint16_t count = 0;

    bool operator==(const neighbor_group&) const = default;
};

// The data of one upstream that a placement decision needs. limit is the amount that its owner may commit.
struct candidate {
    upstream_id upstream;
    rack_id rack;
    resource_vector limit;
    resource_vector committed;
    std::vector<neighbor_group> neighbors;
    // The memory in use as last reported. It can exceed the declared memory.
    std::int64_t measured_memory_mb = 0;

    resource_vector get_free() const { return limit - committed; }
    bool operator==(const candidate&) const = default;
};

// Groups upstreams by their free resources, so that a decision examines a few upstreams that have room and
// never all of them. Not thread-safe: the index belongs to the table of commitments and is used under that
// table's lock.
class candidate_index {
public:
    // Adds the upstream or replaces its entry.
    void update(candidate value);
    void remove(const upstream_id& upstream);

    const candidate* find(const upstream_id& upstream) const;
    std::size_t get_count() const { return positions_.size(); }

    // Appends up to count different upstreams that have room for the size, each equally likely. The pointers
    // are valid until the next change. An upstream with room can be missed only if at least
    // max_scanned other upstreams in the searched groups have no room.
    void sample(const resource_vector& size, std::size_t count, random_source& random,
                std::vector<const candidate*>& result) const;

    // Returns true if the size would fit on at least one upstream if nothing were committed there.
    bool fits_when_empty(const resource_vector& size) const;

    // Bounds the scan, so that a decision takes less than 10 us when nearly all upstreams are full.
    static constexpr std::size_t max_scanned = 256;

private:
    static constexpr std::size_t level_count = 8;
    static constexpr std::size_t accelerator_level_count = 4;
    static constexpr std::size_t group_count = level_count * level_count * accelerator_level_count;
    static constexpr std::uint32_t no_group = group_count;

    struct entry {
        candidate value;
        std::uint32_t group = no_group;
        std::uint32_t group_position = 0;
    };

    static std::uint32_t get_group(const resource_vector& free);
    void join_group(std::uint32_t position);
    void leave_group(std::uint32_t position);

    std::vector<entry> entries_;
    std::vector<std::uint32_t> free_positions_;
    std::unordered_map<upstream_id, std::uint32_t> positions_;
    std::array<std::vector<std::uint32_t>, group_count> groups_;
};

}  // namespace jacinthvane
