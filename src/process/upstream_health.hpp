#pragma once

#include <cstdint>
#include <set>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// Tells an upstream that fails whatever it starts from jobs that fail wherever they start. Failures of
// several jobs in a row without a success block the upstream for a while; each further block lasts longer.
class upstream_health {
public:
    // The run failed or stood still. A job that has failed on other upstreams too says little about this one.
    void record_failure(const job_id& job, bool failed_elsewhere, time_point now);
    void record_success();

    bool is_blocked(time_point now) const { return now < blocked_until_; }
    // After a block, one run at a time shows whether the upstream works again.
    bool is_on_trial() const { return blocks_ > 0; }
    std::uint32_t get_failures() const { return failures_in_row_; }

private:
    std::uint32_t failures_in_row_ = 0;
    std::set<job_id> failed_jobs_;
    std::uint32_t blocks_ = 0;
    time_point blocked_until_;
};

}  // namespace jacinthvane
