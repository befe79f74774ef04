#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/record_codec.hpp"
#include "connection/store_client.hpp"
#include "process/journal_record.hpp"
#include "process/shard_table.hpp"

namespace jacinthvane {

struct stored_batch {
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
    journal_batch batch;

    bool operator==(const stored_batch&) const = default;
};

// Revision 0 means that the shard has no snapshot yet.
struct stored_head {
    std::uint64_t revision = 0;
    snapshot_head head{};

    bool operator==(const stored_head&) const = default;
};

// Reads and writes the values of one shard's journal:
//   journal/<shard>/<sequence>                  a batch
//   journal/<shard>/snapshot                    the head, which identifies the current snapshot
//   journal/<shard>/snapshot/<sequence>/<part>  a part of a snapshot
// All calls return the errors of store_client, and internal for a value that cannot be decoded.
class journal_store {
public:
    journal_store(store_client store, std::size_t shard, std::chrono::milliseconds call_timeout,
                  std::size_t max_part_bytes);

    awaitable<absl::StatusOr<stored_batch>> read_batch(std::uint64_t sequence);
    // Creates the value of an encoded batch and returns its revision.
    awaitable<absl::StatusOr<std::uint64_t>> write_batch(std::uint64_t sequence, std::string bytes);
    // Succeeds if the batch does not exist. Revision 0 means that the caller does not know the revision.
    awaitable<absl::Status> remove_batch(std::uint64_t sequence, std::uint64_t revision);

    awaitable<absl::StatusOr<stored_head>> read_head();
    // Errors: not_found if a newer snapshot has replaced this one in the meantime.
    awaitable<absl::StatusOr<shard_snapshot>> read_snapshot(snapshot_head head);

    // Writes the parts and then replaces the previous head. Errors: version_conflict if another process
    // replaced the head first; the parts may then remain in the store.
    awaitable<absl::StatusOr<stored_head>> write_snapshot(shard_snapshot snapshot, stored_head previous,
                                                          std::uint64_t removed_through, writer_mark mark);
    // Removes the parts of the previous snapshot, which a newer one has replaced, and of abandoned snapshots
    // between the two. Abandoned snapshots are searched for at sequences that are multiples of the interval.
    awaitable<void> remove_old_parts(snapshot_head previous, std::uint64_t newest_sequence,
                                     std::uint64_t interval);

private:
    std::string get_batch_path(std::uint64_t sequence) const;
    std::string get_head_path() const;
    std::string get_part_path(std::uint64_t sequence, std::size_t part) const;
    time_point get_call_deadline() const;

    awaitable<absl::Status> remove_value(std::string path, std::uint64_t revision);
    awaitable<absl::StatusOr<snapshot_part>> write_part(std::string path, std::string bytes);
    awaitable<absl::StatusOr<stored_head>> write_head(std::uint64_t previous_revision, snapshot_head head);

    store_client store_;
    std::string prefix_;
    std::chrono::milliseconds call_timeout_;
    std::size_t max_part_bytes_;
};

}  // namespace jacinthvane
