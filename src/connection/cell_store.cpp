#include "connection/cell_store.hpp"

#include <utility>

#include "connection/memory_cell_store.hpp"
#include "platform/store_connection.hpp"

namespace jacinthvane {

awaitable<absl::StatusOr<store_item>> cell_store::get(std::string key, time_point deadline) {
    return std::visit([&](auto& store) { return store->get(std::move(key), deadline); }, backend_);
}

awaitable<absl::StatusOr<store_listing>> cell_store::list(std::string prefix, time_point deadline) {
    return std::visit([&](auto& store) { return store->list(std::move(prefix), deadline); }, backend_);
}

awaitable<absl::StatusOr<store_changes>> cell_store::watch(std::string prefix, std::uint64_t after,
                                                           std::int64_t wait_ms, time_point deadline) {
    return std::visit([&](auto& store) { return store->watch(std::move(prefix), after, wait_ms, deadline); },
                      backend_);
}

awaitable<absl::StatusOr<transaction_result>> cell_store::transact(store_transaction transaction,
                                                                   time_point deadline) {
    return std::visit([&](auto& store) { return store->transact(std::move(transaction), deadline); },
                      backend_);
}

awaitable<absl::StatusOr<granted_lease>> cell_store::grant_lease(std::int64_t time_to_live_ms,
                                                                 time_point deadline) {
    return std::visit([&](auto& store) { return store->grant_lease(time_to_live_ms, deadline); }, backend_);
}

awaitable<absl::Status> cell_store::renew_lease(std::uint64_t lease, time_point deadline) {
    return std::visit([&](auto& store) { return store->renew_lease(lease, deadline); }, backend_);
}

awaitable<absl::Status> cell_store::end_lease(std::uint64_t lease, time_point deadline) {
    return std::visit([&](auto& store) { return store->end_lease(lease, deadline); }, backend_);
}

}  // namespace jacinthvane
