#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// Amounts are in the unit of the quotas: thousandths of a processor in use at the same time.
using quota_amounts = std::map<team_id, std::int64_t>;

// What one entry process wants to use of late, as gossip spreads it. A member that is out of reach stays in
// the list with its last demand until it is known to have ended, so that a partition does not double quotas.
struct member_demand {
    process_id member;
    quota_amounts demand;

    bool operator==(const member_demand&) const = default;
};

// What this process may let one team use.
struct quota_allowance {
    // The part of the team's own quota.
    std::int64_t own = 0;
    // Unused share of other teams, to be used only while they leave it.
    std::int64_t lent = 0;

    bool operator==(const quota_allowance&) const = default;
};

struct quota_plan {
    std::map<team_id, quota_allowance> allowances;
    std::int64_t own_total = 0;

    quota_allowance get_allowance(const team_id& team) const;
    bool operator==(const quota_plan&) const = default;
};

// Scales the quotas down together if they promise more than the capacity; a capacity of 0 is unknown.
quota_amounts fit_quotas(const quota_amounts& quotas, std::int64_t capacity);

// Returns the part of each quota that a process may use before the others have heard of it: quota / (4 x
// members).
quota_amounts compute_floors(const quota_amounts& quotas, std::size_t members);

// Returns the part of each quota that the process may use: the floor and the rest by its share of the demand.
// Over all members with the same list the parts add up to at most the quota.
quota_amounts compute_shares(const quota_amounts& quotas, const process_id& self,
                             const std::vector<member_demand>& members);

// Lends the given share of what teams leave unused to the teams that want more, in proportion to their own
// shares and never more than they want.
quota_plan make_quota_plan(const quota_amounts& shares, const quota_amounts& demand,
                           std::int64_t lend_permille);

}  // namespace jacinthvane
