#include "process/pace_plan.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Headroom that is too little to tell from the errors of the figures.
constexpr double negligible_cost = 0.06;

double get_total_share(const std::vector<filler_use>& fillers, const std::vector<double>& paces) {
    double total = 0;
    for (std::size_t i = 0; i < fillers.size(); ++i) {
        total += fillers[i].share * paces[i];
    }
    return total;
}

// Slows down all fillers with a part in it, in the same measure, until the serving task keeps its budget.
void keep_budget(const tail_model& model, const serving_budget& serving,
                 const std::vector<filler_use>& fillers, double crowding, std::vector<double>& paces) {
    double total = 0;
    for (const auto& filler : fillers) {
        if (!is_harmless(model, serving.image, filler)) {
            total += model.get_weight(serving.image, filler.image) * filler.share * crowding;
        }
    }
    const double budget = std::max(serving.budget, 0.0);
    if (total <= budget) {
        return;
    }
    for (std::size_t i = 0; i < fillers.size(); ++i) {
        if (!is_harmless(model, serving.image, fillers[i])) {
            paces[i] = std::min(paces[i], budget / total);
        }
    }
}

}  // namespace

bool is_harmless(const tail_model& model, image_index serving, const filler_use& filler) {
    return model.get_weight(serving, filler.image) * filler.share < negligible_cost;
}

std::vector<double> plan_paces(const tail_model& model, const std::vector<serving_budget>& servings,
                               const std::vector<filler_use>& fillers, double free_share) {
    std::vector<double> paces(fillers.size(), 1.0);
    for (const auto& serving : servings) {
        // Fillers that ask for more than is free get less, and disturb less.
        const double total = get_total_share(fillers, paces);
        const double crowding = total > free_share ? std::max(free_share, 0.0) / total : 1.0;
        keep_budget(model, serving, fillers, crowding, paces);
    }
    return paces;
}

double get_planned_use(const std::vector<filler_use>& fillers, const std::vector<double>& paces,
                       double free_share) {
    return std::min(get_total_share(fillers, paces), std::max(free_share, 0.0));
}

}  // namespace jacinthvane
