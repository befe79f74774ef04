#pragma once

#include <cstdint>
#include <string>

#include "process/clock.hpp"

namespace jacinthvane {

// What the owner of a cell did between two log lines, and how long its calls took. Tells a slow process from
// a slow store or upstream: a process that is slow itself is late for its timers. Not safe for concurrent
// use.
class owner_load {
public:
    // Longest and total time of one kind of work.
    struct time_sum {
        std::uint64_t count = 0;
        time_point::duration longest{};
        time_point::duration total{};

        bool operator==(const time_sum&) const = default;
        void add(time_point::duration time);
    };

    // A timer whose deadline was due ran at now.
    void add_timer(time_point due, time_point now);
    // A read of changed jobs returned this many changes.
    void add_watch(time_point::duration time, std::uint64_t changes);
    void add_failed_watch() { ++failed_watches_; }
    void add_commit(time_point::duration time, std::uint64_t jobs);
    // A decision checked this many placements of steps on upstreams, started this many tasks and changed this
    // many CPU limits.
    void add_decision(time_point::duration time, std::uint64_t placements, std::uint64_t starts,
                      std::uint64_t cpu_limits);
    void add_poll(time_point::duration time) { polls_.add(time); }
    // Polls that failed because the upstream did not respond, and because this process was late.
    void add_silent_poll() { ++silent_polls_; }
    void add_late_poll() { ++late_polls_; }
    // Answered a query of another process with a response of this size.
    void add_query(std::uint64_t bytes);
    void begin_order() { ++orders_in_flight_; }
    void end_order(time_point::duration time, bool is_sent);

    // Returns the fields of a log line and begins a new interval.
    std::string take_fields();

    bool operator==(const owner_load&) const = default;

private:
    time_sum timers_;
    time_sum watches_;
    time_sum commits_;
    time_sum decisions_;
    time_sum polls_;
    time_sum orders_;
    std::uint64_t evaluated_placements_ = 0;
    std::uint64_t decided_starts_ = 0;
    std::uint64_t decided_cpu_limits_ = 0;
    std::uint64_t watched_changes_ = 0;
    std::uint64_t failed_watches_ = 0;
    std::uint64_t committed_jobs_ = 0;
    std::uint64_t silent_polls_ = 0;
    std::uint64_t late_polls_ = 0;
    std::uint64_t unsent_orders_ = 0;
    std::uint64_t orders_in_flight_ = 0;
    std::uint64_t queries_ = 0;
    std::uint64_t query_bytes_ = 0;
};

}  // namespace jacinthvane
