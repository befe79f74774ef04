// Moves slow best-effort tasks to upstreams where they end earlier; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include <glog/logging.h>

#include "process/job_order.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// How long a best-effort task with checkpoints has had a low CPU limit before it is moved. Tasks of better
// ranks that took its CPU time mostly end sooner.
constexpr std::chrono::milliseconds move_delay{2000};
// A best-effort task without checkpoints loses its work when it is moved, so it waits longer for a higher
// limit.
constexpr std::chrono::milliseconds restart_move_delay{3500};
// From the end of a stopped run until the next run of the task begins: the report of the end, a decision and
// the start order.
constexpr std::chrono::milliseconds restart_delay{300};
// How often another upstream is sought for a slow task, and for how many tasks in one decision.
constexpr std::chrono::milliseconds move_check_interval{400};
constexpr std::size_t max_moves_per_decision = 12;
// Progress of a task that has ended.
constexpr std::int32_t full_percent = 100;
}  // namespace

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
    const double expected_ms =
        get_expected_ms(*slow.job, spec, *slow.job->find_step(slow.ref.get_step()), durations_);
    const double full_ms = slow.task->measured_ms > 0 ? slow.task->measured_ms : expected_ms;
    migration_terms terms;
    terms.full_time = std::chrono::milliseconds(std::llround(full_ms));
    terms.percent = slow.run->percent;
    if (percent_per_ms) {
        terms.speed = *percent_per_ms * full_ms / full_percent;
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
    const auto use = get_use(*chosen->upstream, *slow.run);
    terms.new_speed = get_best_effort_gain(*chosen->upstream, use, slow.job->rank, now).cpu_limit;
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
