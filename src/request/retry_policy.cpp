#include "request/retry_policy.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// Whether a retry on another upstream, or after a short wait, can have another outcome.
bool is_retryable(error_kind error) {
    switch (error) {
        case error_kind::no_capacity:
        case error_kind::upstream_leaving:
        case error_kind::upstream_too_late:
        case error_kind::upstream_failed:
        case error_kind::upstream_unreachable:
        case error_kind::upstream_lost:
        case error_kind::call_delayed:
        case error_kind::peer_unreachable:
        case error_kind::peer_lost:
        case error_kind::not_ready:
        case error_kind::shutting_down:
            return true;
        default:
            return false;
    }
}

}  // namespace

retry_policy::retry_policy(retry_settings settings)
    : settings_(settings), credit_permille_(settings.burst * 1000) {}

void retry_policy::record_request() {
    credit_permille_ = std::min(credit_permille_ + settings_.budget_permille, settings_.burst * 1000);
}

retry_decision retry_policy::decide(const failed_attempt& failure, time_point now) {
    if (!failure.is_idempotent && failure.run != run_knowledge::not_run) {
        return retry_refusal::not_safe;
    }
    if (!is_retryable(failure.error)) {
        return retry_refusal::not_useful;
    }
    if (failure.attempts >= settings_.attempt_limit) {
        return retry_refusal::too_many_attempts;
    }
    const int doublings = std::clamp(failure.attempts - 1, 0, 16);
    const auto backoff = std::min(settings_.initial_backoff * (1 << doublings), settings_.max_backoff);
    const auto not_before = now + backoff;
    if (not_before + failure.expected_run + settings_.hop_margin > failure.deadline) {
        return retry_refusal::no_time;
    }
    if (credit_permille_ < 1000) {
        return retry_refusal::no_budget;
    }
    credit_permille_ -= 1000;
    return retry_attempt{.not_before = not_before, .deadline = failure.deadline};
}

time_point retry_policy::shrink_deadline(time_point deadline, time_point now,
                                         std::chrono::milliseconds one_way_delay) const {
    const auto time_left = std::max(deadline - now, time_point::duration::zero());
    const auto reserved_time = std::max<time_point::duration>(settings_.hop_margin, 2 * one_way_delay);
    return now + std::max(time_left - std::min<time_point::duration>(reserved_time, time_left / 2),
                          time_point::duration::zero());
}

}  // namespace jacinthvane
