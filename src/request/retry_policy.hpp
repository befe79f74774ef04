#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

#include "process/clock.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

struct retry_settings {
    // Maximum number of retries as a share of the requests.
    std::int64_t budget_permille = 100;
    // Maximum number of unused retries that the budget accumulates.
    std::int64_t burst = 10;
    int attempt_limit = 3;
    std::chrono::milliseconds initial_backoff{10};
    std::chrono::milliseconds max_backoff{500};
    // Part of the remaining time that each hop reserves for the way of the response back.
    std::chrono::milliseconds hop_margin{20};

    bool operator==(const retry_settings&) const = default;
};

// A failed attempt to run a request.
struct failed_attempt {
    error_kind error = error_kind::internal;
    run_knowledge run = run_knowledge::may_have_run;
    bool is_idempotent = false;
    // Number of attempts made so far.
    int attempts = 1;
    time_point deadline;
    std::chrono::milliseconds expected_run{0};

    bool operator==(const failed_attempt&) const = default;
};

struct retry_attempt {
    time_point not_before;
    time_point deadline;

    bool operator==(const retry_attempt&) const = default;
};

enum class retry_refusal { not_safe, not_useful, too_many_attempts, no_time, no_budget };

using retry_decision = std::variant<retry_attempt, retry_refusal>;

// Decides which failed attempts are retried. All requests of the process share one budget, so that retries
// cannot multiply the load when everything fails. Not thread-safe: used under the admission lock.
class retry_policy {
public:
    explicit retry_policy(retry_settings settings = {});

    // Adds the share of one request to the budget. Called for the first attempt of each request.
    void record_request();

    // Decides whether to retry after the failed attempt. A granted retry is deducted from the budget.
    retry_decision decide(const failed_attempt& failure, time_point now);

    // Returns the deadline for the next hop: earlier than the given deadline by the time that the response
    // needs for the way back, and never before now.
    time_point shrink_deadline(time_point deadline, time_point now,
                               std::chrono::milliseconds one_way_delay) const;

    std::int64_t get_remaining_budget() const { return credit_permille_ / 1000; }

private:
    retry_settings settings_;
    // Remaining budget, in thousandths of a retry.
    std::int64_t credit_permille_;
};

}  // namespace jacinthvane
