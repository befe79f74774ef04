#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/job_rank.hpp"
#include "process/resource_vector.hpp"
#include "process/return_ramp.hpp"
#include "process/start_health.hpp"
#include "process/tail_model.hpp"
#include "process/task_ref.hpp"
#include "process/upstream_entry.hpp"
#include "process/upstream_health.hpp"
#include "process/upstream_index.hpp"

namespace jacinthvane {

enum class run_phase {
    // The start order was sent and is not confirmed yet.
    starting,
    running,
    // The run has to end. Stop orders are sent until the upstream reports the end or the run is known to be
    // absent.
    stopping,
};

// CPU limit, in percent, of a best-effort task for which it is unknown whether the last order took effect, as
// after a takeover. It differs from every valid limit, so the next poll sends a new order.
constexpr std::int32_t full_cpu_limit_percent = 100;
constexpr std::int32_t unknown_cpu_limit_percent = 101;

// A run that may exist on an upstream. Its resources stay committed as long as the record exists.
struct run_record {
    run_phase phase = run_phase::starting;
    resource_vector committed;
    // Processors of a best-effort task, which are not committed.
    std::int64_t best_effort_milli = 0;
    // The run belongs to a job without a record, so its size is unknown and no other run may start on the
    // upstream.
    bool is_size_unknown = false;
    bool is_long_running = false;
    // When a run that holds processors will probably end, by its estimate or by its progress so far; max for
    // all other runs.
    time_point expected_end = time_point::max();
    // Tail latency that the task has to stay below; 0 means no target.
    std::int64_t target_tail_ms = 0;
    // The start order is sent once the location of the run is durable.
    bool awaits_record = false;
    // An order for the run was sent and has no response yet.
    bool is_order_sent = false;
    // A start order was sent and has no response yet, whatever the phase is now.
    bool is_start_in_flight = false;
    // A start order got no response, so it may still take effect later.
    bool has_unknown_start = false;
    // A report of the current incarnation of the upstream has listed the run.
    bool is_listed = false;
    // The upstream has restarted, and it is not known yet which incarnation received the start order.
    bool is_incarnation_unknown = false;
    // Runs that may have caused the crash of the previous incarnation, if the incarnation is unknown. If this
    // run turns out not to be in the new one, it was one of them.
    std::size_t crash_suspects = 0;
    // When the response that accepted the start order arrived.
    time_point accepted_at;
    // Clock of the upstream in that response; 0 if there was none from the current incarnation.
    std::int64_t accepted_clock_ms = 0;
    // It was counted as a run at its estimated speed; see return_ramp.
    bool is_speed_counted = false;
    // Start orders whose missing responses say something about the upstream.
    std::uint32_t failed_orders = 0;
    // Orders of the current phase that were sent again.
    std::uint32_t repeated_orders = 0;
    time_point next_order;
    time_point started_at;
    // Clock of the upstream when the run was last known to exist; 0 if it never was.
    std::int64_t seen_clock_ms = 0;
    // Clock of the upstream when it accepted the stop order; 0 if it has not.
    std::int64_t stopped_clock_ms = 0;
    // Clock of the upstream at the first report that did not list the run although it should have; 0 if none.
    std::int64_t absent_clock_ms = 0;
    // Progress in the last report, in percent; -1 before the first report.
    std::int32_t percent = -1;
    // Progress in the first report, and when it arrived. The run may have begun at a checkpoint.
    std::int32_t first_percent = -1;
    time_point first_percent_at;
    // Clock of the upstream at the report in which the progress last changed.
    std::int64_t percent_changed_clock_ms = 0;
    std::int64_t load = 0;
    // Rank of its job when its CPU limit was last planned, for a best-effort task.
    job_rank rank;
    // Share of its requested processors that a best-effort task uses at full speed; 0 if unknown.
    double use_ratio = 0;
    // The run began without a checkpoint.
    bool is_fresh = false;
    // How long its work so far would have taken at full speed, and until when that is counted.
    std::chrono::duration<double, std::milli> full_speed_time{0};
    time_point counted_until;
    // Upstreams that crashed under earlier runs of the task.
    std::uint32_t earlier_crashes = 0;
    image_index image = 0;
    // CPU limit that was last sent, in percent of full speed.
    std::int32_t cpu_limit_percent = 100;
    time_point cpu_limit_changed_at;
    // Since when the CPU limit of the best-effort task is so low that it should be moved to another upstream;
    // max if it is not.
    time_point slow_since = time_point::max();
    // Earliest time of the next search for a better upstream.
    time_point next_move_check;

    // Whether no start order for the run was ever sent.
    bool is_unsent() const {
        return phase == run_phase::starting && !is_order_sent && !is_start_in_flight && !has_unknown_start;
    }
    // Whether a start order for the run has no response yet, or had none.
    bool is_start_unanswered() const {
        return is_start_in_flight || (phase == run_phase::starting && has_unknown_start);
    }
    // Whether the next incarnation of the upstream may have received the start order. One that this
    // incarnation has listed belongs to it, unless the order was sent again.
    bool may_be_in_next_incarnation() const {
        return is_start_in_flight || has_unknown_start || (phase != run_phase::starting && !is_listed);
    }
    // Derives the expected end from the progress that a report of this time shows.
    void update_expected_end(time_point now);
    // Counts the work since it was counted last, or since its start, at the speed of the CPU limit in force.
    void count_work(time_point now);
    // Returns how long the whole task takes at full speed, in milliseconds, if this much of it, in percent,
    // was done by the last report; 0 if too little is known.
    double estimate_full_time_ms(std::int32_t done_percent) const;
    // Records the progress that a report of this time shows.
    void record_percent(std::int32_t reported, time_point now);
    // Returns its speed so far, in percent of its work per millisecond; nothing if too little is known of it.
    std::optional<double> estimate_percent_per_ms(time_point now) const;
    // Forgets what the previous incarnation reported about the run, and its clock.
    void expect_in_next_incarnation();
};

// A best-effort task that has ended, and the processors that it used.
struct ended_best_effort_task {
    best_effort_use use;
    time_point ended_at;
};

using run_key = std::pair<task_ref, std::uint64_t>;

// Refers to a run without a copy of its task.
struct run_key_view {
    const task_ref& task;
    std::uint64_t run;
};

// Orders runs by task and number.
struct run_order {
    using is_transparent = void;

    bool operator()(const run_key& left, const run_key& right) const { return left < right; }
    bool operator()(const run_key& left, const run_key_view& right) const {
        return std::tie(left.first, left.second) < std::tie(right.task, right.run);
    }
    bool operator()(const run_key_view& left, const run_key& right) const {
        return std::tie(left.task, left.run) < std::tie(right.first, right.second);
    }
};

// Failed polls in a row after which the runs of an upstream whose leases have expired are given up.
constexpr std::uint32_t conclusive_failed_polls = 2;

// State of an upstream as recorded by the owner.
struct upstream_ledger {
    upstream_entry entry;
    // The platform's list contains the upstream.
    bool is_listed = false;
    // The list in the store contains the upstream, so that the next owner will poll it for runs of this
    // owner.
    bool is_recorded = false;
    // The upstream has responded to this owner in its current incarnation.
    bool has_responded = false;
    // When the current incarnation first responded to this owner.
    time_point responded_at;
    // An earlier owner may have started runs there that no report has listed yet.
    bool may_have_inherited_runs = false;
    // The highest token of an earlier owner that may have granted leases there.
    std::uint64_t granting_token = 0;
    // The next owner is told, or will be, that this one has granted no lease there, so it must not.
    bool is_declared_silent = false;
    // The last poll got no response.
    bool is_unresponsive = false;
    // Polls in a row that were sent after the leases had expired and returned no list.
    std::uint32_t failed_polls_after_expiry = 0;
    // Earliest time at which a leaving upstream may be removed.
    time_point leaves_at;
    // When the last poll was made. Its report lists all that the upstream had accepted by then.
    time_point polled_at;
    // When the last poll was made that has been answered with a report.
    time_point reported_poll_at;
    // Reading of the upstream's clock, and when the response with it arrived.
    std::int64_t clock_ms = 0;
    time_point clock_read_at;
    std::int64_t boot_unix_ms = 0;
    // The incarnation to which the newest entry of the platform belongs; 0 if it does not tell.
    std::int64_t listed_boot_unix_ms = 0;
    // When the entry of the present incarnation was first missed.
    time_point entry_missed_at;
    // Until when the lease lasts that the poll in flight renews, and the one that an answered poll renewed.
    time_point offered_lease_until;
    time_point confirmed_lease_until;
    // Every lease that this or a previous owner granted has ended by then.
    time_point leases_expire_at;
    // The incarnation on whose clock the lease in the poll in flight ends, if it is sent on a new connection,
    // where another one may receive it.
    std::optional<std::int64_t> exposed_poll_boot_unix_ms;
    // When calls with a lease on the clock of this incarnation last ended, by a response and without one. The
    // next incarnation may have received them.
    time_point lease_answered_at;
    time_point lease_unanswered_at;
    // Every foreign lease that is known has ended by then; see foreign_lease.
    time_point foreign_leases_expire_at;
    // There may be further ones, of earlier owners.
    bool may_have_inherited_foreign_leases = false;
    // The incarnation in the stored list.
    std::int64_t recorded_boot_unix_ms = 0;
    // Highest number of an end of a run that was applied, and of one whose effect is durable.
    std::uint64_t applied_end = 0;
    std::uint64_t durable_end = 0;
    std::map<run_key, run_record, run_order> runs;
    // Until when start orders that got no response may still be carried out, by run, whatever the response to
    // another copy was and whether the run has ended. A later incarnation does not know what excludes them.
    std::map<run_key, time_point, run_order> unanswered_starts;
    resource_vector committed;
    std::int64_t best_effort_milli = 0;
    // Estimate of the processors that the committed tasks use, in thousandths of a processor.
    std::int64_t used_milli = 0;
    // Runs whose size is unknown; no other run may start while there is one.
    std::size_t unknown_size_runs = 0;
    // Runs of tasks under which an upstream has crashed before.
    std::size_t suspect_runs = 0;
    // Highest ratio of tail latency to target among its tasks, in thousandths.
    std::int64_t pressure_permille = 0;
    // Headroom that is reserved for latency-critical tasks in addition to that of the model, since a target
    // was exceeded recently.
    double margin = 0;
    time_point margin_changed_at;
    // Since when a target is exceeded; max if none is.
    time_point target_exceeded_since = time_point::max();
    // When the tail model was last updated with measurements of this upstream.
    time_point tail_model_updated_at;
    // Best-effort tasks that ended so recently that the next measurements still include them.
    std::vector<ended_best_effort_task> ended_best_effort_tasks;
    upstream_health health;
    start_health starts;
    return_ramp returning;
    // Its slot in the index of the scheduler.
    upstream_index::slot_number slot = 0;
    // Whether the scheduler looks for orders to send again here, and for best-effort tasks to move.
    bool has_pending_orders = false;
    bool has_slow_tasks = false;

    // Whether all runs must have ended and it cannot be learned how: their leases have expired, and polls
    // that were sent after that returned no list. One failed poll proves little, since it may have been sent
    // on a broken connection.
    bool is_lost(time_point now) const {
        return (is_unresponsive || !has_responded) && now >= leases_expire_at &&
               failed_polls_after_expiry >= conclusive_failed_polls;
    }
    // Whether the run may be what crashes the upstream: it was not seen to survive long enough.
    bool is_unproven(const run_record& run) const;
    // Returns the unproven runs of tasks under which at least this many upstreams have crashed before.
    std::size_t count_unproven_runs(std::uint32_t min_earlier_crashes) const;
    // Whether the run was accepted by an earlier incarnation: the report to the last poll, of the current
    // one, does not list it, although it was accepted before that poll.
    bool is_of_earlier_incarnation(const run_record& run) const {
        return run.is_incarnation_unknown && !run.is_start_in_flight && run.accepted_at < polled_at;
    }
    bool has_unknown_incarnations() const;
    // Whether the entry is that of the present incarnation. The next one under the same id may have other
    // labels, another capacity and another service.
    bool has_current_entry() const { return listed_boot_unix_ms == 0 || listed_boot_unix_ms == boot_unix_ms; }
    // Whether the ledger has a run of the task.
    bool has_run_of(const task_ref& task) const;
    // Forgets the unanswered starts that are not carried out any more.
    void remove_expired_starts(time_point now);
    // Whether a further start order may be sent: while the upstream is on trial, it gets one at a time.
    bool may_get_start() const;
    // Whether a start order got no response and may still take effect.
    bool leaves_starts_unanswered() const;
    // Whether a further run may be placed, in view of those that are unanswered or wait to be sent.
    bool may_get_run(bool is_long_running) const;
    // The earliest expected end of a run.
    time_point get_expected_end() const;
    resource_vector get_room() const { return entry.capacity - committed; }
    // Estimates the current reading of the upstream's clock, assuming that it runs as fast as the clock of
    // this process.
    std::int64_t estimate_clock_ms(time_point now) const;
    run_record* find_run(const task_ref& task, std::uint64_t run);
    void add_run(const task_ref& task, std::uint64_t run, run_record record);
    void remove_run(const task_ref& task, std::uint64_t run);
};

}  // namespace jacinthvane
