#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "version/fleet_config.hpp"
#include "version/runbook.hpp"

namespace jacinthvane {

struct job_summary {
    job_id job;
    team_id team;
    task_kind kind;
    // waiting, running, finished, parked or cancelled.
    std::string state;
    std::uint64_t generation = 0;
    upstream_id upstream;
    // Why the job waits or was parked.
    std::string why;
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;

    bool operator==(const job_summary&) const = default;
};

// Empty fields match everything.
struct job_filter {
    team_id team;
    task_kind kind;
    std::string state;
    std::size_t limit = 100;

    bool operator==(const job_filter&) const = default;
};

struct member_summary {
    std::string process;
    failure_domain_id failure_domain;
    std::string state;
    std::uint64_t config_version = 0;
    std::string address;

    bool operator==(const member_summary&) const = default;
};

struct team_usage {
    team_id team;
    std::int64_t slots_used = 0;
    std::int64_t accelerators_used = 0;
    std::int64_t urgent_running = 0;
    std::int64_t batch_running = 0;
    std::int64_t queued = 0;
    std::int64_t refused = 0;

    bool operator==(const team_usage&) const = default;
};

// The work that is left on a drained target. is_complete is false if an upstream of the target could not be
// queried; the counts may then be too low.
struct drain_progress {
    std::int64_t upstreams = 0;
    std::int64_t tasks = 0;
    bool is_complete = false;

    bool operator==(const drain_progress&) const = default;
};

// One change, or attempted change, through the admin interface.
struct audit_record {
    utc_time at;
    std::string who;
    std::string role;
    std::string action;
    std::string target;
    std::string reason;
    std::string outcome;

    bool operator==(const audit_record&) const = default;
};

// The functions of the process that the admin interface calls. A call to a function that is not set fails
// with not_ready.
struct admin_operations {
    // The configuration that this process uses.
    std::function<fleet_config_ptr()> get_config;
    // The configuration in the store.
    std::function<awaitable<absl::StatusOr<fleet_config_ptr>>(time_point deadline)> load_config;
    std::function<awaitable<config_change_result>(
        config_change change, std::optional<std::uint64_t> expected_version, time_point deadline)>
        change_config;
    std::function<awaitable<config_change_result>(config_change change, std::uint64_t target_version,
                                                  std::uint64_t expected_version, time_point deadline)>
        roll_back_config;
    std::function<std::vector<member_summary>()> list_members;
    // JSON text.
    std::function<awaitable<absl::StatusOr<std::string>>(time_point deadline)> dump_state;
    std::function<awaitable<absl::StatusOr<std::vector<job_summary>>>(job_filter filter, time_point deadline)>
        list_jobs;
    std::function<awaitable<absl::StatusOr<job_summary>>(job_id job, time_point deadline)> show_job;
    std::function<awaitable<absl::Status>(job_id job, std::string who, std::string reason,
                                          time_point deadline)>
        cancel_job;
    std::function<std::vector<team_usage>()> list_team_usage;
    std::function<awaitable<absl::StatusOr<drain_progress>>(drain_target target, time_point deadline)>
        get_drain_progress;
    // Saves the new record and starts to execute it. If the run id exists already, returns the existing run.
    std::function<awaitable<absl::StatusOr<runbook_run_record>>(runbook_run_record record,
                                                                time_point deadline)>
        start_run;
    std::function<awaitable<absl::StatusOr<std::vector<runbook_run_record>>>(time_point deadline)> list_runs;
    std::function<awaitable<absl::StatusOr<runbook_run_record>>(std::string run_id, time_point deadline)>
        load_run;
    std::function<awaitable<absl::StatusOr<runbook_run_record>>(std::string run_id, run_decision decision,
                                                                std::string who, std::string reason,
                                                                utc_time at, time_point deadline)>
        resume_run;
    std::function<awaitable<absl::StatusOr<runbook_run_record>>(
        std::string run_id, std::string who, std::string reason, utc_time at, time_point deadline)>
        cancel_run;
    std::function<void(const audit_record&)> write_audit;
};

}  // namespace jacinthvane
