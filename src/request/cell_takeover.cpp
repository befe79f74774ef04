// Reads and writes what one owner leaves for the next one beside the list of upstreams; see cell_owner.hpp.

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>

#include <glog/logging.h>

#include "request/cell_owner.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

awaitable<bool> cell_owner::load_locations() {
    const std::string prefix(location_prefix);
    const auto listing = co_await ports_.store.list(prefix, get_store_deadline());
    if (!listing.ok()) {
        co_return false;
    }
    loaded_locations_.clear();
    loaded_notes_ = takeover_notes();
    loaded_notes_revision_ = 0;
    bool is_readable = true;
    for (const auto& item : listing->items) {
        is_readable = load_location_item(item) && is_readable;
    }
    // One job whose runs are unknown makes all of them unknown, since its record may name any upstream.
    loaded_notes_.has_complete_locations = loaded_notes_.has_complete_locations && is_readable;
    co_return true;
}

bool cell_owner::load_location_item(const store_item& item) {
    if (item.key == make_notes_key()) {
        // The notes were written under the condition of the row before, so not after this owner's claim.
        auto notes = decode_takeover_notes(item.value, claim_.claimed_at);
        if (!notes.ok()) {
            LOG(ERROR) << "event=takeover_notes_unreadable error=\"" << notes.status().message() << "\"";
            return false;
        }
        loaded_notes_ = std::move(*notes);
        loaded_notes_revision_ = item.revision;
        return true;
    }
    auto locations = decode_run_locations(item.value);
    if (!locations.ok()) {
        LOG(ERROR) << "event=locations_unreadable key=" << item.key << " error=\""
                   << locations.status().message() << "\"";
        return false;
    }
    loaded_locations_.emplace(job_id(item.key.substr(location_prefix.size())), std::move(*locations));
    return true;
}

void cell_owner::apply_loaded_notes() {
    if (std::exchange(has_applied_notes_, true)) {
        return;
    }
    // Owners of earlier versions write the list without the notes, and start tasks without a record.
    if (upstreams_revision_ != loaded_notes_revision_) {
        loaded_notes_ = takeover_notes();
    }
    if (upstreams_revision_ == 0) {
        loaded_notes_.foreign_leases.emplace();
    }
    has_complete_locations_ = upstreams_revision_ == 0 || loaded_notes_.has_complete_locations;
    LOG(INFO) << "event=takeover_notes_loaded token=" << claim_.row.token
              << " located_jobs=" << loaded_locations_.size() << " complete=" << has_complete_locations_
              << " silent=" << loaded_notes_.silent.size() << " ended_before=" << loaded_notes_.ended_before
              << " lease_bounds=" << loaded_notes_.lease_bounds.size() << " foreign_leases="
              << (loaded_notes_.foreign_leases ? std::to_string(loaded_notes_.foreign_leases->size())
                                               : "unknown");
    std::lock_guard lock(mutex_);
    scheduler_.record_ended_before(loaded_notes_.ended_before);
    scheduler_.record_lease_bounds(loaded_notes_.lease_bounds);
    scheduler_.record_foreign_leases(loaded_notes_.foreign_leases);
    scheduler_.set_inherited_locations(std::exchange(loaded_locations_, {}), has_complete_locations_);
}

std::uint64_t cell_owner::get_granting_token(const upstream_id& id) const {
    const auto& silent = loaded_notes_.silent;
    const auto found = std::find_if(silent.begin(), silent.end(),
                                    [&](const silent_upstream& entry) { return entry.upstream == id; });
    return found == silent.end() ? claim_.row.token - 1 : found->granting_token;
}

takeover_notes cell_owner::make_notes() const {
    const auto now = std::chrono::steady_clock::now();
    return {has_complete_locations_, scheduler_.get_silent_upstreams(), scheduler_.get_ended_before(now),
            scheduler_.get_lease_bounds(now), scheduler_.get_foreign_leases(now)};
}

bool cell_owner::are_notes_outdated() const {
    const bool has_foreign_leases = written_notes_.foreign_leases && !written_notes_.foreign_leases->empty();
    const bool has_times = !written_notes_.lease_bounds.empty() || has_foreign_leases;
    const bool is_due = has_times && std::chrono::steady_clock::now() >= next_notes_;
    return is_due || make_notes() != written_notes_;
}

bool cell_owner::has_changing_notes() const {
    std::lock_guard lock(mutex_);
    return !scheduler_.is_takeover_resolved(std::chrono::steady_clock::now()) ||
           !written_notes_.silent.empty() || !written_notes_.lease_bounds.empty();
}

void cell_owner::update_notes() {
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(mutex_);
    scheduler_.declare_silent_upstreams(now);
    if (!has_complete_locations_ && scheduler_.is_takeover_over(now)) {
        scheduler_.complete_locations();
        has_complete_locations_ = scheduler_.are_locations_complete();
    }
}

}  // namespace jacinthvane
