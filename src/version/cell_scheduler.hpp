#pragma once

#include <cstdint>
#include <limits>
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
#include "process/duration_model.hpp"
#include "process/evacuation_change.hpp"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/job_record.hpp"
#include "process/job_spec.hpp"
#include "process/migration_gain.hpp"
#include "process/owner_history.hpp"
#include "process/placement_forecast.hpp"
#include "process/reservation_table.hpp"
#include "process/run_locations.hpp"
#include "process/step_tickets.hpp"
#include "process/tail_model.hpp"
#include "process/takeover_notes.hpp"
#include "process/upstream_entry.hpp"
#include "process/upstream_index.hpp"
#include "process/upstream_ledger.hpp"
#include "process/upstream_order.hpp"
#include "process/upstream_report.hpp"
#include "version/advice_calls.hpp"
#include "version/cell_decisions.hpp"
#include "version/evacuation_state.hpp"
#include "version/queue_index.hpp"

namespace jacinthvane {

// Decides which tasks run on which upstreams of one cell. Inputs are values and clock readings, outputs are
// orders and progress to be written; it is independent of sockets and encodings. Not safe for concurrent use.
class cell_scheduler {
public:
    cell_scheduler(cell_limits limits, std::uint64_t token, time_point owner_since);

    void set_queues(std::shared_ptr<const queue_index> queues);

    // Adds an accepted job, with its durable progress if there is any. A job that was added before is
    // ignored. A job is inherited if an earlier owner may have started tasks of it.
    void add_job(const job_id& id, std::shared_ptr<const accepted_job> job, const job_progress* progress,
                 bool is_inherited, clock_reading clock);
    // Sets where earlier owners may have left runs of long-running tasks, after all jobs were added. Jobs
    // without an entry run nowhere, unless the list is incomplete: then inherited tasks may run on any
    // upstream that an earlier owner used.
    void set_inherited_locations(const std::map<job_id, run_locations>& known, bool is_complete);
    // Records the final state of a job that ended under an earlier owner.
    void add_ended_job(const job_id& id, const job_progress& progress);
    void cancel_job(const job_id& id, clock_reading clock);
    // The state of a job as shown to callers: done and failed only after they are durable, since the next
    // owner would otherwise show the job as running again.
    std::optional<job_phase> get_state(const job_id& id, const std::string& queue) const;
    // Returns the queues that have accepted jobs of which no task has started. All others have none: their
    // number is that of the configuration, and other processes ask for the list every second.
    std::vector<queue_status> get_queue_statuses() const;
    // Removes and returns up to limit ended jobs whose retention has expired, so that their records can be
    // deleted.
    std::vector<job_id> take_expired_jobs(std::int64_t now_unix_ms, std::size_t limit);

    // Adds an upstream on which earlier owners may have started tasks, the last of them the one with the
    // given token.
    void expect_upstream(const upstream_entry& entry, std::uint64_t granting_token);
    // Adds or updates an upstream that the platform lists.
    void list_upstream(const upstream_entry& entry, time_point now);
    void unlist_upstream(const upstream_id& id);
    // Whether an upstream has restarted, by a report, of which the platform's entry has not been read yet,
    // since the last call. No task starts there before.
    bool take_missed_entries() { return std::exchange(has_missed_entries_, false); }
    // Whether such an entry is still expected.
    bool has_missing_entries(time_point now) const;
    // Confirms that these upstreams are in the stored list, so that the next owner will poll them. No task
    // starts on an upstream before.
    void record_upstreams(const std::vector<upstream_entry>& entries);
    bool has_unrecorded_upstreams() const;
    std::vector<upstream_entry> get_upstreams() const;
    const upstream_ledger* find_upstream(const upstream_id& id) const;

    // Records the evacuated failure domains: a listing of all, or changes since the last call. Evacuations
    // that were accepted before complete_until are included. Returns how many have begun or ended. Without
    // cell_limits::evacuation_bound it need not be called; otherwise no task starts before the first call,
    // nor when the last one is too long ago.
    std::size_t apply_evacuations(const evacuation_changes& changes, bool is_listing,
                                  time_point complete_until, time_point now);
    const evacuation_state& get_evacuations() const { return evacuations_; }

    // The next poll of an upstream. It renews the lease only if may_renew is set, that is while ownership is
    // proven.
    poll_order make_poll(const upstream_id& id, time_point now, bool is_same_connection, bool may_renew);
    void apply_report(const upstream_id& id, const upstream_report& report, clock_reading clock);
    // Records that a poll sent at this time got no response. A poll that failed because this process was slow
    // must not be recorded: it would count as a sign that the upstream is gone.
    void mark_unresponsive(const upstream_id& id, time_point sent_at);
    // Records that the poll in flight, which may have been received, has ended without a report.
    void record_unanswered_poll(const upstream_id& id, time_point now);
    // The address belongs to another incarnation now: all runs of this one have ended.
    void end_incarnation(const upstream_id& id, time_point now);
    // True if applied ends are not durable yet, and so cannot be acknowledged.
    bool has_unacknowledged_ends(const upstream_id& id) const;

    void apply_order_response(const upstream_order& order, const order_response& response,
                              clock_reading clock);
    void apply_advice(const advice_request& request,
                      const std::vector<std::pair<upstream_id, std::string>>& tickets, time_point valid_until,
                      time_point now);
    // Records that the call got no answer with tickets.
    void record_failed_advice(const advice_request& request, time_point now);

    // Decides starts, stops and CPU limits. may_start is false while ownership is not proven. At most
    // max_starts tasks start, except that a gang starts as a whole: tasks whose start orders could not be
    // sent for lack of processor time stay in the queue, where they keep their order and can still be
    // cancelled.
    cell_decisions decide(clock_reading clock, bool may_start,
                          std::size_t max_starts = std::numeric_limits<std::size_t>::max());

    // Whether the last decision left tasks waiting because it might start no more of them.
    bool has_held_starts() const { return has_held_starts_; }
    // Returns the migrations of best-effort tasks since the last call.
    migration_count take_migrations() { return std::exchange(migrations_, migration_count()); }
    // How often all decisions so far have checked whether a step fits on an upstream, and at which cost.
    std::uint64_t get_evaluated_placements() const { return evaluated_placements_; }

    // Whether a start order that was decided earlier should still be sent: its job may have been cancelled,
    // an earlier run of its task may have turned out to be done, or its upstream may be leaving.
    bool is_start_pending(const start_order& order, time_point now) const;

    bool has_commit_work() const {
        return !dirty_jobs_.empty() || !commit_batch_.empty() || has_uncommitted_ends_;
    }
    // Whether the batch that the last commit belongs to has more to write.
    bool has_unfinished_batch() const { return !commit_batch_.empty(); }
    // Returns progress that takes at most this many entries of a transaction. All jobs that have changed by
    // now form one batch, which several commits write; the last of them carries the ends. Jobs that change
    // meanwhile belong to the next batch, so ends are acknowledged after a bounded number of commits.
    progress_commit collect_commit(std::size_t max_entries, std::int64_t now_unix_ms);
    void confirm_commit(const progress_commit& commit);
    // Queues the contents of a commit that was not written for the next one.
    void reject_commit(const progress_commit& commit);
    // Whether an upstream that might get no further start has answered one since the last call.
    bool take_freed_upstreams() { return std::exchange(has_freed_upstreams_, false); }
    // Whether a commit has allowed start orders to be sent since the last call.
    bool take_recorded_starts();
    // Whether all runs of earlier owners are known, and no late order of theirs can start another.
    bool is_takeover_over(time_point now) const;
    // Has the locations of inherited jobs written that were not recorded before. Called once the takeover is
    // over.
    void complete_locations();
    // Whether the locations of all long-running jobs are in the store.
    bool are_locations_complete() const;

    // An upstream has received a higher fencing token, so another process owns the cell.
    bool is_fenced() const { return is_fenced_; }
    // Sets what is known of earlier owners. Without it, they may act for the proof window after the takeover.
    // It is called again when they are known to have ended.
    void set_owner_history(const owner_history& history);
    // Records that all owners before this token act no more, and that their leases have ended.
    void record_ended_before(std::uint64_t token);
    // Returns the highest token for which that is known.
    std::uint64_t get_ended_before(time_point now) const;
    // Records what earlier owners knew of the leases that owners before them had granted.
    void record_lease_bounds(std::vector<lease_bound> bounds);
    // Returns when the leases of earlier owners end that have not ended yet, for the next owner.
    std::vector<lease_bound> get_lease_bounds(time_point now) const;
    // Records the foreign leases that earlier owners knew, in ascending order of ids; nullopt if they left no
    // notes on them, so that any upstream may hold one. Called before the upstreams are added.
    void record_foreign_leases(std::optional<std::vector<foreign_lease>> leases);
    // Returns the foreign leases that may not have ended, for the next owner.
    std::vector<foreign_lease> get_foreign_leases(time_point now) const;
    // Excludes the upstreams that have not responded from leases and starts, and ends that for those that
    // have. The next owner need not wait for this one's leases there.
    void declare_silent_upstreams(time_point now);
    std::vector<silent_upstream> get_silent_upstreams() const;
    // Whether an upstream that is, or may be, in the stored list of silent ones has responded.
    bool has_answered_silent_upstreams() const;
    // Confirms that the list of silent upstreams is in the store.
    void record_silent_upstreams(const std::vector<silent_upstream>& silent);
    // Every upstream that may run tasks of an earlier owner has responded, or all its leases have expired.
    // Tasks of inherited jobs start only then.
    bool is_takeover_resolved(time_point now) const;
    std::uint64_t get_token() const { return token_; }
    std::size_t get_job_count() const { return jobs_.size(); }
    std::size_t get_run_count() const;
    cell_summary get_summary(time_point now) const;
    // Returns the number of tasks of released steps that wait for an upstream.
    std::size_t count_waiting_tasks() const;
    // The room that is held for large tasks, and what became of earlier reservations.
    const reservation_table& get_reservations() const { return reservations_; }

    // The learned interference between images, which the next owner starts from.
    tail_snapshot make_tail_snapshot() const { return tail_model_.make_snapshot(); }
    void apply_tail_snapshot(const tail_snapshot& snapshot) { tail_model_.apply_snapshot(snapshot); }

private:
    struct ended_job {
        std::string queue;
        job_phase state = job_phase::done;
        std::int64_t ended_unix_ms = 0;
    };
    // A step with waiting tasks that needs tickets.
    struct advice_step {
        step_ref step;
        bool has_runs = false;
    };
    // The upstream chosen for a task, with the ticket that its start needs.
    struct placement {
        upstream_ledger* upstream = nullptr;
        std::string ticket;
    };
    // An upstream that may run a task of a step, with its cost.
    using candidate = upstream_index::ranked_slot;
    // What the evaluation of an upstream needs to know about a step.
    struct step_terms {
        const step_spec* spec = nullptr;
        step_ref step;
        std::string service;
        placement_kind kind = placement_kind::reserved;
        image_index image = 0;
        // The lowest gain for which a best-effort task starts; see get_min_gain.
        double min_gain = 0;
        job_rank rank;
    };
    // A useful gain that an upstream offers a kind of best-effort task, but less than get_min_gain. The task
    // may start there once the least gain has fallen this far, although the upstream has not changed.
    struct low_gain {
        upstream_index::slot_number slot = 0;
        double gain = 0;
    };
    // A search for the cheapest upstreams for the tasks of one step, in ascending order of cost. It evaluates
    // an upstream only when none of those evaluated before can be cheaper.
    struct step_search {
        // The decision that it belongs to; 0 if it has ended.
        std::uint64_t decision = 0;
        step_terms terms;
        // The index at its start.
        std::uint64_t revision = 0;
        // The next upstream that is not evaluated yet. The ranking stays as it is until the search ends.
        upstream_index::ranking::const_iterator next;
        upstream_index::ranking::const_iterator end;
        // Eligible upstreams, as a heap with the cheapest one first.
        std::vector<candidate> candidates;
        // The upstream of the last task, whose cost has changed with it.
        std::optional<upstream_index::slot_number> chosen;
        // An upstream had room that is held for a job that ranks before.
        bool has_held_room = false;
        time_point complete_at;
        // The rank for which all upstreams were searched then, if that was an earlier search.
        std::optional<job_rank> complete_rank;
        // Upstreams that are not eligible for their gain only.
        std::vector<low_gain> low_gains;
    };
    // A step of which a task fits nowhere, and the place of its job in the order of the decision.
    struct unplaced_step {
        step_ref step;
        std::size_t position = 0;
    };
    // A best-effort task that would get a lower CPU limit waits instead.
    static constexpr double min_useful_best_effort_gain = 0.85;
    // An order without a response may be carried out this much later. The platform says "seconds".
    static constexpr std::chrono::seconds max_order_delay{30};
    // Tickets that expire sooner are not used, since the start order has to arrive while they are valid.
    static constexpr std::chrono::milliseconds ticket_margin{250};
    // What the gain of a further best-effort task on an upstream is computed from. The same for all tasks, so
    // one decision computes it once for each upstream.
    struct best_effort_view {
        // The decision that it was computed for; 0 if it has to be computed again.
        std::uint64_t decision = 0;
        time_point computed_at;
        // What the tasks that are there may use together.
        best_effort_room room;
        std::vector<best_effort_use> tasks;
        // Ranks of the tasks, in the same order: ascending.
        std::vector<job_rank> ranks;
        // Planned use of the processors by each of the tasks, and by all of them.
        std::vector<double> planned_uses;
        double planned_use = 0;
    };
    // What a further best-effort task on an upstream would gain.
    struct best_effort_gain {
        // Its own CPU limit, as a fraction of full speed.
        double cpu_limit = 0;
        // Throughput that all best-effort tasks of the upstream together gain, as a share of that of the
        // added one at full speed: less than its CPU limit if it takes CPU time from tasks of a later rank.
        double throughput = 0;
    };
    // The best CPU limit that any upstream offered an image recently.
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
    // A kind of task for which a search found no upstream.
    struct unplaced_kind {
        std::string service;
        resource_vector size;
        // Set for best-effort tasks only: whether one fits depends on the images that it would be co-located
        // with.
        std::string image;
        bool is_best_effort = false;
        // An upstream that is unproven may take these where it takes no others.
        bool is_long_running = false;
        bool is_gang = false;
        // Some room was held for another job, so that shorter tasks may fit.
        bool has_held_room = false;
        std::int64_t estimated_ms = 0;
        std::string required_label;
        // Set if the number of its tasks on one upstream is limited.
        std::optional<step_ref> limited_step;
        // Set for best-effort tasks only: tasks of jobs with a better rank may take the CPU time of others.
        job_rank rank;
        // No upstream that has not changed after this revision of the index has room, except for the low
        // gains.
        std::uint64_t revision = 0;
        std::vector<low_gain> low_gains;
        std::uint64_t decision = 0;
        time_point searched_at;
        // When the last search that looked at all upstreams began.
        time_point complete_at;

        // Whether a task of the other kind needs at least as much, so that it fits nowhere either.
        bool covers(const unplaced_kind& other) const {
            return service == other.service && is_best_effort == other.is_best_effort &&
                   is_long_running == other.is_long_running && is_gang == other.is_gang &&
                   image == other.image && required_label == other.required_label &&
                   limited_step == other.limited_step && size.is_within(other.size) &&
                   !other.rank.is_clearly_before(rank) &&
                   (!has_held_room || estimated_ms <= other.estimated_ms);
        }
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
    upstream_ledger& add_upstream(const upstream_entry& entry);
    void remove_upstream(const upstream_id& id);
    void begin_commit_batch();
    progress_commit::job_entry make_commit_entry(job_record& job, std::int64_t now_unix_ms) const;
    // Adds the waiting tasks to the summary (cell_summary.cpp).
    void count_waiting_tasks_by_kind(cell_summary& summary) const;
    // Returns the number of waiting tasks that the takeover holds back.
    std::size_t count_held_tasks(time_point now) const;
    std::size_t count_held_tasks_of(const job_record& job, time_point now) const;
    // Whether an earlier owner may have runs on the upstream that this owner does not know.
    static bool is_unresolved(const upstream_ledger& upstream, time_point now);
    // Records a run that failed or made no progress, and logs a block of the upstream that begins with it.
    void record_failure(upstream_ledger& upstream, const job_id& job, bool failed_elsewhere,
                        time_point started_at, time_point now);

    // Locations of long-running tasks (cell_locations.cpp)
    static void apply_locations(job_record& job, const run_locations& locations);
    // Returns nothing for a job whose runs are not known, or that has no long-running tasks.
    std::optional<run_locations> make_locations(const job_record& job) const;
    // Sends the start orders of runs whose locations are durable now.
    void confirm_locations(const job_id& id, const run_locations& locations);
    // Whether an earlier run of the task may still exist or begin, so that the task cannot start.
    bool is_held(const job_record& job, const step_ref& ref, std::uint32_t index, const task_record& task,
                 time_point now) const;
    // Returns how many of the waiting tasks of the step are held for that.
    std::size_t count_held_tasks_of(const job_record& job, const step_ref& ref, const step_state& step,
                                    time_point now) const;
    // The longest time for which a run that is being stopped is in neither list of its upstream.
    std::chrono::milliseconds get_longest_stop() const;

    // Crashes of upstreams (cell_crashes.cpp)
    // Counts the crash against the tasks that may have caused it, and fails the jobs of those that have. A
    // run that may be in the next incarnation is counted only when it turns out not to be there.
    void record_crash(upstream_ledger& upstream, time_point now);
    void count_crash_of_earlier_incarnation(upstream_ledger& upstream, const run_key& key, time_point now);
    void count_crash(upstream_ledger& upstream, const run_key& key, std::size_t suspects, time_point now);
    // Forgets the crashes of tasks whose runs have survived long enough.
    void clear_proven_runs(upstream_ledger& upstream);
    // Whether the task may start on the upstream in view of the crashes under it and its possible neighbors.
    bool may_share(const upstream_ledger& upstream, const task_record& task, bool is_long_running,
                   time_point now) const;
    // Returns the crashes under the task that a run of it records.
    static std::uint32_t get_earlier_crashes(const task_record& task, bool is_long_running);
    // How long a long-running task waits before it starts again after this many crashes.
    static std::chrono::milliseconds get_crash_delay(std::size_t crashes);
    double get_crash_cost(const upstream_ledger& upstream, const task_record& task) const;

    // Restarts and leases of upstreams (cell_incarnations.cpp, cell_leases.cpp)
    // Releases the runs of the previous incarnation. A run whose start order may have reached the new one, or
    // may still reach it, is kept until a report or a response shows where it is: its task would otherwise
    // run twice. The rows are those of the report that showed the restart, if one did.
    void begin_incarnation(upstream_ledger& upstream, std::int64_t boot_unix_ms, incarnation_source source,
                           const std::vector<running_row>& rows, time_point now);
    bool may_be_in_next_incarnation(const upstream_ledger& upstream, const run_key& key,
                                    const run_record& run, incarnation_source source, time_point now) const;
    // The entry of the present incarnation has been read, so that tasks may start there.
    void record_current_entry(upstream_ledger& upstream, time_point now);
    // Has the present incarnation refuse an unanswered start of a run that the ledger does not have any more.
    void stop_late_start(upstream_ledger& upstream, const run_key& key, time_point now);
    // Whether a start order for an earlier run of the task may still be carried out by an upstream that has
    // restarted.
    bool may_start_late(const step_ref& ref, std::uint32_t index, const task_record& task) const;
    // Sets when the leases end that the new incarnation may hold already.
    void expect_leases_of_incarnation(upstream_ledger& upstream, incarnation_source source, time_point now);
    // Allows for a foreign lease that began by this time.
    void count_foreign_lease(upstream_ledger& upstream, time_point received_by);
    // Records the end of a call with a lease for this incarnation, which may have been received.
    void record_lease_call(upstream_ledger& upstream, std::int64_t boot_unix_ms, bool is_answered,
                           time_point now);
    // The same for the lease in a poll, if another incarnation may have received it, and in a start order.
    void record_exposed_poll(upstream_ledger& upstream, bool is_answered, time_point now);
    void record_lease_in_start(upstream_ledger& upstream, const start_order& order,
                               const order_response& response, time_point now);
    // Returns the longest time, on the clock of the upstream, since the poll was made that it last reported
    // to.
    std::chrono::milliseconds get_time_since_report(const upstream_ledger& upstream, time_point now) const;
    // Whether a reading in a response, which has just arrived, fits the clock of the present incarnation.
    // Clocks of incarnations begin at 0 or at unrelated values.
    bool fits_clock(const upstream_ledger& upstream, std::int64_t clock_ms, time_point now) const;
    // Returns the end of the last call with a lease for this incarnation that a later one may have received.
    static time_point get_foreign_calls_end(const upstream_ledger& upstream);
    // The longest lease that is requested, and the longest foreign lease, as measured by the clock of this
    // process.
    std::chrono::milliseconds get_longest_lease() const;
    std::chrono::milliseconds get_longest_foreign_lease() const;
    // Returns how long a time on the clock of an upstream may last by the clock of this process.
    std::chrono::milliseconds get_longest_time(std::chrono::milliseconds on_upstream) const;
    // When every lease has ended that an owner up to this token granted, or any earlier owner, to
    // incarnations on whose clocks they end.
    time_point get_leases_end(std::uint64_t granting_token) const;
    // When every lease has ended that earlier owners granted to the upstream.
    time_point get_inherited_leases_end(const upstream_ledger& upstream) const;
    // The same for foreign leases, if no notes tell of them.
    time_point get_foreign_leases_end(std::uint64_t granting_token) const;
    // Returns the first owner whose leases are told apart for the next one.
    std::uint64_t get_first_bounded_token() const;
    // Adds what earlier owners have handed on to the history of owners.
    void apply_takeover_notes();
    // Returns the end of a lease of this length, on the clock of the upstream.
    std::int64_t grant_lease(upstream_ledger& upstream, std::chrono::milliseconds length, time_point now);

    // Reports (cell_reports.cpp)
    void apply_end(upstream_ledger& upstream, const ended_row& row, time_point now);
    void apply_running(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms,
                       time_point now);
    void adopt_run(upstream_ledger& upstream, const running_row& row, std::int64_t clock_ms, time_point now);
    // Returns the record of a run that this owner did not start. Without a task its size is unknown.
    run_record make_found_run(const job_record* job, const task_ref& ref);
    void release_absent_runs(upstream_ledger& upstream, const upstream_report& report, time_point now);
    // Removes a run that is known not to be on the upstream although no end was reported, and requeues its
    // task.
    void release_run(upstream_ledger& upstream, run_key key, time_point now);
    // Stops later runs of a task, or of its gang, of which an earlier run has turned out to be done.
    void stop_superfluous_runs(job_record& job, const upstream_ledger& upstream, const ended_row& row,
                               time_point now);
    void requeue_task(job_record& job, const task_ref& task, time_point not_before);
    // Learns from a step that is done how much longer than the mean its slowest task takes.
    void learn_slowest_task(const job_record& job, const step_state& step);
    void finish_task(job_record& job, const task_ref& task, time_point now);
    void fail_task(job_record& job, const task_ref& task, upstream_ledger& upstream, time_point started_at,
                   time_point now);
    static void record_avoided_upstream(task_record& task, const upstream_id& upstream);
    void count_failure(job_record& job, const task_ref& task, std::uint64_t run, time_point now);
    job_record* find_job(const job_id& id);

    // Responses to orders (cell_orders.cpp)
    void apply_start_response(const start_order& order, const order_response& response, time_point now);
    void apply_stop_response(const stop_order& order, const order_response& response, time_point now);
    // Records that the order may still be carried out, whatever becomes of its run.
    void record_unanswered_start(upstream_ledger& upstream, const start_order& order, time_point now);
    // Records whether the upstream takes start orders.
    void record_start_health(upstream_ledger& upstream, const order_response& response, time_point now);
    void log_start_pause(const upstream_ledger& upstream, time_point now) const;
    // The task starts on the upstream again only if all others cost more.
    void avoid_upstream(const task_ref& task, const upstream_id& upstream);
    // Whether the start of the run would still be decided as it was. Checked each time a start order is sent:
    // one that is sent again, or that has waited for its record, may be seconds old.
    bool is_start_justified(const upstream_ledger& upstream, const task_ref& task, std::uint64_t run,
                            time_point now) const;
    void begin_stop(upstream_ledger& upstream, run_record& run, time_point now);
    // The next decision looks for orders of the upstream that have to be sent again.
    void expect_orders(upstream_ledger& upstream);
    // Sends the stop order again, also if it was sent before.
    void restart_stop(upstream_ledger& upstream, run_record& run, time_point now);

    // CPU limits of best-effort tasks that share an upstream with latency-critical tasks
    // (cell_cpu_limits.cpp)
    void apply_latency_measurements(upstream_ledger& upstream, const upstream_report& report, time_point now);
    void update_tail_model(upstream_ledger& upstream, const upstream_report& report, time_point now);
    void update_margin(upstream_ledger& upstream, const upstream_report& report, time_point now);
    // Sends the planned CPU limits where they differ enough from the current ones.
    void update_cpu_limits(upstream_ledger& upstream, time_point now);
    // Processors that the run uses at full speed, as a share of those of its upstream.
    best_effort_use get_use(const upstream_ledger& upstream, const run_record& run) const;
    // Learns which share of their requested processors the best-effort tasks use.
    void observe_use(upstream_ledger& upstream, time_point now);
    // Copies the ranks of the jobs to their best-effort runs.
    void update_ranks(upstream_ledger& upstream, time_point now);
    // Whether a target is exceeded, or will be with the CPU limits in force.
    bool is_target_at_risk(const upstream_ledger& upstream, const std::vector<serving_budget>& budgets) const;
    std::int32_t clamp_cpu_limit(const upstream_ledger& upstream, const best_effort_use& best_effort_task,
                                 std::int32_t planned, time_point now) const;
    void order_cpu_limit(upstream_ledger& upstream, const run_key& key, run_record& run,
                         std::int32_t new_percent, time_point now);
    // Best-effort tasks that have had a low CPU limit for a while and for which another upstream may be
    // sought again.
    std::vector<slow_best_effort_task> collect_slow_best_effort_tasks(time_point now);
    void collect_slow_tasks_of(upstream_ledger& upstream, time_point now,
                               std::vector<slow_best_effort_task>& slow);
    void move_slow_best_effort_tasks(time_point now);
    // Moves the task if another upstream is expected to complete it clearly earlier.
    void move_if_earlier(const slow_best_effort_task& slow, time_point now);
    migration_terms make_migration_terms(const slow_best_effort_task& slow, time_point now) const;
    // One entry for each latency-critical step on the upstream.
    std::vector<serving_budget> get_serving_budgets(const upstream_ledger& upstream, time_point until) const;
    // What starting a best-effort task of a job with this rank on the upstream would give.
    best_effort_gain get_best_effort_gain(const upstream_ledger& upstream, const best_effort_use& added,
                                          const job_rank& rank, time_point now);
    // Returns the rank of the job, which is computed again at an interval.
    const job_rank& get_rank(job_record& job, time_point now);
    const best_effort_view& get_best_effort_view(const upstream_ledger& upstream, time_point now);
    // False while a latency target is exceeded on the upstream, except at first for best-effort tasks that do
    // not contribute to it.
    bool may_place_best_effort_task(const upstream_ledger& upstream, const best_effort_use& best_effort_task,
                                    time_point now) const;
    // The best-effort task interferes with no latency-critical task of the upstream.
    bool has_negligible_interference_on(const upstream_ledger& upstream,
                                        const best_effort_use& best_effort_task) const;

    // Upkeep of runs and orders (cell_runs.cpp)
    // Does the work that is due at an interval and not with each decision.
    void maintain_runs(clock_reading clock);
    void release_expired_runs(time_point now);
    // Releases the runs of the upstream for which the function returns true.
    void release_runs_if(upstream_ledger& upstream, bool (*is_released)(const run_record&), time_point now);
    // Sends the orders again whose time has come.
    void repeat_orders(time_point now, bool may_start, std::vector<upstream_order>& orders);
    // The same for one upstream. Returns whether it has further orders to send later.
    bool repeat_orders_of(upstream_ledger& upstream, time_point now, bool may_start,
                          std::vector<upstream_order>& orders);
    void send_start(upstream_ledger& upstream, const run_key& key, run_record& run, time_point now,
                    std::vector<upstream_order>& orders);
    void stop_stalled_runs(upstream_ledger& upstream, time_point now);
    // Returns how long a run of the step may report no progress.
    std::chrono::milliseconds get_stall_timeout(const step_spec& spec, const run_record& run) const;
    void move_runs_from_leaving(upstream_ledger& upstream, time_point now);

    // Evacuations of failure domains (cell_evacuations.cpp)
    bool is_evacuated(const upstream_ledger& upstream) const;
    // How much later than now a start order that is sent now may take effect.
    std::chrono::milliseconds get_longest_start_delay(time_point now) const;
    // Withdraws start orders that were not sent, and tickets.
    void begin_evacuation(const failure_domain_id& domain);
    void end_evacuation(const failure_domain_id& domain, time_point now);
    // Counts a run for the return of load to the upstream, if it is seen to be fast enough.
    void observe_return(upstream_ledger& upstream, const task_ref& task, run_record& run,
                        std::int32_t percent, time_point now) const;
    // Whether tasks of the step wait that could run in an evacuated domain and nowhere else.
    bool waits_for_evacuation(const job_record& job, const step_state& state, const step_spec& spec) const;
    bool waits_for_evacuation(const job_record& job) const;
    // Logs, at an interval, the jobs that wait for the end of an evacuation.
    void log_waiting_for_evacuation(time_point now);
    void log_evacuation(const char* event, const failure_domain_id& domain) const;

    // Decisions (cell_placement.cpp)
    // Learns, and logs, whether the runs of earlier owners have become known, or unknown again.
    void update_takeover(time_point now);
    std::vector<job_record*> sort_waiting_jobs(time_point now);
    void place_step(job_record& job, occurrence_record& occurrence, std::uint32_t step, time_point now,
                    cell_decisions& decisions);
    void place_gang(job_record& job, const step_ref& step, time_point now, cell_decisions& decisions);

    // Places the waiting tasks of a step that is no gang.
    void place_tasks(job_record& job, const step_ref& ref, step_state& step, time_point now,
                     cell_decisions& decisions);

    // Tickets of the advice service (cell_advice.cpp)
    // Requests tickets for the steps of which this decision left tasks waiting.
    void request_advice(time_point now, cell_decisions& decisions);
    // Requests tickets for upstreams that have room for the step, if there are any without one.
    void request_advice(job_record& job, const step_ref& step, time_point now, cell_decisions& decisions);
    // Forgets what the advice service has said about the upstream.
    void drop_tickets(const upstream_id& upstream);
    // Returns null if there is no ticket that a start order can still use.
    const std::string* find_ticket(const step_ref& step, const upstream_id& upstream, time_point now) const;

    // Room that is held for large tasks (cell_reservations.cpp)
    void record_demand(const step_spec& spec, time_point now);
    // Records that a task of the step fits nowhere, if room may be held for the step.
    void record_unplaced_step(const job_record& job, const step_ref& step, const task_record& task,
                              time_point now);
    // Ends the reservations that are not justified any more. The jobs are in the order of the decision.
    void maintain_reservations(const std::vector<job_record*>& order, time_point now);
    // Updates the position of the reservation, and returns how it ends if it does.
    std::optional<reservation_end> check_reservation(reservation& known,
                                                     const std::vector<job_record*>& order, time_point now);
    // Appends the usable upstreams with held room that are not in the list.
    void add_held_slots(std::vector<upstream_index::slot_number>& slots) const;
    void end_reservation(std::size_t index, reservation_end how, time_point now);
    // A task of the step starts on the upstream.
    void use_reservation(const step_ref& step, const upstream_ledger& upstream, time_point now);
    // Whether a task of the step would delay a reservation on the upstream of a job that ranks before.
    bool is_room_held(const upstream_ledger& upstream, const step_terms& terms, time_point now) const;
    // Holds room for the steps that were recorded in this decision.
    void create_reservations(time_point now);
    room_demand make_room_demand(const unplaced_step& wanted, time_point now);
    // Forecasts the room of the upstreams that may run the step and are not held for a job that ranks before.
    std::vector<room_forecast> forecast_rooms(const unplaced_step& wanted, time_point now);
    // Ends reservations of jobs that rank after this one, as far as they are in the way. Returns false if
    // there is no place.
    bool make_place_for_reservation(const unplaced_step& wanted, const std::vector<room_hold>& holds,
                                    time_point now);
    void add_reservations(const unplaced_step& wanted, const room_demand& demand,
                          const std::vector<room_hold>& holds, time_point now);

    // Search for upstreams (cell_search.cpp)
    std::optional<placement> choose_upstream(const job_record& job, const step_ref& step,
                                             const task_record& task, time_point now);
    // The placement of tasks on the upstream may have become possible, impossible, cheaper or dearer.
    void mark_changed(const upstream_ledger& upstream);
    // Applies the marked changes to the index.
    void update_index(time_point now);
    // Whether tasks may start on the upstream if it responds.
    bool accepts_new_runs(const upstream_ledger& upstream, time_point now) const;
    bool is_usable(const upstream_ledger& upstream, time_point now) const;
    step_terms make_terms(const job_record& job, const step_ref& step, time_point now);
    // Continues the search for the step, or begins one.
    void resume_search(const job_record& job, const step_ref& step, const unplaced_kind& wanted,
                       time_point now);
    void begin_search(step_terms terms, const unplaced_kind& wanted, time_point now);
    // Begins the search among the upstreams that can have room since an earlier one.
    void begin_repeated_search(const unplaced_kind& known, time_point now);
    // Whether the unused processors of the upstream, as last computed, are too few for a best-effort task.
    bool is_known_full(upstream_index::slot_number slot, const step_terms& terms, time_point now) const;
    // Evaluates the upstream for the search.
    void add_candidate(upstream_index::slot_number slot, time_point now);
    // Evaluates further upstreams until no other one can be cheaper than the first candidate.
    void find_first_candidate(time_point now);
    // Returns the upstream among the candidates that is cheapest for the task, with the costs that depend on
    // the task.
    upstream_ledger* choose_candidate(const task_record& task, const step_tickets* tickets, time_point now);
    // The kind of the task, as it is recorded if it fits nowhere.
    unplaced_kind make_kind(const job_record& job, const step_ref& step) const;
    // The last search that found no room for such a task.
    const unplaced_kind* find_unplaced(const unplaced_kind& wanted) const;
    void record_unplaced(unplaced_kind wanted, time_point now);
    // Returns the cost of a task of the step on the upstream, or nothing if it may not start there.
    std::optional<double> evaluate(const upstream_ledger& upstream, const step_terms& terms, time_point now);
    // Whether a usable upstream may run a task of the step and has room for it.
    static bool has_room_for(const upstream_ledger& upstream, const step_terms& terms, time_point now);

    // Costs (cell_costs.cpp)
    static cost_bounds get_cost_bounds(const upstream_ledger& upstream);
    static double get_cost(const upstream_ledger& upstream, const step_terms& terms, double gain);
    best_effort_use get_best_effort_use(const upstream_ledger& upstream, const step_terms& terms) const;
    // The lowest gain for which a best-effort task starts, so that it waits if better upstreams were offered
    // recently.
    double get_min_gain(image_index image, time_point now);
    void record_gain(image_index image, double gain, time_point now);
    void start_task(job_record& job, const task_ref& task, const placement& chosen, std::uint64_t run,
                    time_point now, cell_decisions& decisions);
    std::uint64_t get_next_run(const task_record& task) const;
    // Returns the lowest number of the runs that this owner starts.
    std::uint64_t get_first_run() const;
    start_order make_start(upstream_ledger& upstream, const job_record& job, const task_ref& task,
                           std::uint64_t run, const std::string& ticket, time_point now);

    const cell_limits limits_;
    const std::uint64_t token_;
    const time_point owner_since_;
    owner_history history_;
    evacuation_state evacuations_;
    std::uint64_t ended_before_ = 1;
    std::vector<lease_bound> lease_bounds_;
    std::optional<std::vector<foreign_lease>> foreign_leases_ = std::vector<foreign_lease>();
    bool has_freed_upstreams_ = false;
    bool has_missed_entries_ = false;
    bool is_fenced_ = false;
    bool has_uncommitted_ends_ = false;
    std::shared_ptr<const queue_index> queues_;
    std::unordered_map<job_id, job_record> jobs_;
    std::unordered_map<job_id, ended_job> ended_jobs_;
    std::map<upstream_id, upstream_ledger> upstreams_;
    // Jobs with tasks that wait for an upstream.
    std::set<job_id> waiting_jobs_;
    // Scheduled jobs with occurrences that are not due yet.
    std::set<job_id> scheduled_jobs_;
    // Jobs whose progress has changed since their last commit or since the current batch began.
    std::set<job_id> dirty_jobs_;
    // Jobs of the current batch that are not written yet, and the ends that are durable once all of them are.
    std::set<job_id> commit_batch_;
    std::map<upstream_id, progress_commit::end_mark> batch_ends_;
    std::map<step_ref, step_tickets> tickets_;
    // The steps of the present decision that need tickets, in the order of their jobs.
    std::vector<advice_step> advice_steps_;
    advice_calls advice_calls_;
    // Moving average of the work per job, by queue; see rank_job.
    std::map<std::string, double> mean_work_;
    duration_model durations_;
    // Mean of run_record::use_ratio.
    double mean_use_ratio_ = 1.0;
    tail_model tail_model_;
    std::map<step_ref, tail_base, step_order> tail_bases_;
    std::map<image_index, best_gain> best_gains_;
    std::vector<upstream_order> queued_orders_;
    // Kinds of tasks that wait for room.
    std::vector<unplaced_kind> unplaced_;
    upstream_index index_;
    // Slots of upstreams with orders to send again, with best-effort tasks that may have to be moved, and of
    // those that take no task for a limited time.
    std::vector<upstream_index::slot_number> order_slots_;
    std::vector<upstream_index::slot_number> slow_slots_;
    std::vector<upstream_index::slot_number> blocked_slots_;
    step_search search_;
    reservation_table reservations_;
    // Steps for which this decision may hold room, in the order of their jobs.
    std::vector<unplaced_step> unplaced_steps_;
    time_point next_reservation_scan_;
    // Place of the job, whose tasks are being placed, in the order of the decision.
    std::size_t order_position_ = 0;
    // Valid within one decision.
    std::size_t starts_left_ = 0;
    bool has_held_starts_ = false;
    // Whether the takeover was resolved at the last decision.
    bool is_resolved_ = false;
    // Whether leases of earlier owners could be valid at the last decision.
    bool has_inherited_leases_ = true;
    bool has_recorded_starts_ = false;
    std::uint64_t evaluated_placements_ = 0;
    migration_count migrations_;
    // Number of the current decision. The views of earlier ones are kept for their memory only.
    std::uint64_t decision_ = 0;
    // By slot of the upstream.
    std::vector<best_effort_view> best_effort_views_;
    time_point next_maintenance_;
    time_point next_evacuation_log_;
};

}  // namespace jacinthvane
