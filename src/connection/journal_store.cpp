#include "connection/journal_store.hpp"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "connection/async_signal.hpp"
#include "process/error_kind.hpp"
#include "process/stable_hash.hpp"

namespace jacinthvane {

namespace {

// The number of attempts to write one value of a snapshot. After the last attempt the snapshot is abandoned;
// the next snapshot follows soon.
constexpr int max_attempts = 5;
constexpr std::chrono::milliseconds retry_delay{100};

bool is_retryable(error_kind kind) {
    return kind == error_kind::overloaded || kind == error_kind::store_unavailable ||
           kind == error_kind::store_outcome_unknown;
}

awaitable<void> wait_for_retry() {
    co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
}

snapshot_part describe_part(std::uint64_t revision, const std::string& bytes) {
    return {.revision = revision, .bytes = bytes.size(), .digest = get_stable_hash(bytes)};
}

}  // namespace

journal_store::journal_store(store_client store, std::size_t shard, std::chrono::milliseconds call_timeout,
                             std::size_t max_part_bytes)
    : store_(std::move(store)),
      prefix_("journal/" + std::to_string(shard) + "/"),
      call_timeout_(call_timeout),
      max_part_bytes_(std::max<std::size_t>(1, max_part_bytes)) {}

std::string journal_store::get_batch_path(std::uint64_t sequence) const {
    return prefix_ + std::to_string(sequence);
}

std::string journal_store::get_head_path() const {
    return prefix_ + "snapshot";
}

std::string journal_store::get_part_path(std::uint64_t sequence, std::size_t part) const {
    return prefix_ + "snapshot/" + std::to_string(sequence) + "/" + std::to_string(part);
}

time_point journal_store::get_call_deadline() const {
    return std::chrono::steady_clock::now() + call_timeout_;
}

awaitable<absl::StatusOr<stored_batch>> journal_store::read_batch(std::uint64_t sequence) {
    const auto path = get_batch_path(sequence);
    const auto value = co_await store_.get(path, get_call_deadline());
    if (!value.ok()) {
        co_return value.status();
    }
    auto batch = decode_batch(value->bytes);
    if (!batch.ok()) {
        co_return batch.status();
    }
    if (batch->sequence != sequence) {
        co_return make_error(error_kind::internal, path + " contains batch " +
                                                       std::to_string(batch->sequence) + ", expected batch " +
                                                       std::to_string(sequence));
    }
    co_return stored_batch{value->revision, value->bytes.size(), std::move(*batch)};
}

awaitable<absl::StatusOr<std::uint64_t>> journal_store::write_batch(std::uint64_t sequence,
                                                                    std::string bytes) {
    const auto path = get_batch_path(sequence);
    const store_lease no_lease;
    co_return co_await store_.compare_and_swap(path, 0, std::move(bytes), no_lease, get_call_deadline());
}

awaitable<absl::Status> journal_store::remove_batch(std::uint64_t sequence, std::uint64_t revision) {
    const auto path = get_batch_path(sequence);
    auto removed = co_await remove_value(path, revision);
    if (revision != 0 && get_error_kind(removed) == error_kind::version_conflict) {
        // A writer that resumed after a pause created the value again after the batch had been removed.
        removed = co_await remove_value(path, 0);
    }
    co_return removed;
}

awaitable<absl::Status> journal_store::remove_value(std::string path, std::uint64_t revision) {
    if (revision == 0) {
        const auto value = co_await store_.get(path, get_call_deadline());
        if (!value.ok()) {
            const bool is_absent = get_error_kind(value.status()) == error_kind::not_found;
            co_return is_absent ? absl::OkStatus() : value.status();
        }
        revision = value->revision;
    }
    const auto removed = co_await store_.remove(path, revision, get_call_deadline());
    co_return get_error_kind(removed) == error_kind::not_found ? absl::OkStatus() : removed;
}

awaitable<absl::StatusOr<stored_head>> journal_store::read_head() {
    const auto path = get_head_path();
    const auto value = co_await store_.get(path, get_call_deadline());
    if (!value.ok() && get_error_kind(value.status()) == error_kind::not_found) {
        co_return stored_head();
    }
    if (!value.ok()) {
        co_return value.status();
    }
    auto head = decode_head(value->bytes);
    if (!head.ok()) {
        co_return head.status();
    }
    co_return stored_head{value->revision, std::move(*head)};
}

awaitable<absl::StatusOr<shard_snapshot>> journal_store::read_snapshot(snapshot_head head) {
    std::string bytes;
    for (std::size_t part = 0; part < head.parts.size(); ++part) {
        const auto path = get_part_path(head.sequence, part);
        const auto value = co_await store_.get(path, get_call_deadline());
        if (!value.ok()) {
            co_return value.status();
        }
        if (describe_part(head.parts[part].revision, value->bytes) != head.parts[part]) {
            co_return make_error(error_kind::internal,
                                 path + " does not match the revision, size and digest in the snapshot head");
        }
        bytes += value->bytes;
    }
    auto snapshot = decode_snapshot(bytes);
    if (snapshot.ok() && snapshot->sequence != head.sequence) {
        co_return make_error(error_kind::internal, "the snapshot has sequence " +
                                                       std::to_string(snapshot->sequence) + ", expected " +
                                                       std::to_string(head.sequence));
    }
    co_return snapshot;
}

awaitable<absl::StatusOr<snapshot_part>> journal_store::write_part(std::string path, std::string bytes) {
    absl::Status last;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const store_lease no_lease;
        const auto written = co_await store_.compare_and_swap(path, 0, bytes, no_lease, get_call_deadline());
        if (written.ok()) {
            co_return describe_part(*written, bytes);
        }
        last = written.status();
        // Another process that takes the same snapshot, or an earlier attempt of this one, writes the same
        // bytes, so a value with these bytes counts as written.
        const auto existing = co_await store_.get(path, get_call_deadline());
        if (existing.ok() && existing->bytes == bytes) {
            co_return describe_part(existing->revision, bytes);
        }
        if (existing.ok() || !is_retryable(get_error_kind(last))) {
            co_return make_error(error_kind::version_conflict, path + " contains a different snapshot");
        }
        co_await wait_for_retry();
    }
    co_return last;
}

awaitable<absl::StatusOr<stored_head>> journal_store::write_head(std::uint64_t previous_revision,
                                                                 snapshot_head head) {
    const auto path = get_head_path();
    const auto bytes = encode_head(head);
    absl::Status last;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const store_lease no_lease;
        const auto written =
            co_await store_.compare_and_swap(path, previous_revision, bytes, no_lease, get_call_deadline());
        if (written.ok()) {
            co_return stored_head{*written, head};
        }
        last = written.status();
        const auto existing = co_await read_head();
        if (existing.ok() && existing->head == head) {
            co_return *existing;
        }
        if (existing.ok() && existing->revision != previous_revision) {
            co_return make_error(
                error_kind::version_conflict,
                "the snapshot at sequence " + std::to_string(existing->head.sequence) + " was written first");
        }
        co_await wait_for_retry();
    }
    co_return last;
}

awaitable<absl::StatusOr<stored_head>> journal_store::write_snapshot(shard_snapshot snapshot,
                                                                     stored_head previous,
                                                                     std::uint64_t removed_through,
                                                                     writer_mark mark) {
    const auto bytes = encode_snapshot(snapshot);
    snapshot_head head{.sequence = snapshot.sequence,
                       .removed_through = removed_through,
                       .mark = std::move(mark),
                       .parts = {}};
    for (std::size_t start = 0; start < bytes.size(); start += max_part_bytes_) {
        const auto path = get_part_path(head.sequence, head.parts.size());
        auto part_bytes = bytes.substr(start, max_part_bytes_);
        const auto part = co_await write_part(path, std::move(part_bytes));
        if (!part.ok()) {
            co_return part.status();
        }
        head.parts.push_back(*part);
    }
    co_return co_await write_head(previous.revision, head);
}

awaitable<void> journal_store::remove_old_parts(snapshot_head previous, std::uint64_t newest_sequence,
                                                std::uint64_t interval) {
    for (std::size_t part = 0; part < previous.parts.size(); ++part) {
        const auto path = get_part_path(previous.sequence, part);
        const auto removed = co_await remove_value(path, previous.parts[part].revision);
        removed.IgnoreError();
    }
    const auto step = std::max<std::uint64_t>(1, interval);
    for (auto sequence = (previous.sequence / step + 1) * step; sequence < newest_sequence;
         sequence += step) {
        for (std::size_t part = 0;; ++part) {
            const auto path = get_part_path(sequence, part);
            const auto value = co_await store_.get(path, get_call_deadline());
            if (!value.ok()) {
                break;
            }
            const auto removed = co_await remove_value(path, value->revision);
            if (!removed.ok()) {
                break;
            }
        }
    }
}

}  // namespace jacinthvane
