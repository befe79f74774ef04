#include "experiment/fake_fleet.hpp"

#include <algorithm>

namespace jacinthvane::experiment {

namespace {

constexpr double contention_threshold = 0.4;

// Returns the contention cost of one shared resource at the given load, quadratic up to its capacity and
// linear beyond. Both formulas give the same cost at a load of 1.
double get_contention(double load) {
    if (load <= contention_threshold) {
        return 0.0;
    }
    if (load <= 1.0) {
        return 2.0 * (load - contention_threshold) * (load - contention_threshold);
    }
    return 2.0 * (1.0 - contention_threshold) * (1.0 - contention_threshold) + 1.5 * (load - 1.0);
}

}  // namespace

const std::array<kind_traits, kind_count>& get_kinds() {
    constexpr auto urgent = task_class::urgent;
    constexpr auto batch = task_class::batch;
    static const std::array<kind_traits, kind_count> kinds = {
        kind_traits{"appraisal", urgent, {0.04, 0.03, 0.01}, {3.0, 0.5, 0.2}, 0.4, 1.0, 1.0, false, false},
        kind_traits{"visit_import", urgent, {0.02, 0.03, 0.06}, {0.3, 0.5, 4.0}, 0.8, 1.3, 1.1, false, false},
        kind_traits{"lookup", urgent, {0.02, 0.02, 0.02}, {0.5, 0.5, 0.5}, 0.3, 1.0, 1.0, false, false},
        kind_traits{"match", urgent, {0.03, 0.05, 0.01}, {0.5, 3.0, 0.2}, 0.6, 0.8, 1.0, false, false},
        kind_traits{"layout", batch, {0.05, 0.04, 0.01}, {0.3, 0.3, 0.1}, 60, 1.0, 1.0, false, true},
        kind_traits{"digest", batch, {0.03, 0.06, 0.04}, {0.4, 0.4, 0.4}, 40, 1.5, 1.2, false, false},
        kind_traits{"nesting", batch, {0.35, 0.12, 0.02}, {0.6, 0.3, 0.1}, 90, 1.0, 1.3, true, true},
        kind_traits{"rebuild", batch, {0.08, 0.32, 0.12}, {0.2, 1.0, 0.5}, 120, 0.7, 1.0, true, true},
        kind_traits{"archive", batch, {0.04, 0.08, 0.40}, {0.1, 0.2, 1.0}, 50, 1.2, 1.1, true, false},
        kind_traits{"watcher", batch, {0.12, 0.12, 0.12}, {0.5, 0.5, 0.5}, 80, 1.0, 0.9, false, true},
    };
    return kinds;
}

fake_fleet::fake_fleet(std::size_t count, resource_vector size, double use_scale)
    : size_(size), use_scale_(use_scale), upstreams_(count), kinds_{} {
    for (std::size_t kind = 0; kind < kind_count; ++kind) {
        kinds_[kind].use = get_kinds()[kind].use;
    }
}

void fake_fleet::set_rates(fake_upstream& host) {
    shared_resource_amounts load{};
    for (const auto& task : host.tasks) {
        for (std::size_t resource = 0; resource < shared_resource_count; ++resource) {
            load[resource] += use_scale_ * kinds_[task.kind].use[resource] * (task.is_throttled ? 0.5 : 1.0);
        }
    }
    for (auto& task : host.tasks) {
        double slowdown = 1.0;
        for (std::size_t resource = 0; resource < shared_resource_count; ++resource) {
            slowdown += get_kinds()[task.kind].sensitivity[resource] * get_contention(load[resource]);
        }
        task.rate = (task.is_throttled ? 0.5 : 1.0) / slowdown;
    }
}

void fake_fleet::update(std::size_t upstream, double now_s) {
    auto& host = upstreams_[upstream];
    for (auto& task : host.tasks) {
        if (!task.is_stopping) {
            task.remaining_s -= (now_s - host.updated_s) * task.rate;
        }
    }
    host.updated_s = now_s;
    ++host.version;
    set_rates(host);
}

void fake_fleet::start(std::size_t upstream, const fake_task& task, double now_s) {
    update(upstream, now_s);
    auto& host = upstreams_[upstream];
    host.tasks.push_back(task);
    host.committed = host.committed + task.declared;
    set_rates(host);
}

std::optional<fake_task> fake_fleet::remove(std::size_t upstream, std::uint64_t task, double now_s) {
    update(upstream, now_s);
    auto& host = upstreams_[upstream];
    const auto found = std::find_if(host.tasks.begin(), host.tasks.end(),
                                    [&](const fake_task& running) { return running.number == task; });
    if (found == host.tasks.end()) {
        return std::nullopt;
    }
    fake_task removed = *found;
    host.tasks.erase(found);
    host.committed = host.committed - removed.declared;
    set_rates(host);
    return removed;
}

std::optional<double> fake_fleet::get_next_finish(std::size_t upstream) const {
    const auto& host = upstreams_[upstream];
    std::optional<double> next;
    for (const auto& task : host.tasks) {
        if (task.is_stopping) {
            continue;
        }
        const double finish = host.updated_s + std::max(0.0, task.remaining_s) / task.rate;
        next = next ? std::min(*next, finish) : finish;
    }
    return next;
}

double fake_fleet::get_memory_mb(std::size_t upstream) const {
    double sum = 0;
    for (const auto& task : upstreams_[upstream].tasks) {
        sum += task.get_memory_mb();
    }
    return sum;
}

}  // namespace jacinthvane::experiment
