#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "connection/async_signal.hpp"
#include "connection/store_types.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// An in-memory implementation of the platform's store: compare-and-swap, leases and watches. It is the engine
// of the store stand-in and the store of tests without sockets.
class memory_store {
public:
    explicit memory_store(clock_source clock) : clock_(std::move(clock)) {}

    // Errors: not_found.
    absl::StatusOr<stored_value> get(const std::string& path);

    // Writes if the current revision is the expected one; 0 means that the path must not exist. Returns the
    // new revision. Errors: version_conflict, not_found (the lease is unknown or has expired).
    absl::StatusOr<std::uint64_t> compare_and_swap(const std::string& path, std::uint64_t expected_revision,
                                                   const std::string& bytes, store_lease lease = {});

    // Errors: version_conflict, not_found.
    absl::Status remove(const std::string& path, std::uint64_t expected_revision);

    store_lease grant_lease(std::chrono::milliseconds time_to_live);
    // Errors: not_found (the lease is unknown or has expired).
    absl::Status renew_lease(store_lease lease);
    absl::Status release_lease(store_lease lease);

    // Waits until the path's revision differs from the given one, then returns the value; revision 0 means
    // that the path does not exist. Returns the unchanged state when the deadline passes.
    awaitable<stored_value> watch(std::string path, std::uint64_t seen_revision, time_point deadline);

private:
    struct entry {
        stored_value value;
        store_lease lease;
    };
    struct lease_entry {
        std::chrono::milliseconds time_to_live{0};
        time_point deadline;
    };

    void remove_expired();
    void drop_lease(store_lease lease);
    stored_value read(const std::string& path);

    clock_source clock_;
    ordered_mutex mutex_{lock_rank::store};
    async_signal changed_;
    std::map<std::string, entry> entries_;
    std::map<store_lease, lease_entry> leases_;
    std::uint64_t last_revision_ = 0;
    std::uint64_t last_lease_ = 0;
};

}  // namespace jacinthvane
