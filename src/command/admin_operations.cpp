#include "command/admin_operations.hpp"

#include <string>
#include <utility>
#include <vector>

#include "command/state_dump.hpp"
#include "process/error_kind.hpp"
#include "request/config_change.hpp"

namespace jacinthvane {

namespace {

job_summary summarize(const job_entry& entry) {
    job_summary summary;
    summary.job = entry.accepted->job;
    summary.team = entry.accepted->team;
    summary.kind = entry.accepted->kind;
    summary.state = entry.state == job_state::queued ? "waiting" : std::string(get_name(entry.state));
    summary.generation = entry.generation;
    summary.upstream = entry.upstream;
    summary.why = entry.reason;
    summary.evictions = entry.evictions;
    summary.failures = entry.failures;
    return summary;
}

bool is_match(const job_filter& filter, const job_summary& job) {
    return (filter.team.is_empty() || filter.team == job.team) &&
           (filter.kind.is_empty() || filter.kind == job.kind) &&
           (filter.state.empty() || filter.state == job.state);
}

// Lists the open jobs of all teams or, with a team in the filter, all retained jobs of that team.
awaitable<absl::StatusOr<std::vector<job_summary>>> list_jobs(entry_process& process, job_filter filter,
                                                              time_point deadline) {
    std::vector<std::shared_ptr<const job_entry>> found;
    if (!filter.team.is_empty()) {
        auto jobs = co_await process.get_shards().list_jobs(filter.team, deadline);
        if (!jobs.ok()) {
            co_return jobs.status();
        }
        found = std::move(*jobs);
    } else {
        for (std::size_t shard = 0; shard < process.get_shard_count(); ++shard) {
            const auto jobs = co_await process.get_shards().get_open_jobs(shard, deadline);
            if (!jobs.ok()) {
                co_return jobs.status();
            }
            found.insert(found.end(), jobs->begin(), jobs->end());
        }
    }
    std::vector<job_summary> result;
    for (const auto& job : found) {
        auto summary = summarize(*job);
        if (result.size() < filter.limit && is_match(filter, summary)) {
            result.push_back(std::move(summary));
        }
    }
    co_return result;
}

awaitable<absl::StatusOr<job_summary>> show_job(entry_process& process, job_id job, time_point deadline) {
    const auto entry = co_await process.get_shards().find_job(job, deadline);
    if (!entry.ok()) {
        co_return entry.status();
    }
    co_return summarize(**entry);
}

awaitable<absl::Status> cancel_job(entry_process& process, job_id job, time_point deadline) {
    const auto cancelled = co_await process.get_jobs().cancel(job, team_id(), deadline);
    co_return cancelled.status();
}

awaitable<absl::StatusOr<fleet_config_ptr>> read_config(entry_process& process, time_point deadline) {
    const auto store = make_config_store(process.get_store());
    const auto loaded = co_await load_config(store, deadline);
    if (!loaded.ok()) {
        co_return loaded.status();
    }
    co_return loaded->config;
}

awaitable<absl::StatusOr<std::string>> dump_state(entry_process& process) {
    co_return process.dump_state();
}

std::vector<member_summary> list_members(entry_process& process) {
    const auto own_entry = process.get_members().get_own();
    std::vector<member_summary> result = {{.process = own_entry->process.to_string(),
                                           .failure_domain = own_entry->place.failure_domain,
                                           .state = std::string(get_state_name(own_entry->state)),
                                           .config_version = own_entry->config_version,
                                           .address = own_entry->peer_address}};
    for (const auto& view : process.get_members().get_others()) {
        result.push_back({.process = view.entry->process.to_string(),
                          .failure_domain = view.entry->place.failure_domain,
                          .state = std::string(get_state_name(view.state)),
                          .config_version = view.entry->config_version,
                          .address = view.entry->peer_address});
    }
    return result;
}

}  // namespace

admin_operations make_admin_operations(entry_process& process) {
    admin_operations operations;
    operations.get_config = [&process] { return process.get_fleet_config(); };
    operations.load_config = [&process](time_point deadline) { return read_config(process, deadline); };
    operations.change_config = [&process](config_change change, std::optional<std::uint64_t> expected_version,
                                          time_point deadline) {
        return change_config(make_config_store(process.get_store()), std::move(change), expected_version,
                             deadline);
    };
    operations.roll_back_config = [&process](config_change change, std::uint64_t target_version,
                                             std::uint64_t expected_version, time_point deadline) {
        return roll_back_config(make_config_store(process.get_store()), std::move(change), target_version,
                                expected_version, deadline);
    };
    operations.list_members = [&process] { return list_members(process); };
    operations.dump_state = [&process](time_point) { return dump_state(process); };
    operations.list_jobs = [&process](job_filter filter, time_point deadline) {
        return list_jobs(process, std::move(filter), deadline);
    };
    operations.show_job = [&process](job_id job, time_point deadline) {
        return show_job(process, std::move(job), deadline);
    };
    operations.cancel_job = [&process](job_id job, std::string, std::string, time_point deadline) {
        return cancel_job(process, std::move(job), deadline);
    };
    operations.start_run = [&process](runbook_run_record record, time_point deadline) {
        return process.get_runbooks().start_run(std::move(record), deadline);
    };
    operations.list_runs = [&process](time_point deadline) {
        return process.get_runbooks().list_runs(deadline);
    };
    operations.load_run = [&process](std::string run_id, time_point deadline) {
        return process.get_runbooks().load_run(std::move(run_id), deadline);
    };
    operations.resume_run = [&process](std::string run_id, run_decision decision, std::string who,
                                       std::string reason, utc_time at, time_point deadline) {
        return process.get_runbooks().decide_run(std::move(run_id), decision, std::move(who),
                                                 std::move(reason), at, deadline);
    };
    operations.cancel_run = [&process](std::string run_id, std::string who, std::string reason, utc_time at,
                                       time_point deadline) {
        return process.get_runbooks().cancel_run(std::move(run_id), std::move(who), std::move(reason), at,
                                                 deadline);
    };
    return operations;
}

}  // namespace jacinthvane
