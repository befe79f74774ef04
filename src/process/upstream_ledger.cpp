#include "process/upstream_ledger.hpp"

#include <algorithm>
#include <chrono>

namespace jacinthvane {

namespace {

// Share of its committed processors that a long-running task uses on average.
constexpr std::int64_t long_running_use_permille = 550;
// A run that was seen on its upstream this long after its start does not crash it. A task that crashes
// upstreams does so when it starts.
constexpr std::chrono::milliseconds proof_time{5000};
// Progress is reported in whole percent, so less of it says little about the speed of a run.
constexpr std::int32_t min_conclusive_percent = 10;
// The rate of a run is known this long after the first report of its progress. Upstreams report every 0.3 s,
// and the tasks that share headroom take about 2 s.
constexpr std::chrono::milliseconds min_rate_time{200};

// Estimates the processors that a committed run uses, in thousandths of a processor.
std::int64_t estimate_used_milli(const run_record& run) {
    const auto processors = run.committed.get_processors_milli();
    return run.is_long_running ? processors * long_running_use_permille / 1000 : processors;
}

}  // namespace

void run_record::update_expected_end(time_point now) {
    const bool is_accepted = accepted_at != time_point();
    if (expected_end == time_point::max() || !is_accepted || percent < min_conclusive_percent) {
        return;
    }
    expected_end = accepted_at + (now - accepted_at) * 100 / percent;
}

void run_record::count_work(time_point now) {
    const auto from = std::max(counted_until, accepted_at == time_point() ? started_at : accepted_at);
    if (from < now) {
        full_speed_time += std::min(cpu_limit_percent, full_cpu_limit_percent) / 100.0 * (now - from);
    }
    counted_until = now;
}

double run_record::estimate_full_time_ms(std::int32_t done_percent) const {
    return is_fresh && done_percent >= min_conclusive_percent ? full_speed_time.count() * 100.0 / done_percent
                                                              : 0.0;
}

void run_record::record_percent(std::int32_t reported, time_point now) {
    if (percent < 0) {
        first_percent = reported;
        first_percent_at = now;
    }
    percent = reported;
}

std::optional<double> run_record::estimate_percent_per_ms(time_point now) const {
    if (percent < 0 || now - first_percent_at < min_rate_time) {
        return std::nullopt;
    }
    // A run without any progress counts as one that is about to complete its first percent.
    const auto gained = std::max(percent - first_percent, 1);
    const std::chrono::duration<double, std::milli> elapsed = now - first_percent_at;
    return gained / elapsed.count();
}

void run_record::expect_in_next_incarnation() {
    is_incarnation_unknown = true;
    is_listed = false;
    accepted_clock_ms = 0;
    seen_clock_ms = 0;
    stopped_clock_ms = 0;
    absent_clock_ms = 0;
    percent = -1;
    percent_changed_clock_ms = 0;
    cpu_limit_percent = unknown_cpu_limit_percent;
}

bool upstream_ledger::may_get_start() const {
    return !starts.is_unproven() || std::none_of(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.is_start_unanswered();
    });
}

bool upstream_ledger::leaves_starts_unanswered() const {
    return std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.phase == run_phase::starting && entry.second.has_unknown_start;
    });
}

bool upstream_ledger::may_get_run(bool is_long_running) const {
    // Long-running tasks wait for their records together, so that they are not spread over more upstreams.
    if (is_long_running && !starts.is_failing()) {
        return may_get_start();
    }
    return !starts.is_unproven() || std::none_of(runs.begin(), runs.end(), [](const auto& entry) {
        return entry.second.is_start_unanswered() || entry.second.is_unsent();
    });
}

std::int64_t upstream_ledger::estimate_clock_ms(time_point now) const {
    return clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_read_at).count();
}

bool upstream_ledger::is_unproven(const run_record& run) const {
    return clock_read_at < run.started_at + proof_time;
}

std::size_t upstream_ledger::count_unproven_runs(std::uint32_t min_earlier_crashes) const {
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const auto& entry) {
        return entry.second.earlier_crashes >= min_earlier_crashes && is_unproven(entry.second);
    }));
}

bool upstream_ledger::has_unknown_incarnations() const {
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto& entry) { return entry.second.is_incarnation_unknown; });
}

bool upstream_ledger::has_run_of(const task_ref& task) const {
    const auto found = runs.lower_bound(run_key_view{task, 0});
    return found != runs.end() && found->first.first == task;
}

void upstream_ledger::remove_expired_starts(time_point now) {
    std::erase_if(unanswered_starts, [&](const auto& entry) { return now >= entry.second; });
}

time_point upstream_ledger::get_expected_end() const {
    auto earliest = time_point::max();
    for (const auto& [key, run] : runs) {
        earliest = std::min(earliest, run.expected_end);
    }
    return earliest;
}

run_record* upstream_ledger::find_run(const task_ref& task, std::uint64_t run) {
    const auto found = runs.find(run_key_view{task, run});
    return found == runs.end() ? nullptr : &found->second;
}

void upstream_ledger::add_run(const task_ref& task, std::uint64_t run, run_record record) {
    committed = committed + record.committed;
    best_effort_milli += record.best_effort_milli;
    used_milli += estimate_used_milli(record);
    unknown_size_runs += record.is_size_unknown ? 1 : 0;
    suspect_runs += record.earlier_crashes > 0 ? 1 : 0;
    runs.emplace(run_key{task, run}, record);
}

void upstream_ledger::remove_run(const task_ref& task, std::uint64_t run) {
    const auto found = runs.find(run_key_view{task, run});
    if (found == runs.end()) {
        return;
    }
    committed = committed - found->second.committed;
    best_effort_milli -= found->second.best_effort_milli;
    used_milli -= estimate_used_milli(found->second);
    unknown_size_runs -= found->second.is_size_unknown ? 1 : 0;
    suspect_runs -= found->second.earlier_crashes > 0 ? 1 : 0;
    runs.erase(found);
}

}  // namespace jacinthvane
