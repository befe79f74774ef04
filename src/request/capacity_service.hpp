#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/call_limiter.hpp"
#include "connection/store_client.hpp"
#include "connection/upstream_client.hpp"
#include "connection/vm_list_client.hpp"
#include "process/ledger.hpp"
#include "process/ordered_mutex.hpp"
#include "process/tenure.hpp"
#include "request/attempt_state.hpp"
#include "request/capacity_types.hpp"
#include "request/upstream_chooser.hpp"
#include "version/ownership.hpp"

namespace jacinthvane {

// Owns slices of the failure domain's upstreams and is the only part of the process that starts, renews and
// stops tasks. It maintains the process's lease in the store, claims and hands over slices, lists the tasks
// of its upstreams, and commits capacity in the ledger before it sends a start order. Thread-safe.
class capacity_service : public std::enable_shared_from_this<capacity_service> {
public:
    capacity_service(asio::io_context& context, const capacity_settings& settings, store_client store,
                     vm_list_client vm_list, upstream_client upstreams, capacity_callbacks callbacks,
                     upstream_chooser chooser = least_committed_chooser{});

    // Starts the background loops. Must be called once, on an object held by a shared_ptr.
    void start();
    // Ends the background loops without handing over slices or releasing the lease, as a crash would. For
    // tests and for the end of the process.
    void stop_loops();

    // Runs the task on an owned upstream and returns its response. The run knowledge of an error states
    // exactly whether the task can have run.
    awaitable<absl::StatusOr<task_response>> run_urgent(task_start start);

    // Starts the task and returns the upstream that runs it.
    awaitable<absl::StatusOr<upstream_id>> start_batch(task_start start);

    // Does the same in two steps, so that the generation can be made durable in between: reserve_batch
    // commits capacity without sending anything, start_reserved sends the start order, and cancel_reservation
    // releases the capacity.
    absl::StatusOr<upstream_id> reserve_batch(const task_start& start);
    awaitable<absl::Status> start_reserved(task_start start, upstream_id upstream);
    void cancel_reservation(const task_id& task, std::uint64_t generation, const upstream_id& upstream);

    std::optional<upstream_id> find_task(const task_id& task) const { return ledger_.find_task(task); }
    // Queries the upstream for the task. First waits until a start order in flight can no longer be accepted.
    awaitable<attempt_state> query_attempt(upstream_id upstream, task_id task, std::uint64_t generation);
    // Returns the checkpoint. Errors: not_found (the task is not committed here) and those of the upstream.
    awaitable<absl::StatusOr<std::string>> checkpoint(task_id task);
    // Returns once the task is known not to run. After an error its capacity stays committed.
    awaitable<absl::StatusOr<stop_result>> stop(task_id task);
    awaitable<absl::Status> throttle(task_id task, std::int64_t percent);

    void mark_leaving(const upstream_id& upstream);
    std::vector<upstream_id> get_leaving() const;
    free_summary get_free_summary() const { return ledger_.get_free_summary(); }
    // Returns whether any upstream in the VM list is large enough when empty. Returns true until the list has
    // been read.
    bool would_ever_fit(const resource_vector& size) const;
    // Returns the most recently read VM list.
    std::vector<vm_record> get_vms() const;
    // Returns the process that owns the upstream according to the most recent ownership value.
    std::optional<process_id> find_owner(const upstream_id& upstream) const;
    // Returns the members of the failure domain's ownership value.
    std::vector<process_id> get_members() const;
    // Records an operator's statement that the process of a VM has ended. The statement counts as a proof.
    void record_process_ended(const vm_id& vm, const std::string& author, const std::string& reason);

    // Stops starting tasks, hands all slices over to the other members and releases the lease. Returns false
    // if the store did not confirm the handover before the deadline.
    awaitable<bool> hand_over(time_point deadline);

    // Returns whether at least one upstream is open for starts.
    bool is_open() const;
    // Signals changes of ownership, upstreams or commitments. Tests and the startup wait for it.
    async_signal& get_changed() { return changed_; }
    capacity_state get_state() const;
    capacity_counters get_counters() const;
    ledger& get_ledger() { return ledger_; }

private:
    // A slice that the last ownership value gives to this process.
    struct held_slice {
        std::uint64_t epoch = 0;
        // A list requested after this time shows every task that the previous owner started.
        time_point opens_after;
        std::int64_t reserved_permille = 0;
        std::string reserved_holder;
        // Set when a reservation has ended: a list requested after this time shows every task that its holder
        // started.
        std::optional<time_point> reservation_ends_after;
        bool is_handing_over = false;
    };

    // An upstream of a held slice. Immutable: each list response replaces the object.
    struct owned_upstream {
        upstream_record record;
        std::size_t slice = 0;
        time_point owned_since;
        bool is_open = false;
        bool is_responsive = false;
        std::int64_t clock_ms = 0;
        time_point clock_read_at;
        time_point list_sent_at;
        time_point usage_read_at;
    };
    using owned_pointer = std::shared_ptr<const owned_upstream>;

    struct leaving_mark {
        time_point marked_at;
        bool is_in_vm_list = false;
    };

    // A start order that has passed all checks except the last one, directly before it is written to the
    // connection.
    struct prepared_start {
        owned_pointer upstream;
        start_call call;
        time_point write_before;
    };

    struct lease_state {
        store_lease lease;
        time_point renewed_at;
        // Whether the ownership value names this lease. Only then does the lease bound a term.
        bool is_bound = false;
    };

    // Loops.
    awaitable<void> keep_term();
    awaitable<void> keep_ownership();
    // Receives changes of the ownership value immediately, without reading the full value every second.
    awaitable<void> watch_ownership();
    awaitable<void> keep_vm_list();
    awaitable<void> watch_upstreams();
    awaitable<void> visit_upstream(upstream_id upstream);

    // Store lease.
    awaitable<absl::Status> acquire_lease();
    awaitable<absl::Status> renew_lease();
    std::string get_tenure_path(const vm_id& vm) const;

    // Ownership.
    struct member_check {
        bool is_expired = false;
        std::optional<end_proof> proof;
    };
    awaitable<void> run_ownership_round();
    awaitable<absl::StatusOr<std::pair<ownership, std::uint64_t>>> read_ownership();
    std::string get_ownership_path() const;
    awaitable<absl::StatusOr<member_check>> check_member(process_id member);
    std::vector<process_id> pick_members_to_check(const ownership& value);
    std::optional<end_proof> find_proof(const process_id& process) const;
    ownership plan_changes(const ownership& value, const std::map<process_id, member_check>& expired);
    void release_proved_reservations(ownership& value, time_point now);
    awaitable<void> write_ownership(ownership value, std::uint64_t base_revision);
    void adopt_ownership(const ownership& value, std::uint64_t revision);
    void adopt_slice(std::size_t slice, const slice_record& record, time_point now,
                     std::vector<std::string>& events);
    void sync_upstreams();

    // Upstreams.
    awaitable<absl::StatusOr<upstream_list>> refresh(owned_pointer upstream);
    void apply_list(const owned_pointer& upstream, const upstream_list& list, time_point sent_at,
                    time_point received_at);
    void report_ends(const upstream_id& upstream, const list_outcome& outcome);
    awaitable<void> renew_tasks(owned_pointer upstream);
    awaitable<void> read_usage(owned_pointer upstream);
    owned_pointer find_owned(const upstream_id& upstream) const;
    void mark_leaving_from(const upstream_id& upstream, bool is_in_vm_list);
    void clear_leaving(const upstream_id& upstream, time_point sent_at);

    // Starts.
    absl::StatusOr<upstream_id> reserve(const task_start& start, time_point now);
    absl::StatusOr<prepared_start> prepare(const task_start& start, const upstream_id& upstream,
                                           bool is_waiting);
    awaitable<absl::StatusOr<start_result>> send(task_start start, upstream_id upstream, bool is_waiting);
    std::int64_t to_upstream_clock(const owned_upstream& upstream, time_point at) const;
    tenure_allowance update_share(time_point now);

    std::chrono::milliseconds draw_jitter(std::chrono::milliseconds longest);
    awaitable<bool> wait_unless_stopping(time_point deadline);
    void report_end(const task_end& end);
    void count(std::uint64_t capacity_counters::*counter, std::uint64_t amount = 1);

    asio::io_context& context_;
    const capacity_settings settings_;
    store_client store_;
    vm_list_client vm_list_;
    upstream_client upstreams_;
    const capacity_callbacks callbacks_;
    const upstream_chooser chooser_;

    ledger ledger_;
    call_limiter list_limiter_;
    call_limiter renewal_limiter_;
    call_limiter stop_limiter_;
    async_signal changed_;
    async_signal stopping_;
    std::atomic<bool> is_stopping_ = false;

    mutable ordered_mutex mutex_{lock_rank::ownership};
    tenure tenure_;
    std::int64_t last_share_ = 0;
    lease_state lease_;
    bool is_handing_over_ = false;
    bool is_replaced_ = false;
    std::optional<ownership> value_;
    std::uint64_t revision_ = 0;
    // Whether a watch keeps value_ current.
    bool is_watched_ = false;
    // The base revision of a write of unknown outcome. The write can still take effect until the revision
    // advances.
    std::optional<std::uint64_t> unknown_base_;
    std::map<std::size_t, held_slice> held_;
    // Slices lost to a next owner that reserves a share for this process, with the time after which none of
    // this process's start orders can still be accepted.
    std::map<std::size_t, time_point> lost_;
    std::map<std::pair<std::size_t, process_id>, time_point> reservations_seen_;
    std::map<upstream_id, owned_pointer> owned_;
    std::set<upstream_id> visits_;
    std::map<upstream_id, std::set<std::pair<task_id, std::uint64_t>>> reported_;
    std::vector<vm_record> vms_;
    bool has_vms_ = false;
    time_point vms_read_at_;
    std::set<vm_id> seen_vms_;
    std::map<upstream_id, leaving_mark> leaving_;
    std::vector<operator_statement> statements_;
    std::size_t next_member_ = 0;
    std::mt19937_64 random_;

    mutable ordered_mutex counters_mutex_{lock_rank::signal};
    capacity_counters counters_;
};

}  // namespace jacinthvane
