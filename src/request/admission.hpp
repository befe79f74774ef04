#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "process/clock.hpp"
#include "process/error_kind.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// Identifies one wait in the queue; assigned by the caller and never reused.
using admission_ticket = std::uint64_t;

struct admission_settings {
    // Limit for both classes together, so that the queue fits into the memory of an entry VM.
    std::size_t total_limit = 20000;
    std::size_t urgent_limit = 10000;
    std::size_t batch_limit = 15000;
    // Share of the limit of a class that the waiting requests of one team may use.
    std::size_t team_permille = 250;
    // After this many consecutive urgent takes, one batch request is taken first, so that batch work never
    // starves.
    std::uint32_t batch_turn = 32;

    bool operator==(const admission_settings&) const = default;
};

struct waiting_request {
    admission_ticket ticket = 0;
    team_id team;
    task_class work_class = task_class::urgent;
    resource_vector size;
    time_point enqueued_at;
    // Time by which the caller must have the response.
    time_point deadline;
    // Expected duration of the run; a request that can no longer finish before its deadline is not started.
    std::chrono::milliseconds expected_run{0};
    // An accepted job is recorded in the journal and must not be shed.
    bool is_accepted_job = false;

    bool operator==(const waiting_request&) const = default;
};

struct admission_refusal {
    error_kind kind = error_kind::overloaded;
    std::chrono::milliseconds retry_after{0};

    bool operator==(const admission_refusal&) const = default;
};

struct admission_grant {
    std::chrono::milliseconds predicted_wait{0};
    // Batch requests that were removed to make room; the caller responds to each with overloaded, not-run.
    std::vector<waiting_request> shed;

    bool operator==(const admission_grant&) const = default;
};

using admission_decision = std::variant<admission_grant, admission_refusal>;

// Bounded queues of requests that wait for capacity, with weighted fair sharing between teams. Urgent
// requests are taken before batch requests; within a class, the team with the least work taken for its weight
// comes first; within a team, the older request, and among requests of about the same age the one with the
// earlier deadline. Not thread-safe: used under the admission lock.
class admission_queue {
public:
    explicit admission_queue(admission_settings settings = {});

    // Weights of teams that are not listed are 1.
    void set_team_weights(std::map<team_id, double> weights);

    // Adds a request to the queue or refuses it.
    admission_decision offer(waiting_request request, time_point now);

    // Removes and returns the next request that can_start accepts. Requests that can no longer finish in time
    // are moved to the list that remove_expired returns.
    std::optional<waiting_request> take_next(time_point now,
                                             const std::function<bool(const waiting_request&)>& can_start);

    // Removes a request whose caller no longer waits. Returns false if the request is not in the queue.
    bool cancel(admission_ticket ticket);

    // Removes and returns the requests that can no longer finish in time; the caller responds to each with
    // deadline_unreachable, not-run.
    std::vector<waiting_request> remove_expired(time_point now);

    // Returns the earliest time at which a waiting request can no longer finish, for the caller's timer.
    std::optional<time_point> get_next_expiry() const;

    // Returns the expected wait of a new request of the team, or 0 if the class has no waiting requests or
    // too few takes for an estimate.
    std::chrono::milliseconds predict_wait(const team_id& team, task_class work_class, time_point now) const;

    std::size_t get_count(task_class work_class) const { return counts_[get_position(work_class)]; }
    std::size_t get_team_count(const team_id& team, task_class work_class) const;

private:
    // Sort key of the requests of one team and class.
    struct wait_key {
        std::int64_t age_band = 0;
        time_point deadline;
        admission_ticket ticket = 0;

        auto operator<=>(const wait_key&) const = default;
    };

    struct entry {
        waiting_request request;
        wait_key key;
        std::uint32_t overtaken = 0;
    };

    struct team_queue {
        std::array<std::map<wait_key, admission_ticket>, 2> waiting;
        // Work taken, divided by the weight.
        double served = 0;
        double weight = 1;
    };

    static std::size_t get_position(task_class work_class) {
        return work_class == task_class::urgent ? 0 : 1;
    }

    std::optional<admission_refusal> check_bounds(const waiting_request& request) const;
    bool can_make_room_by_shedding(const waiting_request& request) const;
    std::optional<waiting_request> shed_one();
    std::optional<waiting_request> take_from(task_class work_class, time_point now,
                                             const std::function<bool(const waiting_request&)>& can_start);
    void record_take(time_point now, task_class work_class);
    waiting_request remove(admission_ticket ticket);
    void move_expired(time_point now);

    // Rate of takes while requests were waiting. Times with an empty queue are left out, since they give no
    // information about the capacity.
    struct drain_rate {
        double takes = 0;
        double seconds = 0;
        std::optional<time_point> busy_since;
    };

    admission_settings settings_;
    std::map<team_id, double> weights_;
    std::map<team_id, team_queue> teams_;
    std::unordered_map<admission_ticket, entry> entries_;
    std::set<std::pair<time_point, admission_ticket>> expiries_;
    std::vector<waiting_request> expired_;
    std::array<std::size_t, 2> counts_{};
    std::array<drain_rate, 2> rates_;
    double served_floor_ = 0;
    std::uint32_t urgent_takes_ = 0;
};

}  // namespace jacinthvane
