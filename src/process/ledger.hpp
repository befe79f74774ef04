#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"
#include "process/upstream_types.hpp"

namespace jacinthvane {

// Whether the upstream is known to run the committed task.
enum class commitment_state {
    // The start order is being sent.
    reserved,
    // The upstream has reported that the task runs.
    confirmed,
    // The start order was sent and its outcome is unknown.
    unconfirmed,
};

// The share of an upstream that this process may commit, in thousandths.
struct ledger_limit {
    // The limit of all committed work including a new task: 1000 while the term is valid,
    // lapsed_share_permille after it has expired, 0 when no new task may start.
    std::int64_t share_permille = 1000;
    // The share that is kept free for a previous owner that may still be starting tasks. It limits only the
    // tasks that the previous owner did not start, since that owner's tasks count within its reservation.
    std::int64_t reserved_permille = 0;
    // The name of the previous owner in the lists of its upstreams.
    std::string reserved_holder;

    bool operator==(const ledger_limit&) const = default;
};

// One task that occupies room on an upstream.
struct commitment {
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    resource_vector size;
    task_class work_class = task_class::batch;
    commitment_state state = commitment_state::reserved;
    // True if the holder of the reservation started the task, which then counts within the reservation.
    bool is_of_reserved_holder = false;
    // When this process last changed the entry. A list call sent before that proves nothing about it.
    time_point changed_at;
    // The time after which the upstream can no longer accept the start order.
    time_point start_until;
    // The time after which the task's lease has expired on the upstream, clock error included.
    time_point lease_until;

    bool operator==(const commitment&) const = default;
};

// A task that runs on a candidate. Interference is predicted from these.
struct neighbor {
    task_kind kind;
    task_class work_class = task_class::batch;

    bool operator==(const neighbor&) const = default;
};

// One upstream on which a task could be placed.
struct placement_candidate {
    upstream_id upstream;
    rack_id rack;
    resource_vector size;
    resource_vector committed;
    resource_vector room;
    std::vector<neighbor> neighbors;

    bool operator==(const placement_candidate&) const = default;
};

// A task that the upstream reported as ended.
struct ended_task {
    listed_task shown;
    // Absent if this process had not committed the task.
    std::optional<task_class> work_class;

    bool operator==(const ended_task&) const = default;
};

// The changes that a list response caused.
struct list_outcome {
    std::vector<commitment> adopted;
    std::vector<ended_task> ended;
    // Tasks that were confirmed and are no longer in the list.
    std::vector<commitment> vanished;
    // Tasks whose start order had an unknown outcome and, as the list shows, never took effect.
    std::vector<commitment> never_started;

    bool operator==(const list_outcome&) const = default;
};

struct free_summary {
    std::size_t upstreams = 0;
    std::size_t upstreams_with_room = 0;
    resource_vector total;
    resource_vector committed;
    // The most free processors of an upstream with room, in thousandths.
    std::int64_t largest_room_processors_milli = 0;

    bool operator==(const free_summary&) const = default;
};

// The table of commitments of the upstreams that this process owns. A task is committed here before its start
// order is sent, and its room is freed only when the upstream or the expiry of the task's lease proves that
// the task does not run. All methods are thread-safe.
class ledger {
public:
    explicit ledger(std::uint64_t random_seed);
    ~ledger();

    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;

    // Adds an upstream or replaces its record; commitments stay. A new upstream has no room until set_open.
    void put_upstream(const upstream_record& record, const ledger_limit& limit);
    // Allows or forbids new commitments. A claimed upstream must be opened only after its tasks were listed.
    void set_open(const upstream_id& upstream, bool is_open);
    void set_limit(const upstream_id& upstream, const ledger_limit& limit);
    // Sets the share of all upstreams at once, when the term expires or is renewed.
    void set_share(std::int64_t share_permille);
    void set_leaving(const upstream_id& upstream, bool is_leaving);
    // Removes an upstream that this process no longer owns, together with its commitments.
    void drop_upstream(const upstream_id& upstream);

    // Reserves room. Errors: no_capacity, not_found (not an upstream of this table), version_conflict (the
    // task is already committed, in any generation).
    absl::Status commit(const upstream_id& upstream, const commitment& entry);
    // Errors: not_found.
    absl::Status confirm(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                         time_point now);
    absl::Status mark_unconfirmed(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                                  time_point now);
    // Moves the deadlines of a start order that has not been sent yet to a later time.
    absl::Status extend_start(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                              time_point start_until, time_point lease_until);
    // Extends the time until which the task's lease may be valid. Called before a renewal is sent.
    absl::Status extend_lease(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                              time_point lease_until);
    // Frees the room of a task that certainly does not run.
    absl::Status release(const upstream_id& upstream, const task_id& task, std::uint64_t generation);

    // Applies a list response. sent_at is a time before the list call was sent. The lease of a listed task is
    // assumed to be valid until the deadline in the list plus the clock error.
    list_outcome apply_list(const upstream_id& upstream, const upstream_list& list, time_point sent_at,
                            time_point received_at, std::chrono::milliseconds clock_error);
    // Removes and returns the commitments of an unresponsive upstream whose leases have expired.
    std::vector<commitment> remove_expired(const upstream_id& upstream, time_point now);

    // Returns up to count upstreams with room for the size, chosen at random.
    std::vector<placement_candidate> sample_candidates(const resource_vector& size, std::size_t count);

    std::optional<upstream_id> find_task(const task_id& task) const;
    std::optional<commitment> get_commitment(const upstream_id& upstream, const task_id& task) const;
    std::vector<commitment> get_commitments(const upstream_id& upstream) const;
    std::vector<upstream_id> get_upstreams() const;
    resource_vector get_committed(const upstream_id& upstream) const;
    free_summary get_free_summary() const;
    // Returns the memory use of the table, estimated from the sizes of its containers.
    std::size_t get_memory_bytes() const;

private:
    struct upstream_entry;
    using upstream_table = std::unordered_map<upstream_id, std::unique_ptr<upstream_entry>>;

    // Groups upstreams by the number of full processors in their room. The last level includes all above.
    static constexpr std::size_t room_levels = 65;
    struct room_index {
        std::vector<std::vector<upstream_entry*>> levels{room_levels};
    };

    static std::size_t get_level(const resource_vector& room);
    upstream_entry* find_entry(const upstream_id& upstream) const;
    commitment* find_commitment(const upstream_id& upstream, const task_id& task, std::uint64_t generation);
    void update_room(upstream_entry& entry);
    void remove_from_index(upstream_entry& entry);
    void erase_commitment(upstream_entry& entry, std::size_t position);
    void add_commitment(upstream_entry& entry, const commitment& added);
    static placement_candidate describe(const upstream_entry& entry);

    mutable ordered_mutex mutex_{lock_rank::ledger};
    upstream_table upstreams_;
    std::unordered_map<task_id, upstream_entry*> tasks_;
    // Upstreams with free accelerators have a separate index, so that a task that needs accelerators does not
    // search the other upstreams.
    room_index plain_room_;
    room_index accelerator_room_;
    std::mt19937_64 random_;
};

}  // namespace jacinthvane
