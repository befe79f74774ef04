// Follows the evacuations of failure domains; see cell_owner.hpp.

#include <chrono>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "process/error_kind.hpp"
#include "request/cell_owner.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// How long the store holds a watch without changes, which is also the least time between two reads.
constexpr milliseconds read_interval{1000};
constexpr milliseconds watch_margin{700};
// Differences between two readings of a pair of clocks that show no suspension of the machine.
constexpr milliseconds suspension_tolerance{50};

// Returns for how long this machine has been suspended in total. The first clock is read first, so that a
// pause between the two readings does not look like a suspension.
time_point::duration get_suspended_time() {
    const auto suspend_aware = get_suspend_aware_now();
    return suspend_aware - std::chrono::steady_clock::now();
}

}  // namespace

awaitable<bool> cell_owner::load_evacuations() {
    if (limits_.evacuation_bound <= milliseconds(0)) {
        co_return true;
    }
    const auto sent_at = std::chrono::steady_clock::now();
    const auto suspended = get_suspended_time();
    const auto listing = co_await ports_.registry.list_evacuations(get_store_deadline());
    if (!listing.ok()) {
        record_evacuation_read(listing.status());
        co_return false;
    }
    evacuations_revision_ = listing->revision;
    apply_evacuations(*listing, true, sent_at, suspended);
    co_return true;
}

awaitable<void> cell_owner::follow_evacuations(std::uint64_t revision) {
    const bool is_enabled = limits_.evacuation_bound > milliseconds(0);
    bool must_list = false;
    while (is_enabled && !is_over()) {
        const auto sent_at = std::chrono::steady_clock::now();
        const auto suspended = get_suspended_time();
        absl::StatusOr<evacuation_changes> changes;
        if (must_list) {
            changes = co_await ports_.registry.list_evacuations(get_store_deadline());
        } else {
            changes = co_await ports_.registry.watch_evacuations(revision, read_interval.count(),
                                                                 sent_at + read_interval + watch_margin);
        }
        const bool is_gap =
            !must_list && !changes.ok() && get_error_kind(changes.status()) == error_kind::version_conflict;
        if (is_gap) {
            LOG(INFO) << "event=evacuation_history_gap revision=" << revision
                      << " token=" << claim_.row.token;
        } else {
            record_evacuation_read(changes.status());
        }
        if (changes.ok()) {
            revision = changes->revision;
            // The store has held a watch without changes for the whole wait, so there were none until its
            // end.
            const bool is_waited_out = !must_list && changes->changes.empty() &&
                                       std::chrono::steady_clock::now() >= sent_at + read_interval;
            const auto waited = is_waited_out ? read_interval : milliseconds(0);
            apply_evacuations(*changes, must_list, sent_at + waited, suspended);
        }
        must_list = !changes.ok() && (must_list || is_gap);
        co_await wait_until(sent_at + read_interval);
    }
}

void cell_owner::apply_evacuations(const evacuation_changes& changes, bool is_listing,
                                   time_point complete_until, time_point::duration suspended) {
    bool may_start_more = false;
    {
        std::lock_guard lock(mutex_);
        if (is_over_) {
            return;
        }
        may_start_more = !is_evacuation_view_current();
        const auto changed = scheduler_.apply_evacuations(changes, is_listing, complete_until,
                                                          std::chrono::steady_clock::now());
        suspended_at_evacuation_read_ = suspended;
        may_start_more = may_start_more || changed > 0;
        metrics_.set_evacuated_domains(scheduler_.get_evacuations().get_domains().size());
    }
    if (may_start_more) {
        wake_.notify_all();
    }
}

void cell_owner::record_evacuation_read(const absl::Status& status) {
    bool is_current = false;
    {
        std::lock_guard lock(mutex_);
        const bool was_failing = std::exchange(is_evacuation_read_failing_, !status.ok());
        if (was_failing == is_evacuation_read_failing_) {
            return;
        }
        is_current = is_evacuation_view_current();
    }
    if (status.ok()) {
        LOG(INFO) << "event=evacuations_read token=" << claim_.row.token << " starts_held=" << !is_current;
    } else {
        LOG(WARNING) << "event=evacuation_read_failed token=" << claim_.row.token
                     << " starts_held=" << !is_current << " error=\"" << status.message() << "\"";
    }
}

bool cell_owner::is_evacuation_view_current() const {
    const auto& evacuations = scheduler_.get_evacuations();
    if (!evacuations.is_enabled()) {
        return true;
    }
    // The clock of the scheduler does not count the time for which the machine is suspended, so a view from
    // before a suspension is older than it seems.
    return evacuations.allows_starts(std::chrono::steady_clock::now()) &&
           get_suspended_time() < suspended_at_evacuation_read_ + suspension_tolerance;
}

bool cell_owner::may_start() const {
    return may_act() && !is_stopping_ && is_evacuation_view_current();
}

}  // namespace jacinthvane
