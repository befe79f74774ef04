// Measures the load of an owner and the speed of its calls; see cell_owner.hpp.

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include <glog/logging.h>

#include "request/cell_owner.hpp"

namespace jacinthvane {

using std::chrono::milliseconds;

namespace {

// Counts what has become of reservations since the earlier totals.
void count_reservations(const reservation_totals& earlier, const reservation_totals& totals,
                        metrics& counters) {
    counters.count(decision::reservation_created, totals.created - earlier.created);
    counters.count(decision::reservation_used, totals.used - earlier.used);
    counters.count(decision::reservation_cancelled, totals.cancelled - earlier.cancelled);
    const std::chrono::duration<double> held = totals.held - earlier.held;
    counters.count_reservation_held(held.count());
}

}  // namespace

void cell_owner::record_query(std::size_t response_bytes) {
    std::lock_guard lock(mutex_);
    load_.add_query(response_bytes);
}

void cell_owner::record_response(time_point expected_at) {
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    responses_.add(now, std::chrono::duration_cast<milliseconds>(now - expected_at));
}

bool cell_owner::is_silence_conclusive(time_point expected_at, time_point deadline) const {
    const auto now = std::chrono::steady_clock::now();
    if (now < deadline) {
        return true;
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(deadline - expected_at);
    std::lock_guard lock(mutex_);
    return responses_.is_silence_conclusive(expected_at, waited, now);
}

milliseconds cell_owner::get_call_timeout(milliseconds at_least) const {
    std::lock_guard lock(mutex_);
    return responses_.get_timeout(at_least, std::chrono::steady_clock::now());
}

awaitable<void> cell_owner::log_summaries() {
    constexpr milliseconds interval{1000};
    reservation_totals counted;
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        cell_summary cell;
        migration_count moved;
        std::string load;
        {
            std::lock_guard lock(mutex_);
            const auto now = std::chrono::steady_clock::now();
            const auto median = responses_.get_median(now - interval, now);
            load = load_.take_fields() + " poll_pause_ms=" + std::to_string(get_poll_pause().count()) +
                   " start_bytes_in_flight=" + std::to_string(link_.get_bytes_in_flight()) +
                   " response_median_ms=" + (median ? std::to_string(median->count()) : "none");
            cell = scheduler_.get_summary(std::chrono::steady_clock::now());
            count_reservations(counted, scheduler_.get_reservations().get_totals(), metrics_);
            counted = scheduler_.get_reservations().get_totals();
            moved = scheduler_.take_migrations();
        }
        LOG(INFO) << "event=cell_summary token=" << claim_.row.token << " jobs=" << cell.jobs
                  << " late=" << cell.late_jobs << " worthless=" << cell.worthless_jobs
                  << " waiting_serving=" << cell.waiting_serving
                  << " waiting_fillers=" << cell.waiting_best_effort
                  << " waiting_others=" << cell.waiting_others << " held=" << cell.held_tasks
                  << " unresolved=" << cell.unresolved_upstreams << " blocked=" << cell.blocked_upstreams
                  << " usable=" << cell.usable_upstreams << " on_trial=" << cell.trial_upstreams
                  << " crossed=" << cell.over_target_upstreams << " capacity=" << cell.capacity_milli
                  << " committed=" << cell.committed_milli << " fillers=" << cell.running_best_effort
                  << " filler_milli=" << cell.best_effort_milli << " paced_milli=" << cell.limited_cpu_milli
                  << " used_milli=" << cell.used_milli << " moved=" << moved.migrations
                  << " moves_refused=" << moved.refused << " move_gain_ms=" << moved.expected_gain.count();
        metrics_.set_late_jobs(cell.late_jobs);
        metrics_.count_migrations(moved.migrations, moved.expected_gain);
        LOG(INFO) << "event=owner_load token=" << claim_.row.token << " " << load;
    }
}

awaitable<void> cell_owner::measure_timers() {
    constexpr milliseconds interval{50};
    constexpr milliseconds response_window{500};
    while (!is_over()) {
        const auto due = std::chrono::steady_clock::now() + interval;
        co_await wait_until(due);
        const auto now = std::chrono::steady_clock::now();
        std::lock_guard lock(mutex_);
        load_.add_timer(due, now);
        pacer_.add_timer(due, now);
        link_.set_response_time(responses_.get_median(now - response_window, now).value_or(milliseconds(0)));
    }
}

awaitable<void> cell_owner::watch_backlog() {
    constexpr milliseconds interval{500};
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        std::lock_guard lock(mutex_);
        const bool was_overloaded = backlog_.is_refusing();
        const bool is_bound = held_decisions_ * 2 > decisions_ && link_.is_link_narrow();
        backlog_.update(std::chrono::steady_clock::now(), accepted_starts_, scheduler_.count_waiting_tasks(),
                        is_bound);
        accepted_starts_ = 0;
        decisions_ = 0;
        held_decisions_ = 0;
        const bool is_overloaded = backlog_.is_refusing();
        metrics_.set_overloaded(is_overloaded && !is_over_);
        if (is_overloaded != was_overloaded) {
            LOG(INFO) << "event=" << (is_overloaded ? "cell_overloaded" : "cell_carried")
                      << " token=" << claim_.row.token
                      << " expected_wait_ms=" << backlog_.get_expected_wait().count();
        }
    }
    metrics_.set_overloaded(false);
}

std::optional<time_point> cell_owner::get_overload_end() const {
    std::lock_guard lock(mutex_);
    return backlog_.is_refusing() ? std::optional(backlog_.get_accepts_at()) : std::nullopt;
}

}  // namespace jacinthvane
