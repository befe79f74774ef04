#include "process/cpu_limit_plan.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Headroom below this cannot be distinguished from measurement errors.
constexpr double negligible_headroom_cost = 0.06;
// Avoids a division by the size of a task that requests no processors.
constexpr double min_share = 1e-6;

// Headroom that the best-effort tasks cost the latency-critical task.
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

}  // namespace

bool has_negligible_interference(const tail_model& model, image_index serving,
                                 const best_effort_use& best_effort_task) {
    return model.get_weight(serving, best_effort_task.image) * best_effort_task.share <
           negligible_headroom_cost;
}

double take_cpu_limit(const tail_model& model, best_effort_room& room, const best_effort_use& task) {
    double cpu_limit = std::min(1.0, std::max(room.free_share, 0.0) / std::max(task.share, min_share));
    for (const auto& serving : room.servings) {
        if (!has_negligible_interference(model, serving.image, task)) {
            const double cost = model.get_weight(serving.image, task.image) * task.share;
            cpu_limit = std::min(cpu_limit, std::max(serving.budget, 0.0) / cost);
        }
    }
    for (auto& serving : room.servings) {
        if (!has_negligible_interference(model, serving.image, task)) {
            serving.budget -= cpu_limit * model.get_weight(serving.image, task.image) * task.share;
        }
    }
    room.free_share -= cpu_limit * task.share;
    return cpu_limit;
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

}  // namespace jacinthvane
