// Writes progress and proves ownership; see cell_owner.hpp.

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>

#include <glog/logging.h>

#include "process/error_kind.hpp"
#include "request/cell_owner.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// Progress that arrives within this interval is written in one transaction.
constexpr milliseconds commit_interval{40};
// The conditions on the cell and on the last commit, and the record of this commit.
constexpr std::size_t own_entries = 3;

}  // namespace

store_transaction cell_owner::make_commit(const progress_commit& commit) const {
    store_transaction transaction;
    transaction.conditions = {{make_cell_key(), claim_.row_revision}, {make_commit_key(), commit_revision_}};
    transaction.writes.push_back(
        {make_commit_key(), std::to_string(claim_.row.token) + "/" + std::to_string(commit_number_), 0});
    for (const auto& entry : commit.jobs) {
        transaction.writes.push_back({make_progress_key(entry.job), encode_record(entry.progress), 0});
        if (entry.locations) {
            transaction.writes.push_back({make_location_key(entry.job), encode_record(*entry.locations), 0});
        }
        if (!is_final(entry.progress.state)) {
            continue;
        }
        if (entry.has_stored_locations) {
            transaction.removals.push_back(make_location_key(entry.job));
        }
        transaction.removals.push_back(make_job_key(entry.job));
        if (entry.progress.state == job_phase::cancelled) {
            transaction.removals.push_back(make_cancel_key(entry.job));
        }
    }
    return transaction;
}

awaitable<void> cell_owner::write_progress() {
    while (!is_over()) {
        const auto seen = progress_.get_count();
        progress_commit commit;
        {
            std::lock_guard lock(mutex_);
            if (scheduler_.has_commit_work()) {
                commit = scheduler_.collect_commit(max_transaction_entries - own_entries, get_unix_ms());
            }
        }
        if (commit.is_empty()) {
            co_await progress_.wait(seen, std::chrono::steady_clock::now() + store_timeout);
            continue;
        }
        const bool is_written = co_await write_commit(commit);
        {
            std::lock_guard lock(mutex_);
            if (is_written && scheduler_.has_unfinished_batch()) {
                continue;
            }
        }
        const auto now = std::chrono::steady_clock::now();
        co_await wait_until(now + (is_written ? commit_interval : store_retry_delay));
    }
}

awaitable<bool> cell_owner::write_commit(progress_commit commit) {
    if (commit.jobs.empty()) {
        // A commit without job changes only acknowledges ended runs and needs no write.
        std::lock_guard lock(mutex_);
        scheduler_.confirm_commit(commit);
        committed_.notify_all();
        co_return true;
    }
    ++commit_number_;
    const auto transaction = make_commit(commit);
    const auto sent_at = get_suspend_aware_now();
    const auto started_at = std::chrono::steady_clock::now();
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    const auto commit_time = std::chrono::steady_clock::now() - started_at;
    if (result.ok()) {
        record_response(started_at);
    }
    if (result.ok() && result->is_applied) {
        commit_revision_ = result->revision;
        metrics_.count(decision::journal_batch);
        for (const auto& entry : commit.jobs) {
            if (is_final(entry.progress.state)) {
                LOG(INFO) << "event=job_ended job=" << entry.job.get()
                          << " state=" << get_name(entry.progress.state) << " revision=" << result->revision;
            }
        }
        std::lock_guard lock(mutex_);
        load_.add_commit(commit_time, commit.jobs.size());
        proven_at_ = std::max(proven_at_, sent_at);
        if (is_store_unavailable_) {
            is_store_unavailable_ = false;
            LOG(INFO) << "event=store_returned token=" << claim_.row.token;
        }
        scheduler_.confirm_commit(commit);
        if (scheduler_.take_recorded_starts()) {
            wake_.notify_all();
        }
        // Only the last commit of a batch makes ends durable, so the others would wake every poll for
        // nothing.
        if (!scheduler_.has_unfinished_batch()) {
            committed_.notify_all();
        }
        co_return true;
    }
    {
        std::lock_guard lock(mutex_);
        scheduler_.reject_commit(commit);
        if (!result.ok() && !is_store_unavailable_) {
            is_store_unavailable_ = true;
            LOG(WARNING) << "event=store_lost token=" << claim_.row.token << " error=\""
                         << result.status().message() << "\"";
        }
    }
    co_await resolve_commit();
    co_return false;
}

// Reads the revision of the commit key after a commit failed or its outcome is unknown, so that the next
// commit has the right condition.
awaitable<bool> cell_owner::resolve_commit() {
    const std::string cell_key = make_cell_key();
    const auto sent_at = get_suspend_aware_now();
    const auto row = co_await ports_.store.get(cell_key, get_store_deadline());
    if (!row.ok()) {
        co_return false;
    }
    if (row->revision != claim_.row_revision) {
        end("another process took the cell: its row has revision " + std::to_string(row->revision));
        co_return false;
    }
    record_ownership_proof(sent_at);
    const std::string commit_key = make_commit_key();
    const auto item = co_await ports_.store.get(commit_key, get_store_deadline());
    if (!item.ok()) {
        co_return false;
    }
    commit_revision_ = item->revision;
    co_return true;
}

awaitable<void> cell_owner::prove_ownership() {
    constexpr milliseconds interval{1000};
    const std::string cell_key = make_cell_key();
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        {
            std::lock_guard lock(mutex_);
            if (get_suspend_aware_now() < proven_at_ + interval * 3 / 2) {
                continue;
            }
        }
        const auto sent_at = get_suspend_aware_now();
        const auto started_at = std::chrono::steady_clock::now();
        const auto row = co_await ports_.store.get(cell_key, get_store_deadline());
        if (!row.ok()) {
            continue;
        }
        record_response(started_at);
        if (row->revision != claim_.row_revision) {
            end("another process took the cell: its row has revision " + std::to_string(row->revision));
            co_return;
        }
        record_ownership_proof(sent_at);
        wake_.notify_all();
    }
}

awaitable<void> cell_owner::remove_expired_jobs() {
    constexpr milliseconds interval{15000};
    constexpr std::size_t max_removals = max_transaction_entries - 1;
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        store_transaction transaction;
        transaction.conditions = {{make_cell_key(), claim_.row_revision}};
        {
            std::lock_guard lock(mutex_);
            for (const auto& id : scheduler_.take_expired_jobs(get_unix_ms(), max_removals)) {
                transaction.removals.push_back(make_progress_key(id));
            }
        }
        if (transaction.removals.empty()) {
            continue;
        }
        const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
        if (!result.ok()) {
            // The progress records remain in the store until the next owner loads them.
            LOG(WARNING) << "event=expired_jobs_kept count=" << transaction.removals.size() << " error=\""
                         << result.status().message() << "\"";
        }
    }
}

}  // namespace jacinthvane
