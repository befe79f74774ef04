#pragma once

#include <cstdint>
#include <set>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// Distinguishes an upstream on which every run fails from a job that fails on every upstream. Consecutive
// failures of several jobs block the upstream for a limited time; each further block lasts longer, up to a
// maximum.
class upstream_health {
public:
    // Records a run that failed or made no progress. A failure is ignored if the task has also failed on
    // another upstream (failed_elsewhere), since the cause is then probably the job, and if the run started
    // before the end of the last block, which was for the same cause. Returns whether a block begins with it.
    bool record_failure(const job_id& job, bool failed_elsewhere, time_point started_at, time_point now);
    void record_success();

    bool is_blocked(time_point now) const { return now < blocked_until_; }
    // Returns true after a block until a run succeeds. The upstream then gets only one run at a time.
    bool is_on_trial() const { return blocks_ > 0; }
    std::uint32_t get_failures() const { return failures_in_row_; }
    time_point get_blocked_until() const { return blocked_until_; }
    // Returns the number of blocks since a run last succeeded.
    std::uint32_t get_blocks() const { return blocks_; }

private:
    std::uint32_t failures_in_row_ = 0;
    std::set<job_id> failed_jobs_;
    std::uint32_t blocks_ = 0;
    time_point blocked_until_;
};

}  // namespace jacinthvane
