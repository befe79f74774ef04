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
#include "process/metrics.hpp"
#include "process/ordered_mutex.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

// The outside of a cell.
struct cell_ports {
    cell_store store;
    registry_port registry;
    upstream_port upstreams;
};

// The right to own the cell: the row that was written and its revision.
struct cell_claim {
    cell_row row;
    std::uint64_t row_revision = 0;
    time_point claimed_at;

    bool operator==(const cell_claim&) const = default;
};

// Owns the cell for one token: loads what the store holds, lists the upstreams, carries out the decisions of
// the scheduler and writes its progress. Ends for good when a higher token is seen or stop is called. Safe to
// call from any thread.
class cell_owner : public std::enable_shared_from_this<cell_owner> {
public:
    cell_owner(asio::io_context& context, cell_ports ports, cell_limits limits, cell_claim claim,
               metrics& counters);

    // Begins to load and to act.
    void start(std::shared_ptr<const dispatch_config> config);
    void set_config(std::shared_ptr<const dispatch_config> config);
    // Starts nothing more, and ends once the commit at hand is written.
    awaitable<void> stop(time_point deadline);

    bool is_over() const;
    // True once the jobs are loaded, so that questions about them can be answered.
    bool is_loaded() const;
    std::uint64_t get_token() const { return claim_.row.token; }
    std::optional<job_phase> get_state(const job_id& id, const std::string& queue) const;
    std::vector<queue_status> get_queue_statuses() const;
    // A readable dump for operators.
    std::string dump_state() const;

private:
    static clock_reading read_clock();
    // Starts a coroutine that keeps this object alive.
    void spawn(const char* name, awaitable<void> task);
    static awaitable<void> keep_alive(std::shared_ptr<cell_owner> self, awaitable<void> task);
    awaitable<void> run();
    awaitable<bool> load();
    awaitable<bool> load_jobs();
    awaitable<bool> load_upstreams();
    awaitable<void> follow_jobs(std::uint64_t revision);
    awaitable<void> follow_upstreams(std::uint64_t revision);
    awaitable<void> poll_upstream(upstream_id id);
    awaitable<void> dispatch();
    awaitable<void> send_order(upstream_order order, std::string address);
    awaitable<void> fetch_advice(advice_request request);
    awaitable<void> write_progress();
    awaitable<bool> write_commit(progress_commit commit);
    awaitable<bool> resolve_commit();
    awaitable<bool> write_known_upstreams();
    awaitable<void> prove_ownership();
    awaitable<void> remove_expired_jobs();
    awaitable<void> log_summaries();
    awaitable<void> load_tails();
    awaitable<void> follow_tails();
    // Writes what was learnt of tails, if it has changed since.
    awaitable<void> write_tails(time_point deadline);
    // The list in the store names an upstream too many or too few.
    bool needs_upstream_list() const;

    // Adds jobs and cancellations as the store holds them, with their progress as far as it is known.
    void apply_job_items(const std::vector<store_item>& items, const std::map<job_id, job_progress>& known);
    void apply_job_changes(const store_changes& changes);
    // The record tells of an owner with a higher token.
    bool is_succeeded_by(const store_item& takeover) const;
    // Reads the jobs anew after a gap in their history.
    awaitable<bool> reload_jobs(std::uint64_t& revision);
    void apply_upstream_changes(const upstream_changes& changes, bool is_listing);
    store_transaction make_commit(const progress_commit& commit) const;
    void record_proof(time_point sent_at);
    bool is_proven() const;
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
    std::set<upstream_id> followed_;
    bool is_over_ = false;
    bool is_loaded_ = false;
    bool is_stopping_ = false;
    bool is_store_away_ = false;
    // When the last proof of ownership was sent, on the clock that counts suspension.
    time_point proven_at_;
    // Revisions of the commit key and the list of known upstreams. Used by one coroutine each.
    std::uint64_t commit_revision_ = 0;
    std::uint64_t commit_number_ = 0;
    std::uint64_t upstreams_revision_ = 0;
    std::size_t recorded_upstreams_ = 0;
    tail_snapshot written_tails_;
    std::uint64_t jobs_revision_ = 0;
    std::uint64_t registry_revision_ = 0;
    // Something changed that may allow a decision; progress waits to be written; a commit was written.
    async_signal wake_;
    async_signal progress_;
    async_signal committed_;
};

}  // namespace jacinthvane
