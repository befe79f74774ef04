#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/cell_limits.hpp"
#include "process/cell_summary.hpp"
#include "process/clock.hpp"
#include "process/cpu_limit_plan.hpp"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/job_record.hpp"
#include "process/job_spec.hpp"
#include "process/tail_model.hpp"
#include "process/upstream_entry.hpp"
#include "process/upstream_ledger.hpp"
#include "process/upstream_order.hpp"
#include "process/upstream_report.hpp"
#include "version/dispatch_config.hpp"

namespace jacinthvane {

// One reading of both clocks: deadlines use the monotonic one, schedules the time of day.
struct clock_reading {
    time_point now;
    std::int64_t unix_ms = 0;

    bool operator==(const clock_reading&) const = default;
};

// Progress to be written, and the ends that may be acknowledged once it is durable.
struct progress_commit {
    struct job_entry {
        job_id job;
        job_progress progress;

        bool operator==(const job_entry&) const = default;
    };

    // Ends of one life of an upstream up to a number.
    struct end_mark {
        std::int64_t boot_unix_ms = 0;
        std::uint64_t number = 0;

        bool operator==(const end_mark&) const = default;
    };

    std::vector<job_entry> jobs;
    std::map<upstream_id, end_mark> ends;

    bool operator==(const progress_commit&) const = default;
    bool is_empty() const { return jobs.empty() && ends.empty(); }
};

// A step that may start only on upstreams for which the advice service gives a ticket.
struct advice_request {
    step_ref step;
    std::vector<upstream_id> upstreams;

    bool operator==(const advice_request&) const = default;
};

// What the owner should do now.
struct cell_decisions {
    std::vector<upstream_order> orders;
    std::vector<advice_request> advice;

    bool operator==(const cell_decisions&) const = default;
};

// State of a queue as other processes need it.
struct queue_status {
    std::string queue;
    // Accepted jobs of which nothing has started.
    std::uint64_t pending = 0;

    bool operator==(const queue_status&) const = default;
};

// Decides what runs where in one cell. Inputs are values and clock readings, outputs are orders and progress
// to be written; it knows no socket and no encoding. Not safe for concurrent use.
class cell_scheduler {
public:
    cell_scheduler(cell_limits limits, std::uint64_t token, time_point owner_since);

    void set_config(std::shared_ptr<const dispatch_config> config);

    // Adds an accepted job, with its durable progress if there is any. Repeats are ignored. A job is
    // inherited if an earlier owner may have started tasks of it.
    void add_job(const job_id& id, std::shared_ptr<const accepted_job> job, const job_progress* progress,
                 bool is_inherited, clock_reading clock);
    // Remembers the final state of a job that ended under an earlier owner.
    void add_ended_job(const job_id& id, const job_progress& progress);
    void cancel_job(const job_id& id, clock_reading clock);
    // The state of a job as callers may see it: final states only after their commit.
    std::optional<job_phase> get_state(const job_id& id, const std::string& queue) const;
    std::vector<queue_status> get_queue_statuses() const;
    // Jobs that ended before the given time, whose records may be removed.
    std::vector<job_id> take_expired_jobs(std::int64_t now_unix_ms, std::size_t limit);

    // An upstream that an earlier owner may have started tasks on.
    void expect_upstream(const upstream_entry& entry);
    // The platform lists the upstream.
    void list_upstream(const upstream_entry& entry, time_point now);
    void unlist_upstream(const upstream_id& id);
    // The store's list names these upstreams from now on. Nothing starts on the others.
    void record_upstreams(const std::vector<upstream_entry>& entries);
    bool has_unrecorded_upstreams() const;
    std::vector<upstream_entry> get_upstreams() const;
    const upstream_ledger* find_upstream(const upstream_id& id) const;

    // The next look at an upstream. The lease is renewed only if ownership is proven.
    poll_order make_poll(const upstream_id& id, time_point now, bool is_same_connection, bool may_renew);
    void apply_report(const upstream_id& id, const upstream_report& report, clock_reading clock);
    void mark_unresponsive(const upstream_id& id, time_point now);
    // The address answers for another life: all that ran in this one is gone.
    void end_incarnation(const upstream_id& id, time_point now);
    // True if applied ends wait for a commit.
    bool has_unacknowledged_ends(const upstream_id& id) const;

    void apply_order_response(const upstream_order& order, const order_response& answer, clock_reading clock);
    void apply_advice(const advice_request& request,
                      const std::vector<std::pair<upstream_id, std::string>>& tickets,
                      time_point valid_until);

    // Decides starts, stops and paces. may_start is false while ownership is not proven.
    cell_decisions decide(clock_reading clock, bool may_start);

    bool has_commit_work() const { return !dirty_jobs_.empty() || is_end_applied_; }
    progress_commit collect_commit(std::size_t max_jobs, std::int64_t now_unix_ms);
    void confirm_commit(const progress_commit& commit);
    // The commit was not written: its jobs have to be written again.
    void reject_commit(const progress_commit& commit);

    // An upstream has seen a higher token.
    bool is_fenced() const { return is_fenced_; }
    // Every upstream that may hold tasks of an earlier owner has answered or must have let them lapse.
    bool is_settled(time_point now) const;
    std::uint64_t get_token() const { return token_; }
    std::size_t get_job_count() const { return jobs_.size(); }
    std::size_t get_run_count() const;
    cell_summary get_summary(time_point now) const;

    // What was learnt of the disturbance between images, for a successor.
    tail_snapshot make_tail_snapshot() const { return tails_.make_snapshot(); }
    void apply_tail_snapshot(const tail_snapshot& snapshot) { tails_.apply_snapshot(snapshot); }

private:
    struct ended_job {
        std::string queue;
        job_phase state = job_phase::done;
        std::int64_t ended_unix_ms = 0;
    };
    struct step_tickets {
        std::map<upstream_id, std::string> tickets;
        std::set<upstream_id> asked;
        time_point valid_until;
        bool is_pending = false;
    };
    // A place for a task that was chosen.
    struct placement {
        upstream_ledger* upstream = nullptr;
        std::string ticket;
    };
    // An upstream as a place for the tasks of one step.
    struct candidate {
        upstream_ledger* upstream = nullptr;
        bool is_stale = true;
        bool is_eligible = false;
        double cost = 0;
    };
    // The best gain that any upstream offered an image lately.
    struct best_gain {
        double gain = 1.0;
        time_point seen_at;
    };
    struct slow_best_effort_task {
        job_record* job = nullptr;
        task_record* task = nullptr;
        task_ref ref;
        upstream_ledger* upstream = nullptr;
        run_record* run = nullptr;
    };
    // Names a kind of task for which no room was found in this round.
    struct unplaced_size {
        std::string service;
        resource_vector size;
        // Set for fillers, which fit beside some images only.
        std::string image;
        bool is_best_effort = false;
    };

    // Jobs (cell_scheduler.cpp)
    void open_due_occurrences(job_record& job, clock_reading clock);
    void apply_progress(job_record& job, const job_progress& progress, clock_reading clock);
    void end_job(job_record& job, job_phase state, time_point now);
    void stop_runs_of_job(job_record& job, time_point now);
    std::string get_service(const job_record& job) const;
    const queue_settings* find_queue(const job_record& job) const;
    std::uint32_t get_max_attempts(const job_record& job) const;
    std::int32_t get_priority(const job_record& job) const;
    void update_waiting(const job_record& job);

    // Reports and answers (cell_reports.cpp)
    void begin_incarnation(upstream_ledger& upstream, std::int64_t boot_unix_ms, time_point now);
    void apply_end(upstream_ledger& upstream, const ended_row& row, time_point now);
    void apply_running(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms,
                       time_point now);
    void adopt_run(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms, time_point now);
    void release_absent_runs(upstream_ledger& upstream, const upstream_report& report, time_point now);
    void apply_start_response(const start_order& order, const order_response& answer, time_point now);
    void apply_stop_response(const stop_order& order, const order_response& answer, time_point now);
    void begin_stop(run_record& run, time_point now);
    // The run is known to be gone without an end that counts.
    void release_run(upstream_ledger& upstream, run_key key, time_point now);
    void return_task(job_record& job, const task_ref& task, time_point not_before);
    void finish_task(job_record& job, const task_ref& task, time_point now);
    void fail_task(job_record& job, const task_ref& task, upstream_ledger& upstream, time_point now);
    void count_failure(job_record& job, const task_ref& task, std::uint64_t run, time_point now);
    job_record* find_job(const job_id& id);

    // Fillers beside tasks that serve (cell_pacing.cpp)
    void update_pacing(upstream_ledger& upstream, const upstream_report& report, time_point now);
    void learn_tails(upstream_ledger& upstream, const upstream_report& report, time_point now);
    void update_margin(upstream_ledger& upstream, const upstream_report& report, time_point now);
    // Orders the planned paces where they differ enough from the present ones.
    void update_cpu_limits(upstream_ledger& upstream, time_point now);
    std::int32_t clamp_cpu_limit(const upstream_ledger& upstream, const best_effort_use& best_effort_task,
                                 std::int32_t planned, time_point now) const;
    void order_cpu_limit(const upstream_ledger& upstream, const run_key& key, run_record& run,
                         std::int32_t pace, time_point now);
    // Fillers that have run too slowly for a while and whose next look for another place is due.
    std::vector<slow_best_effort_task> collect_slow_best_effort_tasks(time_point now);
    void move_slow_best_effort_tasks(time_point now);
    // One entry for each serving step on the upstream.
    std::vector<serving_budget> get_serving_budgets(const upstream_ledger& upstream, time_point until) const;
    // What all fillers together get done more if this one is added, as a share of what it could do alone.
    // Below 1 it slows down itself or others.
    double get_best_effort_gain(const upstream_ledger& upstream, const best_effort_use& added,
                                time_point now) const;
    // False while a target is crossed there, but for fillers that have nothing to do with it.
    bool may_place_best_effort_task(const upstream_ledger& upstream, const best_effort_use& best_effort_task,
                                    time_point now) const;
    // The filler disturbs no serving task of the upstream.
    bool is_harmless_on(const upstream_ledger& upstream, const best_effort_use& best_effort_task) const;

    // Decisions (cell_placement.cpp)
    void release_expired_runs(time_point now);
    void repeat_orders(upstream_ledger& upstream, time_point now, bool may_start,
                       std::vector<upstream_order>& orders);
    void stop_stalled_runs(upstream_ledger& upstream, time_point now);
    void move_from_leaving(upstream_ledger& upstream, time_point now);
    std::vector<job_record*> sort_waiting_jobs(time_point now);
    void place_step(job_record& job, occurrence_record& occurrence, std::uint32_t step, time_point now,
                    cell_decisions& decisions);
    void place_gang(job_record& job, const step_ref& step, time_point now, cell_decisions& decisions);
    std::optional<placement> choose_upstream(const job_record& job, const step_ref& step,
                                             const task_record& task, time_point now);
    bool is_eligible(const upstream_ledger& upstream, const job_record& job, const step_ref& step,
                     const std::string& service, time_point now);
    const std::vector<candidate>& get_candidates(const job_record& job, const step_ref& step, time_point now);
    double get_cost(const upstream_ledger& upstream, const step_spec& spec, time_point now);
    best_effort_use get_best_effort_use(const upstream_ledger& upstream, const step_spec& spec);
    // The least gain for which a filler takes a place, so that it waits for a good one if there are such.
    double get_min_gain(image_index image, time_point now);
    void record_gain(image_index image, double gain, time_point now);
    double get_best_effort_cost(const upstream_ledger& upstream, const step_spec& spec, time_point now);
    double get_serving_cost(const upstream_ledger& upstream, const step_spec& spec);
    void start_task(job_record& job, const task_ref& task, const placement& place, std::uint64_t run,
                    time_point now, cell_decisions& decisions);
    void request_advice(job_record& job, const step_ref& step, time_point now, cell_decisions& decisions);
    std::uint64_t get_next_run(const task_record& task) const;
    start_order make_start(upstream_ledger& upstream, const job_record& job, const task_ref& task,
                           std::uint64_t run, const std::string& ticket, time_point now);
    std::int64_t grant_lease(upstream_ledger& upstream, time_point now);

    const cell_limits limits_;
    const std::uint64_t token_;
    const time_point owner_since_;
    bool is_fenced_ = false;
    bool is_end_applied_ = false;
    std::shared_ptr<const dispatch_config> config_;
    std::unordered_map<job_id, job_record> jobs_;
    std::unordered_map<job_id, ended_job> ended_jobs_;
    std::map<upstream_id, upstream_ledger> upstreams_;
    // Jobs with tasks that wait for a place.
    std::set<job_id> waiting_jobs_;
    // Scheduled jobs with occurrences still to come.
    std::set<job_id> scheduled_jobs_;
    std::set<job_id> dirty_jobs_;
    std::map<step_ref, step_tickets> tickets_;
    // Usual work of a job by queue; see rank_job.
    std::map<std::string, double> mean_work_;
    tail_model tails_;
    std::map<step_ref, tail_base> tail_bases_;
    std::map<image_index, best_gain> best_gains_;
    std::vector<upstream_order> queued_orders_;
    std::vector<unplaced_size> unplaced_;
    // Valid within one decision.
    std::vector<candidate> candidates_;
    step_ref candidates_of_;
    time_point candidates_at_;
    time_point next_maintenance_;
};

}  // namespace jacinthvane
