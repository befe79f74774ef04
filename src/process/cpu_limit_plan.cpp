#include "process/cpu_limit_plan.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace jacinthvane {

namespace {

// Headroom below this cannot be distinguished from measurement errors.
constexpr double negligible_headroom_cost = 0.06;
// Part of a budget that is divided equally. Without it, single tasks starve and delay their entire job.
constexpr double equal_part = 0.25;
// Sums of the same costs in another order differ by less.
constexpr double rounding_error = 1e-9;

double get_total_share(const std::vector<best_effort_use>& best_effort_tasks,
                       const std::vector<double>& cpu_limits) {
    double total = 0;
    for (std::size_t i = 0; i < best_effort_tasks.size(); ++i) {
        total += best_effort_tasks[i].share * cpu_limits[i];
    }
    return total;
}

// Headroom that the best-effort tasks cost the latency-critical task at full speed.
double get_interference(const tail_model& model, image_index serving,
                        const std::vector<best_effort_use>& best_effort_tasks) {
    double total = 0;
    for (const auto& best_effort_task : best_effort_tasks) {
        if (!has_negligible_interference(model, serving, best_effort_task)) {
            total += model.get_weight(serving, best_effort_task.image) * best_effort_task.share;
        }
    }
    return total;
}

// Best-effort tasks that request more processors than are free get less than they request, so they also
// interfere less.
double get_contention_factor(const std::vector<best_effort_use>& best_effort_tasks,
                             const std::vector<double>& cpu_limits, double free_share) {
    const double total = get_total_share(best_effort_tasks, cpu_limits);
    return total > free_share ? std::max(free_share, 0.0) / total : 1.0;
}

// Returns the factor by which all best-effort tasks that interfere with the latency-critical task are slowed
// down so that their total headroom cost stays within its budget; 1 if it is within the budget at full speed.
double get_common_factor(const tail_model& model, const serving_budget& serving,
                         const std::vector<best_effort_use>& best_effort_tasks, double contention_factor) {
    const double total = get_interference(model, serving.image, best_effort_tasks) * contention_factor;
    const double budget = std::max(serving.budget, 0.0);
    return total <= budget ? 1.0 : budget / total;
}

void limit_by_factor(const tail_model& model, const serving_budget& serving,
                     const std::vector<best_effort_use>& best_effort_tasks, double factor,
                     std::vector<double>& cpu_limits) {
    for (std::size_t i = 0; i < best_effort_tasks.size(); ++i) {
        if (!has_negligible_interference(model, serving.image, best_effort_tasks[i])) {
            cpu_limits[i] = std::min(cpu_limits[i], factor);
        }
    }
}

// Headroom that the best-effort tasks cost the latency-critical task under these CPU limits.
double get_limited_interference(const tail_model& model, const serving_budget& serving,
                                const std::vector<best_effort_use>& best_effort_tasks,
                                const std::vector<double>& cpu_limits, double free_share) {
    double total = 0;
    for (std::size_t i = 0; i < best_effort_tasks.size(); ++i) {
        if (!has_negligible_interference(model, serving.image, best_effort_tasks[i])) {
            const double weight = model.get_weight(serving.image, best_effort_tasks[i].image);
            total += weight * best_effort_tasks[i].share * cpu_limits[i];
        }
    }
    return total * get_contention_factor(best_effort_tasks, cpu_limits, free_share);
}

// A best-effort task among those that share a budget.
struct sharing_task {
    std::size_t index = 0;
    double cost = 0;
    double weight = 0;
};

// Raises the CPU limits of the tasks from the equal part of the common factor by their weights, until the
// budget is used. The tasks with the largest weights reach full speed first; what they leave is divided among
// the others.
void divide_by_weights(std::vector<sharing_task> tasks, double factor, double budget,
                       std::vector<double>& cpu_limits) {
    std::sort(tasks.begin(), tasks.end(),
              [](const sharing_task& left, const sharing_task& right) { return left.weight > right.weight; });
    const double first = equal_part * factor;
    const double max_rise = 1.0 - first;
    double remaining = (1.0 - equal_part) * budget;
    double weighted_cost = 0;
    for (const auto& task : tasks) {
        weighted_cost += task.cost * task.weight;
    }
    for (const auto& task : tasks) {
        const double rise = std::min(task.weight * std::max(remaining, 0.0) / weighted_cost, max_rise);
        cpu_limits[task.index] = std::min(cpu_limits[task.index], first + rise);
        remaining -= task.cost * rise;
        weighted_cost -= task.cost * task.weight;
    }
}

void limit_by_weights(const tail_model& model, const serving_budget& serving,
                      const std::vector<best_effort_use>& best_effort_tasks,
                      const std::vector<double>& weights, double factor, std::vector<double>& cpu_limits) {
    if (factor >= 1.0) {
        return;
    }
    std::vector<sharing_task> tasks;
    for (std::size_t i = 0; i < best_effort_tasks.size(); ++i) {
        if (!has_negligible_interference(model, serving.image, best_effort_tasks[i])) {
            const double weight = model.get_weight(serving.image, best_effort_tasks[i].image);
            tasks.push_back({i, weight * best_effort_tasks[i].share, weights[i]});
        }
    }
    const double total = get_interference(model, serving.image, best_effort_tasks);
    divide_by_weights(std::move(tasks), factor, factor * total, cpu_limits);
}

}  // namespace

bool has_negligible_interference(const tail_model& model, image_index serving,
                                 const best_effort_use& best_effort_task) {
    return model.get_weight(serving, best_effort_task.image) * best_effort_task.share <
           negligible_headroom_cost;
}

std::vector<double> plan_cpu_limits(const tail_model& model, const std::vector<serving_budget>& servings,
                                    const std::vector<best_effort_use>& best_effort_tasks,
                                    double free_share) {
    std::vector<double> cpu_limits(best_effort_tasks.size(), 1.0);
    for (const auto& serving : servings) {
        const double contention_factor = get_contention_factor(best_effort_tasks, cpu_limits, free_share);
        const double factor = get_common_factor(model, serving, best_effort_tasks, contention_factor);
        limit_by_factor(model, serving, best_effort_tasks, factor, cpu_limits);
    }
    return cpu_limits;
}

std::vector<double> plan_weighted_cpu_limits(const tail_model& model,
                                             const std::vector<serving_budget>& servings,
                                             const std::vector<best_effort_use>& best_effort_tasks,
                                             const std::vector<double>& weights, double free_share) {
    std::vector<double> plain(best_effort_tasks.size(), 1.0);
    auto weighted = plain;
    for (const auto& serving : servings) {
        const double contention_factor = get_contention_factor(best_effort_tasks, plain, free_share);
        const double factor = get_common_factor(model, serving, best_effort_tasks, contention_factor);
        limit_by_factor(model, serving, best_effort_tasks, factor, plain);
        limit_by_weights(model, serving, best_effort_tasks, weights, factor, weighted);
    }
    const bool is_equal =
        std::adjacent_find(weights.begin(), weights.end(), std::not_equal_to<>()) == weights.end();
    const bool is_allowed = std::all_of(servings.begin(), servings.end(), [&](const serving_budget& serving) {
        const auto get_cost = [&](const std::vector<double>& cpu_limits) {
            return get_limited_interference(model, serving, best_effort_tasks, cpu_limits, free_share);
        };
        return get_cost(weighted) <= std::max(serving.budget, get_cost(plain)) + rounding_error;
    });
    return is_equal || !is_allowed ? plain : weighted;
}

std::vector<serving_load> measure_interference(const tail_model& model,
                                               const std::vector<serving_budget>& servings,
                                               const std::vector<best_effort_use>& best_effort_tasks) {
    std::vector<serving_load> loads;
    loads.reserve(servings.size());
    for (const auto& serving : servings) {
        loads.push_back({serving, get_interference(model, serving.image, best_effort_tasks)});
    }
    return loads;
}

double get_added_cpu_limit(const tail_model& model, const std::vector<serving_load>& loads,
                           const best_effort_use& added) {
    double cpu_limit = 1.0;
    for (const auto& load : loads) {
        if (has_negligible_interference(model, load.serving.image, added)) {
            continue;
        }
        const double total =
            load.interference + model.get_weight(load.serving.image, added.image) * added.share;
        const double budget = std::max(load.serving.budget, 0.0);
        if (total > budget) {
            cpu_limit = std::min(cpu_limit, budget / total);
        }
    }
    return cpu_limit;
}

double get_planned_use(const std::vector<best_effort_use>& best_effort_tasks,
                       const std::vector<double>& cpu_limits, double free_share) {
    return std::min(get_total_share(best_effort_tasks, cpu_limits), std::max(free_share, 0.0));
}

}  // namespace jacinthvane
