#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "process/resource_vector.hpp"

namespace jacinthvane {

constexpr std::size_t max_payload_bytes = 4000;
constexpr std::size_t max_steps = 256;
constexpr std::uint32_t max_tasks_per_job = 20000;
constexpr std::uint32_t max_occurrences = 100000;

// One step of a job: identical tasks that may run once all tasks of the steps listed in `after` are done.
struct step_spec {
    std::uint32_t task_count = 1;
    // Resources that each task uses on an upstream. The processors of a best-effort task are not reserved.
    resource_vector size;
    std::int64_t estimated_ms = 0;
    std::vector<std::uint32_t> after;
    bool saves_checkpoints = false;
    // All tasks of the step run at the same time or not at all.
    bool is_gang = false;
    bool prefers_one_rack = false;
    bool is_speculative = false;
    // The tasks run until the job is cancelled.
    bool is_long_running = false;
    // The tasks use only processor time that no other task uses.
    bool is_best_effort = false;
    std::string required_label;
    std::string data_rack;
    std::string image;
    // At most this many tasks of the step run on one upstream; 0 means no limit.
    std::uint32_t max_per_upstream = 0;
    // Tail latency, in milliseconds, that a long-running task has to stay below; 0 means no target.
    std::int64_t target_tail_ms = 0;
    // How many tasks of a long-running step the scheduler may interrupt at once; nullopt means any number.
    std::optional<std::uint32_t> disruption_budget;

    bool operator==(const step_spec&) const = default;

    // What each task reserves on its upstream.
    resource_vector get_reserved_size() const { return is_best_effort ? size.without_processors() : size; }
};

// A job as a client submits it. Immutable once accepted.
struct job_spec {
    std::string payload;
    std::vector<step_spec> steps;
    // Number of scheduled occurrences; 0 means that the job runs once, immediately.
    std::uint32_t occurrences = 0;
    std::int64_t first_due_unix_ms = 0;
    std::int64_t period_ms = 0;

    bool operator==(const job_spec&) const = default;

    // Returns the total number of occurrences, at least 1.
    std::uint32_t get_occurrence_count() const { return occurrences == 0 ? 1 : occurrences; }
    bool is_long_running() const;
};

// Rules of a queue. A job stores a copy, which stays in force if the queue is removed from the configuration.
struct queue_rules {
    std::string queue;
    std::string service;
    // 0 is the highest priority. Jobs of this priority may preempt others.
    std::int32_t priority = 0;
    std::uint32_t max_attempts = 1;
    // Part of the objective that is proportional to the longest chain of dependent steps, in thousandths of
    // it.
    std::int64_t stretch_permille = 1000;
    // Fixed part of the objective.
    std::int64_t objective_ms = 0;

    bool operator==(const queue_rules&) const = default;
};

// A job as it is stored.
struct accepted_job {
    queue_rules rules;
    job_spec spec;
    std::int64_t accepted_unix_ms = 0;

    bool operator==(const accepted_job&) const = default;
};

// Rejects specs that cannot be scheduled, such as those without steps, with too many tasks, with steps that
// depend on a later step or with negative sizes.
absl::Status check_job_spec(const job_spec& spec);

// Returns the estimated duration of the longest chain of dependent steps.
std::int64_t get_longest_chain_ms(const job_spec& spec);

// Returns the time within which the job should end, counted from its acceptance or its due time.
std::int64_t get_objective_ms(const queue_rules& rules, const job_spec& spec);

}  // namespace jacinthvane
