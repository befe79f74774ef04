#include "request/placement_service.hpp"

#include <chrono>
#include <mutex>
#include <string>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// Bounds the memory for tasks whose end is never reported, for example those of slices that were handed over.
constexpr std::size_t max_placed = 100'000;

run_outcome get_outcome(const absl::Status& status) {
    if (status.ok()) {
        return run_outcome::succeeded;
    }
    switch (get_error_kind(status)) {
        case error_kind::upstream_failed:
        case error_kind::upstream_unreachable:
        case error_kind::upstream_lost:
            return run_outcome::failed;
        default:
            // A bad request, a passed deadline or a lack of room does not count against the upstream.
            return run_outcome::caller_fault;
    }
}

}  // namespace

std::optional<upstream_id> placement_service::choose(const task_start& start,
                                                     std::span<const placement_candidate> candidates) {
    const auto now = std::chrono::steady_clock::now();
    candidate_index index;
    for (const auto& source : candidates) {
        // All upstreams of a process count as one failure domain, so that the share of ejected upstreams is
        // computed over all of them.
        ejections_.add(source.upstream, failure_domain_id());
        if (ejections_.get_state(source.upstream) == ejection_state::closed ||
            ejections_.try_admit(source.upstream, now)) {
            index.update(describe(source));
        }
    }
    placement_request request;
    request.kind = model_.get_kind_index(start.spec.kind, start.spec.work_class);
    request.work_class = start.spec.work_class;
    request.size = start.spec.size;
    const auto snapshot = model_.get_snapshot();
    std::optional<placement_choice> choice;
    {
        std::lock_guard lock(mutex_);
        choice = jacinthvane::choose(policy_, index, *snapshot, request, random_);
    }
    if (!choice) {
        return std::nullopt;
    }
    model_.record_start(choice->upstream, start.spec.task, request.kind, now);
    std::lock_guard lock(mutex_);
    if (placed_.size() < max_placed) {
        placed_.insert_or_assign({start.spec.task, start.generation}, placed_task{choice->upstream, now});
    }
    return choice->upstream;
}

candidate placement_service::describe(const placement_candidate& source) {
    candidate result;
    result.upstream = source.upstream;
    result.rack = source.rack;
    result.limit = source.committed + source.room;
    result.committed = source.committed;
    std::map<std::pair<kind_index, task_class>, std::uint16_t> counts;
    for (const auto& neighbor : source.neighbors) {
        ++counts[{model_.get_kind_index(neighbor.kind, neighbor.work_class), neighbor.work_class}];
    }
    for (const auto& [kind, count] : counts) {
        result.neighbors.push_back({.kind = kind.first, .work_class = kind.second, .count = count});
    }
    return result;
}

void placement_service::note_end(const task_id& task, std::uint64_t generation, const absl::Status& status) {
    placed_task placed;
    {
        std::lock_guard lock(mutex_);
        const auto found = placed_.find({task, generation});
        if (found == placed_.end()) {
            return;
        }
        placed = found->second;
        placed_.erase(found);
    }
    const auto now = std::chrono::steady_clock::now();
    model_.record_end(placed.upstream, task, now);
    ejections_.record_outcome(placed.upstream, get_outcome(status), placed.started_at, now);
}

void placement_service::note_usage(const usage_report& report) {
    const slowdown_report slowdown{.upstream = report.upstream,
                                   .task = report.sample.task,
                                   .at = report.at,
                                   .slowdown = static_cast<double>(report.sample.slowdown_permille) / 1000.0};
    model_.record_report(slowdown, std::chrono::steady_clock::now());
}

void placement_service::set_weights(const placement_weights& weights) {
    std::lock_guard lock(mutex_);
    policy_.weights = weights;
}

std::size_t placement_service::get_running_count() const {
    std::lock_guard lock(mutex_);
    return placed_.size();
}

}  // namespace jacinthvane
