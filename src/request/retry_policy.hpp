#pragma once

#include <chrono>
#include <cstdint>
#include <variant>

#include "process/clock.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

struct retry_settings {
    // Retries as a share of requests.
    std::int64_t budget_permille = 100;
    // Retries that may be made at once after a quiet time.
    std::int64_t burst = 10;
    int attempt_limit = 3;
    std::chrono::milliseconds initial_backoff{10};
    std::chrono::milliseconds max_backoff{500};
    // What each hop keeps back of the time left, to send the answer home.
    std::chrono::milliseconds hop_margin{20};

    bool operator==(const retry_settings&) const = default;
};

// One failed attempt.
struct failed_attempt {
    error_kind error = error_kind::internal;
    run_knowledge run = run_knowledge::may_have_run;
    bool is_idempotent = false;
    // Attempts made so far.
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

// Decides which failed attempts are repeated. The budget is shared by all requests of the process, so that
// retries cannot multiply the load when everything fails. Not thread-safe: used under the admission lock.
class retry_policy {
public:
    explicit retry_policy(retry_settings settings = {});

    // Each first attempt earns its share of the budget.
    void record_request();

    // A granted attempt is taken from the budget.
    retry_decision decide(const failed_attempt& failure, time_point now);

    // Returns the deadline that is handed to the next hop: earlier than the own one by the time the answer
    // needs to come back, and never before now.
    time_point shrink_deadline(time_point deadline, time_point now,
                               std::chrono::milliseconds one_way_delay) const;

    std::int64_t get_remaining_budget() const { return credit_permille_ / 1000; }

private:
    retry_settings settings_;
    // Thousandths of a retry.
    std::int64_t credit_permille_;
};

}  // namespace jacinthvane
