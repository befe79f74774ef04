#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/upstream_port.hpp"
#include "process/cell_limits.hpp"
#include "process/clock.hpp"
#include "process/job_spec.hpp"
#include "process/ordered_mutex.hpp"
#include "process/upstream_entry.hpp"
#include "process/upstream_order.hpp"
#include "process/upstream_report.hpp"

namespace jacinthvane {

// The behavior of a task on the simulated upstreams.
struct simulated_task {
    resource_vector size;
    std::int64_t work_ms = 1000;
    // The number of its first runs that fail.
    std::uint32_t failing_runs = 0;
    bool is_long_running = false;
    bool saves_checkpoints = false;

    bool operator==(const simulated_task&) const = default;
};

// Upstreams simulated in memory, for tests: fencing tokens, leases, lists of running and ended runs, and stop
// orders that exclude later starts. Records every violation of the rules that start orders must keep. All
// times are those of the given clock. Runs end only within advance, poll and send. Safe to call from any
// thread.
class memory_upstreams {
public:
    // Returns the behavior of a task.
    using task_model = std::function<simulated_task(const task_ref&)>;

    memory_upstreams(clock_source clock, task_model model);

    // The calls of upstream_port.
    bool has_poll_connection(const std::string& address);
    awaitable<poll_response> poll(std::string address, poll_order order, std::uint64_t token,
                                  time_point deadline);
    awaitable<order_response> send(std::string address, upstream_order order, std::uint64_t token,
                                   time_point deadline);
    awaitable<absl::StatusOr<advice_response>> advise(advice_request request, time_point deadline);

    // The same calls without a coroutine; poll_now does not wait.
    poll_response poll_now(const std::string& address, const poll_order& order, std::uint64_t token);
    order_response send_now(const upstream_order& order, std::uint64_t token);

    void add(const upstream_entry& entry);
    // Restarts the upstream as a new incarnation, without its runs, leases and fencing token.
    void restart(const upstream_id& id, std::int64_t boot_unix_ms);
    // Simulates a network partition: all calls to the upstream fail, and its runs continue until its lease
    // expires.
    void set_partitioned(const upstream_id& id, bool is_partitioned);
    // Sets the longest lease that all upstreams accept.
    void set_max_accepted_lease(std::chrono::milliseconds length);
    // Sets how long a call for advice takes: a fixed time, and a further one for each upstream.
    void set_advice_time(std::chrono::milliseconds decide_time, std::chrono::milliseconds interval);
    // Makes all runs that finish on the upstream fail.
    void set_failing(const upstream_id& id, bool is_failing);
    // Ends the runs that are due to end by the clock.
    void advance();

    std::vector<std::string> get_violations() const;
    std::size_t count_running() const;
    std::size_t count_running(const upstream_id& id) const;
    std::size_t get_start_count() const;

private:
    struct simulated_run {
        std::uint64_t run = 0;
        simulated_task task;
        time_point started_at;
        std::int64_t done_before_ms = 0;
        std::optional<time_point> stops_at;
    };
    struct simulated_upstream {
        upstream_entry entry;
        std::uint64_t token = 0;
        time_point booted_at;
        time_point lease_until;
        std::uint64_t next_end = 1;
        bool is_partitioned = false;
        bool is_failing = false;
        std::map<task_ref, simulated_run> runs;
        std::map<task_ref, std::uint64_t> excluded;
        std::vector<ended_row> ended;
        resource_vector used;
    };

    simulated_upstream* find(const upstream_id& id);
    std::int64_t read_clock(const simulated_upstream& upstream) const;
    // A lease that would be longer than the longest one is shortened to it, as by the platform's upstreams.
    void extend_lease(simulated_upstream& upstream, std::int64_t until_clock_ms);
    order_response start(simulated_upstream& upstream, const start_order& order);
    order_response stop(simulated_upstream& upstream, const stop_order& order);
    void end_run(simulated_upstream& upstream, const task_ref& task, run_end how);
    void check_start(const simulated_upstream& upstream, const start_order& order,
                     const simulated_task& task);
    std::int64_t get_done_ms(const simulated_run& run) const;
    void advance_locked();

    const clock_source clock_;
    const task_model model_;
    mutable ordered_mutex mutex_{lock_rank::standin};
    std::map<upstream_id, simulated_upstream> upstreams_;
    std::chrono::milliseconds decide_time_{0};
    std::chrono::milliseconds advice_interval_{0};
    std::chrono::milliseconds max_accepted_lease_ = cell_limits().max_accepted_lease;
    // The number of failed runs of each task, and the tasks whose end as done was acknowledged.
    std::map<task_ref, std::uint32_t> failed_runs_;
    std::map<task_ref, bool> acknowledged_;
    std::size_t starts_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace jacinthvane
