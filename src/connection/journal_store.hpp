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

// Revision 0 stands for a shard that has no snapshot yet.
struct stored_head {
    std::uint64_t revision = 0;
    snapshot_head head{};

    bool operator==(const stored_head&) const = default;
};

// Reads and writes the values of one shard's journal:
//   journal/<shard>/<sequence>                  a batch
//   journal/<shard>/snapshot                    the head, which names the snapshot that counts
//   journal/<shard>/snapshot/<sequence>/<part>  a part of a snapshot
// Errors of all calls: those of store_client, and internal for a value that cannot be decoded.
class journal_store {
public:
    journal_store(store_client store, std::size_t shard, std::chrono::milliseconds call_timeout,
                  std::size_t max_part_bytes);

    awaitable<absl::StatusOr<stored_batch>> read_batch(std::uint64_t sequence);
    // Creates the value of an encoded batch and returns its revision.
    awaitable<absl::StatusOr<std::uint64_t>> write_batch(std::uint64_t sequence, std::string bytes);
    // A batch that does not exist counts as removed. Revision 0 stands for an unknown one.
    awaitable<absl::Status> remove_batch(std::uint64_t sequence, std::uint64_t revision);

    awaitable<absl::StatusOr<stored_head>> read_head();
    // Errors: not_found if the snapshot was replaced by a newer one meanwhile.
    awaitable<absl::StatusOr<shard_snapshot>> read_snapshot(snapshot_head head);

    // Writes the parts and then replaces the previous head. Errors: version_conflict if another process
    // replaced it first; the parts may be left in the store then.
    awaitable<absl::StatusOr<stored_head>> write_snapshot(shard_snapshot snapshot, stored_head previous,
                                                          std::uint64_t removed_through, writer_mark mark);
    // Removes the parts of a snapshot that a newer one has replaced, and of snapshots that were abandoned in
    // between, at multiples of the interval.
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
