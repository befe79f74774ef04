#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// A run of a task that an upstream started.
struct logged_start {
    upstream_id upstream;
    task_id task;
    std::uint64_t generation = 0;
    // The idempotency key, if the body of the task names one.
    std::string key;
    std::int64_t at_ms = 0;

    bool operator==(const logged_start&) const = default;
};

struct logged_upstream {
    resource_vector size;
    resource_vector most_committed;
    std::size_t overcommitted_starts = 0;

    bool operator==(const logged_upstream&) const = default;
};

// The runs on all upstreams of one fleet. Upstreams refuse nothing because of it; tests read it to detect
// overcommitted upstreams and concurrent runs of one task.
class start_log {
public:
    struct snapshot {
        std::vector<logged_start> starts;
        std::map<upstream_id, logged_upstream> upstreams;
        std::size_t overcommitted_starts = 0;
        // Tasks that had two runs at the same time, on two upstreams or on one.
        std::vector<task_id> concurrent_tasks;
    };

    void add_upstream(const upstream_id& upstream, const resource_vector& size);
    void record_start(const logged_start& start, const resource_vector& committed);
    void record_end(const upstream_id& upstream, const task_id& task);

    // Returns the upstreams on which the task runs according to the log. An upstream that was not advanced to
    // the current time may be listed although the run has ended.
    std::vector<upstream_id> get_running(const task_id& task) const;
    snapshot get_snapshot() const;

private:
    mutable ordered_mutex mutex_{lock_rank::signal};
    std::vector<logged_start> starts_;
    std::map<upstream_id, logged_upstream> upstreams_;
    std::map<task_id, std::multiset<upstream_id>> running_;
    std::set<task_id> concurrent_tasks_;
};

}  // namespace jacinthvane
