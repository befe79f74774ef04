#include "experiment/fake_fleet.hpp"

#include <algorithm>

namespace jacinthvane::experiment {

namespace {

constexpr double knee = 0.4;

// Cost of a shared part at the given load. The two pieces meet at a load of 1.
double get_crowding(double load) {
    if (load <= knee) {
        return 0.0;
    }
    if (load <= 1.0) {
        return 2.0 * (load - knee) * (load - knee);
    }
    return 2.0 * (1.0 - knee) * (1.0 - knee) + 1.5 * (load - 1.0);
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

void fake_fleet::set_rates(fake_upstream& one) {
    shared_amounts load{};
    for (const auto& task : one.tasks) {
        for (std::size_t part = 0; part < shared_count; ++part) {
            load[part] += use_scale_ * kinds_[task.kind].use[part] * (task.is_throttled ? 0.5 : 1.0);
        }
    }
    for (auto& task : one.tasks) {
        double slowdown = 1.0;
        for (std::size_t part = 0; part < shared_count; ++part) {
            slowdown += get_kinds()[task.kind].sensitivity[part] * get_crowding(load[part]);
        }
        task.rate = (task.is_throttled ? 0.5 : 1.0) / slowdown;
    }
}

void fake_fleet::update(std::size_t upstream, double now_s) {
    auto& one = upstreams_[upstream];
    for (auto& task : one.tasks) {
        if (!task.is_stopping) {
            task.left_s -= (now_s - one.updated_s) * task.rate;
        }
    }
    one.updated_s = now_s;
    ++one.version;
    set_rates(one);
}

void fake_fleet::start(std::size_t upstream, const fake_task& task, double now_s) {
    update(upstream, now_s);
    auto& one = upstreams_[upstream];
    one.tasks.push_back(task);
    one.committed = one.committed + task.declared;
    set_rates(one);
}

std::optional<fake_task> fake_fleet::remove(std::size_t upstream, std::uint64_t task, double now_s) {
    update(upstream, now_s);
    auto& one = upstreams_[upstream];
    const auto found = std::find_if(one.tasks.begin(), one.tasks.end(),
                                    [&](const fake_task& running) { return running.number == task; });
    if (found == one.tasks.end()) {
        return std::nullopt;
    }
    fake_task removed = *found;
    one.tasks.erase(found);
    one.committed = one.committed - removed.declared;
    set_rates(one);
    return removed;
}

std::optional<double> fake_fleet::get_next_finish(std::size_t upstream) const {
    const auto& one = upstreams_[upstream];
    std::optional<double> next;
    for (const auto& task : one.tasks) {
        if (task.is_stopping) {
            continue;
        }
        const double finish = one.updated_s + std::max(0.0, task.left_s) / task.rate;
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
