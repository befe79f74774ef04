#pragma once

#include <vector>

#include "process/tail_model.hpp"

namespace jacinthvane {

// A latency-critical task, and the headroom that it may lose to the best-effort tasks on the same upstream.
struct serving_budget {
    image_index image = 0;
    double budget = 0;

    bool operator==(const serving_budget&) const = default;
};

// Computes CPU limits that prevent the best-effort tasks of an upstream from raising the tail latency of a
// latency-critical task above its target. The budgets of all latency-critical tasks are respected. For each
// of them, the best-effort tasks that interfere with it are limited by the same factor, and those with
// negligible interference are not limited. Stopping the tasks with the highest cost instead would starve
// single tasks of each job and delay the entire job. free_share is the share of the upstream's processors
// that the other tasks leave unused. Returns the CPU limit of each best-effort task, as a fraction of full
// speed from 0 to 1.
std::vector<double> plan_cpu_limits(const tail_model& model, const std::vector<serving_budget>& servings,
                                    const std::vector<best_effort_use>& best_effort_tasks, double free_share);

// A latency-critical task, and the headroom that the best-effort tasks on its upstream cost it at full speed,
// without those of negligible interference.
struct serving_load {
    serving_budget serving;
    double interference = 0;

    bool operator==(const serving_load&) const = default;
};

std::vector<serving_load> measure_interference(const tail_model& model,
                                               const std::vector<serving_budget>& servings,
                                               const std::vector<best_effort_use>& best_effort_tasks);

// Returns the CPU limit that plan_cpu_limits gives a best-effort task that is added, as long as all
// best-effort tasks together request no more processors than are free. At a limit of 1, the limits of the
// other tasks stay as they are. Much cheaper than a new plan.
double get_added_cpu_limit(const tail_model& model, const std::vector<serving_load>& loads,
                           const best_effort_use& added);

// Returns the processors that the best-effort tasks use under these CPU limits, as a share of the upstream's
// processors.
double get_planned_use(const std::vector<best_effort_use>& best_effort_tasks,
                       const std::vector<double>& cpu_limits, double free_share);

// Returns true if the headroom that the best-effort task costs the latency-critical task is negligible.
bool has_negligible_interference(const tail_model& model, image_index serving,
                                 const best_effort_use& best_effort_task);

}  // namespace jacinthvane
