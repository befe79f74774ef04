#pragma once

#include <compare>
#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// Whether a job can still meet its objective, and whether it has value if it cannot.
enum class job_outlook { in_time, late, no_remaining_value };

// Sort key of a job. Jobs with smaller ranks are placed first, and their best-effort tasks get CPU time
// first.
struct job_rank {
    job_outlook outlook = job_outlook::in_time;
    std::int32_t priority = 0;
    // Remaining work per unit of the job's value. A job that is nearly done goes before a job of the same
    // value that has barely started.
    double cost_per_value = 0;
    time_point objective;

    auto operator<=>(const job_rank&) const = default;

    // Whether this rank is so much better that a task may take CPU time from running tasks of the other.
    // Ranks change with each progress, so a small difference says nothing; tasks of one job would displace
    // each other.
    bool is_clearly_before(const job_rank& other) const {
        if (outlook != other.outlook || priority != other.priority) {
            return *this < other;
        }
        constexpr double clear_share = 0.7;
        return cost_per_value < clear_share * other.cost_per_value;
    }
};

}  // namespace jacinthvane
