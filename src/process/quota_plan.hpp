#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// Amounts for each team, in the unit of the quotas: thousandths of a processor in use at the same time.
using quota_amounts = std::map<team_id, std::int64_t>;

// The recent demand of one entry process, as received by gossip. An unreachable member stays in the list with
// its last demand until it is known to have ended, so that a network partition does not double quotas.
struct member_demand {
    process_id member;
    quota_amounts demand;

    bool operator==(const member_demand&) const = default;
};

// The amount that one team may use on this process.
struct quota_allowance {
    // This process's share of the team's quota.
    std::int64_t own = 0;
    // The part of other teams' unused shares that is lent to this team as long as they do not need it.
    std::int64_t lent = 0;

    bool operator==(const quota_allowance&) const = default;
};

struct quota_plan {
    std::map<team_id, quota_allowance> allowances;
    std::int64_t own_total = 0;

    quota_allowance get_allowance(const team_id& team) const;
    bool operator==(const quota_plan&) const = default;
};

// Scales all quotas down in proportion if their sum exceeds the capacity. A capacity of 0 means that it is
// unknown.
quota_amounts fit_quotas(const quota_amounts& quotas, std::int64_t capacity);

// Returns the part of each quota that a process may use before the other members know of its demand:
// quota / (4 x members).
quota_amounts compute_floors(const quota_amounts& quotas, std::size_t members);

// Returns the part of each quota that the process may use: the floor plus a part of the rest in proportion to
// its share of the demand. The parts of all members that use the same list add up to at most the quota.
quota_amounts compute_shares(const quota_amounts& quotas, const process_id& self,
                             const std::vector<member_demand>& members);

// Lends lend_permille of the unused shares to the teams whose demand exceeds their share, in proportion to
// their shares and at most up to their demand.
quota_plan make_quota_plan(const quota_amounts& shares, const quota_amounts& demand,
                           std::int64_t lend_permille);

}  // namespace jacinthvane
