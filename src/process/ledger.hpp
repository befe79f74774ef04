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

// How far a commitment is known to be true on the upstream.
enum class commitment_state {
    // The start is being sent.
    reserved,
    // The upstream has said that the task runs.
    confirmed,
    // The start was sent and its outcome is unknown.
    unconfirmed,
};

// How much of an upstream this process may commit, in thousandths.
struct ledger_limit {
    // The most that all known work may add up to before a new start: 1000 while the term is valid,
    // lapsed_share after it, 0 when nothing new may start.
    std::int64_t share_permille = 1000;
    // Kept free for a former owner that may still be starting work. It bounds all work that the former owner
    // did not start, since its own tasks are counted within its reservation.
    std::int64_t reserved_permille = 0;
    // The former owner as it names itself in the lists of its upstreams.
    std::string reserved_holder;

    bool operator==(const ledger_limit&) const = default;
};

// One task that takes up room on an upstream.
struct commitment {
    task_id task;
    std::uint64_t generation = 0;
    task_kind kind;
    resource_vector size;
    task_class work_class = task_class::batch;
    commitment_state state = commitment_state::reserved;
    // True for work that the holder of a reservation started; it counts within the reservation.
    bool is_of_reserved_holder = false;
    // When this process last changed the entry; a list sent before that proves nothing about it.
    time_point changed_at;
    // After this a start that was sent can no longer be accepted.
    time_point start_until;
    // After this the lease of the task has lapsed on the upstream, clock error included.
    time_point lease_until;

    bool operator==(const commitment&) const = default;
};

// A task that runs on a candidate, for the prediction of interference.
struct neighbour {
    task_kind kind;
    task_class work_class = task_class::batch;

    bool operator==(const neighbour&) const = default;
};

// One upstream that a task could go to.
struct placement_candidate {
    upstream_id upstream;
    rack_id rack;
    resource_vector size;
    resource_vector committed;
    resource_vector room;
    std::vector<neighbour> neighbours;

    bool operator==(const placement_candidate&) const = default;
};

// A task that the upstream says has ended.
struct ended_task {
    listed_task shown;
    // Absent if the task was not committed here.
    std::optional<task_class> work_class;

    bool operator==(const ended_task&) const = default;
};

// What a list answer changed.
struct list_outcome {
    std::vector<commitment> adopted;
    std::vector<ended_task> ended;
    // Known to run before and no longer in the list.
    std::vector<commitment> vanished;
    // Starts of unknown outcome that the list shows never took effect.
    std::vector<commitment> never_started;

    bool operator==(const list_outcome&) const = default;
};

struct free_summary {
    std::size_t upstreams = 0;
    std::size_t upstreams_with_room = 0;
    resource_vector total;
    resource_vector committed;
    // Processors of the largest task that would fit now.
    std::int64_t largest_room_processors_milli = 0;

    bool operator==(const free_summary&) const = default;
};

// The table of commitments of the upstreams that this process owns. A start is committed here before it is
// sent, and the room comes back only when the upstream or the lapse of the task's lease proves that the task
// does not run. All methods are thread-safe.
class ledger {
public:
    explicit ledger(std::uint64_t random_seed);
    ~ledger();

    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;

    // Adds an upstream or replaces its record; commitments stay. A new upstream has no room until open.
    void put_upstream(const upstream_record& record, const ledger_limit& limit);
    // Allows or forbids new commitments; a claimed upstream opens only after it has been listed.
    void set_open(const upstream_id& upstream, bool is_open);
    void set_limit(const upstream_id& upstream, const ledger_limit& limit);
    // Sets the share of all upstreams at once, when the term lapses or is renewed.
    void set_share(std::int64_t share_permille);
    void set_leaving(const upstream_id& upstream, bool is_leaving);
    // Forgets an upstream that this process no longer owns, with its commitments.
    void drop_upstream(const upstream_id& upstream);

    // Reserves room. Errors: no_capacity, not_found (not an upstream of this table), version_conflict (the
    // task is already committed in this or a higher generation).
    absl::Status commit(const upstream_id& upstream, const commitment& entry);
    // Errors: not_found.
    absl::Status confirm(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                         time_point now);
    absl::Status mark_unconfirmed(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                                  time_point now);
    // Moves the limits of a start that has not been sent yet.
    absl::Status extend_start(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                              time_point start_until, time_point lease_until);
    // Extends the time until which the task's lease may be valid. Called before a renewal is sent.
    absl::Status extend_lease(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                              time_point lease_until);
    // Frees the room of a task that is known not to run.
    absl::Status release(const upstream_id& upstream, const task_id& task, std::uint64_t generation);

    // Applies a list answer. sent_at is the time before the list call was sent. Leases of listed tasks count
    // until the deadline that the upstream shows, with the clock error added.
    list_outcome apply_list(const upstream_id& upstream, const upstream_list& list, time_point sent_at,
                            time_point received_at, std::chrono::milliseconds clock_error);
    // Removes the commitments of an upstream that does not answer whose leases have lapsed.
    std::vector<commitment> remove_lapsed(const upstream_id& upstream, time_point now);

    // Returns up to count upstreams with room for the size, chosen at random.
    std::vector<placement_candidate> sample_candidates(const resource_vector& size, std::size_t count);

    std::optional<upstream_id> find_task(const task_id& task) const;
    std::optional<commitment> get_commitment(const upstream_id& upstream, const task_id& task) const;
    std::vector<commitment> get_commitments(const upstream_id& upstream) const;
    std::vector<upstream_id> get_upstreams() const;
    resource_vector get_committed(const upstream_id& upstream) const;
    free_summary get_free_summary() const;
    // The memory of the table, counted from its containers.
    std::size_t get_memory_bytes() const;

private:
    struct upstream_entry;
    using upstream_table = std::unordered_map<upstream_id, std::unique_ptr<upstream_entry>>;

    // Upstreams whose room holds the same number of whole processors.
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
    // Upstreams with free accelerators are kept apart, so that a task that needs one does not search the
    // rest.
    room_index plain_room_;
    room_index accelerator_room_;
    std::mt19937_64 random_;
};

}  // namespace jacinthvane
