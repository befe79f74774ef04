#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/clock.hpp"
#include "process/placement_forecast.hpp"
#include "process/resource_vector.hpp"
#include "process/task_ref.hpp"

namespace jacinthvane {

enum class reservation_end {
    // The task, or the gang, has started.
    used,
    // The job has ended, or no more of its tasks wait than there are other reservations for.
    not_needed,
    // The room was not free in time: a run did not end when expected, or urgent work took the room.
    delayed,
    // The upstream takes no tasks.
    upstream_lost,
    // A job that ranks before needs the room or the place in the table.
    outranked,
};

std::string_view get_name(reservation_end end);

// Room that is held for tasks that fit nowhere yet: for one or several tasks of a step on one upstream, or
// for all tasks of a gang.
struct reservation {
    step_ref step;
    // Size of one task.
    resource_vector size;
    bool is_gang = false;
    // Place of the job in the order of the current decision.
    std::size_t position = 0;
    time_point created_at;
    // When all holds will be free.
    time_point starts_at;
    std::vector<room_hold> holds;

    std::uint32_t count_tasks() const;
    const room_hold* find_hold(upstream_index::slot_number slot) const;
};

// Counts since the owner began.
struct reservation_totals {
    std::uint64_t created = 0;
    std::uint64_t used = 0;
    std::uint64_t cancelled = 0;
    std::chrono::milliseconds held{0};

    bool operator==(const reservation_totals&) const = default;
};

// The reservations of a cell, at most one for each upstream, and what decides whether there may be any: that
// tasks of clearly different sizes wait. Not safe for concurrent use.
class reservation_table {
public:
    // Bounds on the steps with reservations, on the tasks of a step that is no gang, and on all holds.
    static constexpr std::size_t max_steps = 4;
    static constexpr std::uint32_t max_tasks_per_step = 4;
    static constexpr std::size_t max_holds = 32;

    // Records that a step waits that needs these processors at once.
    void record_demand(std::int64_t processors_milli, time_point now);
    // Whether a clearly smaller demand was recorded recently, so that small tasks can take the room that a
    // task of this size waits for.
    bool has_smaller_demand(std::int64_t processors_milli, time_point now) const;

    bool is_empty() const { return reservations_.empty(); }
    const std::vector<reservation>& get_all() const { return reservations_; }
    std::vector<reservation>& get_all() { return reservations_; }
    // The reservation with a hold on the upstream, if there is one.
    const reservation* find(upstream_index::slot_number slot) const;
    std::uint32_t count_tasks(const step_ref& step) const;
    std::size_t count_steps() const;
    std::size_t count_holds() const;

    void add(reservation added);
    // Removes the reservation and returns it.
    reservation end(std::size_t index, reservation_end how, time_point now);
    // Records that one task of the reservation has started on the upstream.
    void use_task(std::size_t index, upstream_index::slot_number slot);

    // After a delay there, no room is held on the upstream for a while.
    void exclude(upstream_index::slot_number slot, time_point now);
    bool is_excluded(upstream_index::slot_number slot, time_point now) const;

    const reservation_totals& get_totals() const { return totals_; }

private:
    struct exclusion {
        upstream_index::slot_number slot = 0;
        time_point until;
    };

    std::vector<reservation> reservations_;
    std::vector<exclusion> exclusions_;
    // The smallest demand of the last seconds, and when it was last seen; 0 if there was none.
    std::int64_t smallest_demand_milli_ = 0;
    time_point smallest_demand_at_;
    reservation_totals totals_;
};

}  // namespace jacinthvane
