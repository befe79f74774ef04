#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/start_log.hpp"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"
#include "process/upstream_types.hpp"

namespace jacinthvane {

// The run time of a task of the first kind when it is co-located with one of the second kind, in permille of
// its run time alone.
using slowdown_table = std::map<std::pair<task_kind, task_kind>, std::int64_t>;

// Injected faults of one upstream. They can be changed while it runs.
struct upstream_faults {
    bool fails_every_start = false;
    bool is_leaving = false;
    // Makes no progress and sends no responses until it resumes; calls received meanwhile are then executed.
    bool is_paused = false;
    // The VM has failed: its tasks have ended and it sends no responses.
    bool is_dead = false;
    // The number of next calls that are executed but whose responses are lost.
    std::int64_t responses_to_lose = 0;
    // The number of next calls that are neither executed nor get a response.
    std::int64_t calls_to_ignore = 0;

    bool operator==(const upstream_faults&) const = default;
};

// An in-memory simulation of one upstream: tasks under leases, delayed usage reports and checkpoints. It is
// the engine of the upstream stand-in and the upstream of tests without sockets. It has no safeguards against
// overcommitment: a start order is refused only if it is late, if the upstream is leaving or if the request
// is invalid.
//
// If the body of a task is a JSON object, these fields control the task: run_ms (run time alone, default 20),
// answer (body of the response), answer_bytes (length to which that body is padded), fail (the task fails at
// its end), bad (the request is refused as invalid), key (the idempotency key, for the log).
class memory_upstream {
public:
    // An empty reply means that no response is sent.
    template <typename T>
    using reply = std::optional<absl::StatusOr<T>>;

    struct settings {
        upstream_id upstream;
        resource_vector size;
        // The time of the upstream's clock when the machine's clock is at zero.
        std::int64_t clock_offset_ms = 0;
        std::chrono::milliseconds usage_lag{3000};
        std::shared_ptr<const slowdown_table> slowdowns = std::make_shared<slowdown_table>();
    };

    memory_upstream(const settings& given, std::shared_ptr<start_log> log);

    awaitable<reply<upstream_list>> list();
    // Calls advance_other_upstreams with the task before it starts, so that runs of the task that have ended
    // on other upstreams are recorded in the log.
    awaitable<reply<start_result>> start(start_call call,
                                         std::function<void(const task_id&)> advance_other_upstreams);
    awaitable<reply<task_state>> renew(task_id task, std::uint64_t generation,
                                       std::int64_t lease_deadline_ms);
    awaitable<reply<std::string>> checkpoint(task_id task, std::uint64_t generation);
    awaitable<reply<task_state>> throttle(task_id task, std::uint64_t generation, std::int64_t percent);
    awaitable<reply<stop_result>> stop(task_id task, std::uint64_t generation);
    awaitable<reply<usage_response>> get_usage();

    void set_faults(const upstream_faults& faults);
    upstream_faults get_faults() const;
    void set_slowdowns(std::shared_ptr<const slowdown_table> slowdowns);
    // Advances the tasks and the log to the current time.
    void advance_to_now();

private:
    struct held_task {
        listed_task listed;
        bool is_waiting = false;
        bool fails = false;
        double run_ms = 0;
        double done_ms = 0;
        double speed = 1;
        std::int64_t percent = 100;
        time_point started_at;
        time_point ended_at;
        std::uint64_t number = 0;
        std::string response;
    };
    struct end_check {
        std::optional<held_task> ended;
        time_point recheck_at;
    };

    // Waits until the upstream is not paused. Returns false if the call has to be ignored.
    awaitable<bool> admit_call();
    // Returns whether the response to an executed call is lost, and counts down responses_to_lose.
    bool take_response_loss();
    std::int64_t read_clock(time_point now) const;
    resource_vector get_committed() const;
    double get_slowdown(const held_task& task) const;
    time_point find_next_event(time_point now) const;
    void advance(time_point now);
    void end_task(held_task& task, task_state state, time_point now);
    void add_sample(const held_task& task, time_point at);
    void prune_ended_tasks(time_point now);
    held_task* find(const task_id& task, std::uint64_t generation);
    absl::StatusOr<held_task> make_task(const start_call& call) const;
    end_check check_for_end(std::uint64_t number);

    settings settings_;
    std::shared_ptr<start_log> log_;
    mutable ordered_mutex mutex_{lock_rank::standin};
    async_signal changed_;
    upstream_faults faults_;
    std::vector<held_task> tasks_;
    std::deque<std::pair<time_point, usage_sample>> samples_;
    time_point advanced_to_;
    std::uint64_t last_number_ = 0;
};

}  // namespace jacinthvane
