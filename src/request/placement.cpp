#include "request/placement.hpp"

#include <algorithm>
#include <limits>

namespace jacinthvane {

namespace {

double get_share(std::int64_t part, std::int64_t total) {
    return total <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(total);
}

// Returns the largest committed share of any resource after the size is added.
double get_committed_share(const candidate& one, const resource_vector& size) {
    const auto after = one.committed + size;
    return std::max({get_share(after.get_processors_milli(), one.limit.get_processors_milli()),
                     get_share(after.get_memory_mb(), one.limit.get_memory_mb()),
                     get_share(after.get_accelerators(), one.limit.get_accelerators()),
                     get_share(after.get_slots(), one.limit.get_slots())});
}

double get_class_weight(const placement_weights& weights, task_class work_class) {
    return work_class == task_class::urgent ? weights.tail : weights.throughput;
}

double get_loss(const interference_aware_placement& policy, const interference_snapshot& interference,
                const placement_request& request, const candidate& one) {
    double new_task_effect = 0;
    double urgent_effect = 0;
    double batch_effect = 0;
    for (const auto& group : one.neighbors) {
        const auto& pair = interference.get_pair(request.kind, group.kind);
        new_task_effect += group.count * pair.effect;
        (group.work_class == task_class::urgent ? urgent_effect : batch_effect) +=
            group.count * pair.reverse_effect;
    }
    const double neighbor_loss = policy.weights.tail * policy.urgent_neighbor_share * urgent_effect +
                                 policy.weights.throughput * batch_effect;
    const double new_task_weight = get_class_weight(policy.weights, request.work_class);
    const auto used_memory = policy.is_measured_memory_counted
                                 ? std::max(one.committed.get_memory_mb(), one.measured_memory_mb)
                                 : one.committed.get_memory_mb();
    const double memory = get_share(used_memory + request.size.get_memory_mb(), one.limit.get_memory_mb());
    double loss = policy.committed * get_committed_share(one, request.size) +
                  policy.weights.evictions * memory * memory;
    if (policy.is_new_task_effect_counted) {
        loss += new_task_weight * new_task_effect;
    }
    if (policy.is_neighbor_effect_counted) {
        loss += neighbor_loss;
    }
    return loss;
}

template <typename Score>
std::optional<placement_choice> choose_lowest(const std::vector<const candidate*>& samples, Score get_score) {
    std::optional<placement_choice> best;
    const candidate* best_sample = nullptr;
    double best_score = std::numeric_limits<double>::infinity();
    for (const auto* sample : samples) {
        const double score = get_score(*sample);
        if (best_sample == nullptr || score < best_score) {
            best_sample = sample;
            best_score = score;
        }
    }
    if (best_sample != nullptr) {
        best = placement_choice{.upstream = best_sample->upstream, .score = best_score};
    }
    return best;
}

struct chooser {
    const candidate_index& index;
    const interference_snapshot& interference;
    const placement_request& request;
    random_source& random;

    std::vector<const candidate*> sample(std::size_t count) const {
        std::vector<const candidate*> samples;
        samples.reserve(count);
        index.sample(request.size, count, random, samples);
        return samples;
    }

    std::optional<placement_choice> choose_least_committed(std::size_t count) const {
        return choose_lowest(sample(count),
                             [&](const candidate& one) { return get_committed_share(one, request.size); });
    }

    std::optional<placement_choice> operator()(const random_placement&) const {
        return choose_lowest(sample(1), [](const candidate&) { return 0.0; });
    }

    std::optional<placement_choice> operator()(const least_committed_placement& policy) const {
        return choose_least_committed(policy.samples);
    }

    std::optional<placement_choice> operator()(const two_choices_placement&) const {
        return choose_least_committed(2);
    }

    std::optional<placement_choice> operator()(const interference_aware_placement& policy) const {
        const bool is_exploring =
            request.work_class == task_class::batch && pick_unit(random) < policy.exploration;
        if (is_exploring) {
            return (*this)(random_placement{});
        }
        return choose_lowest(sample(policy.samples), [&](const candidate& one) {
            return get_loss(policy, interference, request, one);
        });
    }
};

}  // namespace

std::optional<placement_choice> choose(const placement_policy& policy, const candidate_index& index,
                                       const interference_snapshot& interference,
                                       const placement_request& request, random_source& random) {
    return std::visit(chooser{index, interference, request, random}, policy);
}

}  // namespace jacinthvane
