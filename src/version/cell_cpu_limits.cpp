// How fast fillers run beside tasks that serve; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "process/cpu_limit_plan.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// The figures of an upstream cover the last half second, so they tell of a change only after that.
constexpr std::chrono::milliseconds figure_span{550};
// Headroom that is kept in addition where a target was crossed: how fast it grows and shrinks, and its most.
constexpr double margin_step_up = 0.2;
constexpr double margin_step_down = 0.1;
constexpr double max_margin = 0.8;
// How far ahead the load of serving tasks is looked at: until a pace that is ordered now is measured and
// ordered anew, and for the time that a filler usually takes.
constexpr std::chrono::milliseconds pace_lead{500};
constexpr std::chrono::milliseconds placement_lead{1500};
constexpr std::int64_t relaxed_permille = 850;
constexpr std::int64_t crossed_permille = 950;
constexpr std::int32_t full_cpu_limit = 100;
// Small changes of pace are not worth an order.
constexpr std::int32_t pace_step = 10;
// Below this pace a filler does better elsewhere.
constexpr std::int32_t slow_cpu_limit = 25;
constexpr std::chrono::milliseconds move_delay{1000};
// A filler that saves no checkpoints loses its work by a move, so it waits longer for a better pace.
constexpr std::chrono::milliseconds restart_delay{3500};
// How often another place is looked for, and for how many fillers in one decision.
constexpr std::chrono::milliseconds move_check_interval{400};
constexpr std::size_t max_moves = 12;
// Parts of the time for which a target may be crossed: then the suspected fillers stop, then all.
constexpr std::int64_t suspected_share_permille = 200;
constexpr std::int64_t all_share_permille = 350;

double get_share(std::int64_t processors_milli, const upstream_ledger& upstream) {
    const auto capacity = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    return static_cast<double>(processors_milli) / static_cast<double>(capacity);
}

double get_free_share(const upstream_ledger& upstream) {
    return 1.0 - get_share(upstream.estimate_used_milli(), upstream);
}

bool has_steady_pace(const run_record& run, time_point now) {
    return now - run.cpu_limit_changed_at >= figure_span;
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

// What the fillers used during the time that the figures of the report cover.
std::vector<best_effort_use> get_measured_best_effort_tasks(const upstream_ledger& upstream, time_point now) {
    std::vector<best_effort_use> measured;
    for (const auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli > 0 && run.load > 0) {
            measured.push_back({run.image, get_share(run.load, upstream)});
        }
    }
    for (const auto& ended : upstream.ended_best_effort_tasks) {
        const std::chrono::duration<double> since = now - ended.ended_at;
        const std::chrono::duration<double> span = figure_span;
        measured.push_back({ended.use.image, ended.use.share * (1.0 - since / span)});
    }
    return measured;
}

}  // namespace

void cell_scheduler::learn_tails(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    std::erase_if(upstream.ended_best_effort_tasks,
                  [&](const ended_best_effort_task& ended) { return now - ended.ended_at >= figure_span; });
    // Figures that overlap would count the same half second twice.
    if (now - upstream.learnt_at < figure_span * 4 / 5) {
        return;
    }
    upstream.learnt_at = now;
    // Tasks of one step on one upstream show the same, so their mean is one figure.
    struct step_figure {
        image_index image = 0;
        double headroom = 0;
        int count = 0;
    };
    std::map<step_ref, step_figure> figures;
    for (const auto& row : report.running) {
        const auto* run = upstream.find_run(row.task, row.run);
        const bool serves =
            run != nullptr && run->target_tail_ms > 0 && row.percent >= full_cpu_limit && row.load > 0;
        if (serves && now - run->started_at > figure_span * 2) {
            auto& figure = figures[row.task.get_step()];
            figure.image = run->image;
            figure.headroom += static_cast<double>(run->target_tail_ms) / static_cast<double>(row.load);
            ++figure.count;
        }
    }
    const auto measured = get_measured_best_effort_tasks(upstream, now);
    for (const auto& [step, figure] : figures) {
        auto& base = tail_bases_[step];
        base = tails_.learn(figure.image, base, figure.headroom / figure.count, measured, now);
    }
}

std::vector<serving_budget> cell_scheduler::get_serving_budgets(const upstream_ledger& upstream,
                                                                time_point until) const {
    std::vector<serving_budget> budgets;
    std::optional<step_ref> last;
    for (const auto& [key, run] : upstream.runs) {
        // Runs are sorted by task, so those of one step follow each other.
        if (run.target_tail_ms == 0 || last == key.first.get_step()) {
            continue;
        }
        last = key.first.get_step();
        const auto found = tail_bases_.find(*last);
        const auto base = found == tail_bases_.end() ? tail_base() : found->second;
        budgets.push_back({run.image, tail_model::get_budget(base, until) - upstream.margin});
    }
    return budgets;
}

double cell_scheduler::get_best_effort_gain(const upstream_ledger& upstream, const best_effort_use& added,
                                            time_point now) const {
    const auto budgets = get_serving_budgets(upstream, now + placement_lead);
    const double free = get_free_share(upstream);
    auto best_effort_tasks = get_best_effort_tasks(upstream);
    const double before =
        get_planned_use(best_effort_tasks, plan_cpu_limits(tails_, budgets, best_effort_tasks, free), free);
    best_effort_tasks.push_back(added);
    const double after =
        get_planned_use(best_effort_tasks, plan_cpu_limits(tails_, budgets, best_effort_tasks, free), free);
    return (after - before) / std::max(added.share, 1e-6);
}

void cell_scheduler::update_margin(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    std::int64_t ratio = 0;
    for (const auto& row : report.running) {
        const auto* run = upstream.find_run(row.task, row.run);
        if (run != nullptr && run->target_tail_ms > 0) {
            ratio = std::max(ratio, row.load * 1000 / run->target_tail_ms);
        }
    }
    upstream.pressure_permille = ratio;
    const bool is_due = now - upstream.margin_changed_at >= figure_span;
    // Fillers that come and go do not begin the time anew: the task is over its target all the while.
    if (ratio < crossed_permille) {
        upstream.target_exceeded_since = time_point::max();
        if (ratio < relaxed_permille && is_due) {
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

// A target must not stay crossed, whatever the model says: first the fillers that may have a part in it stop,
// then all of them.
std::int32_t cell_scheduler::clamp_cpu_limit(const upstream_ledger& upstream,
                                             const best_effort_use& best_effort_task, std::int32_t planned,
                                             time_point now) const {
    if (upstream.target_exceeded_since == time_point::max()) {
        return planned;
    }
    const auto crossed_for = now - upstream.target_exceeded_since;
    if (crossed_for * 1000 >= limits_.interference_limit * all_share_permille) {
        return 0;
    }
    const bool is_long = crossed_for * 1000 >= limits_.interference_limit * suspected_share_permille;
    return is_long && !is_harmless_on(upstream, best_effort_task) ? 0 : planned;
}

bool cell_scheduler::may_place_best_effort_task(const upstream_ledger& upstream,
                                                const best_effort_use& best_effort_task,
                                                time_point now) const {
    if (upstream.target_exceeded_since == time_point::max()) {
        return true;
    }
    const auto crossed_for = now - upstream.target_exceeded_since;
    const bool is_short = crossed_for * 1000 < limits_.interference_limit * suspected_share_permille;
    return is_short && is_harmless_on(upstream, best_effort_task);
}

bool cell_scheduler::is_harmless_on(const upstream_ledger& upstream,
                                    const best_effort_use& best_effort_task) const {
    return std::none_of(upstream.runs.begin(), upstream.runs.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.target_tail_ms > 0 && !is_harmless(tails_, run.image, best_effort_task);
    });
}

void cell_scheduler::update_cpu_limits(upstream_ledger& upstream, time_point now) {
    if (upstream.best_effort_milli == 0) {
        return;
    }
    const auto best_effort_tasks = get_best_effort_tasks(upstream);
    const auto budgets = get_serving_budgets(upstream, now + pace_lead);
    const auto paces = plan_cpu_limits(tails_, budgets, best_effort_tasks, get_free_share(upstream));
    // The plan has the fillers in the order of their runs.
    std::size_t index = 0;
    for (auto& [key, run] : upstream.runs) {
        if (run.best_effort_milli == 0) {
            continue;
        }
        const auto planned = static_cast<std::int32_t>(std::lround(paces[index] * full_cpu_limit));
        const auto wanted = clamp_cpu_limit(upstream, best_effort_tasks[index], planned, now);
        ++index;
        const bool is_change = run.pace == unknown_cpu_limit || std::abs(wanted - run.pace) >= pace_step ||
                               (wanted != run.pace && (wanted == 0 || wanted == full_cpu_limit));
        if (run.phase == run_phase::running && is_change &&
            (wanted < run.pace || has_steady_pace(run, now))) {
            order_cpu_limit(upstream, key, run, wanted, now);
        }
    }
}

void cell_scheduler::update_pacing(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    learn_tails(upstream, report, now);
    update_margin(upstream, report, now);
    update_cpu_limits(upstream, now);
}

void cell_scheduler::order_cpu_limit(const upstream_ledger& upstream, const run_key& key, run_record& run,
                                     std::int32_t pace, time_point now) {
    if (pace >= slow_cpu_limit) {
        run.slow_since = time_point::max();
    } else {
        run.slow_since = std::min(run.slow_since, now);
    }
    run.pace = pace;
    run.cpu_limit_changed_at = now;
    queued_orders_.emplace_back(cpu_limit_order{upstream.entry.id, key.first, key.second, pace});
}

std::vector<cell_scheduler::slow_best_effort_task> cell_scheduler::collect_slow_best_effort_tasks(
    time_point now) {
    std::vector<slow_best_effort_task> slow;
    for (auto& [id, upstream] : upstreams_) {
        for (auto& [key, run] : upstream.runs) {
            if (slow.size() == max_moves) {
                return slow;
            }
            const bool is_slow = run.best_effort_milli > 0 && run.phase == run_phase::running &&
                                 run.slow_since != time_point::max() && now - run.slow_since >= move_delay;
            auto* job = is_slow && now >= run.next_move_check ? find_job(key.first.job) : nullptr;
            auto* task = job == nullptr ? nullptr : job->find_task(key.first);
            if (task == nullptr) {
                continue;
            }
            const bool saves = job->job->spec.steps[key.first.step].saves_checkpoints;
            if (saves || now - run.slow_since >= restart_delay) {
                run.next_move_check = now + move_check_interval;
                slow.push_back({job, task, key.first, &upstream, &run});
            }
        }
    }
    return slow;
}

void cell_scheduler::move_slow_best_effort_tasks(time_point now) {
    for (const auto& best_effort_task : collect_slow_best_effort_tasks(now)) {
        // Without a better place the filler loses by a move what it would get done here when the load falls.
        const auto place = choose_upstream(*best_effort_task.job, best_effort_task.ref.get_step(),
                                           *best_effort_task.task, now);
        if (place && place->upstream != best_effort_task.upstream) {
            best_effort_task.task->avoided.push_back(best_effort_task.upstream->entry.id);
            begin_stop(*best_effort_task.run, now);
        }
    }
}

}  // namespace jacinthvane
