#include "process/quota_plan.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

// The floor of a share lets a process start a team's tasks before the other members know of its demand.
constexpr std::int64_t floor_divisor = 4;

std::int64_t get_amount(const quota_amounts& amounts, const team_id& team) {
    const auto found = amounts.find(team);
    return found == amounts.end() ? 0 : std::max<std::int64_t>(0, found->second);
}

// Divides the pool among the teams by weight. The part that a team does not need goes to the other teams.
quota_amounts divide_fairly(std::int64_t pool, quota_amounts wanted, const quota_amounts& weights) {
    quota_amounts allotted;
    while (pool > 0 && !wanted.empty()) {
        std::int64_t weight_sum = 0;
        for (const auto& [team, amount] : wanted) {
            weight_sum += std::max<std::int64_t>(1, get_amount(weights, team));
        }
        std::int64_t distributed = 0;
        bool is_any_satisfied = false;
        for (auto one = wanted.begin(); one != wanted.end();) {
            const auto weight = std::max<std::int64_t>(1, get_amount(weights, one->first));
            const auto part = std::min(one->second, pool * weight / weight_sum);
            allotted[one->first] += part;
            distributed += part;
            one->second -= part;
            const bool is_satisfied = one->second == 0;
            is_any_satisfied = is_any_satisfied || is_satisfied;
            one = is_satisfied ? wanted.erase(one) : std::next(one);
        }
        pool -= distributed;
        if (!is_any_satisfied) {
            break;
        }
    }
    return allotted;
}

}  // namespace

quota_allowance quota_plan::get_allowance(const team_id& team) const {
    const auto found = allowances.find(team);
    return found == allowances.end() ? quota_allowance{} : found->second;
}

quota_amounts fit_quotas(const quota_amounts& quotas, std::int64_t capacity) {
    std::int64_t total = 0;
    for (const auto& [team, quota] : quotas) {
        total += quota;
    }
    if (capacity <= 0 || total <= capacity) {
        return quotas;
    }
    quota_amounts fitted;
    for (const auto& [team, quota] : quotas) {
        fitted[team] = quota * capacity / total;
    }
    return fitted;
}

quota_amounts compute_floors(const quota_amounts& quotas, std::size_t members) {
    quota_amounts floors;
    for (const auto& [team, quota] : quotas) {
        floors[team] = quota / (floor_divisor * static_cast<std::int64_t>(std::max<std::size_t>(1, members)));
    }
    return floors;
}

quota_amounts compute_shares(const quota_amounts& quotas, const process_id& self,
                             const std::vector<member_demand>& members) {
    const bool is_listed = std::any_of(members.begin(), members.end(),
                                       [&](const member_demand& one) { return one.member == self; });
    const auto count = static_cast<std::int64_t>(members.size()) + (is_listed ? 0 : 1);
    const auto floors = compute_floors(quotas, static_cast<std::size_t>(count));
    quota_amounts shares;
    for (const auto& [team, quota] : quotas) {
        std::int64_t own_demand = 0;
        std::int64_t total_demand = 0;
        for (const auto& one : members) {
            const auto demand = get_amount(one.demand, team);
            total_demand += demand;
            own_demand += one.member == self ? demand : 0;
        }
        const auto floor = floors.at(team);
        const auto rest = quota - floor * count;
        shares[team] = floor + (total_demand == 0 ? rest / count : rest * own_demand / total_demand);
    }
    return shares;
}

quota_plan make_quota_plan(const quota_amounts& shares, const quota_amounts& demand,
                           std::int64_t lend_permille) {
    quota_plan plan;
    std::int64_t unused = 0;
    quota_amounts wanted;
    for (const auto& [team, share] : shares) {
        const auto amount = get_amount(demand, team);
        unused += std::max<std::int64_t>(0, share - amount);
        if (amount > share) {
            wanted[team] = amount - share;
        }
        plan.allowances[team].own = share;
        plan.own_total += share;
    }
    for (const auto& [team, amount] : divide_fairly(unused * lend_permille / 1000, wanted, shares)) {
        plan.allowances[team].lent = amount;
    }
    return plan;
}

}  // namespace jacinthvane
