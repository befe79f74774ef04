#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "process/ids.hpp"
#include "process/journal_record.hpp"
#include "process/shard_table.hpp"

namespace jacinthvane {

struct journal_limits {
    // The sum of the records' encoded sizes in a batch. The other fields of a batch take less than 1 KB, so a
    // batch stays within 256 KB.
    std::size_t max_batch_bytes = (256U << 10U) - 1024;
    std::size_t max_pending_records = 20'000;
    std::size_t max_pending_bytes = 16U << 20U;
    // Snapshots are taken only at sequences that are a multiple of this number.
    std::uint64_t snapshot_interval = 64;
    // A snapshot is deferred until the batches since the last one hold half as many bytes as that snapshot,
    // so that snapshots write at most about twice as many bytes as batches. It is taken after this many
    // batches in any case.
    std::uint64_t max_batches_since_snapshot = 512;
    // The number of latest batches whose writer marks are kept; see journal::on_overtaken.
    std::size_t max_recent_marks = 1024;

    bool operator==(const journal_limits&) const = default;
};

// The next operation that the caller of the journal has to perform.
enum class journal_action {
    // Nothing is in flight; form_batch may be called.
    idle,
    // Write the batch on condition that the path of its sequence does not exist.
    write,
    // Read the value at the batch's sequence and pass its mark to on_read_back.
    read_back,
    // Read the snapshot head: the result of the write or read is valid only if the newest snapshot is older
    // than the batch's sequence.
    check_head,
    // Load the snapshot that includes the batch's sequence, call note_loaded with its marks, then
    // on_overtaken.
    load_snapshot,
    // Read the batches that other writers appended, then call on_refreshed.
    refresh,
};

// The final result of a record: durable (OK), refused by the newest state, or, in rare cases, unknown.
struct record_result {
    std::uint64_t ticket = 0;
    journal_record record;
    absl::Status status;
};

// The state machine by which one process appends to one shard's journal, without sockets and encodings. One
// batch is in flight at a time. A batch that may have been written is neither changed nor abandoned until its
// outcome is known: it is written again with the same mark, or read back. Not thread-safe.
class journal {
public:
    journal(journal_limits limits, process_id writer) : limits_(limits), writer_(std::move(writer)) {}

    // Adds a record of the given encoded size and returns its ticket. Errors: body_too_large, overloaded.
    absl::StatusOr<std::uint64_t> add(journal_record record, std::size_t bytes);

    // Adds a record that must not be refused, even beyond the limits of pending records.
    std::uint64_t add_beyond_limits(journal_record record, std::size_t bytes);

    // Removes a pending record. Returns false if it may have been written or has a result already.
    bool withdraw(std::uint64_t ticket);

    // Forms the next batch of pending records that the table allows, at most one for each key, job or
    // document. Returns the records that are refused. A record that is refused by a state that may be stale
    // stays pending; if no record can be written, the next action is to refresh.
    std::vector<record_result> form_batch(const shard_table& table, std::int64_t elapsed_ms);

    journal_action get_action() const { return action_; }
    // Null unless a batch is in flight.
    std::shared_ptr<const journal_batch> get_batch() const { return batch_; }

    // The results of a write.
    void on_written();
    void on_conflict();
    // The write certainly had no effect.
    void on_refused();
    void on_unknown_outcome();

    // The result of reading back: the mark of the value at the batch's sequence, or nullopt if there is none.
    void on_read_back(const std::optional<writer_mark>& mark);

    // The result of reading the snapshot head, with sequence 0 if there is no snapshot. If the batch is
    // durable, returns the results of its records, and the action becomes idle. The caller then has to apply
    // the batch to its table, and has to call get_batch before this function, which releases the batch.
    std::vector<record_result> on_head(std::uint64_t snapshot_sequence);

    // Must be called after note_loaded for a snapshot that includes the batch's sequence. The marks of the
    // snapshot show whether the batch is part of it. If they do not reach back to the batch, the outcome of
    // its records is unknown.
    std::vector<record_result> on_overtaken();

    // Mark the beginning and the end of a refresh. Records that were pending when it began may be refused by
    // the state that it read.
    void on_refresh_started();
    void on_refreshed();

    // Records that a batch was applied to the table. The next batch gets the sequence after it.
    void note_applied(std::uint64_t sequence, const writer_mark& mark, std::size_t bytes);
    // Records that the table was replaced by a snapshot with this sequence and these writer marks.
    void note_loaded(std::uint64_t sequence, std::vector<std::pair<std::uint64_t, writer_mark>> marks);
    std::vector<std::pair<std::uint64_t, writer_mark>> get_recent_marks() const;

    // Returns true if a snapshot should be taken at the present sequence.
    bool is_snapshot_due() const;
    void on_snapshot(std::uint64_t sequence, std::size_t bytes);

    std::uint64_t get_next_sequence() const { return next_sequence_; }
    std::size_t get_pending_count() const { return pending_.size(); }
    std::size_t get_in_flight_count() const { return in_flight_.size(); }

private:
    struct pending_record {
        std::uint64_t ticket = 0;
        journal_record record;
        std::size_t bytes = 0;
        // True if the table is at least as new as the record, so that it may refuse the record.
        bool may_be_refused = false;
    };

    void return_to_pending();
    std::vector<record_result> finish_batch(const absl::Status& status);

    journal_limits limits_;
    process_id writer_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t last_ticket_ = 0;
    std::uint64_t last_mark_ = 0;
    std::uint64_t refresh_ticket_ = 0;
    std::deque<pending_record> pending_;
    std::size_t pending_bytes_ = 0;
    std::vector<pending_record> in_flight_;
    std::shared_ptr<const journal_batch> batch_;
    std::uint64_t batch_ticket_ = 0;
    // True if an earlier attempt to write the batch has an unknown outcome.
    bool has_unknown_write_ = false;
    // True if a batch of another writer or attempt was read at the batch's sequence.
    bool has_other_mark_ = false;
    journal_action action_ = journal_action::idle;
    std::deque<std::pair<std::uint64_t, writer_mark>> recent_marks_;
    std::uint64_t snapshot_sequence_ = 0;
    std::size_t snapshot_bytes_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
};

}  // namespace jacinthvane
