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

// One step of a job: equal tasks that may run once all tasks of the steps before it are done.
struct step_spec {
    std::uint32_t task_count = 1;
    // What each task takes of an upstream. The processors of a filler are not committed.
    resource_vector size;
    std::int64_t estimated_ms = 0;
    std::vector<std::uint32_t> after;
    bool saves_checkpoints = false;
    // All tasks run together or not at all.
    bool is_gang = false;
    bool prefers_one_rack = false;
    bool is_speculative = false;
    // The tasks run until the job is cancelled.
    bool is_long_running = false;
    // The tasks use the processor time that other tasks leave over.
    bool is_best_effort = false;
    std::string required_label;
    std::string data_rack;
    std::string image;
    // At most this many tasks of the step run on one upstream; 0 means no limit.
    std::uint32_t max_per_upstream = 0;
    // Tail latency that a lasting task has to stay below, in milliseconds; 0 means none.
    std::int64_t target_tail_ms = 0;
    // How many tasks of a lasting step may be interrupted by the scheduler at once; nullopt means any number.
    std::optional<std::uint32_t> disruption_budget;

    bool operator==(const step_spec&) const = default;
};

// What a client asks to have run. Immutable once accepted.
struct job_spec {
    std::string payload;
    std::vector<step_spec> steps;
    // Number of scheduled occurrences; 0 means that the job runs once, at once.
    std::uint32_t occurrences = 0;
    std::int64_t first_due_unix_ms = 0;
    std::int64_t period_ms = 0;

    bool operator==(const job_spec&) const = default;

    // Occurrences that the job has in all, at least 1.
    std::uint32_t get_occurrence_count() const { return occurrences == 0 ? 1 : occurrences; }
    bool is_long_running() const;
};

// Rules of a queue that a job keeps if its queue is removed from the configuration.
struct queue_rules {
    std::string queue;
    std::string service;
    // 0 goes first and may displace others.
    std::int32_t priority = 0;
    std::uint32_t max_attempts = 1;
    // Thousandths of the longest chain of work within which the job should end.
    std::int64_t stretch_permille = 1000;
    std::int64_t objective_ms = 0;

    bool operator==(const queue_rules&) const = default;
};

// A job as the store keeps it.
struct accepted_job {
    queue_rules rules;
    job_spec spec;
    std::int64_t accepted_unix_ms = 0;

    bool operator==(const accepted_job&) const = default;
};

// Refuses specs that no scheduler could carry out: no steps, too many tasks, cycles, negative sizes.
absl::Status check_job_spec(const job_spec& spec);

// Milliseconds of the longest chain of dependent steps by their estimates.
std::int64_t get_longest_chain_ms(const job_spec& spec);

// Time within which the job should end, counted from its acceptance or due time.
std::int64_t get_objective_ms(const queue_rules& rules, const job_spec& spec);

}  // namespace jacinthvane
