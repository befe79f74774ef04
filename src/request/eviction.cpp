#include "request/eviction.hpp"

#include <algorithm>
#include <cstddef>

namespace jacinthvane {

namespace {

// Sets of up to this size are searched exhaustively if there are at most this many candidates. Larger sets
// are rare and are built greedily.
constexpr std::size_t full_search_size = 3;
constexpr std::size_t full_search_tasks = 32;

// Penalty for each earlier eviction of a task, in processor seconds.
constexpr double eviction_penalty_cpu_s = 60;

// Penalty for writing a checkpoint, which takes time but loses no work.
constexpr double checkpoint_penalty_cpu_s = 5;

// Memory that a task may use, in thousandths of the memory that it declared.
constexpr std::int64_t allowed_use_permille = 1100;
// Above this use of its memory, an upstream may run out of memory, which would end all of its tasks.
constexpr std::int64_t critical_permille = 950;
// How long a step gets to take effect before the next one is taken.
constexpr std::chrono::seconds step_grace{10};

double get_loss(const evictable_task& task, time_point now) {
    const auto processors = std::max(0.1, static_cast<double>(task.size.get_processors_milli()) / 1000.0);
    const auto since = task.checkpointed_at.value_or(task.started_at);
    const double at_risk = std::max(0.0, std::chrono::duration<double>(now - since).count()) * processors;
    const double work = task.can_checkpoint ? std::min(at_risk, checkpoint_penalty_cpu_s) : at_risk;
    return work + eviction_penalty_cpu_s * task.evictions;
}

struct candidate_task {
    const evictable_task* task = nullptr;
    double loss = 0;
};

struct search {
    const std::vector<candidate_task>& candidates;
    const resource_vector& needed;
    std::vector<std::size_t> chosen;
    std::vector<std::size_t> best;
    double best_loss = 0;

    // Tries all sets that add the missing number of candidates to the chosen ones.
    void extend(std::size_t first, std::size_t missing, const resource_vector& free, double loss) {
        if (missing == 0) {
            if (needed.is_within(free) && (best.empty() || loss < best_loss)) {
                best = chosen;
                best_loss = loss;
            }
            return;
        }
        for (std::size_t next = first; next + missing <= candidates.size(); ++next) {
            chosen.push_back(next);
            extend(next + 1, missing - 1, free + candidates[next].task->size, loss + candidates[next].loss);
            chosen.pop_back();
        }
    }
};

eviction_plan make_plan(const std::vector<candidate_task>& candidates,
                        const std::vector<std::size_t>& chosen) {
    eviction_plan plan;
    for (const auto position : chosen) {
        plan.tasks.push_back(candidates[position].task->task);
        plan.loss += candidates[position].loss;
    }
    return plan;
}

// Adds the tasks with the lowest loss until the needed size fits, then removes those that are not needed.
std::optional<eviction_plan> choose_one_by_one(const std::vector<candidate_task>& candidates,
                                               const resource_vector& free, const resource_vector& needed) {
    std::vector<std::size_t> chosen;
    auto after = free;
    for (std::size_t next = 0; next < candidates.size() && !needed.is_within(after); ++next) {
        after = after + candidates[next].task->size;
        chosen.push_back(next);
    }
    if (!needed.is_within(after)) {
        return std::nullopt;
    }
    for (std::size_t index = chosen.size(); index-- > 0;) {
        const auto without = after - candidates[chosen[index]].task->size;
        if (needed.is_within(without)) {
            after = without;
            chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return make_plan(candidates, chosen);
}

}  // namespace

std::optional<eviction_plan> choose_evictions(const std::vector<evictable_task>& tasks,
                                              const resource_vector& free, const resource_vector& needed,
                                              time_point now) {
    if (needed.is_within(free)) {
        return eviction_plan{};
    }
    std::vector<candidate_task> candidates;
    for (const auto& task : tasks) {
        if (task.work_class == task_class::batch && task.evictions < eviction_limit) {
            candidates.push_back({.task = &task, .loss = get_loss(task, now)});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate_task& left, const candidate_task& right) { return left.loss < right.loss; });
    if (candidates.size() <= full_search_tasks) {
        search all{.candidates = candidates, .needed = needed, .chosen = {}, .best = {}};
        for (std::size_t size = 1; size <= full_search_size && all.best.empty(); ++size) {
            all.extend(0, size, free, 0.0);
        }
        if (!all.best.empty()) {
            return make_plan(candidates, all.best);
        }
    }
    return choose_one_by_one(candidates, free, needed);
}

overuse_step decide_overuse(const memory_use& use, time_point now) {
    if (use.used_mb * 1000 <= use.declared_mb * allowed_use_permille) {
        return overuse_step::none;
    }
    const bool is_critical = use.upstream_used_mb * 1000 > use.upstream_mb * critical_permille;
    const bool is_waiting = use.last_step != overuse_step::none && now - use.last_step_at < step_grace;
    switch (use.last_step) {
        case overuse_step::none:
            return overuse_step::throttle;
        case overuse_step::throttle:
            if (is_waiting && !is_critical) {
                return overuse_step::none;
            }
            if (use.can_checkpoint) {
                return overuse_step::checkpoint;
            }
            // While the upstream has memory to spare, a throttled task may finish.
            return is_critical ? overuse_step::stop : overuse_step::none;
        case overuse_step::checkpoint:
            // The task gets time to write its checkpoint even when memory is critical, since a stop before
            // that would lose the work.
            return !is_waiting && is_critical ? overuse_step::stop : overuse_step::none;
        case overuse_step::stop:
            return overuse_step::none;
    }
    return overuse_step::none;
}

}  // namespace jacinthvane
