#include "request/peer_directory.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/cell_records.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// A process that has died is avoided by those that fail to reach it, so the lease may be long.
constexpr std::int64_t record_lease_ms = 15000;
constexpr int renewals_per_lease = 3;
constexpr std::int64_t watch_wait_ms = 10000;
constexpr milliseconds watch_margin{1000};
// Many processes start or stop at the same time; their records are read with one call.
constexpr milliseconds batch_window{300};
constexpr milliseconds startup_time{1000};

}  // namespace

peer_directory::peer_directory(asio::io_context& context, cell_store store, vm_id vm, live_peer self,
                               std::int64_t min_lease_ms)
    : context_(context),
      store_(std::move(store)),
      vm_(std::move(vm)),
      self_(std::move(self)),
      lease_ms_(std::max(record_lease_ms, min_lease_ms)) {}

void peer_directory::start() {
    spawn_task(context_, "follow_peers", follow(shared_from_this()));
}

awaitable<void> peer_directory::stop(time_point deadline) {
    const auto self = shared_from_this();
    is_stopping_ = true;
    const auto lease = lease_.exchange(0);
    if (lease == 0) {
        co_return;
    }
    const auto status = co_await store_.end_lease(lease, deadline);
    if (!status.ok()) {
        LOG(WARNING) << "event=peer_record_kept lease=" << lease << " error=\"" << status.message() << "\"";
    }
}

std::vector<live_peer> peer_directory::get_peers() const {
    std::vector<live_peer> peers;
    std::lock_guard lock(mutex_);
    for (const auto& [key, peer] : peers_by_key_) {
        peers.push_back(peer);
    }
    return peers;
}

awaitable<std::uint64_t> peer_directory::write_record() {
    const auto lease = co_await store_.grant_lease(lease_ms_, get_store_deadline());
    if (!lease.ok()) {
        co_return 0;
    }
    store_transaction transaction;
    transaction.writes = {{make_peer_key(vm_), encode_record(self_), lease->id}};
    const auto result = co_await store_.transact(transaction, get_store_deadline());
    co_return result.ok() ? lease->id : 0;
}

awaitable<void> peer_directory::keep_registered(std::shared_ptr<peer_directory> self) {
    while (!self->is_stopping_) {
        if (self->lease_ == 0) {
            const auto lease = co_await self->write_record();
            if (lease == 0) {
                co_await wait_until(get_deadline(store_retry_delay));
                continue;
            }
            self->lease_ = lease;
        }
        co_await wait_until(get_deadline(milliseconds(self->lease_ms_ / renewals_per_lease)));
        const auto lease = self->lease_.load();
        if (lease == 0) {
            continue;
        }
        const auto status = co_await self->store_.renew_lease(lease, get_store_deadline());
        if (!status.ok() && get_error_kind(status) == error_kind::not_found) {
            self->lease_ = 0;
        }
    }
}

awaitable<bool> peer_directory::load(std::uint64_t& revision) {
    const std::string prefix(peer_prefix);
    const auto listing = co_await store_.list(prefix, get_store_deadline());
    if (!listing.ok()) {
        co_return false;
    }
    revision = listing->revision;
    {
        std::lock_guard lock(mutex_);
        peers_by_key_.clear();
    }
    for (const auto& item : listing->items) {
        apply(item, false);
    }
    is_loaded_ = true;
    co_return true;
}

void peer_directory::apply(const store_item& item, bool is_removed) {
    if (item.key == make_peer_key(vm_)) {
        return;
    }
    const auto peer = is_removed ? absl::StatusOr<live_peer>(live_peer()) : decode_live_peer(item.value);
    if (!peer.ok()) {
        LOG(ERROR) << "event=peer_unreadable key=" << item.key << " error=\"" << peer.status().message()
                   << "\"";
    }
    std::lock_guard lock(mutex_);
    if (is_removed || !peer.ok()) {
        peers_by_key_.erase(item.key);
    } else {
        peers_by_key_[item.key] = *peer;
    }
}

awaitable<void> peer_directory::follow(std::shared_ptr<peer_directory> self) {
    const std::string prefix(peer_prefix);
    // Registers before it lists, so that of two processes that start together at least one sees the other.
    self->lease_ = co_await self->write_record();
    spawn_task(self->context_, "keep_registered", keep_registered(self));
    const auto started_at = std::chrono::steady_clock::now();
    std::uint64_t revision = 0;
    while (!self->is_stopping_) {
        if (revision == 0 && !co_await self->load(revision)) {
            co_await wait_until(get_deadline(store_retry_delay));
            continue;
        }
        const auto deadline = get_deadline(milliseconds(watch_wait_ms) + watch_margin);
        const auto changes = co_await self->store_.watch(prefix, revision, watch_wait_ms, deadline);
        if (!changes.ok()) {
            const bool is_history_lost = get_error_kind(changes.status()) == error_kind::version_conflict;
            revision = is_history_lost ? 0 : revision;
            co_await wait_until(get_deadline(store_retry_delay));
            continue;
        }
        revision = changes->revision;
        for (const auto& change : changes->changes) {
            self->apply(change.item, change.is_removed);
        }
        // The first changes come from processes that start together with this one.
        if (!changes->changes.empty() && std::chrono::steady_clock::now() > started_at + startup_time) {
            co_await wait_until(get_deadline(batch_window));
        }
    }
}

}  // namespace jacinthvane
