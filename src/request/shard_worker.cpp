#include "request/shard_worker.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/record_codec.hpp"
#include "connection/spawn_task.hpp"
#include "process/backoff.hpp"
#include "process/error_kind.hpp"
#include "process/stable_hash.hpp"

namespace jacinthvane {

namespace {

// Limits on the batches that a refresh buffers before it applies them.
constexpr std::size_t max_staged_batches = 64;
constexpr std::size_t max_staged_bytes = 8U << 20U;
// An idle worker checks for work after this time. New work wakes it earlier.
constexpr std::chrono::minutes idle_wait{10};
// A failing journal is logged after this many consecutive failures. Single lost responses are only counted.
constexpr int failures_to_log = 5;

}  // namespace

shard_worker::shard_worker(asio::io_context& context, store_client store, std::size_t shard,
                           const shard_service_options& options)
    : context_(context),
      store_(std::move(store), shard, options.call_timeout, options.snapshot_part_bytes),
      shard_(shard),
      options_(options),
      flush_interval_ms_(options.flush_interval.count()),
      journal_(options.journal, options.self),
      table_(std::make_unique<shard_table>(options.table)),
      counted_until_(get_now(options.clock)) {}

void shard_worker::start() {
    {
        std::lock_guard lock(mutex_);
        if (is_started_ || is_stopping_) {
            return;
        }
        is_started_ = true;
    }
    spawn_task(context_, "shard_worker", run());
}

void shard_worker::stop() {
    is_stopping_ = true;
    wake_.notify_all();
}

awaitable<void> shard_worker::run() {
    const auto self = shared_from_this();
    backoff_policy backoff(options_.backoff, options_.seed ^ get_stable_hash(std::to_string(shard_)));
    bool is_failing = false;
    int failures = 0;
    while (!is_stopping_) {
        const auto seen = wake_.get_count();
        step next = step::wait;
        {
            std::lock_guard lock(mutex_);
            next = choose_step();
        }
        if (next == step::wait) {
            co_await wake_.wait(seen, std::chrono::steady_clock::now() + idle_wait);
            continue;
        }
        const auto status = co_await do_step(next);
        failures = status.ok() ? 0 : failures + 1;
        if (failures == failures_to_log || (status.ok() && is_failing)) {
            is_failing = !status.ok();
            LOG(INFO) << "event=" << (is_failing ? "journal_failing" : "journal_working")
                      << " shard=" << shard_ << " error=\"" << status.message() << "\"";
        }
        if (status.ok()) {
            backoff.reset();
            continue;
        }
        const auto delay = backoff.get_next_delay();
        co_await wait_until(std::chrono::steady_clock::now() + delay);
    }
}

shard_worker::step shard_worker::choose_step() const {
    if (!is_loaded_) {
        return step::catch_up;
    }
    switch (journal_.get_action()) {
        case journal_action::write:
            return step::write;
        case journal_action::read_back:
            return step::read_back;
        case journal_action::check_head:
            return step::check_head;
        case journal_action::load_snapshot:
            return step::load_snapshot;
        case journal_action::refresh:
            return step::catch_up;
        case journal_action::idle:
            break;
    }
    if (refreshes_done_ < refreshes_wanted_) {
        return step::catch_up;
    }
    return journal_.get_pending_count() > 0 ? step::form : step::wait;
}

awaitable<absl::Status> shard_worker::do_step(step next) {
    switch (next) {
        case step::wait:
            break;
        case step::catch_up:
            co_return co_await catch_up();
        case step::form:
            co_return co_await form();
        case step::write:
            co_return co_await write();
        case step::read_back:
            co_return co_await read_back();
        case step::check_head:
            co_return co_await check_head();
        case step::load_snapshot:
            co_return co_await resolve_overtaken();
    }
    co_return absl::OkStatus();
}

std::int64_t shard_worker::get_elapsed_ms() const {
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(get_now(options_.clock) - counted_until_);
    return std::clamp<std::int64_t>(elapsed.count(), 0, max_batch_elapsed_ms);
}

awaitable<absl::Status> shard_worker::form() {
    time_point flush_at;
    {
        std::lock_guard lock(mutex_);
        flush_at = last_flush_ + std::chrono::milliseconds(flush_interval_ms_.load());
    }
    if (std::chrono::steady_clock::now() < flush_at) {
        co_await wait_until(flush_at);
    }
    std::lock_guard lock(mutex_);
    last_flush_ = std::chrono::steady_clock::now();
    commit(journal_.form_batch(*table_, get_elapsed_ms()));
    co_return absl::OkStatus();
}

awaitable<absl::Status> shard_worker::write() {
    std::shared_ptr<const journal_batch> batch;
    {
        std::lock_guard lock(mutex_);
        batch = journal_.get_batch();
    }
    auto bytes = encode_batch(*batch);
    const auto size = bytes.size();
    const auto written = co_await store_.write_batch(batch->sequence, std::move(bytes));
    std::lock_guard lock(mutex_);
    if (written.ok()) {
        written_revision_ = *written;
        written_bytes_ = size;
        journal_.on_written();
        co_return absl::OkStatus();
    }
    switch (get_error_kind(written.status())) {
        case error_kind::version_conflict:
            ++counters_.conflicts;
            journal_.on_conflict();
            co_return absl::OkStatus();
        case error_kind::overloaded:
        case error_kind::store_unavailable:
            ++counters_.writes_refused;
            journal_.on_refused();
            break;
        default:
            ++counters_.unknown_outcomes;
            journal_.on_unknown_outcome();
            break;
    }
    co_return written.status();
}

awaitable<absl::Status> shard_worker::read_back() {
    std::shared_ptr<const journal_batch> batch;
    {
        std::lock_guard lock(mutex_);
        batch = journal_.get_batch();
    }
    const auto found = co_await store_.read_batch(batch->sequence);
    const bool is_absent = !found.ok() && get_error_kind(found.status()) == error_kind::not_found;
    if (!found.ok() && !is_absent) {
        co_return found.status();
    }
    std::lock_guard lock(mutex_);
    if (is_absent) {
        journal_.on_read_back(std::nullopt);
        co_return absl::OkStatus();
    }
    written_revision_ = found->batch.mark == batch->mark ? found->revision : 0;
    written_bytes_ = found->bytes;
    journal_.on_read_back(found->batch.mark);
    co_return absl::OkStatus();
}

awaitable<absl::Status> shard_worker::check_head() {
    const auto head = co_await store_.read_head();
    if (!head.ok()) {
        co_return head.status();
    }
    std::lock_guard lock(mutex_);
    const auto batch = journal_.get_batch();
    auto results = journal_.on_head(head->head.sequence);
    const auto action = journal_.get_action();
    if (action == journal_action::load_snapshot || action == journal_action::refresh) {
        auto& counter = action == journal_action::refresh ? counters_.conflicts : counters_.batches_overtaken;
        ++counter;
        co_return absl::OkStatus();
    }
    record_head(*head);
    apply(*batch, written_revision_, written_bytes_);
    // The elapsed time that this batch records is now part of the table's time. Later time belongs to the
    // next batch.
    counted_until_ += std::chrono::milliseconds(batch->elapsed_ms);
    ++counters_.batches_written;
    counters_.bytes_written += written_bytes_;
    commit(std::move(results));
    start_snapshot_if_due();
    co_return absl::OkStatus();
}

awaitable<absl::Status> shard_worker::resolve_overtaken() {
    const auto head = co_await store_.read_head();
    if (!head.ok()) {
        co_return head.status();
    }
    auto loaded = co_await load_snapshot(*head);
    if (!loaded.ok()) {
        co_return loaded;
    }
    std::uint64_t stray_sequence = 0;
    std::uint64_t stray_revision = 0;
    {
        std::lock_guard lock(mutex_);
        const auto batch = journal_.get_batch();
        auto results = journal_.on_overtaken();
        const bool is_part_of_history = !results.empty() && results.front().status.ok();
        if (!is_part_of_history && written_revision_ != 0) {
            stray_sequence = batch->sequence;
            stray_revision = written_revision_;
        }
        // The table now ends at the snapshot. The batches after it are read before any record is refused.
        ++refreshes_wanted_;
        commit(std::move(results));
    }
    if (stray_sequence != 0) {
        // The value occupies the sequence of a removed batch and is not part of the history. Readers would
        // skip it, so it is removed.
        const auto removed = co_await store_.remove_batch(stray_sequence, stray_revision);
        removed.IgnoreError();
    }
    co_return absl::OkStatus();
}

awaitable<absl::Status> shard_worker::load_snapshot(stored_head head) {
    shard_snapshot snapshot;
    if (head.revision != 0) {
        auto read = co_await store_.read_snapshot(head.head);
        if (!read.ok()) {
            co_return read.status();
        }
        snapshot = std::move(*read);
    }
    auto table = std::make_unique<shard_table>(options_.table, snapshot);
    std::size_t bytes = 0;
    for (const auto& part : head.head.parts) {
        bytes += part.bytes;
    }
    {
        std::lock_guard lock(mutex_);
        table_.swap(table);
        journal_.note_loaded(head.head.sequence, std::move(snapshot.recent_marks));
        journal_.on_snapshot(head.head.sequence, bytes);
        record_head(head);
        counted_until_ = get_now(options_.clock);
        ++counters_.loads;
    }
    changed_.notify_all();
    co_return absl::OkStatus();
}

awaitable<absl::Status> shard_worker::catch_up() {
    std::uint64_t wanted = 0;
    bool is_loaded = false;
    {
        std::lock_guard lock(mutex_);
        wanted = refreshes_wanted_;
        is_loaded = is_loaded_;
        journal_.on_refresh_started();
    }
    bool is_at_end = false;
    while (!is_at_end) {
        std::uint64_t next = 0;
        {
            std::lock_guard lock(mutex_);
            next = journal_.get_next_sequence();
        }
        std::vector<stored_batch> staged;
        std::size_t staged_bytes = 0;
        while (is_loaded && !is_at_end && staged.size() < max_staged_batches &&
               staged_bytes < max_staged_bytes) {
            auto batch = co_await store_.read_batch(next + staged.size());
            if (!batch.ok() && get_error_kind(batch.status()) != error_kind::not_found) {
                co_return batch.status();
            }
            is_at_end = !batch.ok();
            if (batch.ok()) {
                staged_bytes += batch->bytes;
                staged.push_back(std::move(*batch));
            }
        }
        // A batch is valid only if no snapshot covers its sequence. Below a snapshot, a paused writer can
        // leave a value that is not part of the history.
        const auto head = co_await store_.read_head();
        if (!head.ok()) {
            co_return head.status();
        }
        if (!is_loaded || head->head.sequence >= next) {
            auto loaded = co_await load_snapshot(*head);
            if (!loaded.ok()) {
                co_return loaded;
            }
            is_loaded = true;
            is_at_end = false;
            continue;
        }
        std::lock_guard lock(mutex_);
        record_head(*head);
        for (const auto& item : staged) {
            apply(item.batch, item.revision, item.bytes);
            ++counters_.foreign_batches;
        }
        if (!staged.empty()) {
            counted_until_ = get_now(options_.clock);
        }
    }
    {
        std::lock_guard lock(mutex_);
        journal_.on_refreshed();
        refreshes_done_ = wanted;
        is_loaded_ = true;
        ++counters_.refreshes;
    }
    changed_.notify_all();
    co_return absl::OkStatus();
}

void shard_worker::apply(const journal_batch& batch, std::uint64_t revision, std::size_t bytes) {
    table_->apply(batch);
    journal_.note_applied(batch.sequence, batch.mark, bytes);
    batch_revisions_[batch.sequence] = revision;
}

void shard_worker::record_head(const stored_head& head) {
    if (head.head.sequence < head_.head.sequence) {
        return;
    }
    std::size_t bytes = 0;
    for (const auto& part : head.head.parts) {
        bytes += part.bytes;
    }
    head_ = head;
    journal_.on_snapshot(head.head.sequence, bytes);
    removed_through_ = std::max(removed_through_, head.head.removed_through);
    batch_revisions_.erase(batch_revisions_.begin(), batch_revisions_.upper_bound(removed_through_));
}

void shard_worker::commit(std::vector<record_result> results) {
    complete(std::move(results));
    changed_.notify_all();
}

void shard_worker::complete(std::vector<record_result> results) {
    for (auto& result : results) {
        const auto kind = get_error_kind(result.status);
        if (result.status.ok()) {
            ++counters_.records_written;
        } else if (kind != error_kind::store_outcome_unknown) {
            ++counters_.records_refused;
        }
        const auto found = waiters_.find(result.ticket);
        if (found == waiters_.end()) {
            continue;
        }
        const auto waiting = found->second;
        waiters_.erase(found);
        const bool may_be_durable = result.status.ok() || kind == error_kind::store_outcome_unknown;
        if (waiting->is_given_up && waiting->give_up == on_give_up::settle_claim && may_be_durable) {
            settle_given_up_claim(result.record);
        }
        waiting->result = std::move(result.status);
        waiting->done.notify_all();
    }
}

void shard_worker::settle_given_up_claim(const journal_record& record) {
    const auto& claim = std::get<key_claimed>(record);
    const auto entry = table_->find_key(claim.team, claim.key);
    if (!entry || entry->state != key_state::claimed || entry->claim != claim) {
        return;
    }
    journal_record settlement = key_settled{.team = claim.team,
                                            .key = claim.key,
                                            .claimant = claim.claimant,
                                            .claim_number = claim.claim_number,
                                            .generation = claim.generation,
                                            .run = run_knowledge::not_run,
                                            .answer = {}};
    const auto size = get_encoded_size(settlement);
    journal_.add_beyond_limits(std::move(settlement), size);
    ++counters_.claims_settled_for_caller;
    wake_.notify_all();
}

awaitable<shard_worker::append_result> shard_worker::append(journal_record record, on_give_up give_up,
                                                            time_point deadline) {
    const auto self = shared_from_this();
    const auto size = get_encoded_size(record);
    const auto waiting = std::make_shared<waiter>();
    waiting->give_up = give_up;
    std::uint64_t ticket = 0;
    {
        std::lock_guard lock(mutex_);
        if (give_up == on_give_up::keep) {
            ticket = journal_.add_beyond_limits(std::move(record), size);
        } else {
            const auto added = journal_.add(std::move(record), size);
            if (!added.ok()) {
                co_return append_result{added.status(), false};
            }
            ticket = *added;
        }
        waiters_[ticket] = waiting;
    }
    wake_.notify_all();
    while (true) {
        const auto seen = waiting->done.get_count();
        {
            std::lock_guard lock(mutex_);
            if (waiting->result) {
                co_return append_result{*waiting->result, false};
            }
        }
        const bool is_notified = co_await waiting->done.wait(seen, deadline);
        if (is_notified) {
            continue;
        }
        std::lock_guard lock(mutex_);
        if (waiting->result) {
            co_return append_result{*waiting->result, false};
        }
        if (give_up != on_give_up::keep && journal_.withdraw(ticket)) {
            waiters_.erase(ticket);
            ++counters_.records_withdrawn;
            co_return append_result{make_error(error_kind::store_unavailable,
                                               "the store did not accept the record for shard " +
                                                   std::to_string(shard_) + " before the deadline"),
                                    true};
        }
        waiting->is_given_up = true;
        counters_.claims_given_up += give_up == on_give_up::settle_claim ? 1 : 0;
        co_return append_result{make_error(error_kind::store_outcome_unknown,
                                           "the store did not confirm the record for shard " +
                                               std::to_string(shard_) + " before the deadline"),
                                true};
    }
}

awaitable<absl::Status> shard_worker::wait_until_loaded(time_point deadline) {
    const auto self = shared_from_this();
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (is_loaded_) {
                co_return absl::OkStatus();
            }
        }
        const bool is_notified = co_await changed_.wait(seen, deadline);
        if (!is_notified) {
            co_return make_error(
                error_kind::store_unavailable,
                "shard " + std::to_string(shard_) + " could not be loaded before the deadline");
        }
    }
}

awaitable<absl::Status> shard_worker::refresh(time_point deadline) {
    const auto self = shared_from_this();
    std::uint64_t wanted = 0;
    {
        std::lock_guard lock(mutex_);
        wanted = ++refreshes_wanted_;
    }
    wake_.notify_all();
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (refreshes_done_ >= wanted) {
                co_return absl::OkStatus();
            }
        }
        const bool is_notified = co_await changed_.wait(seen, deadline);
        if (!is_notified) {
            co_return make_error(
                error_kind::store_unavailable,
                "shard " + std::to_string(shard_) + " could not be refreshed before the deadline");
        }
    }
}

awaitable<bool> shard_worker::drain(time_point deadline) {
    const auto self = shared_from_this();
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (journal_.get_pending_count() == 0 && journal_.get_in_flight_count() == 0) {
                co_return true;
            }
        }
        const bool is_notified = co_await changed_.wait(seen, deadline);
        if (!is_notified) {
            co_return false;
        }
    }
}

void shard_worker::start_snapshot_if_due() {
    if (is_snapshotting_ || !journal_.is_snapshot_due()) {
        return;
    }
    is_snapshotting_ = true;
    auto snapshot = table_->get_snapshot();
    snapshot.recent_marks = journal_.get_recent_marks();
    spawn_task(context_, "shard_snapshot", write_snapshot(std::move(snapshot), head_));
}

awaitable<void> shard_worker::write_snapshot(shard_snapshot snapshot, stored_head previous) {
    const auto self = shared_from_this();
    const auto sequence = snapshot.sequence;
    const auto removed_through = previous.head.removed_through;
    std::uint64_t newest_removed_through = 0;
    {
        std::lock_guard lock(mutex_);
        newest_removed_through = std::max(removed_through, removed_through_);
    }
    const writer_mark mark{options_.self, sequence};
    const auto written =
        co_await store_.write_snapshot(std::move(snapshot), previous, newest_removed_through, mark);
    {
        std::lock_guard lock(mutex_);
        is_snapshotting_ = false;
        if (!written.ok()) {
            ++counters_.snapshots_failed;
        } else {
            ++counters_.snapshots_written;
            record_head(*written);
        }
    }
    if (!written.ok()) {
        LOG(INFO) << "event=snapshot_failed shard=" << shard_ << " sequence=" << sequence << " error=\""
                  << written.status().message() << "\"";
        co_return;
    }
    co_await store_.remove_old_parts(previous.head, sequence, options_.journal.snapshot_interval);
    // One snapshot interval of batches is kept, so that a process that is only slightly behind does not have
    // to load a snapshot.
    const auto kept_batches = options_.journal.snapshot_interval;
    if (sequence > kept_batches) {
        co_await remove_batches(newest_removed_through + 1, sequence - kept_batches);
    }
}

awaitable<void> shard_worker::remove_batches(std::uint64_t first, std::uint64_t last) {
    for (auto sequence = first; sequence <= last && !is_stopping_; ++sequence) {
        std::uint64_t revision = 0;
        {
            std::lock_guard lock(mutex_);
            const auto found = batch_revisions_.find(sequence);
            revision = found == batch_revisions_.end() ? 0 : found->second;
        }
        const auto removed = co_await store_.remove_batch(sequence, revision);
        if (!removed.ok()) {
            // The removal after the next snapshot continues from here.
            co_return;
        }
        std::lock_guard lock(mutex_);
        ++counters_.batches_removed;
        removed_through_ = std::max(removed_through_, sequence);
        batch_revisions_.erase(sequence);
    }
}

shard_state shard_worker::get_state() const {
    std::lock_guard lock(mutex_);
    return {.shard = shard_,
            .is_loaded = is_loaded_,
            .sequence = table_->get_sequence(),
            .snapshot_sequence = head_.head.sequence,
            .time_ms = table_->get_time_ms(),
            .pending_records = journal_.get_pending_count(),
            .records_in_flight = journal_.get_in_flight_count(),
            .sizes = table_->get_sizes(),
            .counters = counters_};
}

}  // namespace jacinthvane
