#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/faulty_store.hpp"
#include "connection/http_client.hpp"
#include "connection/memory_store.hpp"
#include "connection/store_budget.hpp"
#include "connection/store_types.hpp"
#include "process/clock.hpp"

namespace jacinthvane {

// A client of the platform store's HTTP interface.
class http_store {
public:
    http_store(asio::io_context& context, std::string address);

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

private:
    std::string address_;
    http_client client_;
    // A watch occupies its connection while it waits, so watches have connections separate from other calls.
    http_client watch_client_;
};

// The interface of the store for the rest of the process. Errors of all calls: not_found, version_conflict,
// overloaded (the store's rate limit; no effect), store_unavailable (known to have had no effect),
// store_outcome_unknown (a write that may or may not have taken effect).
class store_client {
public:
    using backend = std::variant<std::shared_ptr<http_store>, std::shared_ptr<memory_store>,
                                 std::shared_ptr<faulty_store>>;

    // Without a budget, calls are neither limited nor counted.
    explicit store_client(backend store, std::shared_ptr<store_budget> budget = nullptr)
        : backend_(std::move(store)), budget_(std::move(budget)) {}

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
    // Returns when the revision at the path differs from the one seen, or with the unchanged state at the
    // deadline.
    awaitable<absl::StatusOr<stored_value>> watch(std::string path, std::uint64_t seen_revision,
                                                  time_point deadline);

private:
    // Waits until the budget allows the call; fails with overloaded if that is after the deadline.
    awaitable<absl::Status> wait_for_budget(store_call call, time_point deadline);

    backend backend_;
    std::shared_ptr<store_budget> budget_;
};

}  // namespace jacinthvane
