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

// The store inside one process, for tests and the stand-in. Keeps the promises of the platform's store:
// linearizable, one revision for each change, leases that remove their keys. Safe to call from any thread.
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

    // Makes calls fail, as far as they are stated to.
    struct faults {
        bool is_down = false;
        // Writes take effect, but their answers are lost.
        bool loses_answers = false;

        bool operator==(const faults&) const = default;
    };
    void set_faults(faults wanted);
    // Forgets all changes so far, so that older watches have to list again.
    void forget_history();
    // Applies a transaction at once, as another writer would.
    transaction_result apply(const store_transaction& transaction);
    std::uint64_t get_revision() const;
    std::uint64_t get_write_count() const;
    // Calls of all kinds, waiting watches included.
    std::uint64_t get_call_count() const;

private:
    struct lease_state {
        time_point ends_at;
        std::int64_t time_to_live_ms = 0;
    };
    struct kept_item {
        store_item item;
        std::uint64_t lease = 0;
    };

    transaction_result apply_locked(const store_transaction& transaction);
    void remove_locked(const std::string& key);
    void expire_leases_locked();
    // Counts the call.
    absl::Status check_up();

    const clock_source clock_;
    mutable ordered_mutex mutex_{lock_rank::store};
    async_signal changed_;
    faults faults_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t next_lease_ = 1;
    std::map<std::string, kept_item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::vector<store_change> history_;
};

}  // namespace jacinthvane
