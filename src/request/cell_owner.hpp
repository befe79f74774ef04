#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/async_signal.hpp"
#include "connection/cell_records.hpp"
#include "connection/cell_store.hpp"
#include "connection/registry_port.hpp"
#include "connection/upstream_port.hpp"
#include "process/cell_limits.hpp"
#include "process/link_pacer.hpp"
#include "process/metrics.hpp"
#include "process/ordered_mutex.hpp"
#include "process/owner_load.hpp"
#include "process/response_budget.hpp"
#include "process/response_times.hpp"
#include "process/start_backlog.hpp"
#include "process/work_pacer.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

// Interfaces through which a cell reaches the store, the registry and the upstreams.
struct cell_ports {
    cell_store store;
    registry_port registry;
    upstream_port upstreams;
    // The memory of the responses of peers; null if only the limit of each response applies.
    std::shared_ptr<response_budget> responses = nullptr;
};

// What the platform and the VM allow an owner.
struct owner_limits {
    cell_limits cell;
    // Rate of the link of this VM; 0 if it is unknown.
    std::int64_t link_mbps = 0;

    bool operator==(const owner_limits&) const = default;
};

// Evidence of ownership: the row that was written to the store and its revision.
struct cell_claim {
    cell_row row;
    std::uint64_t row_revision = 0;
    time_point claimed_at;

    bool operator==(const cell_claim&) const = default;
};

// Owns the cell under one fencing token: loads the state from the store, lists the upstreams, carries out the
// decisions of the scheduler and writes its progress. Ends permanently when a higher token is seen or stop is
// called. Thread-safe.
class cell_owner : public std::enable_shared_from_this<cell_owner> {
public:
    cell_owner(asio::io_context& context, cell_ports ports, owner_limits limits, cell_claim claim,
               metrics& counters);

    // Loads the state of the cell in the background and then begins to schedule.
    void start(std::shared_ptr<const queue_index> queues);
    void set_queues(std::shared_ptr<const queue_index> queues);
    // Starts no more runs, and ends once the pending progress is written or the deadline has passed.
    awaitable<void> stop(time_point deadline);

    // Ends at once, since another process owns the cell with this higher token.
    void supersede(std::uint64_t token);
    // See cell_scheduler.
    void set_owner_history(const owner_history& history);

    bool is_over() const;
    // Whether the jobs are loaded and ownership has not ended, so that queries about them can be answered.
    bool is_loaded() const;
    std::uint64_t get_token() const { return claim_.row.token; }
    std::optional<job_phase> get_state(const job_id& id, const std::string& queue) const;
    std::vector<queue_status> get_queue_statuses() const;
    // Returns when this owner will probably be able to start further jobs in time; nothing if it is now.
    std::optional<time_point> get_overload_end() const;
    // Records that a query of another process was answered with a response of this size.
    void record_query(std::size_t response_bytes);
    // Returns a readable dump for operators.
    std::string dump_state() const;

private:
    static clock_reading read_clock();
    // Starts a coroutine that keeps this object alive.
    void spawn(const char* name, awaitable<void> task);
    static awaitable<void> keep_alive(std::shared_ptr<cell_owner> self, awaitable<void> task);
    awaitable<void> run();
    awaitable<bool> load();
    awaitable<bool> load_jobs();
    awaitable<bool> load_locations();
    // Returns false if the item cannot be read.
    bool load_location_item(const store_item& item);
    void apply_loaded_notes();
    // Returns the highest token of an earlier owner that may have granted leases on the upstream.
    std::uint64_t get_granting_token(const upstream_id& id) const;
    awaitable<bool> load_upstreams();
    awaitable<bool> load_evacuations();
    // Calls the function until it succeeds or ownership is lost, and returns whether it succeeded.
    awaitable<bool> retry_load(awaitable<bool> (cell_owner::*load_part)());
    awaitable<void> follow_jobs(std::uint64_t revision);
    awaitable<void> follow_upstreams(std::uint64_t revision);
    // Writes the list of upstreams whenever it is outdated. Apart from the watch: the list of a large fleet
    // takes seconds to write on a slow link, and an upstream that leaves must not get tasks meanwhile.
    awaitable<void> keep_upstream_list();
    awaitable<void> follow_evacuations(std::uint64_t revision);
    // Applies a read that contains all evacuations that the store had accepted at a time. The machine had
    // been suspended for this long in total when the read was sent.
    void apply_evacuations(const evacuation_changes& changes, bool is_listing, time_point complete_until,
                           time_point::duration suspended);
    // Logs the first of several failed reads in a row, and the first that succeeds again.
    void record_evacuation_read(const absl::Status& status);
    // Whether the evacuations are known well enough to send start orders. Called with the mutex held.
    bool is_evacuation_view_current() const;
    // Whether start orders may be decided. Called with the mutex held.
    bool may_start() const;
    // Waits for a moment until the applied ends of the upstream are durable. The upstream responds at once
    // while it has unacknowledged ends, so polling it before would be a busy loop. Returns false if the
    // upstream need not be polled any more.
    awaitable<bool> wait_for_durable_ends(upstream_id id);
    awaitable<void> poll_upstream(upstream_id id);
    // Returns the least time from the start of a poll to the start of the next one of the same upstream.
    // Called with the mutex held.
    std::chrono::milliseconds get_poll_pause() const;
    // Returns when to poll the upstream again after a poll that was sent at the given time.
    time_point get_next_poll(const upstream_id& id, time_point last_poll) const;
    awaitable<void> dispatch();
    // Returns until when the order may be sent, by the proof of ownership. Returns nothing if it would not be
    // decided any more, or if ownership is not proven.
    std::optional<time_point> get_send_limit(const upstream_order& order) const;
    // Records how long a server took to respond, in addition to the time that it was asked to wait.
    void record_response(time_point expected_at);
    // Whether the missing response of a call says something about its server. The call was given up at its
    // deadline, or earlier because of an error of the network; a response without a wait of the server was
    // expected at the given time.
    bool is_silence_conclusive(time_point expected_at, time_point deadline) const;
    // Returns how long to wait for the response to a call, at least the given time.
    std::chrono::milliseconds get_call_timeout(std::chrono::milliseconds at_least) const;
    awaitable<void> send_order(upstream_order order, std::string address);
    awaitable<void> fetch_advice(advice_request request);
    awaitable<void> write_progress();
    awaitable<bool> write_commit(progress_commit commit);
    awaitable<bool> resolve_commit();
    awaitable<bool> write_known_upstreams();
    // Finds out what has changed for the next owner; the list is then written again.
    void update_notes();
    // Called with the mutex held.
    takeover_notes make_notes() const;
    // Whether the notes in the store have to be written again. Called with the mutex held.
    bool are_notes_outdated() const;
    // Whether what the next owner has to know changes soon.
    bool has_changing_notes() const;
    awaitable<void> prove_ownership();
    awaitable<void> remove_expired_jobs();
    awaitable<void> log_summaries();
    // Measures how late this process runs its timers.
    awaitable<void> measure_timers();
    // Decides again and again whether further jobs can be started in time.
    awaitable<void> watch_backlog();
    awaitable<void> load_tails();
    awaitable<void> follow_tails();
    // Writes the tail latency estimates if they have changed since the last write.
    awaitable<void> write_tails(time_point deadline);
    // Whether the list of upstreams in the store lacks an upstream or contains a removed one. A removed
    // upstream must leave the list: the next owner would wait for it until every lease that was ever granted
    // there must have expired.
    bool is_recorded_list_outdated() const;
    // Whether the entry of an upstream that has restarted is still expected.
    bool misses_entries(time_point now) const;

    // Adds jobs and cancellations from the store, with their recorded progress if there is any.
    void apply_job_items(const std::vector<store_item>& items, const std::map<job_id, job_progress>& known);
    void apply_job_changes(const store_changes& changes);
    void record_watch(const absl::StatusOr<store_changes>& changes, time_point::duration time);
    // Whether the takeover record names an owner with a higher fencing token.
    bool is_superseded_by(const store_item& takeover) const;
    // Lists the jobs again after the store has discarded history that the watch needed.
    awaitable<bool> reload_jobs(std::uint64_t& revision);
    void apply_upstream_changes(const upstream_changes& changes, bool is_listing);
    store_transaction make_commit(const progress_commit& commit) const;
    // Records that a store call sent at this time has confirmed the claim.
    void record_ownership_proof(time_point sent_at);
    // Whether the last proof is recent enough to give orders.
    bool is_ownership_proven() const;
    // Whether orders and renewals may be sent. Called with the mutex held, so none is after the end.
    bool may_act() const;
    void end(const std::string& reason);
    std::string get_address(const upstream_id& id) const;

    asio::io_context& context_;
    cell_ports ports_;
    const cell_limits limits_;
    const cell_claim claim_;
    metrics& metrics_;
    mutable ordered_mutex mutex_{lock_rank::cell};
    // Guarded by mutex_.
    cell_scheduler scheduler_;
    owner_load load_;
    link_pacer link_;
    response_times responses_;
    start_backlog backlog_;
    // Since the last update of backlog_: start orders that were accepted, decisions, and those of them that
    // left tasks waiting because no more start orders might be in flight.
    std::size_t accepted_starts_ = 0;
    std::size_t decisions_ = 0;
    std::size_t held_decisions_ = 0;
    // The last read of changed jobs failed. Only the first of several failures in a row is logged.
    bool is_job_watch_failing_ = false;
    work_pacer pacer_;
    std::set<upstream_id> polled_upstreams_;
    bool is_evacuation_read_failing_ = false;
    // For how long the machine had been suspended in total when the last successful read was sent.
    time_point::duration suspended_at_evacuation_read_{};
    bool is_over_ = false;
    bool is_loaded_ = false;
    bool is_stopping_ = false;
    bool is_store_unavailable_ = false;
    // When the store call of the last proof of ownership was sent, on a clock that also counts the time in
    // which the machine is suspended.
    time_point proven_at_;
    // Revisions of the commit key and of the list of known upstreams. Each is used by one coroutine only.
    std::uint64_t commit_revision_ = 0;
    std::uint64_t commit_number_ = 0;
    std::uint64_t upstreams_revision_ = 0;
    std::size_t recorded_upstreams_ = 0;
    // What the earlier owner left: the locations, and its notes with their revision.
    std::map<job_id, run_locations> loaded_locations_;
    takeover_notes loaded_notes_;
    std::uint64_t loaded_notes_revision_ = 0;
    bool has_applied_notes_ = false;
    // Whether the store has the locations of all long-running jobs, and the notes that it has.
    bool has_complete_locations_ = false;
    takeover_notes written_notes_;
    // When the notes are written again for the remaining times that they contain.
    time_point next_notes_;
    tail_snapshot written_tails_;
    std::uint64_t jobs_revision_ = 0;
    std::uint64_t registry_revision_ = 0;
    std::uint64_t evacuations_revision_ = 0;
    // Notified when a change may allow a scheduling decision, when the upstreams have changed, when progress
    // waits to be written, and when a commit has been written.
    async_signal wake_;
    async_signal upstreams_changed_;
    // A report has shown an incarnation of which the entry has not been read.
    async_signal missed_entries_;
    async_signal progress_;
    async_signal committed_;
};

}  // namespace jacinthvane
