#include "process/upstream_health.hpp"

#include <algorithm>
#include <chrono>

namespace jacinthvane {

namespace {

// An upstream is blocked after this many consecutive failures of at least this many different jobs.
constexpr std::uint32_t failures_to_block = 3;
constexpr std::size_t jobs_to_block = 2;
// Duration of the first block. Each further block lasts twice as long, with at most this many doublings.
constexpr std::chrono::milliseconds first_block{2500};
constexpr std::uint32_t max_doublings = 3;

}  // namespace

bool upstream_health::record_failure(const job_id& job, bool failed_elsewhere, time_point started_at,
                                     time_point now) {
    if (failed_elsewhere || (is_on_trial() && started_at < blocked_until_)) {
        return false;
    }
    ++failures_in_row_;
    failed_jobs_.insert(job);
    const bool is_failing = failures_in_row_ >= failures_to_block && failed_jobs_.size() >= jobs_to_block;
    if (!is_failing && !is_on_trial()) {
        return false;
    }
    blocked_until_ = now + first_block * (1U << std::min(blocks_, max_doublings));
    ++blocks_;
    failures_in_row_ = 0;
    failed_jobs_.clear();
    return true;
}

void upstream_health::record_success() {
    failures_in_row_ = 0;
    failed_jobs_.clear();
    blocks_ = 0;
}

}  // namespace jacinthvane
