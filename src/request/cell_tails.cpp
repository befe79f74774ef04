// Keeps the tail latency estimates in the store for the next owner; see cell_owner.hpp.

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>

#include <glog/logging.h>

#include "request/cell_owner.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

}  // namespace

awaitable<void> cell_owner::load_tails() {
    const std::string key = make_tails_key();
    const auto item = co_await ports_.store.get(key, get_store_deadline());
    if (!item.ok() || item->revision == 0) {
        co_return;
    }
    const auto snapshot = decode_tail_snapshot(item->value);
    if (!snapshot.ok()) {
        LOG(ERROR) << "event=tails_unreadable error=\"" << snapshot.status().message() << "\"";
        co_return;
    }
    LOG(INFO) << "event=tails_loaded images=" << snapshot->images.size() << " revision=" << item->revision;
    std::lock_guard lock(mutex_);
    scheduler_.apply_tail_snapshot(*snapshot);
    written_tails_ = *snapshot;
}

awaitable<void> cell_owner::follow_tails() {
    constexpr milliseconds interval{3000};
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        if (!is_over()) {
            co_await write_tails(get_store_deadline());
        }
    }
}

awaitable<void> cell_owner::write_tails(time_point deadline) {
    tail_snapshot snapshot;
    {
        std::lock_guard lock(mutex_);
        snapshot = scheduler_.make_tail_snapshot();
    }
    if (snapshot == written_tails_) {
        co_return;
    }
    store_transaction transaction;
    transaction.conditions = {{make_cell_key(), claim_.row_revision}};
    transaction.writes = {{make_tails_key(), encode_record(snapshot), 0}};
    const auto result = co_await ports_.store.transact(transaction, std::min(deadline, get_store_deadline()));
    if (result.ok() && result->is_applied) {
        written_tails_ = std::move(snapshot);
        co_return;
    }
    // The next owner estimates again what was not written.
    LOG(INFO) << "event=tails_not_written token=" << claim_.row.token << " error=\""
              << (result.ok() ? "another process took the cell" : std::string(result.status().message()))
              << "\"";
}

}  // namespace jacinthvane
