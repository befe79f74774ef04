#pragma once

#include <compare>
#include <cstdint>

#include "process/clock.hpp"
#include "process/job_record.hpp"

namespace jacinthvane {

// Whether a job can still meet its objective, and whether it has value if it cannot.
enum class job_outlook { in_time, late, no_remaining_value };

// Sort key of a job that waits for free capacity. Jobs with smaller ranks are placed first.
struct job_rank {
    job_outlook outlook = job_outlook::in_time;
    std::int32_t priority = 0;
    // Remaining work per unit of the job's value. A job that is nearly done goes before a job of the same
    // value that has barely started.
    double cost_per_value = 0;
    time_point objective;

    auto operator<=>(const job_rank&) const = default;
};

// Ranks a job so that few jobs miss their objectives under overload. Ordering by deadline alone would
// complete every job just after its objective. Instead, jobs that can no longer meet their objective are
// ranked last, and the others are ranked by priority, then by value per unit of remaining work. mean_work is
// the mean work of the jobs of this queue, in thousandths of a processor times milliseconds.
job_rank rank_job(const job_record& job, std::int32_t priority, double mean_work, time_point now);

// Returns the work of all tasks of the job by its estimates, in thousandths of a processor times
// milliseconds.
double get_declared_work(const job_spec& spec);

}  // namespace jacinthvane
