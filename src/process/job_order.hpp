#pragma once

#include <cstdint>

#include "process/clock.hpp"
#include "process/duration_model.hpp"
#include "process/job_rank.hpp"
#include "process/job_record.hpp"

namespace jacinthvane {

// Ranks a job so that few jobs miss their objectives under overload. Ordering by deadline alone would
// complete every job just after its objective. Instead, jobs that can no longer meet their objective are
// ranked last, and the others are ranked by priority, then by value per unit of remaining work. mean_work is
// the mean work of the jobs of this queue, in thousandths of a processor times milliseconds. The objective
// and the remaining work follow from what is known of the durations: those measured in the job itself, then
// those learned for the queue.
job_rank rank_job(const job_record& job, std::int32_t priority, double mean_work,
                  const duration_model& durations, time_point now);

// Returns the work of all tasks of the job, as expected from its declared estimates, in thousandths of a
// processor times milliseconds.
double get_expected_work(const accepted_job& job, const duration_model& durations);

// Returns how long a task of the step takes at full speed, in milliseconds.
double get_expected_ms(const job_record& job, const step_spec& spec, const step_state& step,
                       const duration_model& durations);

}  // namespace jacinthvane
