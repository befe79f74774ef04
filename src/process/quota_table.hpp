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
    // Share of the unused amounts that is lent. Everything in use can exceed the sum of the shares by at most
    // this part of it, and only until borrowed work ends.
    std::int64_t lend_permille = 500;
    // Longest time that a change of demand takes to reach all members. A share shrinks at once and grows only
    // after this time, so shares computed from lists of different age do not add up to more than the quota.
    std::chrono::milliseconds settle{8000};
    // Share of the demand that is kept for each update without use.
    std::int64_t demand_kept_permille = 800;

    bool operator==(const quota_settings&) const = default;
};

// What the teams use on this process, against the plan. A request costs one lookup under the lock and no call
// to the store. Thread-safe.
class quota_table {
public:
    explicit quota_table(process_id self, quota_settings settings = {});

    // Makes a new plan; called about once a second and on every change of the members or quotas.
    void update(const quota_amounts& quotas, const std::vector<member_demand>& members, time_point now);

    // Takes the amount if the team's own share has room, or if the lent part has and the process as a whole
    // does not exceed its shares. What was taken is given back when the task ends.
    bool try_take(const team_id& team, std::int64_t amount);
    void give_back(const team_id& team, std::int64_t amount);

    // Counts work that was adopted from a previous owner. It runs already, so it is never refused.
    void take_running(const team_id& team, std::int64_t amount);

    // Returns what the teams used or were refused since the last update, for gossip.
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
