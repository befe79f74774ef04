#include "process/quota_table.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace jacinthvane {

quota_table::quota_table(process_id self, quota_settings settings)
    : self_(std::move(self)), settings_(settings) {}

void quota_table::update(const quota_amounts& quotas, const std::vector<member_demand>& members,
                         time_point now) {
    std::lock_guard lock(mutex_);
    quota_amounts demand;
    for (auto& [team, team_usage] : usages_) {
        team_usage.demand = std::max(team_usage.peak + team_usage.refused,
                                     team_usage.demand * settings_.demand_kept_permille / 1000);
        team_usage.peak = team_usage.used;
        team_usage.refused = 0;
        demand[team] = team_usage.demand;
    }
    if (recent_shares_.empty()) {
        recent_shares_.push_back({.at = now, .shares = compute_floors(quotas, members.size() + 1)});
    }
    while (recent_shares_.size() > 1 && recent_shares_.front().at + settings_.gossip_delay < now) {
        recent_shares_.pop_front();
    }
    recent_shares_.push_back({.at = now, .shares = compute_shares(quotas, self_, members)});
    auto shares = recent_shares_.back().shares;
    for (const auto& older : recent_shares_) {
        for (auto& [team, share] : shares) {
            const auto found = older.shares.find(team);
            if (found != older.shares.end()) {
                share = std::min(share, found->second);
            }
        }
    }
    plan_ = make_quota_plan(shares, demand, settings_.lend_permille);
}

bool quota_table::try_take(const team_id& team, std::int64_t amount) {
    std::lock_guard lock(mutex_);
    const auto found = plan_.allowances.find(team);
    if (found == plan_.allowances.end()) {
        return false;
    }
    const auto& allowance = found->second;
    auto& team_usage = usages_[team];
    const auto after = team_usage.used + amount;
    const bool has_own_room = after <= allowance.own;
    const bool has_lent_room =
        after <= allowance.own + allowance.lent && used_total_ + amount <= plan_.own_total;
    if (!has_own_room && !has_lent_room) {
        // A refused request shows that the team needs more. The sum is bounded, since retries of the same
        // request would otherwise raise the demand without limit.
        team_usage.refused = std::min(team_usage.refused + amount, allowance.own + amount);
        return false;
    }
    team_usage.used = after;
    team_usage.peak = std::max(team_usage.peak, after);
    used_total_ += amount;
    return true;
}

void quota_table::give_back(const team_id& team, std::int64_t amount) {
    std::lock_guard lock(mutex_);
    usages_[team].used -= amount;
    used_total_ -= amount;
}

void quota_table::take_running(const team_id& team, std::int64_t amount) {
    std::lock_guard lock(mutex_);
    auto& team_usage = usages_[team];
    team_usage.used += amount;
    team_usage.peak = std::max(team_usage.peak, team_usage.used);
    used_total_ += amount;
}

quota_amounts quota_table::get_demand() const {
    std::lock_guard lock(mutex_);
    quota_amounts demand;
    for (const auto& [team, team_usage] : usages_) {
        demand[team] = std::max(team_usage.demand, team_usage.peak + team_usage.refused);
    }
    return demand;
}

std::int64_t quota_table::get_used(const team_id& team) const {
    std::lock_guard lock(mutex_);
    const auto found = usages_.find(team);
    return found == usages_.end() ? 0 : found->second.used;
}

quota_plan quota_table::get_plan() const {
    std::lock_guard lock(mutex_);
    return plan_;
}

}  // namespace jacinthvane
