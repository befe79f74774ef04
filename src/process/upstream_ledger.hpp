#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"
#include "process/tail_model.hpp"
#include "process/task_ref.hpp"
#include "process/upstream_entry.hpp"
#include "process/upstream_health.hpp"

namespace jacinthvane {

enum class run_phase {
    // The start was sent and is not confirmed.
    starting,
    running,
    // It has to end: a stop is sent until the end is listed or the run is known to be absent.
    stopping,
};

// Pace of a filler of which nobody knows whether its last order was carried out, as after a takeover. It
// differs from every pace that may be wanted, so the next look orders one.
constexpr std::int32_t unknown_cpu_limit = 101;

// A run that may be on an upstream. Its resources stay committed as long as the record exists.
struct run_record {
    run_phase phase = run_phase::starting;
    resource_vector committed;
    // Processors of a filler, which are not committed.
    std::int64_t best_effort_milli = 0;
    // The run belongs to a job that is not known any more, so nothing may start beside it.
    bool is_size_unknown = false;
    bool is_long_running = false;
    // A tail latency that the task has to stay below; 0 means none.
    std::int64_t target_tail_ms = 0;
    // An order for it is on its way.
    bool is_order_sent = false;
    // A start got no answer, so it may be carried out later.
    bool has_unknown_start = false;
    std::uint32_t failed_orders = 0;
    time_point next_order;
    time_point started_at;
    // Clock of the upstream when the run was last known to be there; 0 if it was never seen.
    std::int64_t seen_clock_ms = 0;
    // Clock of the upstream when it took the stop; 0 if it has not.
    std::int64_t stopped_clock_ms = 0;
    // Clock of the upstream at the first report that should have listed the run and did not; 0 if none.
    std::int64_t absent_clock_ms = 0;
    std::int32_t percent = -1;
    time_point percent_changed_at;
    std::int64_t load = 0;
    image_index image = 0;
    std::int32_t pace = 100;
    time_point cpu_limit_changed_at;
    // Since when the filler runs too slowly to be worth its place; max if it does not.
    time_point slow_since = time_point::max();
    // No look for a better place before this time.
    time_point next_move_check;
};

// A filler that has ended, and what it used until then.
struct ended_best_effort_task {
    best_effort_use use;
    time_point ended_at;
};

using run_key = std::pair<task_ref, std::uint64_t>;

// What the owner knows of an upstream.
struct upstream_ledger {
    upstream_entry entry;
    // The platform lists it.
    bool is_listed = false;
    // The store's list names it, so that a successor will ask it for the runs of this owner.
    bool is_recorded = false;
    // It has answered this owner in its present life.
    bool has_responded = false;
    // The last look got no answer.
    bool is_unresponsive = false;
    time_point answered_at;
    // When a leaving upstream may be gone.
    time_point leaves_at;
    // Reading of its clock, and when the answer with it arrived.
    std::int64_t clock_ms = 0;
    time_point clock_read_at;
    std::int64_t boot_unix_ms = 0;
    // Every lease that this or an earlier owner granted has ended by then.
    time_point leases_expire_at;
    // Highest end that was applied, and highest end whose effect is durable.
    std::uint64_t applied_end = 0;
    std::uint64_t durable_end = 0;
    std::map<run_key, run_record> runs;
    resource_vector committed;
    std::int64_t best_effort_milli = 0;
    // Highest ratio of tail latency to target among its tasks, in thousandths.
    std::int64_t pressure_permille = 0;
    // Headroom that is kept for serving tasks beyond what the model asks for, since a target was crossed
    // lately.
    double margin = 0;
    time_point margin_changed_at;
    // Since when a target is crossed; max if none is.
    time_point target_exceeded_since = time_point::max();
    time_point learnt_at;
    // Fillers that ended a moment ago and are in the next figures yet.
    std::vector<ended_best_effort_task> ended_best_effort_tasks;
    upstream_health health;

    resource_vector get_room() const { return entry.capacity - committed; }
    // Reading of its clock now, if it runs as fast as ours.
    std::int64_t estimate_clock_ms(time_point now) const;
    // Processors that the committed tasks are expected to use, in thousandths.
    std::int64_t estimate_used_milli() const;
    run_record* find_run(const task_ref& task, std::uint64_t run);
    void add_run(const task_ref& task, std::uint64_t run, run_record record);
    void remove_run(const task_ref& task, std::uint64_t run);
};

}  // namespace jacinthvane
