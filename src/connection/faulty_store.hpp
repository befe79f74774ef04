#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/memory_store.hpp"
#include "connection/store_budget.hpp"
#include "connection/store_types.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Injected faults of the platform's store. They can be changed while it runs.
struct store_faults {
    // The number of next writes that take effect but whose responses are lost.
    std::uint64_t lose_responses = 0;
    // The number of next writes that are lost before they take effect; they get no response either.
    std::uint64_t lose_requests = 0;
    // The number of next writes whose responses are lost and that take effect only when apply_deferred is
    // called.
    std::uint64_t defer_writes = 0;
    std::chrono::milliseconds delay{0};
    bool is_down = false;
    // Calls that exceed these rates are refused; 0 means no limit.
    std::uint64_t max_writes_per_second = 0;
    std::uint64_t max_reads_per_second = 0;

    bool operator==(const store_faults&) const = default;
};

// Counts of the calls that the store received. A write counts as effective if it changed the state.
struct store_ledger {
    store_call_counts calls;
    std::uint64_t effective_writes = 0;
    std::uint64_t bytes_written = 0;
    std::uint64_t bytes_read = 0;

    bool operator==(const store_ledger&) const = default;
};

// An in-memory store with fault injection: the engine of the store stand-in, and the store of tests that need
// faults without sockets.
class faulty_store {
public:
    explicit faulty_store(clock_source clock) : clock_(clock), store_(clock) {}

    awaitable<absl::StatusOr<stored_value>> get(std::string path, time_point deadline);
    awaitable<absl::StatusOr<std::uint64_t>> compare_and_swap(std::string path,
                                                              std::uint64_t expected_revision,
                                                              std::string bytes, store_lease lease,
                                                              time_point deadline);
    awaitable<absl::Status> remove(std::string path, std::uint64_t expected_revision, time_point deadline);
    awaitable<absl::StatusOr<store_lease>> grant_lease(std::chrono::milliseconds time_to_live,
                                                       time_point deadline);
    awaitable<absl::Status> renew_lease(store_lease lease, time_point deadline);
    awaitable<absl::Status> release_lease(store_lease lease, time_point deadline);
    awaitable<absl::StatusOr<stored_value>> watch(std::string path, std::uint64_t seen_revision,
                                                  time_point deadline);

    void set_faults(const store_faults& faults);
    store_faults get_faults() const;
    store_ledger get_ledger() const;

    // Applies the deferred writes in their order and returns how many took effect.
    std::size_t apply_deferred();

    // Gives tests access to the stored state without faults.
    memory_store& get_engine() { return store_; }

private:
    enum class write_fault { normal, lose_response, lose_request, defer };

    struct deferred_write {
        std::string path;
        std::uint64_t expected_revision = 0;
        std::string bytes;
        store_lease lease;
    };

    // Counts the call, waits for the delay and refuses the call if the store is down or the rate is exceeded.
    awaitable<absl::Status> admit(store_call call, time_point deadline);
    absl::Status check_admission(bool is_read);
    write_fault take_write_fault();
    void record_effective_write(std::size_t bytes);

    clock_source clock_;
    memory_store store_;
    mutable ordered_mutex mutex_{lock_rank::standin};
    store_faults faults_;
    store_ledger ledger_;
    std::vector<deferred_write> deferred_;
    time_point window_start_;
    std::uint64_t reads_in_window_ = 0;
    std::uint64_t writes_in_window_ = 0;
};

}  // namespace jacinthvane
