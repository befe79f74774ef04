#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "process/journal_record.hpp"
#include "process/shard_table.hpp"

namespace jacinthvane {

// Describes one part of a snapshot as it is stored.
struct snapshot_part {
    std::uint64_t revision = 0;
    std::uint64_t bytes = 0;
    std::uint64_t digest = 0;

    bool operator==(const snapshot_part&) const = default;
};

// The value that makes a snapshot valid. It is written after all parts. It is small because it is read after
// every write of a batch.
struct snapshot_head {
    std::uint64_t sequence = 0;
    // All batches up to and including this sequence had been removed when the head was written.
    std::uint64_t removed_through = 0;
    writer_mark mark;
    std::vector<snapshot_part> parts;

    bool operator==(const snapshot_head&) const = default;
};

// Encodings of the journal's values. Each value starts with one byte for its type and one for the version of
// the encoding. Decoding checks every length against the remaining bytes. Malformed bytes return the error
// internal.
std::string encode_batch(const journal_batch& batch);
absl::StatusOr<journal_batch> decode_batch(std::string_view bytes);

std::string encode_snapshot(const shard_snapshot& snapshot);
absl::StatusOr<shard_snapshot> decode_snapshot(std::string_view bytes);

std::string encode_head(const snapshot_head& head);
absl::StatusOr<snapshot_head> decode_head(std::string_view bytes);

// Returns the number of bytes that the record occupies in a batch.
std::size_t get_encoded_size(const journal_record& record);

}  // namespace jacinthvane
