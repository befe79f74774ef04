#include "process/cpu_limit_plan.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Headroom below this cannot be distinguished from measurement errors.
constexpr double negligible_headroom_cost = 0.06;

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

// Lowers the CPU limits of all best-effort tasks that interfere with the latency-critical task by the same
// factor, so that their total headroom cost stays within its budget.
void limit_to_budget(const tail_model& model, const serving_budget& serving,
                     const std::vector<best_effort_use>& best_effort_tasks, double contention_factor,
                     std::vector<double>& cpu_limits) {
    const double total = get_interference(model, serving.image, best_effort_tasks) * contention_factor;
    const double budget = std::max(serving.budget, 0.0);
    if (total <= budget) {
        return;
    }
    for (std::size_t i = 0; i < best_effort_tasks.size(); ++i) {
        if (!has_negligible_interference(model, serving.image, best_effort_tasks[i])) {
            cpu_limits[i] = std::min(cpu_limits[i], budget / total);
        }
    }
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
        // Best-effort tasks that request more processors than are free get less than they request, so they
        // also interfere less.
        const double total = get_total_share(best_effort_tasks, cpu_limits);
        const double contention_factor = total > free_share ? std::max(free_share, 0.0) / total : 1.0;
        limit_to_budget(model, serving, best_effort_tasks, contention_factor, cpu_limits);
    }
    return cpu_limits;
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
