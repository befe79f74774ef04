#pragma once

#include <compare>
#include <cstdint>

#include "process/clock.hpp"
#include "process/job_record.hpp"

namespace jacinthvane {

// What a job can still reach.
enum class job_outlook { in_time, late, worthless };

// Place of a job in the order of those that wait for room. Smaller goes first.
struct job_rank {
    job_outlook outlook = job_outlook::in_time;
    std::int32_t priority = 0;
    // Remaining work for each unit of the job's value, so that work that is nearly done goes before work of
    // the same value that has hardly begun.
    double cost_per_value = 0;
    time_point objective;

    auto operator<=>(const job_rank&) const = default;
};

// Answers overload of work with objectives. By deadlines alone every job would be served just after its
// objective; here the jobs that cannot meet theirs any more stand back, and of the others the ones that bring
// most for the work that is left go first. mean_work is the usual work of a job of this queue in
// processor-milliseconds, in thousandths of a processor.
job_rank rank_job(const job_record& job, std::int32_t priority, double mean_work, time_point now);

// Work of all tasks of the job by its estimates, in thousandths of a processor times milliseconds.
double get_declared_work(const job_spec& spec);

}  // namespace jacinthvane
