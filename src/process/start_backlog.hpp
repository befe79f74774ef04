#pragma once

#include <chrono>
#include <cstddef>

#include "process/clock.hpp"

namespace jacinthvane {

// Decides whether an owner can still start the tasks of new jobs in time. It cannot while tasks wait although
// there is room for them, since the owner has sent all start orders that its link carries: further jobs would
// only wait, and make those that are there late. Tasks that wait for room do not count. Not safe for
// concurrent use.
class start_backlog {
public:
    explicit start_backlog(time_point now) : updated_at_(now) {}

    // Records what was seen since the last call: the start orders that were accepted, and whether most
    // decisions left tasks waiting because of the link. The tasks are those that wait now.
    void update(time_point now, std::size_t starts, std::size_t waiting_tasks, bool is_bound);

    // Whether new jobs should be refused.
    bool is_refusing() const { return is_refusing_; }
    // Returns when new jobs will probably be accepted again; meaningful only while they are refused.
    time_point get_accepts_at() const { return accepts_at_; }
    // Returns how long the last task that waits now will wait for its start.
    std::chrono::milliseconds get_expected_wait() const { return expected_wait_; }

    bool operator==(const start_backlog&) const = default;

private:
    time_point updated_at_;
    // Moving average over the times in which the link was the bound.
    double starts_per_second_ = 0;
    std::chrono::milliseconds expected_wait_{0};
    bool is_refusing_ = false;
    time_point accepts_at_;
};

}  // namespace jacinthvane
