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

// The run time of a task of the first kind beside one of the second, in thousandths of its run time alone.
using slowdown_table = std::map<std::pair<task_kind, task_kind>, std::int64_t>;

// Faults of one upstream. They can be changed while it runs.
struct upstream_faults {
    bool fails_every_start = false;
    bool is_leaving = false;
    // Does nothing and answers nothing until it goes on; calls made meanwhile are then carried out.
    bool is_paused = false;
    // The VM is gone: its tasks have ended and nothing is answered.
    bool is_dead = false;
    // Calls that will be carried out without an answer.
    std::int64_t answers_to_lose = 0;
    // Calls that will be neither carried out nor answered.
    std::int64_t calls_to_ignore = 0;

    bool operator==(const upstream_faults&) const = default;
};

// The rules of one upstream, held in memory: tasks under leases, late usage, checkpoints. It is the engine of
// the upstream stand-in and serves tests without sockets. It has no safeguards: a start is refused only when
// it is late, when the upstream is leaving or when the request is wrong.
//
// A task whose body is a JSON object is shaped by these fields: run_ms (run time alone, default 20), answer
// (text of the answer), answer_bytes (length to which the answer is padded), fail (the task fails at its
// end), bad (the request is refused as wrong), key (the idempotency key, for the log).
class memory_upstream {
public:
    // A reply that is absent is never sent.
    template <typename T>
    using reply = std::optional<absl::StatusOr<T>>;

    struct settings {
        upstream_id upstream;
        resource_vector size;
        // Reading of the upstream's clock when the machine's clock reads zero.
        std::int64_t clock_offset_ms = 0;
        std::chrono::milliseconds usage_lag{3000};
        std::shared_ptr<const slowdown_table> slowdowns = std::make_shared<slowdown_table>();
    };

    memory_upstream(const settings& given, std::shared_ptr<start_log> log);

    awaitable<reply<upstream_list>> list();
    // settle_elsewhere is called with the task before it starts, so that the log knows of ends on other
    // upstreams.
    awaitable<reply<start_result>> start(start_call call,
                                         std::function<void(const task_id&)> settle_elsewhere);
    awaitable<reply<task_state>> renew(task_id task, std::uint64_t generation,
                                       std::int64_t lease_deadline_ms);
    awaitable<reply<std::string>> checkpoint(task_id task, std::uint64_t generation);
    awaitable<reply<task_state>> throttle(task_id task, std::uint64_t generation, std::int64_t percent);
    awaitable<reply<stop_result>> stop(task_id task, std::uint64_t generation);
    awaitable<reply<usage_answer>> get_usage();

    void set_faults(const upstream_faults& faults);
    upstream_faults get_faults() const;
    void set_slowdowns(std::shared_ptr<const slowdown_table> slowdowns);
    // Brings the tasks up to the present, and the log with them.
    void settle();

private:
    struct held_task {
        listed_task shown;
        bool is_waiting = false;
        bool fails = false;
        double run_ms = 0;
        double done_ms = 0;
        double speed = 1;
        std::int64_t percent = 100;
        time_point started_at;
        time_point ended_at;
        std::uint64_t number = 0;
        std::string answer;
    };
    struct waiting_end {
        std::optional<held_task> ended;
        time_point look_again_at;
    };

    // Waits out a pause. Returns false if the call is to be ignored.
    awaitable<bool> enter();
    // Returns whether the answer of a call that was carried out is lost.
    bool loses_answer();
    std::int64_t read_clock(time_point now) const;
    resource_vector get_committed() const;
    double get_slowdown(const held_task& task) const;
    time_point find_next_event(time_point now) const;
    void advance(time_point now);
    void end_task(held_task& task, task_state state, time_point now);
    void add_sample(const held_task& task, time_point at);
    void forget_old(time_point now);
    held_task* find(const task_id& task, std::uint64_t generation);
    absl::StatusOr<held_task> make_task(const start_call& call) const;
    waiting_end look_for_end(std::uint64_t number);

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
