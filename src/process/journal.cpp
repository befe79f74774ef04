#include "process/journal.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

bool is_new_key(const journal_record& record) {
    const auto* claim = std::get_if<key_claimed>(&record);
    return claim != nullptr && claim->generation == 1;
}

}  // namespace

absl::StatusOr<std::uint64_t> journal::add(journal_record record, std::size_t bytes) {
    if (bytes > limits_.max_batch_bytes) {
        return make_error(error_kind::body_too_large, "a record of " + std::to_string(bytes) +
                                                          " bytes exceeds the batch limit of " +
                                                          std::to_string(limits_.max_batch_bytes) + " bytes");
    }
    if (pending_.size() >= limits_.max_pending_records ||
        pending_bytes_ + bytes > limits_.max_pending_bytes) {
        return make_error(error_kind::overloaded,
                          std::to_string(pending_.size()) + " records with " +
                              std::to_string(pending_bytes_) +
                              " bytes are already pending for the shard; the limits are " +
                              std::to_string(limits_.max_pending_records) + " records and " +
                              std::to_string(limits_.max_pending_bytes) + " bytes");
    }
    return add_beyond_limits(std::move(record), bytes);
}

std::uint64_t journal::add_beyond_limits(journal_record record, std::size_t bytes) {
    pending_.push_back({.ticket = ++last_ticket_, .record = std::move(record), .bytes = bytes});
    pending_bytes_ += bytes;
    return last_ticket_;
}

bool journal::withdraw(std::uint64_t ticket) {
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const auto& pending) { return pending.ticket == ticket; });
    if (found == pending_.end()) {
        return false;
    }
    pending_bytes_ -= found->bytes;
    pending_.erase(found);
    return true;
}

std::vector<record_result> journal::form_batch(const shard_table& table, std::int64_t elapsed_ms) {
    std::vector<record_result> refused;
    if (action_ != journal_action::idle || pending_.empty()) {
        return refused;
    }
    std::set<std::string> subjects;
    std::deque<pending_record> remaining;
    std::vector<journal_record> records;
    std::size_t bytes = 0;
    std::size_t new_keys = 0;
    bool is_full = false;
    bool needs_refresh = false;
    for (auto& pending : pending_) {
        is_full = is_full || bytes + pending.bytes > limits_.max_batch_bytes;
        // A record that follows another one on the same subject is validated against the state after that
        // one.
        if (is_full || !subjects.insert(get_subject(pending.record)).second) {
            remaining.push_back(std::move(pending));
            continue;
        }
        auto status = table.validate(pending.record, elapsed_ms, new_keys);
        if (!status.ok() && pending.may_be_refused) {
            pending_bytes_ -= pending.bytes;
            refused.push_back({pending.ticket, std::move(pending.record), std::move(status)});
            continue;
        }
        if (!status.ok()) {
            needs_refresh = true;
            remaining.push_back(std::move(pending));
            continue;
        }
        bytes += pending.bytes;
        pending_bytes_ -= pending.bytes;
        new_keys += is_new_key(pending.record) ? 1 : 0;
        records.push_back(pending.record);
        in_flight_.push_back(std::move(pending));
    }
    pending_.swap(remaining);
    if (records.empty()) {
        action_ = needs_refresh ? journal_action::refresh : journal_action::idle;
        return refused;
    }
    const writer_mark mark{writer_, ++last_mark_};
    batch_ = std::make_shared<const journal_batch>(journal_batch{
        .sequence = next_sequence_, .mark = mark, .elapsed_ms = elapsed_ms, .records = std::move(records)});
    batch_ticket_ = last_ticket_;
    has_unknown_write_ = false;
    has_other_mark_ = false;
    action_ = journal_action::write;
    return refused;
}

void journal::on_written() {
    has_other_mark_ = false;
    action_ = journal_action::check_head;
}

void journal::on_conflict() {
    if (has_unknown_write_) {
        // The existing value may be this batch, written by an attempt whose response was lost.
        action_ = journal_action::read_back;
        return;
    }
    return_to_pending();
    action_ = journal_action::refresh;
}

void journal::on_refused() {
    if (has_unknown_write_) {
        action_ = journal_action::write;
        return;
    }
    return_to_pending();
    action_ = journal_action::idle;
}

void journal::on_unknown_outcome() {
    has_unknown_write_ = true;
    action_ = journal_action::read_back;
}

void journal::on_read_back(const std::optional<writer_mark>& mark) {
    if (!mark) {
        // The earlier write may still arrive, so only the same batch may be written to this sequence.
        action_ = journal_action::write;
        return;
    }
    // A different mark does not prove that the batch was not written: it may have been written, included in a
    // snapshot and removed, and a paused writer may have written another batch to the same sequence since.
    has_other_mark_ = *mark != batch_->mark;
    action_ = journal_action::check_head;
}

std::vector<record_result> journal::on_head(std::uint64_t snapshot_sequence) {
    if (snapshot_sequence >= batch_->sequence) {
        action_ = journal_action::load_snapshot;
        return {};
    }
    if (has_other_mark_) {
        return_to_pending();
        action_ = journal_action::refresh;
        return {};
    }
    // The write took effect, so the state that the records were validated against was the newest one.
    for (auto& pending : pending_) {
        pending.may_be_refused = pending.may_be_refused || pending.ticket <= batch_ticket_;
    }
    return finish_batch(absl::OkStatus());
}

std::vector<record_result> journal::on_overtaken() {
    for (const auto& [sequence, mark] : recent_marks_) {
        if (sequence != batch_->sequence) {
            continue;
        }
        if (mark == batch_->mark) {
            return finish_batch(absl::OkStatus());
        }
        return_to_pending();
        action_ = journal_action::refresh;
        return {};
    }
    return finish_batch(
        make_error(error_kind::store_outcome_unknown,
                   "batch " + std::to_string(batch_->sequence) +
                       " is older than the writer marks that are kept, so its outcome is unknown"));
}

void journal::on_refresh_started() {
    refresh_ticket_ = last_ticket_;
}

void journal::on_refreshed() {
    for (auto& pending : pending_) {
        pending.may_be_refused = pending.may_be_refused || pending.ticket <= refresh_ticket_;
    }
    if (action_ == journal_action::refresh) {
        action_ = journal_action::idle;
    }
}

void journal::note_applied(std::uint64_t sequence, const writer_mark& mark, std::size_t bytes) {
    next_sequence_ = sequence + 1;
    recent_marks_.emplace_back(sequence, mark);
    if (recent_marks_.size() > limits_.max_recent_marks) {
        recent_marks_.pop_front();
    }
    bytes_since_snapshot_ += bytes;
}

void journal::note_loaded(std::uint64_t sequence, std::vector<std::pair<std::uint64_t, writer_mark>> marks) {
    next_sequence_ = sequence + 1;
    recent_marks_.assign(marks.begin(), marks.end());
}

std::vector<std::pair<std::uint64_t, writer_mark>> journal::get_recent_marks() const {
    return {recent_marks_.begin(), recent_marks_.end()};
}

bool journal::is_snapshot_due() const {
    const auto sequence = next_sequence_ - 1;
    if (sequence == 0 || sequence % limits_.snapshot_interval != 0 || sequence <= snapshot_sequence_) {
        return false;
    }
    return bytes_since_snapshot_ >= snapshot_bytes_ / 2 ||
           sequence - snapshot_sequence_ >= limits_.max_batches_since_snapshot;
}

void journal::on_snapshot(std::uint64_t sequence, std::size_t bytes) {
    if (sequence <= snapshot_sequence_) {
        return;
    }
    snapshot_sequence_ = sequence;
    snapshot_bytes_ = bytes;
    bytes_since_snapshot_ = 0;
}

void journal::return_to_pending() {
    for (const auto& record : in_flight_) {
        pending_bytes_ += record.bytes;
    }
    pending_.insert(pending_.begin(), std::make_move_iterator(in_flight_.begin()),
                    std::make_move_iterator(in_flight_.end()));
    in_flight_.clear();
    batch_.reset();
}

std::vector<record_result> journal::finish_batch(const absl::Status& status) {
    std::vector<record_result> results;
    results.reserve(in_flight_.size());
    for (auto& record : in_flight_) {
        results.push_back({record.ticket, std::move(record.record), status});
    }
    in_flight_.clear();
    batch_.reset();
    action_ = journal_action::idle;
    return results;
}

}  // namespace jacinthvane
