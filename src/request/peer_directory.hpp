#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "connection/async_signal.hpp"
#include "connection/cell_store.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"
#include "version/relay_choice.hpp"

namespace jacinthvane {

// The entry processes that are alive: registers this process in the store under a lease, and follows the
// records of the others. A process that has died is listed until its lease ends, and while the store is
// unavailable the list is that of the last read. Thread-safe.
class peer_directory : public std::enable_shared_from_this<peer_directory> {
public:
    // The lease lasts at least min_lease_ms, the shortest one that the store grants.
    peer_directory(asio::io_context& context, cell_store store, vm_id vm, live_peer self,
                   std::int64_t min_lease_ms);

    void start();
    // Removes the record of this process, so that the others use it no more.
    awaitable<void> stop(time_point deadline);

    const live_peer& get_self() const { return self_; }
    // Returns the other processes.
    std::vector<live_peer> get_peers() const;
    // Whether the list has been read, so that it contains the processes that were there before.
    bool is_loaded() const { return is_loaded_; }

private:
    static awaitable<void> keep_registered(std::shared_ptr<peer_directory> self);
    static awaitable<void> follow(std::shared_ptr<peer_directory> self);
    // Writes the record under a new lease. Returns the lease, or 0 if that failed.
    awaitable<std::uint64_t> write_record();
    awaitable<bool> load(std::uint64_t& revision);
    void apply(const store_item& item, bool is_removed);

    asio::io_context& context_;
    cell_store store_;
    const vm_id vm_;
    const live_peer self_;
    const std::int64_t lease_ms_;
    std::atomic<bool> is_loaded_ = false;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<std::uint64_t> lease_ = 0;
    mutable ordered_mutex mutex_{lock_rank::peers};
    std::map<std::string, live_peer> peers_by_key_;
};

}  // namespace jacinthvane
