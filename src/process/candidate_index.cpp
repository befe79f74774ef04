#include "process/candidate_index.hpp"

#include <algorithm>
#include <utility>

namespace jacinthvane {

namespace {

// Lower bounds of the levels. Task sizes are mostly powers of two, so most sizes are equal to a bound, and
// either all upstreams of a group have room for the task or none of them.
constexpr std::array<std::int64_t, 8> processor_levels = {0, 250, 500, 1000, 2000, 4000, 8000, 16000};
constexpr std::array<std::int64_t, 8> memory_levels = {0, 512, 1024, 2048, 4096, 8192, 16384, 32768};
constexpr std::array<std::int64_t, 4> accelerator_levels = {0, 1, 2, 4};

template <std::size_t Count>
std::uint32_t get_level(const std::array<std::int64_t, Count>& levels, std::int64_t amount) {
    const auto above = std::upper_bound(levels.begin(), levels.end(), amount);
    return above == levels.begin() ? 0 : static_cast<std::uint32_t>(above - levels.begin() - 1);
}

constexpr std::size_t prefetch_batch_size = 16;

// The members of one group. Sampling treats the groups that can fit a task as one concatenated list; end is
// the position in that list after the last member of this group.
struct member_list {
    const std::vector<std::uint32_t>* members;
    std::size_t end;
};

}  // namespace

std::uint32_t candidate_index::get_group(const resource_vector& free) {
    if (free.is_negative() || free.get_slots() == 0) {
        return no_group;
    }
    const auto processors = get_level(processor_levels, free.get_processors_milli());
    const auto memory = get_level(memory_levels, free.get_memory_mb());
    const auto accelerators = get_level(accelerator_levels, free.get_accelerators());
    return static_cast<std::uint32_t>((accelerators * level_count + memory) * level_count + processors);
}

void candidate_index::join_group(std::uint32_t position) {
    entry& joined = entries_[position];
    joined.group = get_group(joined.value.get_free());
    if (joined.group == no_group) {
        return;
    }
    auto& members = groups_[joined.group];
    joined.group_position = static_cast<std::uint32_t>(members.size());
    members.push_back(position);
}

void candidate_index::leave_group(std::uint32_t position) {
    entry& left = entries_[position];
    if (left.group == no_group) {
        return;
    }
    auto& members = groups_[left.group];
    members[left.group_position] = members.back();
    entries_[members[left.group_position]].group_position = left.group_position;
    members.pop_back();
    left.group = no_group;
}

void candidate_index::update(candidate value) {
    const auto found = positions_.find(value.upstream);
    if (found != positions_.end()) {
        const auto position = found->second;
        entry& known = entries_[position];
        known.value = std::move(value);
        if (get_group(known.value.get_free()) != known.group) {
            leave_group(position);
            join_group(position);
        }
        return;
    }
    auto position = static_cast<std::uint32_t>(entries_.size());
    if (free_positions_.empty()) {
        entries_.emplace_back();
    } else {
        position = free_positions_.back();
        free_positions_.pop_back();
    }
    positions_.emplace(value.upstream, position);
    entries_[position].value = std::move(value);
    join_group(position);
}

void candidate_index::remove(const upstream_id& upstream) {
    const auto found = positions_.find(upstream);
    if (found == positions_.end()) {
        return;
    }
    const auto position = found->second;
    leave_group(position);
    entries_[position].value = {};
    free_positions_.push_back(position);
    positions_.erase(found);
}

const candidate* candidate_index::find(const upstream_id& upstream) const {
    const auto found = positions_.find(upstream);
    return found == positions_.end() ? nullptr : &entries_[found->second].value;
}

void candidate_index::sample(const resource_vector& size, std::size_t count, random_source& random,
                             std::vector<const candidate*>& result) const {
    const auto first_processors = get_level(processor_levels, size.get_processors_milli());
    const auto first_memory = get_level(memory_levels, size.get_memory_mb());
    const auto first_accelerators = get_level(accelerator_levels, size.get_accelerators());
    std::array<member_list, group_count> lists;
    std::size_t list_count = 0;
    std::size_t total = 0;
    for (std::size_t accelerators = first_accelerators; accelerators < accelerator_level_count;
         ++accelerators) {
        for (std::size_t memory = first_memory; memory < level_count; ++memory) {
            for (std::size_t processors = first_processors; processors < level_count; ++processors) {
                const auto& members =
                    groups_[(accelerators * level_count + memory) * level_count + processors];
                if (members.empty()) {
                    continue;
                }
                total += members.size();
                lists[list_count++] = {&members, total};
            }
        }
    }
    if (total == 0) {
        return;
    }
    const auto get_member = [&](std::size_t at) {
        const auto* list =
            std::upper_bound(lists.data(), lists.data() + list_count, at,
                             [](std::size_t value, const member_list& one) { return value < one.end; });
        const std::size_t begin = list->end - list->members->size();
        return &entries_[(*list->members)[at - begin]].value;
    };
    const auto first_result = result.size();
    const auto take = [&](std::size_t at) {
        const candidate* member = get_member(at);
        const bool is_new = std::find(result.begin() + static_cast<std::ptrdiff_t>(first_result),
                                      result.end(), member) == result.end();
        if (is_new && size.is_within(member->get_free())) {
            result.push_back(member);
        }
    };
    // With few members, a scan from a random offset visits each of them once. With many members, independent
    // picks rarely repeat.
    const bool is_small = total <= 2 * count;
    if (!is_small) {
        // Prefetches the picked entries before they are read: with 7,400 upstreams, most entries are not in
        // the processor's cache.
        std::array<std::uint32_t, prefetch_batch_size> picks;
        const auto batch = std::min(count, prefetch_batch_size);
        for (std::size_t tries = 0; tries < 3 * count && result.size() < first_result + count;
             tries += batch) {
            for (std::size_t pick = 0; pick < batch; ++pick) {
                picks[pick] = pick_below(random, static_cast<std::uint32_t>(total));
                const auto* member = get_member(picks[pick]);
                __builtin_prefetch(member);
                __builtin_prefetch(&member->limit);
                __builtin_prefetch(&member->neighbors);
            }
            for (std::size_t pick = 0; pick < batch && result.size() < first_result + count; ++pick) {
                take(picks[pick]);
            }
        }
        for (std::size_t at = first_result; at < result.size(); ++at) {
            __builtin_prefetch(result[at]->neighbors.data());
        }
    }
    if (result.size() > first_result) {
        return;
    }
    const auto offset = pick_below(random, static_cast<std::uint32_t>(total));
    const auto scanned = std::min(total, max_scanned);
    for (std::size_t step = 0; step < scanned && result.size() < first_result + count; ++step) {
        take((offset + step) % total);
    }
}

bool candidate_index::fits_when_empty(const resource_vector& size) const {
    return std::any_of(entries_.begin(), entries_.end(),
                       [&](const entry& one) { return size.is_within(one.value.limit); });
}

}  // namespace jacinthvane
