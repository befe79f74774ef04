#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"
#include "process/quota_plan.hpp"

namespace jacinthvane {

struct quota_settings {
    // The share of the unused amounts that is lent. The total in use can exceed the sum of the shares by at
    // most this part of the sum, and only until the borrowing tasks end.
    std::int64_t lend_permille = 500;
    // The longest time that a change of demand takes to reach all members. A share shrinks at once and grows
    // only after this time, so that shares computed from lists of different ages do not add up to more than
    // the quota.
    std::chrono::milliseconds gossip_delay{8000};
    // The share of the demand that remains after each update without use.
    std::int64_t demand_kept_permille = 800;

    bool operator==(const quota_settings&) const = default;
};

// The amounts that the teams use on this process, limited by the plan. A request costs one lookup under the
// lock and no call to the store. Thread-safe.
class quota_table {
public:
    explicit quota_table(process_id self, quota_settings settings = {});

    // Computes a new plan. Must be called about once a second and on every change of the members or quotas.
    void update(const quota_amounts& quotas, const std::vector<member_demand>& members, time_point now);

    // Takes the amount if the team's share has room, or if the lent part has room and the total of the
    // process does not exceed its shares. The caller must call give_back when the task ends.
    bool try_take(const team_id& team, std::int64_t amount);
    void give_back(const team_id& team, std::int64_t amount);

    // Counts tasks that were adopted from a previous owner. They run already, so they are never refused.
    void take_running(const team_id& team, std::int64_t amount);

    // Returns the amounts that the teams used or were refused since the last update, for gossip.
    quota_amounts get_demand() const;

    std::int64_t get_used(const team_id& team) const;
    quota_plan get_plan() const;

private:
    struct usage {
        std::int64_t used = 0;
        std::int64_t peak = 0;
        std::int64_t refused = 0;
        std::int64_t demand = 0;
    };

    struct timed_shares {
        time_point at;
        quota_amounts shares;
    };

    process_id self_;
    quota_settings settings_;
    mutable ordered_mutex mutex_{lock_rank::quota};
    std::map<team_id, usage> usages_;
    std::int64_t used_total_ = 0;
    std::deque<timed_shares> recent_shares_;
    quota_plan plan_;
};

}  // namespace jacinthvane
