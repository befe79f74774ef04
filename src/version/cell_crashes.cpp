// Finds the tasks that crash the upstreams on which they start; see cell_scheduler.hpp.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// Crashes after which a task starts only where no other run can have caused the next one.
constexpr std::size_t crashes_to_isolate = 2;
// Crashes after which a task is given up if no other run can have caused the last one and the upstream had
// accepted the start, and in any case.
constexpr std::size_t crashes_to_give_up_alone = 2;
constexpr std::size_t crashes_to_give_up = 3;
// A long-running task is never given up. Before it starts after further crashes it waits for twice as long
// each time, up to the maximum, and then for an upstream of its own for at most this long.
constexpr std::chrono::milliseconds first_crash_delay{250};
constexpr std::chrono::milliseconds max_crash_delay{2000};
constexpr std::chrono::milliseconds max_isolation_wait{1000};
// Placement costs, in units of an upstream's processors. Tasks under which an upstream has crashed are kept
// apart, so that the next crash has one suspect, and others are kept away from them.
constexpr double shared_suspicion_cost = 2.0;
constexpr double near_suspect_cost = 0.5;

}  // namespace

void cell_scheduler::record_crash(upstream_ledger& upstream, time_point now) {
    std::vector<run_key> suspects;
    for (const auto& [key, run] : upstream.runs) {
        // A start order that was refused or not sent has not crashed anything.
        const bool may_run = run.phase != run_phase::starting || run.is_order_sent || run.has_unknown_start;
        if (may_run && upstream.is_unproven(run)) {
            suspects.push_back(key);
        }
    }
    for (const auto& key : suspects) {
        auto& run = *upstream.find_run(key.first, key.second);
        if (run.is_incarnation_unknown) {
            run.crash_suspects = std::max(run.crash_suspects, suspects.size());
        } else {
            count_crash(upstream, key, suspects.size(), now);
        }
    }
}

void cell_scheduler::count_crash_of_earlier_incarnation(upstream_ledger& upstream, const run_key& key,
                                                        time_point now) {
    const auto* run = upstream.find_run(key.first, key.second);
    if (run->is_incarnation_unknown && run->crash_suspects > 0) {
        count_crash(upstream, key, run->crash_suspects, now);
    }
}

void cell_scheduler::count_crash(upstream_ledger& upstream, const run_key& key, std::size_t suspects,
                                 time_point now) {
    const auto& [ref, run] = key;
    auto* job = find_job(ref.job);
    auto* task = job == nullptr ? nullptr : job->find_task(ref);
    if (task == nullptr || is_final(job->pending_end) || task->phase == task_phase::done) {
        return;
    }
    auto& runs = task->crashed_runs;
    const auto position = std::lower_bound(runs.begin(), runs.end(), run);
    if (position != runs.end() && *position == run) {
        return;
    }
    runs.insert(position, run);
    dirty_jobs_.insert(job->id);
    // An upstream that crashed before it responded to the start may have crashed before it received it.
    const auto* crashed = upstream.find_run(ref, run);
    const bool is_confirmed =
        crashed != nullptr && (crashed->accepted_at != time_point() || crashed->is_listed);
    const bool is_alone = suspects == 1 && is_confirmed;
    const bool is_long_running = job->job->spec.steps[ref.step].is_long_running;
    const bool is_given_up =
        !is_long_running && runs.size() >= (is_alone ? crashes_to_give_up_alone : crashes_to_give_up);
    const auto delay = is_long_running ? get_crash_delay(runs.size()) : std::chrono::milliseconds(0);
    LOG(INFO) << "event=upstream_crashed upstream=" << upstream.entry.id.get() << " task=" << ref.to_string()
              << "/" << run << " crashes=" << runs.size() << " suspects=" << suspects
              << " given_up=" << is_given_up << " delay_ms=" << delay.count() << " token=" << token_;
    if (is_given_up) {
        end_job(*job, job_phase::failed, now);
    }
}

std::chrono::milliseconds cell_scheduler::get_crash_delay(std::size_t crashes) {
    constexpr std::size_t max_doublings = 3;
    if (crashes < crashes_to_isolate) {
        return std::chrono::milliseconds(0);
    }
    const auto doublings = std::min(crashes - crashes_to_isolate, max_doublings);
    return std::min(first_crash_delay * (1U << doublings), max_crash_delay);
}

std::uint32_t cell_scheduler::get_earlier_crashes(const task_record& task, bool is_long_running) {
    const auto crashes = task.crashed_runs.size();
    // A long-running task sees many crashes that it did not cause. Other tasks avoid its upstream, but are
    // not excluded from it.
    return static_cast<std::uint32_t>(is_long_running ? std::min(crashes, crashes_to_isolate - 1) : crashes);
}

void cell_scheduler::clear_proven_runs(upstream_ledger& upstream) {
    if (upstream.suspect_runs == 0) {
        return;
    }
    for (auto& [key, run] : upstream.runs) {
        if (run.earlier_crashes == 0 || upstream.is_unproven(run)) {
            continue;
        }
        run.earlier_crashes = 0;
        --upstream.suspect_runs;
        auto* job = find_job(key.first.job);
        auto* task = job == nullptr ? nullptr : job->find_task(key.first);
        if (task != nullptr && task->phase == task_phase::active && task->last_run == key.second) {
            task->crashed_runs.clear();
            dirty_jobs_.insert(job->id);
        }
    }
}

bool cell_scheduler::may_share(const upstream_ledger& upstream, const task_record& task, bool is_long_running,
                               time_point now) const {
    const bool is_suspect = task.crashed_runs.size() >= crashes_to_isolate;
    if (is_suspect && (!is_long_running || now < task.not_before + max_isolation_wait)) {
        return upstream.count_unproven_runs(0) == 0;
    }
    return upstream.suspect_runs == 0 || upstream.count_unproven_runs(crashes_to_isolate) == 0;
}

double cell_scheduler::get_crash_cost(const upstream_ledger& upstream, const task_record& task) const {
    if (upstream.suspect_runs == 0) {
        return 0;
    }
    const auto suspects = static_cast<double>(upstream.count_unproven_runs(1));
    return suspects * (task.crashed_runs.empty() ? near_suspect_cost : shared_suspicion_cost);
}

}  // namespace jacinthvane
