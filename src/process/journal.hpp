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
    // Sum of the records' encoded sizes in a batch. The batch's own fields take less than 1 KB more.
    std::size_t max_batch_bytes = (256U << 10U) - 1024;
    std::size_t max_pending_records = 20'000;
    std::size_t max_pending_bytes = 16U << 20U;
    // Snapshots are taken at multiples of this many batches.
    std::uint64_t snapshot_interval = 64;
    // A snapshot is put off until the batches since the last one hold half as many bytes as that one, so that
    // snapshots cost at most about twice what the batches cost, but never for more batches than this.
    std::uint64_t max_batches_since_snapshot = 512;
    // How many batches the marks are known of; see journal::on_overtaken.
    std::size_t max_recent_marks = 1024;

    bool operator==(const journal_limits&) const = default;
};

// What the caller of the journal has to do next.
enum class journal_action {
    // Nothing is in flight; form_batch may be called.
    idle,
    // Write the batch, if the path of its sequence does not exist.
    write,
    // Read the value at the batch's sequence and tell whose mark it has.
    read_back,
    // Read the snapshot head: what was written or read counts only if no snapshot has passed its sequence.
    check_head,
    // Load the snapshot that has passed the batch, and give its marks to on_overtaken.
    load_snapshot,
    // Read the batches that others wrote, then call on_refreshed.
    refresh,
};

// A record whose fate is known: durable (OK), refused by the newest state, or, in rare cases, unknown.
struct record_result {
    std::uint64_t ticket = 0;
    journal_record record;
    absl::Status status;
};

// The rules by which one process appends to one shard's journal, without sockets and encodings. One batch is
// in flight at a time. A batch that may have been written is neither changed nor given up until its fate is
// known: it is written again with the same mark, or read back. Not thread-safe.
class journal {
public:
    journal(journal_limits limits, process_id writer) : limits_(limits), writer_(std::move(writer)) {}

    // Adds a record of the given encoded size and returns its ticket. Errors: body_too_large, overloaded.
    absl::StatusOr<std::uint64_t> add(journal_record record, std::size_t bytes);

    // Adds a record that the process owes, over the limit of pending records if need be.
    std::uint64_t add_owed(journal_record record, std::size_t bytes);

    // Takes a record back. Returns false if it may have been written or has a result already.
    bool withdraw(std::uint64_t ticket);

    // Forms the next batch of pending records that the table allows, at most one for each key, job or
    // document. Returns the records that are refused. A record that is refused by a state that may be old
    // stays pending, and the next action is to refresh.
    std::vector<record_result> form_batch(const shard_table& table, std::int64_t elapsed_ms);

    journal_action get_action() const { return action_; }
    // Null unless a batch is in flight.
    std::shared_ptr<const journal_batch> get_batch() const { return batch_; }

    // Results of a write.
    void on_written();
    void on_conflict();
    // The write is known to have had no effect.
    void on_refused();
    void on_unknown_outcome();

    // Result of reading back: the mark of the value at the batch's sequence, or nothing if it does not exist.
    void on_read_back(const std::optional<writer_mark>& mark);

    // Result of reading the snapshot head, with sequence 0 if there is none. If the batch is durable, returns
    // the results of its records, and the action is idle; the caller has to apply the batch to its table (get
    // it before with get_batch).
    std::vector<record_result> on_head(std::uint64_t snapshot_sequence);

    // A snapshot has passed the batch's sequence, and the caller has loaded it and told so by note_loaded.
    // Its marks say whether the batch is part of it; if they do not reach back that far, the outcome of the
    // records stays unknown.
    std::vector<record_result> on_overtaken();

    // Brackets a refresh: records that were pending when it began may be refused by the state that it read.
    void on_refresh_started();
    void on_refreshed();

    // The batch was applied to the table, which now ends there.
    void note_applied(std::uint64_t sequence, const writer_mark& mark, std::size_t bytes);
    // The table was replaced by a snapshot.
    void note_loaded(std::uint64_t sequence, std::vector<std::pair<std::uint64_t, writer_mark>> marks);
    std::vector<std::pair<std::uint64_t, writer_mark>> get_recent_marks() const;

    // Says whether a snapshot should be taken at the present sequence.
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
        // The state that may refuse the record is at least as new as the record.
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
    // An earlier attempt to write the batch has an unknown outcome.
    bool is_exposed_ = false;
    // Another batch was read at the batch's sequence.
    bool is_lost_ = false;
    journal_action action_ = journal_action::idle;
    std::deque<std::pair<std::uint64_t, writer_mark>> recent_marks_;
    std::uint64_t snapshot_sequence_ = 0;
    std::size_t snapshot_bytes_ = 0;
    std::size_t bytes_since_snapshot_ = 0;
};

}  // namespace jacinthvane
