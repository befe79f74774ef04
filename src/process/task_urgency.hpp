#pragma once

#include "process/clock.hpp"
#include "process/job_record.hpp"

namespace jacinthvane {

// Weight of a best-effort task in the division of headroom, if nothing is known of its job.
constexpr double neutral_urgency = 1.0;

// Measures what the urgency of the tasks of an occurrence is derived from: the outlook of the job, and when
// the median task of each step ends. Tasks that have not started do not count for the median.
occurrence_pace measure_pace(const job_record& job, const occurrence_record& occurrence, time_point now);

// Returns the weight with which a running best-effort task competes for headroom. A step ends with its last
// task, so a task that will end long after the median of its step gets more, and one that will end long
// before it gets less. A task of a job that can no longer meet its objective yields to those that can. The
// step must be one of the occurrence that was measured. A task of unknown expected end is not compared with
// its step.
double get_urgency(const occurrence_pace& pace, std::uint32_t step, time_point expected_end, time_point now);

}  // namespace jacinthvane
