#pragma once

#include <chrono>
#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// The rules of a term. All processes of the fleet must use the same values.
struct tenure_rules {
    std::chrono::milliseconds lease_time{10000};
    // An owner whose term has expired may use lapsed_share_permille for this time, then starts nothing.
    std::chrono::milliseconds extended_tenure{2 * 60 * 60 * 1000};
    std::int64_t lapsed_share_permille = 750;

    bool operator==(const tenure_rules&) const = default;
};

// The share of each upstream that an owner may use at one moment, and the deadline of that share.
struct tenure_allowance {
    std::int64_t share_permille = 0;
    time_point deadline;

    bool operator==(const tenure_allowance&) const = default;
};

// The term of this process, as an immutable value: a renewal returns a new one. A process that never held a
// lease may start nothing.
class tenure {
public:
    tenure() = default;
    explicit tenure(const tenure_rules& rules) : rules_(rules) {}

    // Returns the tenure after the store has confirmed a grant or renewal. sent_at is a time before the call
    // was sent, so the term never lasts longer here than in the store.
    tenure renew(time_point sent_at) const;

    // Returns the tenure after the process has released its lease: it may start nothing.
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
