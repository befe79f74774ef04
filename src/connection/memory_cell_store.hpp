#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "connection/async_signal.hpp"
#include "connection/cell_store.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// An in-memory store for tests and the stand-in. Gives the guarantees of the platform's store: it is
// linearizable, each change has its own revision, and a lease that ends removes its keys. Safe to call from
// any thread.
class memory_cell_store {
public:
    explicit memory_cell_store(clock_source clock) : clock_(std::move(clock)) {}

    awaitable<absl::StatusOr<store_item>> get(std::string key, time_point deadline);
    awaitable<absl::StatusOr<store_listing>> list(std::string prefix, time_point deadline);
    awaitable<absl::StatusOr<store_changes>> watch(std::string prefix, std::uint64_t after,
                                                   std::int64_t wait_ms, time_point deadline);
    awaitable<absl::StatusOr<transaction_result>> transact(store_transaction transaction,
                                                           time_point deadline);
    awaitable<absl::StatusOr<granted_lease>> grant_lease(std::int64_t time_to_live_ms, time_point deadline);
    awaitable<absl::Status> renew_lease(std::uint64_t lease, time_point deadline);
    awaitable<absl::Status> end_lease(std::uint64_t lease, time_point deadline);

    // The faults that calls simulate.
    struct faults {
        bool is_down = false;
        // Writes take effect, but their responses are lost.
        bool loses_responses = false;

        bool operator==(const faults&) const = default;
    };
    void set_faults(faults wanted);
    // Discards all changes so far, so that watches from older revisions have to list again.
    void discard_history();
    // Applies a transaction immediately and regardless of faults, as another writer would.
    transaction_result apply(const store_transaction& transaction);
    std::uint64_t get_revision() const;
    std::uint64_t get_write_count() const;
    // Returns the number of calls of all kinds, including waiting watches.
    std::uint64_t get_call_count() const;

private:
    struct lease_state {
        time_point ends_at;
        std::int64_t time_to_live_ms = 0;
    };
    struct stored_item {
        store_item item;
        std::uint64_t lease = 0;
    };

    transaction_result apply_locked(const store_transaction& transaction);
    void remove_locked(const std::string& key);
    void expire_leases_locked();
    // Counts the call and returns the simulated fault, if any.
    absl::Status check_available();

    const clock_source clock_;
    mutable ordered_mutex mutex_{lock_rank::store};
    async_signal changed_;
    faults faults_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t next_lease_ = 1;
    std::map<std::string, stored_item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::vector<store_change> history_;
};

}  // namespace jacinthvane
