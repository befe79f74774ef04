#pragma once

#include <vector>

#include "process/tail_model.hpp"

namespace jacinthvane {

// A serving task and the headroom that it may lose to the fillers beside it.
struct serving_budget {
    image_index image = 0;
    double budget = 0;

    bool operator==(const serving_budget&) const = default;
};

// Answers fillers that together would push a serving task over its target. The budgets of all serving tasks
// of an upstream are kept, and the fillers that cost most for what they get done are slowed down first: one
// filler that stands still can be moved, while several that crawl finish late all together. free_share is
// what the other tasks leave of the processors. Returns the pace of each filler, from 0 to 1.
std::vector<double> plan_cpu_limits(const tail_model& model, const std::vector<serving_budget>& servings,
                                    const std::vector<best_effort_use>& best_effort_tasks, double free_share);

// Processors that the fillers use at these paces, as a share of the upstream's.
double get_planned_use(const std::vector<best_effort_use>& best_effort_tasks,
                       const std::vector<double>& cpu_limits, double free_share);

// True if the filler costs the serving task so little that it need not be considered.
bool is_harmless(const tail_model& model, image_index serving, const best_effort_use& best_effort_task);

}  // namespace jacinthvane
