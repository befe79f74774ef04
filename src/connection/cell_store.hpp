#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/clock.hpp"

namespace jacinthvane {

class memory_cell_store;
namespace platform {
class store_connection;
}

// A key of the store and its value. Revision 0 means that the key does not exist.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created_revision = 0;

    bool operator==(const store_item&) const = default;
};

// All items under a prefix, and a revision from which a watch continues without a gap.
struct store_listing {
    std::vector<store_item> items;
    std::uint64_t revision = 0;

    bool operator==(const store_listing&) const = default;
};

struct store_change {
    store_item item;
    bool is_removed = false;

    bool operator==(const store_change&) const = default;
};

// Changes up to a revision.
struct store_changes {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;

    bool operator==(const store_changes&) const = default;
};

struct store_condition {
    std::string key;
    std::uint64_t revision = 0;

    bool operator==(const store_condition&) const = default;
};

struct store_write {
    std::string key;
    std::string value;
    // 0 means no lease.
    std::uint64_t lease = 0;

    bool operator==(const store_write&) const = default;
};

// An atomic transaction: it is applied only if every condition holds, which means that each key is at its
// stated revision.
struct store_transaction {
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<std::string> removals;

    bool operator==(const store_transaction&) const = default;
};

// The revision of the write if the transaction was applied. Otherwise the current items of all conditions, of
// which at least one did not hold.
struct transaction_result {
    bool is_applied = false;
    std::uint64_t revision = 0;
    std::vector<store_item> present;

    bool operator==(const transaction_result&) const = default;
};

struct granted_lease {
    std::uint64_t id = 0;
    std::int64_t time_to_live_ms = 0;

    bool operator==(const granted_lease&) const = default;
};

// The maximum number of conditions, writes and removals together in one transaction.
constexpr std::size_t max_transaction_entries = 32;

// The platform's store as the owner and the entry processes use it. Errors of all calls: store_unavailable
// (nothing was done), store_outcome_unknown (a write may take effect, now or later), overloaded (over the
// store's rate limit, nothing was done). watch returns version_conflict if the history from the revision is
// no longer available, and renew_lease and transact return not_found if the lease has ended.
class cell_store {
public:
    using backend =
        std::variant<std::shared_ptr<platform::store_connection>, std::shared_ptr<memory_cell_store>>;

    explicit cell_store(backend store) : backend_(std::move(store)) {}

    awaitable<absl::StatusOr<store_item>> get(std::string key, time_point deadline);
    awaitable<absl::StatusOr<store_listing>> list(std::string prefix, time_point deadline);
    // Returns once there are changes after the revision, or without changes when the wait ends.
    awaitable<absl::StatusOr<store_changes>> watch(std::string prefix, std::uint64_t after,
                                                   std::int64_t wait_ms, time_point deadline);
    awaitable<absl::StatusOr<transaction_result>> transact(store_transaction transaction,
                                                           time_point deadline);
    awaitable<absl::StatusOr<granted_lease>> grant_lease(std::int64_t time_to_live_ms, time_point deadline);
    awaitable<absl::Status> renew_lease(std::uint64_t lease, time_point deadline);
    awaitable<absl::Status> end_lease(std::uint64_t lease, time_point deadline);

private:
    backend backend_;
};

}  // namespace jacinthvane
