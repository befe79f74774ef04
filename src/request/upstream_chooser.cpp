#include "request/upstream_chooser.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Returns the largest of the committed shares of processors, memory and slots, in thousandths.
std::int64_t get_committed_permille(const placement_candidate& candidate) {
    const auto get_permille = [](std::int64_t committed, std::int64_t size) {
        return size > 0 ? committed * 1000 / size : 0;
    };
    return std::max(
        {get_permille(candidate.committed.get_processors_milli(), candidate.size.get_processors_milli()),
         get_permille(candidate.committed.get_memory_mb(), candidate.size.get_memory_mb()),
         get_permille(candidate.committed.get_slots(), candidate.size.get_slots())});
}

struct choose_visitor {
    const task_start& start;
    std::span<const placement_candidate> candidates;

    std::optional<upstream_id> operator()(const least_committed_chooser&) const {
        const auto least =
            std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
                return get_committed_permille(left) < get_committed_permille(right);
            });
        if (least == candidates.end()) {
            return std::nullopt;
        }
        return least->upstream;
    }

    std::optional<upstream_id> operator()(const custom_chooser& chooser) const {
        return chooser.choose(start, candidates);
    }
};

}  // namespace

std::size_t get_candidate_count(const upstream_chooser& chooser) {
    return std::visit([](const auto& policy) { return policy.candidates; }, chooser);
}

std::optional<upstream_id> choose_upstream(const upstream_chooser& chooser, const task_start& start,
                                           std::span<const placement_candidate> candidates) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    return std::visit(choose_visitor{start, candidates}, chooser);
}

}  // namespace jacinthvane
