#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "process/clock.hpp"
#include "process/evacuation_change.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// Failure domains whose evacuation has begun or ended with an update.
struct evacuation_delta {
    std::vector<failure_domain_id> begun;
    std::vector<failure_domain_id> ended;

    bool operator==(const evacuation_delta&) const = default;
    bool is_empty() const { return begun.empty() && ended.empty(); }
};

// The failure domains that are evacuated at a revision of the store, and up to when that is known to be
// complete. The load that it addresses: an operator empties a failure domain, and no task may start there
// later than the bound after the store has accepted the request. An evacuation that was accepted after the
// last confirmation may be missing, so starts are allowed only for less than the bound after it.
class evacuation_state {
public:
    // A bound of zero means that there are no evacuations: then starts are always allowed.
    explicit evacuation_state(std::chrono::milliseconds bound) : bound_(bound) {}

    // Replaces the set by a listing that contains all evacuations accepted before a time.
    evacuation_delta apply_listing(const evacuation_changes& listing, time_point complete_until);
    // Applies changes after the present revision. They contain all that were accepted before a time.
    evacuation_delta apply_changes(const evacuation_changes& changes, time_point complete_until);

    bool is_enabled() const { return bound_ > std::chrono::milliseconds(0); }
    bool is_evacuated(const failure_domain_id& domain) const { return domains_.contains(domain); }
    // Whether start orders may be decided and sent.
    bool allows_starts(time_point now) const;
    // Returns until when start orders may be sent without a further confirmation.
    time_point get_send_limit() const;
    // Returns until when an order that is sent now may take effect.
    time_point get_effect_limit() const;

    const std::set<failure_domain_id>& get_domains() const { return domains_; }
    std::uint64_t get_revision() const { return revision_; }

    bool operator==(const evacuation_state&) const = default;

private:
    evacuation_delta replace(std::set<failure_domain_id> domains, std::uint64_t revision,
                             time_point complete_until);

    std::chrono::milliseconds bound_;
    std::set<failure_domain_id> domains_;
    std::uint64_t revision_ = 0;
    bool is_confirmed_ = false;
    time_point complete_until_;
};

}  // namespace jacinthvane
