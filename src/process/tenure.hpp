#pragma once

#include <chrono>
#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// The rules of a term. One value for all processes of the fleet.
struct tenure_rules {
    std::chrono::milliseconds lease_time{10000};
    // A lapsed owner goes on with lapsed_share for this long, then starts nothing.
    std::chrono::milliseconds extended_tenure{2 * 60 * 60 * 1000};
    std::int64_t lapsed_share_permille = 750;

    bool operator==(const tenure_rules&) const = default;
};

// What an owner may start at one moment: the share of each upstream, and until when that share holds.
struct tenure_allowance {
    std::int64_t share_permille = 0;
    time_point deadline;

    bool operator==(const tenure_allowance&) const = default;
};

// The term of this process, as a value: a renewal makes a new one. A process that never held a lease may
// start nothing.
class tenure {
public:
    tenure() = default;
    explicit tenure(const tenure_rules& rules) : rules_(rules) {}

    // Returns the tenure after the store has confirmed a grant or renewal. sent_at is read before the call
    // was sent, so the term never lasts longer here than in the store.
    tenure renew(time_point sent_at) const;

    // Returns the tenure of a process that gave up its lease: nothing may start.
    tenure give_up() const;

    tenure_allowance get_allowance(time_point now) const;

    bool is_valid(time_point now) const { return has_lease_ && now < term_deadline_; }
    time_point get_term_deadline() const { return term_deadline_; }

    bool operator==(const tenure&) const = default;

private:
    tenure_rules rules_;
    bool has_lease_ = false;
    time_point term_deadline_;
};

}  // namespace jacinthvane
