#include "version/evacuation_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jacinthvane {

namespace {

// No start order is sent within this time before the bound, which leaves it time to arrive.
constexpr std::chrono::milliseconds send_margin{250};
// A start order takes no effect within this time before the bound. Covers the error of the estimated clock of
// an upstream, which is 40 ms at 2% drift and 2 s between two reports, and the rounding to milliseconds.
constexpr std::chrono::milliseconds effect_margin{100};

}  // namespace

evacuation_delta evacuation_state::apply_listing(const evacuation_changes& listing,
                                                 time_point complete_until) {
    std::set<failure_domain_id> domains;
    for (const auto& change : listing.changes) {
        if (!change.is_removed) {
            domains.insert(change.domain);
        }
    }
    return replace(std::move(domains), listing.revision, complete_until);
}

evacuation_delta evacuation_state::apply_changes(const evacuation_changes& changes,
                                                 time_point complete_until) {
    auto domains = domains_;
    for (const auto& change : changes.changes) {
        if (change.is_removed) {
            domains.erase(change.domain);
        } else {
            domains.insert(change.domain);
        }
    }
    return replace(std::move(domains), std::max(revision_, changes.revision), complete_until);
}

bool evacuation_state::allows_starts(time_point now) const {
    return now < get_send_limit();
}

time_point evacuation_state::get_send_limit() const {
    if (!is_enabled()) {
        return time_point::max();
    }
    return is_confirmed_ ? complete_until_ + bound_ - send_margin : time_point::min();
}

time_point evacuation_state::get_effect_limit() const {
    if (!is_enabled()) {
        return time_point::max();
    }
    return is_confirmed_ ? complete_until_ + bound_ - effect_margin : time_point::min();
}

evacuation_delta evacuation_state::replace(std::set<failure_domain_id> domains, std::uint64_t revision,
                                           time_point complete_until) {
    evacuation_delta delta;
    std::set_difference(domains.begin(), domains.end(), domains_.begin(), domains_.end(),
                        std::back_inserter(delta.begun));
    std::set_difference(domains_.begin(), domains_.end(), domains.begin(), domains.end(),
                        std::back_inserter(delta.ended));
    domains_ = std::move(domains);
    revision_ = revision;
    complete_until_ = is_confirmed_ ? std::max(complete_until_, complete_until) : complete_until;
    is_confirmed_ = true;
    return delta;
}

}  // namespace jacinthvane
