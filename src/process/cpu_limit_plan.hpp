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

// Room on an upstream that is left for further best-effort tasks: the budgets of its latency-critical tasks,
// and the processors that nobody uses, as a share of all.
struct best_effort_room {
    std::vector<serving_budget> servings;
    double free_share = 0;

    bool operator==(const best_effort_room&) const = default;
};

// Returns the CPU limit that the room allows the best-effort task, as a fraction of full speed from 0 to 1,
// and takes what it uses from the room. With it the task raises no tail latency above its target. Called for
// one task after another in the order of their jobs' ranks, it gives the first ones full speed and leaves the
// rest to the others: with equal limits all jobs would be slow, and end too late, when only some of them need
// to be. Giving way in the order of the costs instead would starve single tasks of each job and delay the
// entire job.
double take_cpu_limit(const tail_model& model, best_effort_room& room, const best_effort_use& task);

// A latency-critical task, and the headroom that the best-effort tasks on its upstream cost it, without those
// of negligible interference.
struct serving_load {
    serving_budget serving;
    double interference = 0;

    bool operator==(const serving_load&) const = default;
};

std::vector<serving_load> measure_interference(const tail_model& model,
                                               const std::vector<serving_budget>& servings,
                                               const std::vector<best_effort_use>& best_effort_tasks);

// Returns true if the headroom that the best-effort task costs the latency-critical task is negligible.
bool has_negligible_interference(const tail_model& model, image_index serving,
                                 const best_effort_use& best_effort_task);

}  // namespace jacinthvane
