// CPU limits of best-effort tasks that share an upstream with latency-critical tasks; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include <glog/logging.h>

#include "process/cpu_limit_plan.hpp"
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
constexpr std::int32_t full_cpu_limit_percent = 100;
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
constexpr std::chrono::milliseconds move_delay{1000};
// A best-effort task without checkpoints loses its work when it is moved, so it waits longer for a higher
// limit.
constexpr std::chrono::milliseconds restart_move_delay{3500};
// From the end of a stopped run until the next run of the task begins: the report of the end, a decision and
// the start order.
constexpr std::chrono::milliseconds restart_delay{300};
// How often another upstream is sought for a slow task, and for how many tasks in one decision.
constexpr std::chrono::milliseconds move_check_interval{400};
constexpr std::size_t max_moves_per_decision = 12;
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

std::vector<best_effort_use> get_best_effort_tasks(const upstream_ledger& upstream) {
    std::vector<best_effort_use> best_effort_tasks;
    for (const auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli > 0) {
            best_effort_tasks.push_back({run.image, get_share(run.best_effort_milli, upstream)});
        }
    }
    return best_effort_tasks;
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
    if (view.decision != decision_) {
        view.decision = decision_;
        view.computed_at = now;
        view.budgets = get_serving_budgets(upstream, now + placement_horizon);
        view.tasks = get_best_effort_tasks(upstream);
        view.loads = measure_interference(tail_model_, view.budgets, view.tasks);
        view.free_share = get_free_share(upstream);
        view.requested_share = 0;
        for (const auto& task : view.tasks) {
            view.requested_share += task.share;
        }
        const auto cpu_limits = plan_cpu_limits(tail_model_, view.budgets, view.tasks, view.free_share);
        view.planned_use = get_planned_use(view.tasks, cpu_limits, view.free_share);
    }
    return view;
}

double cell_scheduler::get_best_effort_gain(const upstream_ledger& upstream, const best_effort_use& added,
                                            time_point now) {
    const auto& view = get_best_effort_view(upstream, now);
    const double max_gain = (view.free_share - view.planned_use) / std::max(added.share, min_share);
    if (max_gain < min_useful_best_effort_gain) {
        return max_gain;
    }
    if (view.requested_share + added.share <= view.free_share) {
        // The added task gains its own CPU limit, and others may lose some of theirs if that is below 1.
        const double cpu_limit = get_added_cpu_limit(tail_model_, view.loads, added);
        if (cpu_limit >= 1.0 || cpu_limit < min_useful_best_effort_gain) {
            return cpu_limit;
        }
    }
    auto tasks = view.tasks;
    tasks.push_back(added);
    const auto cpu_limits = plan_cpu_limits(tail_model_, view.budgets, tasks, view.free_share);
    const double planned_use = get_planned_use(tasks, cpu_limits, view.free_share);
    return (planned_use - view.planned_use) / std::max(added.share, min_share);
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
            limited.push_back({run.image, get_share(run.best_effort_milli * percent / 100, upstream)});
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
    const auto best_effort_tasks = get_best_effort_tasks(upstream);
    const auto budgets = get_serving_budgets(upstream, now + cpu_limit_horizon);
    const auto cpu_limits =
        plan_cpu_limits(tail_model_, budgets, best_effort_tasks, get_free_share(upstream));
    const bool is_at_risk = is_target_at_risk(upstream, budgets);
    // The plan lists the best-effort tasks in the order of upstream.runs.
    std::size_t index = 0;
    for (auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli == 0) {
            continue;
        }
        const auto planned =
            static_cast<std::int32_t>(std::lround(cpu_limits[index] * full_cpu_limit_percent));
        const auto wanted = clamp_cpu_limit(upstream, best_effort_tasks[index], planned, now);
        ++index;
        if (run.phase == run_phase::running && is_cpu_limit_due(run, wanted, is_at_risk, now)) {
            order_cpu_limit(upstream, key, run, wanted, now);
        }
    }
}

void cell_scheduler::apply_latency_measurements(upstream_ledger& upstream, const upstream_report& report,
                                                time_point now) {
    update_tail_model(upstream, report, now);
    update_margin(upstream, report, now);
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
    run.cpu_limit_percent = new_percent;
    run.cpu_limit_changed_at = now;
    queued_orders_.emplace_back(cpu_limit_order{upstream.entry.id, key.first, key.second, new_percent});
}

std::vector<cell_scheduler::slow_best_effort_task> cell_scheduler::collect_slow_best_effort_tasks(
    time_point now) {
    std::vector<slow_best_effort_task> slow;
    std::erase_if(slow_slots_, [&](upstream_index::slot_number slot) {
        auto& upstream = index_.get_upstream(slot);
        upstream.has_slow_tasks =
            std::any_of(upstream.runs.begin(), upstream.runs.end(),
                        [](const auto& entry) { return entry.second.slow_since != time_point::max(); });
        return !upstream.has_slow_tasks;
    });
    for (const auto slot : slow_slots_) {
        collect_slow_tasks_of(index_.get_upstream(slot), now, slow);
    }
    return slow;
}

void cell_scheduler::collect_slow_tasks_of(upstream_ledger& upstream, time_point now,
                                           std::vector<slow_best_effort_task>& slow) {
    for (auto& [key, run] : upstream.runs) {
        if (slow.size() == max_moves_per_decision) {
            return;
        }
        const bool is_slow = run.best_effort_milli > 0 && run.phase == run_phase::running &&
                             run.slow_since != time_point::max() && now - run.slow_since >= move_delay;
        auto* job = is_slow && now >= run.next_move_check ? find_job(key.first.job) : nullptr;
        auto* task = job == nullptr ? nullptr : job->find_task(key.first);
        if (task == nullptr) {
            continue;
        }
        const bool saves_progress = job->job->spec.steps[key.first.step].saves_checkpoints;
        if (saves_progress || now - run.slow_since >= restart_move_delay) {
            run.next_move_check = now + move_check_interval;
            slow.push_back({job, task, key.first, &upstream, &run});
        }
    }
}

migration_terms cell_scheduler::make_migration_terms(const slow_best_effort_task& slow,
                                                     time_point now) const {
    const auto& spec = slow.job->job->spec.steps[slow.ref.step];
    const auto percent_per_ms = slow.run->estimate_percent_per_ms(now);
    migration_terms terms;
    terms.full_time = std::chrono::milliseconds(spec.estimated_ms);
    terms.percent = slow.run->percent;
    if (percent_per_ms) {
        terms.speed = *percent_per_ms * static_cast<double>(spec.estimated_ms) / full_progress_percent;
    }
    terms.cpu_limit = static_cast<double>(std::min(slow.run->cpu_limit_percent, full_cpu_limit_percent)) /
                      full_cpu_limit_percent;
    terms.saves_checkpoints = spec.saves_checkpoints;
    terms.restore_time = limits_.restore_time;
    terms.stop_time = limits_.stop_timeout + restart_delay;
    return terms;
}

void cell_scheduler::move_if_earlier(const slow_best_effort_task& slow, time_point now) {
    auto terms = make_migration_terms(slow, now);
    if (!get_migration_gain(terms)) {
        // Not even another upstream at full speed would complete it clearly earlier.
        ++migrations_.refused;
        return;
    }
    // The task moves only if another upstream can run it now: here it would go on when the load falls.
    const auto chosen = choose_upstream(*slow.job, slow.ref.get_step(), *slow.task, now);
    if (!chosen || chosen->upstream == slow.upstream) {
        return;
    }
    const best_effort_use use{slow.run->image, get_share(slow.run->best_effort_milli, *chosen->upstream)};
    terms.new_speed = get_best_effort_gain(*chosen->upstream, use, now);
    const auto gain = get_migration_gain(terms);
    if (!gain) {
        ++migrations_.refused;
        return;
    }
    ++migrations_.migrations;
    migrations_.expected_gain += *gain;
    LOG(INFO) << "event=task_moved task=" << slow.ref.to_string()
              << " upstream=" << slow.upstream->entry.id.get()
              << " candidate=" << chosen->upstream->entry.id.get() << " percent=" << slow.run->percent
              << " cpu_limit=" << slow.run->cpu_limit_percent << " expected_gain_ms=" << gain->count()
              << " token=" << token_;
    slow.task->avoided.push_back(slow.upstream->entry.id);
    begin_stop(*slow.upstream, *slow.run, now);
}

void cell_scheduler::move_slow_best_effort_tasks(time_point now) {
    for (const auto& slow : collect_slow_best_effort_tasks(now)) {
        move_if_earlier(slow, now);
    }
}

}  // namespace jacinthvane
