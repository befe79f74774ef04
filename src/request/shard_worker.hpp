#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/journal_store.hpp"
#include "process/journal.hpp"
#include "process/ordered_mutex.hpp"
#include "process/shard_table.hpp"
#include "request/shard_types.hpp"

namespace jacinthvane {

// Manages one shard. A single coroutine makes all of the shard's journal calls to the store sequentially,
// while any number of callers append records and read the table. Thread-safe.
class shard_worker : public std::enable_shared_from_this<shard_worker> {
public:
    // How to treat a record whose caller stopped waiting.
    enum class on_give_up {
        // The record is withdrawn if it has not been sent to the store.
        withdraw,
        // As withdraw, but a claim that becomes durable nevertheless is settled as not-run.
        settle_claim,
        // The record stays queued until it is durable.
        keep,
    };

    struct append_result {
        absl::Status status;
        // Whether the status reports that the caller's deadline passed, not the result of the record.
        bool is_given_up = false;
    };

    shard_worker(asio::io_context& context, store_client store, std::size_t shard,
                 const shard_service_options& options);

    // Starts the coroutine on first use.
    void start();
    void stop();

    awaitable<append_result> append(journal_record record, on_give_up give_up, time_point deadline);
    awaitable<absl::Status> refresh(time_point deadline);
    awaitable<absl::Status> wait_until_loaded(time_point deadline);
    awaitable<bool> drain(time_point deadline);

    // Reads the table under the lock; the callback must not block.
    template <typename Reader>
    auto read(Reader reader) const {
        std::lock_guard lock(mutex_);
        return reader(*table_, get_elapsed_ms());
    }

    // Signals each change of the table.
    async_signal& get_changed() { return changed_; }

    void set_flush_interval(std::chrono::milliseconds interval) { flush_interval_ms_ = interval.count(); }
    shard_state get_state() const;

private:
    struct waiter {
        std::optional<absl::Status> result;
        on_give_up give_up = on_give_up::withdraw;
        bool is_given_up = false;
        async_signal done;
    };

    enum class step { wait, catch_up, form, write, read_back, check_head, load_snapshot };

    awaitable<void> run();
    step choose_step() const;
    awaitable<absl::Status> do_step(step next);
    awaitable<absl::Status> form();
    awaitable<absl::Status> write();
    awaitable<absl::Status> read_back();
    awaitable<absl::Status> check_head();
    awaitable<absl::Status> resolve_overtaken();
    awaitable<absl::Status> catch_up();
    awaitable<absl::Status> load_snapshot(stored_head head);
    awaitable<void> write_snapshot(shard_snapshot snapshot, stored_head previous);
    awaitable<void> remove_batches(std::uint64_t first, std::uint64_t last);

    // These functions require that the caller holds the lock.
    std::int64_t get_elapsed_ms() const;
    void complete(std::vector<record_result> results);
    void settle_given_up_claim(const journal_record& record);
    void apply(const journal_batch& batch, std::uint64_t revision, std::size_t bytes);
    void record_head(const stored_head& head);
    void commit(std::vector<record_result> results);
    void start_snapshot_if_due();

    asio::io_context& context_;
    journal_store store_;
    const std::size_t shard_;
    const shard_service_options options_;
    std::atomic<std::int64_t> flush_interval_ms_;
    std::atomic<bool> is_stopping_ = false;

    mutable ordered_mutex mutex_{lock_rank::shard_tables};
    async_signal wake_;
    async_signal changed_;
    bool is_started_ = false;
    bool is_loaded_ = false;
    journal journal_;
    std::unique_ptr<shard_table> table_;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    std::uint64_t refreshes_wanted_ = 0;
    std::uint64_t refreshes_done_ = 0;
    // The elapsed time up to this point is already part of the table's time.
    time_point counted_until_;
    time_point last_flush_;
    std::uint64_t written_revision_ = 0;
    std::size_t written_bytes_ = 0;
    stored_head head_;
    // The revisions, by sequence, of the batches that have not been removed.
    std::map<std::uint64_t, std::uint64_t> batch_revisions_;
    std::uint64_t removed_through_ = 0;
    bool is_snapshotting_ = false;
    shard_counters counters_;
};

}  // namespace jacinthvane
