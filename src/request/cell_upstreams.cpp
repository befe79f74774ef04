// Lists and polls the upstreams; see cell_owner.hpp.

#include <algorithm>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/cell_owner.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// How often the remaining times in the notes are brought up to date. The next owner counts them from its
// claim, so they are too long for it by the age of the notes.
constexpr milliseconds notes_interval{1000};

// Logs a lease whose end was computed on the clock of another incarnation than the one that received it.
void log_foreign_lease(const poll_order& order, const upstream_report& report) {
    if (order.lease_until_clock_ms == 0 || order.boot_unix_ms == report.boot_unix_ms) {
        return;
    }
    LOG(INFO) << "event=foreign_lease upstream=" << order.upstream.get()
              << " lease_until_ms=" << order.lease_until_clock_ms << " lease_boot=" << order.boot_unix_ms
              << " boot=" << report.boot_unix_ms << " clock_ms=" << report.clock_ms;
}

}  // namespace

awaitable<bool> cell_owner::load_upstreams() {
    const std::string known_key = make_upstreams_key();
    const auto known_item = co_await ports_.store.get(known_key, get_store_deadline());
    if (!known_item.ok()) {
        co_return false;
    }
    const auto listing = co_await ports_.registry.list_upstreams(get_store_deadline());
    if (!listing.ok()) {
        co_return false;
    }
    upstreams_revision_ = known_item->revision;
    apply_loaded_notes();
    registry_revision_ = listing->revision;
    if (known_item->revision > 0) {
        const auto known = decode_known_upstreams(known_item->value);
        if (!known.ok()) {
            LOG(ERROR) << "event=known_upstreams_unreadable error=\"" << known.status().message() << "\"";
        } else {
            std::lock_guard lock(mutex_);
            for (const auto& entry : known->entries) {
                scheduler_.expect_upstream(entry, get_granting_token(entry.id));
            }
        }
    }
    apply_upstream_changes(*listing, true);
    co_return co_await write_known_upstreams();
}

void cell_owner::apply_upstream_changes(const upstream_changes& changes, bool is_listing) {
    std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    std::set<upstream_id> listed;
    for (const auto& change : changes.changes) {
        if (!change.entry) {
            scheduler_.unlist_upstream(change.id);
            continue;
        }
        listed.insert(change.id);
        const auto* known = scheduler_.find_upstream(change.id);
        if (known == nullptr || known->entry.is_leaving != change.entry->is_leaving) {
            LOG(INFO) << "event=upstream_listed upstream=" << change.id.get()
                      << " address=" << change.entry->address << " leaving=" << change.entry->is_leaving
                      << " revision=" << changes.revision;
        }
        scheduler_.list_upstream(*change.entry, now);
    }
    if (!is_listing) {
        return;
    }
    for (const auto& entry : scheduler_.get_upstreams()) {
        if (!listed.contains(entry.id)) {
            scheduler_.unlist_upstream(entry.id);
        }
    }
}

awaitable<bool> cell_owner::write_known_upstreams() {
    known_upstreams known;
    takeover_notes notes;
    {
        std::lock_guard lock(mutex_);
        known.entries = scheduler_.get_upstreams();
        notes = make_notes();
    }
    const auto made_at = std::chrono::steady_clock::now();
    store_transaction transaction;
    transaction.conditions = {{make_cell_key(), claim_.row_revision},
                              {make_upstreams_key(), upstreams_revision_}};
    transaction.writes = {{make_upstreams_key(), encode_record(known), 0},
                          {make_notes_key(), encode_record(notes, made_at), 0}};
    const auto sent_at = get_suspend_aware_now();
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    if (!result.ok()) {
        co_return false;
    }
    if (!result->is_applied) {
        for (const auto& item : result->present) {
            if (item.key == make_cell_key() && item.revision != claim_.row_revision) {
                end("another process took the cell: its row has revision " + std::to_string(item.revision));
            }
            if (item.key == make_upstreams_key()) {
                upstreams_revision_ = item.revision;
            }
        }
        co_return false;
    }
    record_ownership_proof(sent_at);
    upstreams_revision_ = result->revision;
    // Orders may be sent to these upstreams only now that the list is durable, since the next owner polls the
    // upstreams of the list for runs of this owner.
    std::vector<upstream_id> added;
    {
        std::lock_guard lock(mutex_);
        for (const auto& entry : known.entries) {
            if (polled_upstreams_.insert(entry.id).second) {
                added.push_back(entry.id);
            }
        }
        scheduler_.record_upstreams(known.entries);
        scheduler_.record_silent_upstreams(notes.silent);
        written_notes_ = std::move(notes);
        next_notes_ = made_at + notes_interval;
        recorded_upstreams_ = known.entries.size();
    }
    for (const auto& id : added) {
        spawn("look_at_upstream", poll_upstream(id));
    }
    co_return true;
}

bool cell_owner::is_recorded_list_outdated() const {
    std::lock_guard lock(mutex_);
    return scheduler_.has_unrecorded_upstreams() || scheduler_.has_answered_silent_upstreams() ||
           scheduler_.get_upstreams().size() != recorded_upstreams_ || are_notes_outdated();
}

awaitable<void> cell_owner::follow_upstreams(std::uint64_t revision) {
    constexpr std::int64_t wait_ms = 2000;
    constexpr milliseconds margin{700};
    // Registry entries change frequently; changes within this time are read with one call.
    constexpr milliseconds batch_window{300};
    // The same while no task may start on an upstream before its entry is read.
    constexpr milliseconds missing_entry_window{20};
    // A response with as many changes may be a page of more: the store returns about 500 at a time, and 3,000
    // upstreams write 1,300 a second. Waiting between such pages would leave the owner behind for good.
    constexpr std::size_t page_changes = 200;
    while (!is_over()) {
        const auto seen = missed_entries_.get_count();
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait_ms) + margin;
        auto changes = co_await ports_.registry.watch_upstreams(revision, wait_ms, deadline);
        bool is_listing = false;
        if (!changes.ok() && get_error_kind(changes.status()) == error_kind::version_conflict) {
            changes = co_await ports_.registry.list_upstreams(get_store_deadline());
            is_listing = true;
        }
        if (!changes.ok()) {
            co_await wait_until(std::chrono::steady_clock::now() + store_retry_delay);
            continue;
        }
        revision = changes->revision;
        apply_upstream_changes(*changes, is_listing);
        upstreams_changed_.notify_all();
        wake_.notify_all();
        if (!changes->changes.empty() && changes->changes.size() < page_changes) {
            const auto read_at = std::chrono::steady_clock::now();
            const auto window = misses_entries(read_at) ? missing_entry_window : batch_window;
            co_await missed_entries_.wait(seen, read_at + window);
        }
    }
}

bool cell_owner::misses_entries(time_point now) const {
    std::lock_guard lock(mutex_);
    return scheduler_.has_missing_entries(now);
}

awaitable<void> cell_owner::keep_upstream_list() {
    constexpr milliseconds normal_interval{2000};
    // What the next owner has to know of earlier ones is written soon after it changes.
    constexpr milliseconds takeover_interval{250};
    while (!is_over()) {
        const auto seen = upstreams_changed_.get_count();
        update_notes();
        while (is_recorded_list_outdated() && !is_over() && !co_await write_known_upstreams()) {
            co_await wait_until(std::chrono::steady_clock::now() + store_retry_delay);
        }
        wake_.notify_all();
        const auto interval = has_changing_notes() ? takeover_interval : normal_interval;
        co_await upstreams_changed_.wait(seen, std::chrono::steady_clock::now() + interval);
    }
}

std::string cell_owner::get_address(const upstream_id& id) const {
    std::lock_guard lock(mutex_);
    const auto* upstream = scheduler_.find_upstream(id);
    return upstream == nullptr ? std::string() : upstream->entry.address;
}

awaitable<bool> cell_owner::wait_for_durable_ends(upstream_id id) {
    constexpr milliseconds max_wait{250};
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (true) {
        const auto seen = committed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (is_over_ || scheduler_.find_upstream(id) == nullptr) {
                polled_upstreams_.erase(id);
                co_return false;
            }
            if (!scheduler_.has_unacknowledged_ends(id)) {
                co_return true;
            }
        }
        progress_.notify_all();
        if (!co_await committed_.wait(seen, deadline)) {
            co_return true;
        }
    }
}

milliseconds cell_owner::get_poll_pause() const {
    return std::max(pacer_.get_pause(), link_.get_poll_pause(std::chrono::steady_clock::now()));
}

time_point cell_owner::get_next_poll(const upstream_id& id, time_point last_poll) const {
    std::lock_guard lock(mutex_);
    const auto* upstream = scheduler_.find_upstream(id);
    const auto expected_end = upstream == nullptr ? time_point::max() : upstream->get_expected_end();
    const auto link_pause = link_.get_poll_pause(std::chrono::steady_clock::now());
    return std::max(pacer_.get_next_poll(last_poll, expected_end), last_poll + link_pause);
}

awaitable<void> cell_owner::poll_upstream(upstream_id id) {
    constexpr milliseconds min_margin{500};
    milliseconds failure_delay{50};
    constexpr milliseconds max_failure_delay{400};
    auto last_poll = time_point();
    while (true) {
        const auto next_poll = get_next_poll(id, last_poll);
        if (next_poll > std::chrono::steady_clock::now()) {
            co_await wait_until(next_poll);
        }
        poll_order order;
        const auto address = get_address(id);
        const bool is_same_connection = ports_.upstreams.has_poll_connection(address);
        if (!co_await wait_for_durable_ends(id)) {
            co_return;
        }
        {
            std::lock_guard lock(mutex_);
            order = scheduler_.make_poll(id, std::chrono::steady_clock::now(), is_same_connection, may_act());
        }
        const auto started_at = std::chrono::steady_clock::now();
        last_poll = started_at;
        const auto expected_at = started_at + milliseconds(order.wait_ms);
        const auto deadline = expected_at + get_call_timeout(min_margin);
        const auto response = co_await ports_.upstreams.poll(address, order, claim_.row.token, deadline);
        const auto clock = read_clock();
        // A response before the upstream had to respond does not show how long it took.
        if (is_answer(response.result) && clock.now >= expected_at) {
            record_response(expected_at);
        }
        const bool is_conclusive =
            is_answer(response.result) ||
            (response.result != order_result::delayed && is_silence_conclusive(expected_at, deadline));
        bool is_ok = false;
        bool misses_entry = false;
        {
            std::lock_guard lock(mutex_);
            const auto* upstream = scheduler_.find_upstream(id);
            const bool was_unresponsive = upstream != nullptr && upstream->is_unresponsive;
            is_ok = response.result == order_result::accepted;
            if (is_ok) {
                log_foreign_lease(order, response.report);
            } else if (response.result == order_result::unknown || response.result == order_result::delayed) {
                scheduler_.record_unanswered_poll(id, clock.now);
            }
            load_.add_poll(clock.now - started_at);
            if (is_ok) {
                link_.add_poll(clock.now, estimate_bytes(order), estimate_bytes(response.report));
                scheduler_.apply_report(id, response.report, clock);
                misses_entry = scheduler_.take_missed_entries();
            } else if (response.result == order_result::refused_other_incarnation) {
                scheduler_.end_incarnation(id, clock.now);
            } else if (!is_conclusive) {
                load_.add_late_poll();
            } else {
                scheduler_.mark_unresponsive(id, started_at);
                load_.add_silent_poll();
            }
            if (upstream != nullptr && is_conclusive && was_unresponsive == is_ok) {
                LOG(INFO) << "event=" << (is_ok ? "upstream_answers" : "upstream_silent")
                          << " upstream=" << id.get() << " result=" << get_name(response.result);
            }
        }
        if (response.result == order_result::refused_token) {
            end("upstream " + id.get() + " has seen a fencing token higher than " +
                std::to_string(claim_.row.token));
            co_return;
        }
        wake_.notify_all();
        progress_.notify_all();
        if (misses_entry) {
            missed_entries_.notify_all();
        }
        if (is_ok) {
            failure_delay = milliseconds(50);
            continue;
        }
        co_await wait_until(std::chrono::steady_clock::now() + failure_delay);
        failure_delay = std::min(failure_delay * 2, max_failure_delay);
    }
}

}  // namespace jacinthvane
