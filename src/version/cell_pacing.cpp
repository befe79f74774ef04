// How fast fillers run beside tasks that serve; see cell_scheduler.hpp.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// The figures of an upstream cover the last half second, so they tell of a change only after that.
constexpr std::chrono::milliseconds figure_span{550};
// A rise of the tail below this is no reason to slow a filler down.
constexpr double negligible_rise = 0.1;
constexpr double trim_step_down = 0.6;
constexpr double trim_step_up = 0.15;
constexpr double lowest_trim = 0.05;
constexpr std::int64_t relaxed_permille = 900;
constexpr std::int64_t crossed_permille = 950;
constexpr std::int32_t full_pace = 100;
// Small changes of pace are not worth an order.
constexpr std::int32_t pace_step = 10;
// Below this pace a filler does better elsewhere.
constexpr std::int32_t slow_pace = 25;
constexpr std::chrono::milliseconds move_delay{1000};
// Serving tasks of one upstream that are looked at for a placement; more hardly fit on one.
constexpr std::size_t max_serving_tasks = 32;
// Parts of the time for which a target may be crossed: then the suspected fillers stop, then all.
constexpr std::int64_t suspected_share_permille = 200;
constexpr std::int64_t all_share_permille = 350;

double get_share(std::int64_t processors_milli, const upstream_ledger& upstream) {
    const auto capacity = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    return static_cast<double>(processors_milli) / static_cast<double>(capacity);
}

bool has_steady_pace(const run_record& run, time_point now) {
    return now - run.pace_changed_at >= figure_span;
}

}  // namespace

std::vector<filler_use> cell_scheduler::get_filler_uses(const upstream_ledger& upstream,
                                                        bool at_full_pace) const {
    std::vector<filler_use> uses;
    for (const auto& [key, run] : upstream.runs) {
        if (run.filler_milli > 0) {
            const auto pace = at_full_pace ? full_pace : run.pace;
            uses.push_back({run.image, get_share(run.filler_milli, upstream) * pace / full_pace});
        }
    }
    return uses;
}

void cell_scheduler::learn_tails(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    std::erase_if(upstream.ended_fillers,
                  [&](const ended_filler& ended) { return now - ended.ended_at >= figure_span; });
    // Figures that overlap would count the same half second twice.
    if (now - upstream.learnt_at < figure_span * 4 / 5) {
        return;
    }
    upstream.learnt_at = now;
    std::vector<filler_use> measured;
    for (const auto& [key, run] : upstream.runs) {
        if (run.filler_milli > 0 && run.load > 0) {
            measured.push_back({run.image, get_share(run.load, upstream)});
        }
    }
    for (const auto& ended : upstream.ended_fillers) {
        const std::chrono::duration<double> since = now - ended.ended_at;
        const std::chrono::duration<double> span = figure_span;
        measured.push_back({ended.use.image, ended.use.share * (1.0 - since / span)});
    }
    for (const auto& row : report.running) {
        auto* run = upstream.find_run(row.task, row.run);
        const bool serves = run != nullptr && run->target_tail_ms > 0 && row.percent >= 100 && row.load > 0;
        if (serves && now - run->started_at > figure_span * 2) {
            run->base = tails_.learn(run->image, run->base, row.load, measured);
        }
    }
}

double cell_scheduler::get_filler_scale(const upstream_ledger& upstream, const filler_use& filler,
                                        const std::vector<filler_use>& all) const {
    double scale = 1.0;
    bool is_suspected = false;
    for (const auto& [key, run] : upstream.runs) {
        const bool serves = run.target_tail_ms > 0;
        if (!serves || tails_.get_weight(run.image, filler.image) * filler.share < negligible_rise) {
            continue;
        }
        is_suspected = true;
        const double allowed = tail_model::get_allowed_rise(run.base, run.target_tail_ms);
        scale = std::min(scale, allowed / std::max(tails_.get_rise(run.image, all), allowed));
    }
    return is_suspected ? scale * upstream.trim : 1.0;
}

double cell_scheduler::get_paced_use(const upstream_ledger& upstream,
                                     const std::vector<filler_use>& all) const {
    // The scale of each serving task is the same for all fillers, so it is computed once.
    struct serving_scale {
        image_index image = 0;
        double scale = 1.0;
    };
    std::array<serving_scale, max_serving_tasks> servings{};
    std::size_t count = 0;
    for (const auto& [key, run] : upstream.runs) {
        if (run.target_tail_ms > 0 && count < servings.size()) {
            const double allowed = tail_model::get_allowed_rise(run.base, run.target_tail_ms);
            servings[count++] = {run.image, allowed / std::max(tails_.get_rise(run.image, all), allowed)};
        }
    }
    double use = 0;
    for (const auto& filler : all) {
        double scale = 1.0;
        bool is_suspected = false;
        for (std::size_t i = 0; i < count; ++i) {
            if (tails_.get_weight(servings[i].image, filler.image) * filler.share >= negligible_rise) {
                is_suspected = true;
                scale = std::min(scale, servings[i].scale);
            }
        }
        use += filler.share * (is_suspected ? scale * upstream.trim : 1.0);
    }
    return use;
}

double cell_scheduler::get_filler_gain(const upstream_ledger& upstream, const filler_use& added) const {
    auto all = get_filler_uses(upstream, true);
    const double before = get_paced_use(upstream, all);
    all.push_back(added);
    const double free = 1.0 - get_share(upstream.estimate_used_milli(), upstream);
    const double after = std::min(get_paced_use(upstream, all), free);
    return (after - before) / std::max(added.share, 1e-6);
}

void cell_scheduler::update_trim(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    std::int64_t ratio = 0;
    for (const auto& row : report.running) {
        const auto* run = upstream.find_run(row.task, row.run);
        if (run != nullptr && run->target_tail_ms > 0) {
            ratio = std::max(ratio, row.load * 1000 / run->target_tail_ms);
        }
    }
    upstream.pressure_permille = ratio;
    if (upstream.filler_milli == 0) {
        upstream.trim = 1.0;
    }
    // Fillers that come and go do not begin the time anew: the task is over its target all the while.
    if (ratio < crossed_permille) {
        upstream.crossed_since = time_point::max();
        if (ratio < relaxed_permille && now - upstream.trimmed_at >= figure_span) {
            upstream.trim = std::min(upstream.trim + trim_step_up, 1.0);
            upstream.trimmed_at = now;
        }
        return;
    }
    upstream.crossed_since = std::min(upstream.crossed_since, now);
    if (now - upstream.trimmed_at >= figure_span) {
        upstream.trim = std::max(upstream.trim * trim_step_down, lowest_trim);
        upstream.trimmed_at = now;
    }
}

std::int32_t cell_scheduler::choose_pace(const upstream_ledger& upstream, const run_record& filler,
                                         time_point now) const {
    const bool is_crossed = upstream.crossed_since != time_point::max();
    const auto crossed_for = is_crossed ? now - upstream.crossed_since : time_point::duration(0);
    if (crossed_for * 1000 >= limits_.interference_limit * all_share_permille) {
        return 0;
    }
    const auto all = get_filler_uses(upstream, true);
    const filler_use use{filler.image, get_share(filler.filler_milli, upstream)};
    const double scale = get_filler_scale(upstream, use, all);
    const bool is_suspected = scale < 1.0 || upstream.trim < 1.0;
    if (is_suspected && crossed_for * 1000 >= limits_.interference_limit * suspected_share_permille) {
        return is_harmless(upstream, use) ? full_pace : 0;
    }
    return static_cast<std::int32_t>(std::lround(scale * full_pace));
}

bool cell_scheduler::may_take_filler(const upstream_ledger& upstream, const filler_use& filler,
                                     time_point now) const {
    if (upstream.crossed_since == time_point::max()) {
        return true;
    }
    const auto crossed_for = now - upstream.crossed_since;
    const bool is_short = crossed_for * 1000 < limits_.interference_limit * suspected_share_permille;
    return is_short && is_harmless(upstream, filler);
}

bool cell_scheduler::is_harmless(const upstream_ledger& upstream, const filler_use& filler) const {
    return std::none_of(upstream.runs.begin(), upstream.runs.end(), [&](const auto& entry) {
        const auto& run = entry.second;
        return run.target_tail_ms > 0 &&
               tails_.get_weight(run.image, filler.image) * filler.share >= negligible_rise;
    });
}

void cell_scheduler::update_pacing(upstream_ledger& upstream, const upstream_report& report, time_point now) {
    learn_tails(upstream, report, now);
    update_trim(upstream, report, now);
    for (auto& [key, run] : upstream.runs) {
        if (run.filler_milli == 0 || run.phase != run_phase::running) {
            continue;
        }
        const auto wanted = choose_pace(upstream, run, now);
        const bool is_change = std::abs(wanted - run.pace) >= pace_step ||
                               (wanted != run.pace && (wanted == 0 || wanted == full_pace));
        if (is_change && (wanted < run.pace || has_steady_pace(run, now))) {
            order_pace(upstream, key, run, wanted, now);
        }
    }
}

void cell_scheduler::order_pace(const upstream_ledger& upstream, const run_key& key, run_record& run,
                                std::int32_t pace, time_point now) {
    if (pace >= slow_pace) {
        run.slow_since = time_point::max();
    } else {
        run.slow_since = std::min(run.slow_since, now);
    }
    run.pace = pace;
    run.pace_changed_at = now;
    queued_orders_.emplace_back(pace_order{upstream.entry.id, key.first, key.second, pace});
}

void cell_scheduler::move_slow_fillers(upstream_ledger& upstream, time_point now) {
    for (auto& [key, run] : upstream.runs) {
        const bool is_slow = run.filler_milli > 0 && run.phase == run_phase::running &&
                             run.slow_since != time_point::max() && now - run.slow_since >= move_delay;
        auto* job = is_slow ? find_job(key.first.job) : nullptr;
        auto* task = job == nullptr ? nullptr : job->find_task(key.first);
        if (task != nullptr) {
            task->avoided.push_back(upstream.entry.id);
            begin_stop(run, now);
        }
    }
}

}  // namespace jacinthvane
