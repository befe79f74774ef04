// CPU limits of best-effort tasks that share an upstream with latency-critical tasks; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include <glog/logging.h>

#include "process/cpu_limit_plan.hpp"
#include "process/job_order.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// An upstream measures latency and load over the last half second, so a change of CPU limits is fully visible
// in a report only after this time.
constexpr std::chrono::milliseconds measurement_window{550};
// Additional headroom that is reserved after a target was exceeded: its increase and decrease per
// measurement_window, and its upper bound.
constexpr double margin_step_up = 0.2;
constexpr double margin_step_down = 0.1;
constexpr double max_margin = 0.8;
// How far ahead the load of latency-critical tasks is extrapolated: for a CPU limit until it has been
// measured and can be changed again, for a placement over the usual duration of a best-effort task.
constexpr std::chrono::milliseconds cpu_limit_horizon{500};
constexpr std::chrono::milliseconds placement_horizon{1500};
// Tail latency relative to its target: below the first value the additional headroom shrinks, from the second
// on the target counts as exceeded and it grows.
constexpr std::int64_t relaxed_pressure_permille = 850;
constexpr std::int64_t exceeded_pressure_permille = 950;
// Progress of a latency-critical task that has started up.
constexpr std::int32_t full_progress_percent = 100;
// Smaller changes of a CPU limit are not sent, unless they stop the task or lift its limit: the first while a
// target is at risk, the second otherwise. Smaller steps give more orders, and not less time over the
// targets.
constexpr std::int32_t cpu_limit_step_percent = 15;
constexpr std::int32_t calm_cpu_limit_step_percent = 20;
// A raise that ends the task sooner by less than this is not sent.
constexpr std::chrono::milliseconds min_saved_time{100};
// A target is at risk if the best-effort tasks take this much headroom more than their budget: half of what
// the budget leaves between the tail latency and its target.
constexpr double risk_headroom = 0.1;
// A best-effort task with a lower CPU limit is moved if another upstream can run it.
constexpr std::int32_t slow_cpu_limit_percent = 25;
// How long the rank of a job is taken as known for the CPU limits of its tasks.
constexpr std::chrono::milliseconds rank_interval{200};
// Lower CPU limits say little about what a task would use at full speed.
constexpr std::int32_t min_conclusive_cpu_limit_percent = 40;
// A task that competes for processors seems to use less than it would.
constexpr double min_use_ratio = 0.6;
constexpr double use_ratio_rate = 0.002;
// Avoids a division by the size of a task that requests no processors.
constexpr double min_share = 1e-6;
// Parts of cell_limits::interference_limit after which, while a target is exceeded, first the best-effort
// tasks that may contribute to it get a CPU limit of 0, then all of them.
constexpr std::int64_t stop_suspected_permille = 200;
constexpr std::int64_t stop_all_permille = 350;

double get_share(std::int64_t processors_milli, const upstream_ledger& upstream) {
    const auto capacity = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    return static_cast<double>(processors_milli) / static_cast<double>(capacity);
}

double get_free_share(const upstream_ledger& upstream) {
    return 1.0 - get_share(upstream.used_milli, upstream);
}

// Returns how much sooner the run ends with a higher CPU limit, by its progress so far.
time_point::duration get_saved_time(const run_record& run, std::int32_t wanted, time_point now) {
    if (run.percent <= 0 || run.cpu_limit_percent == 0) {
        return time_point::duration::max();
    }
    const auto remaining = (now - run.started_at) * (full_progress_percent - run.percent) / run.percent;
    return remaining * (wanted - run.cpu_limit_percent) / wanted;
}

// Whether the CPU limit of the run is changed now. A limit that protects a target is lowered at once. Other
// changes wait until the last one has been measured, and a raise has to be worth its order.
bool is_cpu_limit_due(const run_record& run, std::int32_t wanted, bool is_at_risk, time_point now) {
    const auto current = run.cpu_limit_percent;
    if (current == unknown_cpu_limit_percent) {
        return true;
    }
    const bool is_steady = now - run.cpu_limit_changed_at >= measurement_window;
    if (wanted <= current) {
        if (is_at_risk || wanted == 0) {
            return current - wanted >= cpu_limit_step_percent || (wanted == 0 && current > 0);
        }
        return current - wanted >= calm_cpu_limit_step_percent && is_steady;
    }
    const auto raise = wanted - current;
    const bool doubles_speed = raise >= cpu_limit_step_percent && wanted >= 2 * current;
    const bool is_change = raise >= calm_cpu_limit_step_percent || doubles_speed ||
                           (raise > 0 && wanted == full_cpu_limit_percent);
    return is_change && is_steady && get_saved_time(run, wanted, now) >= min_saved_time;
}

// Best-effort runs of an upstream in the order in which they get CPU time. Ledger is upstream_ledger, const
// or not.
template <typename Ledger>
auto rank_best_effort_runs(Ledger& upstream) {
    std::vector<decltype(&*upstream.runs.begin())> ranked;
    ranked.reserve(upstream.runs.size());
    for (auto& entry : upstream.runs) {
        if (entry.second.best_effort_milli > 0) {
            ranked.push_back(&entry);
        }
    }
    // Runs of the same rank stay in the order of their tasks.
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto* left, const auto* right) {
        return left->second.rank < right->second.rank;
    });
    return ranked;
}

// Processors that best-effort tasks used within the measurement window. A task that has ended counts for the
// part of the window in which it still ran.
std::vector<best_effort_use> get_measured_best_effort_tasks(const upstream_ledger& upstream, time_point now) {
    std::vector<best_effort_use> measured;
    for (const auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli > 0 && run.load > 0) {
            measured.push_back({run.image, get_share(run.load, upstream)});
        }
    }
    for (const auto& ended : upstream.ended_best_effort_tasks) {
        const std::chrono::duration<double> since = now - ended.ended_at;
        const std::chrono::duration<double> span = measurement_window;
        measured.push_back({ended.use.image, ended.use.share * (1.0 - since / span)});
    }
    return measured;
}

}  // namespace

void cell_scheduler::update_tail_model(upstream_ledger& upstream, const upstream_report& report,
                                       time_point now) {
    std::erase_if(upstream.ended_best_effort_tasks, [&](const ended_best_effort_task& ended) {
        return now - ended.ended_at >= measurement_window;
    });
    // Overlapping measurement windows would count the same observation twice.
    if (now - upstream.tail_model_updated_at < measurement_window * 4 / 5) {
        return;
    }
    upstream.tail_model_updated_at = now;
    // Tasks of one step on one upstream carry the same load, so their mean is used as one observation.
    struct step_measurement {
        image_index image = 0;
        double headroom = 0;
        int count = 0;
    };
    std::map<step_ref, step_measurement> step_measurements;
    for (const auto& row : report.running) {
        const auto* run = upstream.find_run(row.task, row.run);
        const bool is_serving =
            run != nullptr && run->target_tail_ms > 0 && row.percent >= full_progress_percent && row.load > 0;
        if (is_serving && now - run->started_at > measurement_window * 2) {
            auto& measurement = step_measurements[row.task.get_step()];
            measurement.image = run->image;
            measurement.headroom += static_cast<double>(run->target_tail_ms) / static_cast<double>(row.load);
            ++measurement.count;
        }
    }
    const auto measured = get_measured_best_effort_tasks(upstream, now);
    for (const auto& [step, measurement] : step_measurements) {
        auto& base = tail_bases_[step];
        base = tail_model_.learn(measurement.image, base, measurement.headroom / measurement.count, measured,
                                 now);
    }
}

std::vector<serving_budget> cell_scheduler::get_serving_budgets(const upstream_ledger& upstream,
                                                                time_point until) const {
    std::vector<serving_budget> budgets;
    const task_ref* last = nullptr;
    for (const auto& [key, run] : upstream.runs) {
        // Runs are sorted by task, so runs of the same step are adjacent.
        if (run.target_tail_ms == 0 || (last != nullptr && key.first.is_in_step_of(*last))) {
            continue;
        }
        last = &key.first;
        const auto found = tail_bases_.find(key.first);
        const auto base = found == tail_bases_.end() ? tail_base() : found->second;
        budgets.push_back({run.image, tail_model::get_budget(base, until) - upstream.margin});
    }
    return budgets;
}

const cell_scheduler::best_effort_view& cell_scheduler::get_best_effort_view(const upstream_ledger& upstream,
                                                                             time_point now) {
    auto& view = best_effort_views_[upstream.slot];
    if (view.decision == decision_) {
        return view;
    }
    view.decision = decision_;
    view.computed_at = now;
    view.room = {get_serving_budgets(upstream, now + placement_horizon), get_free_share(upstream)};
    view.tasks.clear();
    view.ranks.clear();
    view.planned_uses.clear();
    view.planned_use = 0;
    auto room = view.room;
    for (const auto* ranked : rank_best_effort_runs(upstream)) {
        const auto use = get_use(upstream, ranked->second);
        const double planned_use = use.share * take_cpu_limit(tail_model_, room, use);
        view.planned_use += planned_use;
        view.planned_uses.push_back(planned_use);
        view.tasks.push_back(use);
        view.ranks.push_back(ranked->second.rank);
    }
    return view;
}

cell_scheduler::best_effort_gain cell_scheduler::get_best_effort_gain(const upstream_ledger& upstream,
                                                                      const best_effort_use& added,
                                                                      const job_rank& rank, time_point now) {
    const auto& view = get_best_effort_view(upstream, now);
    auto room = view.room;
    double planned_use = 0;
    std::size_t next = 0;
    for (; next < view.tasks.size() && !rank.is_clearly_before(view.ranks[next]); ++next) {
        planned_use += view.tasks[next].share * take_cpu_limit(tail_model_, room, view.tasks[next]);
    }
    best_effort_gain gain;
    gain.cpu_limit = take_cpu_limit(tail_model_, room, added);
    planned_use += added.share * gain.cpu_limit;
    for (; next < view.tasks.size(); ++next) {
        planned_use += view.tasks[next].share * take_cpu_limit(tail_model_, room, view.tasks[next]);
    }
    gain.throughput = (planned_use - view.planned_use) / std::max(added.share, min_share);
    return gain;
}

const job_rank& cell_scheduler::get_rank(job_record& job, time_point now) {
    if (now - job.ranked_at >= rank_interval) {
        job.rank = rank_job(job, get_priority(job), mean_work_[job.job->rules.queue], durations_, now);
        job.ranked_at = now;
    }
    return job.rank;
}

void cell_scheduler::update_ranks(upstream_ledger& upstream, time_point now) {
    for (auto& [key, run] : upstream.runs) {
        auto* job = run.best_effort_milli > 0 ? find_job(key.first.job) : nullptr;
        if (job != nullptr) {
            run.rank = get_rank(*job, now);
        }
    }
}

best_effort_use cell_scheduler::get_use(const upstream_ledger& upstream, const run_record& run) const {
    const double ratio = run.use_ratio > 0 ? run.use_ratio : mean_use_ratio_;
    return {run.image, get_share(run.best_effort_milli, upstream) * ratio};
}

void cell_scheduler::observe_use(upstream_ledger& upstream, time_point now) {
    for (auto& [key, run] : upstream.runs) {
        const bool is_steady =
            run.best_effort_milli > 0 && run.load > 0 && run.phase == run_phase::running &&
            run.accepted_at != time_point() && run.cpu_limit_percent >= min_conclusive_cpu_limit_percent &&
            run.cpu_limit_percent <= full_cpu_limit_percent &&
            now - std::max(run.accepted_at, run.cpu_limit_changed_at) >= measurement_window * 6 / 5;
        if (!is_steady) {
            continue;
        }
        const double allowed =
            static_cast<double>(run.best_effort_milli * run.cpu_limit_percent) / full_cpu_limit_percent;
        const double ratio = std::clamp(static_cast<double>(run.load) / allowed, min_use_ratio, 1.0);
        run.use_ratio = run.use_ratio > 0 ? (run.use_ratio + ratio) / 2 : ratio;
        mean_use_ratio_ += use_ratio_rate * (ratio - mean_use_ratio_);
    }
}

void cell_scheduler::update_margin(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    std::int64_t ratio_permille = 0;
    for (const auto& row : report.running) {
        const auto* run = upstream.find_run(row.task, row.run);
        if (run != nullptr && run->target_tail_ms > 0) {
            ratio_permille = std::max(ratio_permille, row.load * 1000 / run->target_tail_ms);
        }
    }
    upstream.pressure_permille = ratio_permille;
    const bool is_due = now - upstream.margin_changed_at >= measurement_window;
    // target_exceeded_since is reset only when the latency falls. Best-effort tasks that start or end do not
    // reset it, because the latency-critical task is over its target all the time.
    if (ratio_permille < exceeded_pressure_permille) {
        upstream.target_exceeded_since = time_point::max();
        if (ratio_permille < relaxed_pressure_permille && is_due) {
            upstream.margin = std::max(upstream.margin - margin_step_down, 0.0);
            upstream.margin_changed_at = now;
        }
        return;
    }
    upstream.target_exceeded_since = std::min(upstream.target_exceeded_since, now);
    if (is_due) {
        upstream.margin = std::min(upstream.margin + margin_step_up, max_margin);
        upstream.margin_changed_at = now;
    }
}

// Bounds how long a target stays exceeded even if the model is wrong: the best-effort tasks that may
// contribute are stopped first, then all of them.
std::int32_t cell_scheduler::clamp_cpu_limit(const upstream_ledger& upstream,
                                             const best_effort_use& best_effort_task, std::int32_t planned,
                                             time_point now) const {
    if (upstream.target_exceeded_since == time_point::max()) {
        return planned;
    }
    const auto exceeded_for = now - upstream.target_exceeded_since;
    if (exceeded_for * 1000 >= limits_.interference_limit * stop_all_permille) {
        return 0;
    }
    const bool must_stop_suspected =
        exceeded_for * 1000 >= limits_.interference_limit * stop_suspected_permille;
    return must_stop_suspected && !has_negligible_interference_on(upstream, best_effort_task) ? 0 : planned;
}

bool cell_scheduler::may_place_best_effort_task(const upstream_ledger& upstream,
                                                const best_effort_use& best_effort_task,
                                                time_point now) const {
    if (upstream.target_exceeded_since == time_point::max()) {
        return true;
    }
    const auto exceeded_for = now - upstream.target_exceeded_since;
    const bool may_run_harmless = exceeded_for * 1000 < limits_.interference_limit * stop_suspected_permille;
    return may_run_harmless && has_negligible_interference_on(upstream, best_effort_task);
}

bool cell_scheduler::has_negligible_interference_on(const upstream_ledger& upstream,
                                                    const best_effort_use& best_effort_task) const {
    return std::none_of(upstream.runs.begin(), upstream.runs.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.target_tail_ms > 0 &&
               !has_negligible_interference(tail_model_, run.image, best_effort_task);
    });
}

bool cell_scheduler::is_target_at_risk(const upstream_ledger& upstream,
                                       const std::vector<serving_budget>& budgets) const {
    if (upstream.pressure_permille >= relaxed_pressure_permille ||
        upstream.target_exceeded_since != time_point::max()) {
        return true;
    }
    std::vector<best_effort_use> limited;
    for (const auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli > 0) {
            const auto percent = std::min(run.cpu_limit_percent, full_cpu_limit_percent);
            auto use = get_use(upstream, run);
            use.share *= static_cast<double>(percent) / full_cpu_limit_percent;
            limited.push_back(use);
        }
    }
    const auto loads = measure_interference(tail_model_, budgets, limited);
    return std::any_of(loads.begin(), loads.end(), [](const serving_load& load) {
        return load.interference > load.serving.budget + risk_headroom;
    });
}

void cell_scheduler::update_cpu_limits(upstream_ledger& upstream, time_point now) {
    if (upstream.best_effort_milli == 0) {
        return;
    }
    const auto budgets = get_serving_budgets(upstream, now + cpu_limit_horizon);
    const bool is_at_risk = is_target_at_risk(upstream, budgets);
    best_effort_room room{budgets, get_free_share(upstream)};
    update_ranks(upstream, now);
    for (auto* ranked : rank_best_effort_runs(upstream)) {
        auto& [key, run] = *ranked;
        const auto use = get_use(upstream, run);
        const double cpu_limit = take_cpu_limit(tail_model_, room, use);
        const auto planned = static_cast<std::int32_t>(std::lround(cpu_limit * full_cpu_limit_percent));
        const auto wanted = clamp_cpu_limit(upstream, use, planned, now);
        if (run.phase == run_phase::running && is_cpu_limit_due(run, wanted, is_at_risk, now)) {
            order_cpu_limit(upstream, key, run, wanted, now);
        }
    }
}

void cell_scheduler::apply_latency_measurements(upstream_ledger& upstream, const upstream_report& report,
                                                time_point now) {
    update_tail_model(upstream, report, now);
    update_margin(upstream, report, now);
    observe_use(upstream, now);
    update_cpu_limits(upstream, now);
}

void cell_scheduler::order_cpu_limit(upstream_ledger& upstream, const run_key& key, run_record& run,
                                     std::int32_t new_percent, time_point now) {
    if (new_percent >= slow_cpu_limit_percent) {
        run.slow_since = time_point::max();
    } else {
        run.slow_since = std::min(run.slow_since, now);
        if (!upstream.has_slow_tasks) {
            upstream.has_slow_tasks = true;
            slow_slots_.push_back(upstream.slot);
        }
    }
    run.count_work(now);
    run.cpu_limit_percent = new_percent;
    run.cpu_limit_changed_at = now;
    queued_orders_.emplace_back(cpu_limit_order{upstream.entry.id, key.first, key.second, new_percent});
}

}  // namespace jacinthvane
