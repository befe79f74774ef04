#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "version/cell_scheduler.hpp"

namespace jacinthvane::experiment {

struct contention_options {
    std::size_t upstreams = 490;
    // Best-effort jobs that begin in each second, with two steps of 20 tasks.
    std::size_t jobs_per_second = 30;
    // Sizes of best-effort tasks; each image has tasks of each size.
    std::size_t sizes = 3;
    std::chrono::milliseconds decision_interval{22};

    bool operator==(const contention_options&) const = default;
};

// What a contended_cell did and what it cost.
struct contention_result {
    std::uint64_t decisions = 0;
    std::uint64_t evaluations = 0;
    std::uint64_t reports = 0;
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t cpu_limit_orders = 0;
    std::uint64_t ended_best_effort_tasks = 0;
    // Time, summed over the upstreams, during which a serving task was over its target, and the longest
    // uninterrupted such time.
    std::chrono::milliseconds over_target{0};
    std::chrono::milliseconds longest_over_target{0};
    std::chrono::nanoseconds decision_time{0};
    std::chrono::nanoseconds report_time{0};
    std::size_t waiting_tasks = 0;

    bool operator==(const contention_result&) const = default;
};

// A scheduler under the load of many serving tasks, whose load fluctuates, and more best-effort tasks of many
// images and sizes than fit, on upstreams in memory and a virtual clock. Best-effort tasks raise the latency
// of serving tasks by amounts that the scheduler has to learn.
class contended_cell {
public:
    explicit contended_cell(const contention_options& options);

    // Plays this much virtual time and returns what happened in it.
    contention_result run_for(std::chrono::milliseconds span);

private:
    // A best-effort task on an upstream: the work it has left and the CPU limit in force.
    struct best_effort_run {
        std::size_t image = 0;
        double share = 0;
        double remaining_ms = 0;
        double cpu_limit = 1.0;
        // Average of the speed over the measurement window of the upstream.
        double measured_speed = 0;
    };
    struct serving_run {
        std::size_t image = 0;
        double latency = 0;
    };
    struct upstream_state {
        std::map<run_key, best_effort_run> best_effort;
        std::map<run_key, serving_run> serving;
        std::vector<ended_row> ended;
        std::uint64_t last_end = 0;
        time_point polled_at;
        std::chrono::milliseconds over_target{0};
    };

    void add_serving_jobs();
    void add_best_effort_job();
    void add_job(std::vector<step_spec> steps);
    void advance(std::chrono::milliseconds span, contention_result& result);
    void advance_upstream(std::size_t number, std::chrono::milliseconds span, contention_result& result);
    void report_due(contention_result& result);
    void report(std::size_t number, contention_result& result);
    void decide(contention_result& result);
    void apply_order(const upstream_order& order, contention_result& result);
    clock_reading read_clock() const;
    double get_free_share(const upstream_state& state) const;
    // Headroom of the serving tasks of the job without best-effort tasks.
    double get_base_headroom(const job_id& job, std::size_t number) const;

    const contention_options options_;
    time_point now_ = time_point(std::chrono::hours(1));
    cell_scheduler scheduler_;
    std::vector<upstream_entry> entries_;
    std::vector<upstream_state> states_;
    std::map<upstream_id, std::size_t> numbers_;
    std::map<job_id, job_spec> specs_;
    std::size_t next_job_ = 0;
    double due_jobs_ = 0;
};

// Prints what the load costs in each second.
int run_contention_bench(const contention_options& options, int seconds);

}  // namespace jacinthvane::experiment
