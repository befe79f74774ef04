#include "connection/memory_upstreams.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

#include "connection/async_signal.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// The time from a stop order to the end of the run.
constexpr milliseconds stop_duration{100};
constexpr std::int64_t checkpoint_interval_ms = 500;

std::int64_t to_ms(time_point::duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

memory_upstreams::memory_upstreams(clock_source clock, task_model model)
    : clock_(std::move(clock)), model_(std::move(model)) {}

void memory_upstreams::add(const upstream_entry& entry) {
    std::lock_guard lock(mutex_);
    auto& upstream = upstreams_[entry.id];
    upstream.entry = entry;
    upstream.booted_at = get_now(clock_) - milliseconds(1000);
}

void memory_upstreams::restart(const upstream_id& id, std::int64_t boot_unix_ms) {
    std::lock_guard lock(mutex_);
    auto entry = upstreams_[id].entry;
    entry.boot_unix_ms = boot_unix_ms;
    upstreams_[id] = simulated_upstream();
    upstreams_[id].entry = entry;
    upstreams_[id].booted_at = get_now(clock_) - milliseconds(1);
}

void memory_upstreams::set_partitioned(const upstream_id& id, bool is_partitioned) {
    std::lock_guard lock(mutex_);
    upstreams_[id].is_partitioned = is_partitioned;
}

void memory_upstreams::set_max_accepted_lease(milliseconds length) {
    std::lock_guard lock(mutex_);
    max_accepted_lease_ = length;
}

void memory_upstreams::set_failing(const upstream_id& id, bool is_failing) {
    std::lock_guard lock(mutex_);
    upstreams_[id].is_failing = is_failing;
}

memory_upstreams::simulated_upstream* memory_upstreams::find(const upstream_id& id) {
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() || found->second.is_partitioned ? nullptr : &found->second;
}

std::int64_t memory_upstreams::read_clock(const simulated_upstream& upstream) const {
    return to_ms(get_now(clock_) - upstream.booted_at);
}

std::int64_t memory_upstreams::get_done_ms(const simulated_run& run) const {
    return run.done_before_ms + to_ms(get_now(clock_) - run.started_at);
}

bool memory_upstreams::has_poll_connection(const std::string&) {
    return true;
}

awaitable<poll_response> memory_upstreams::poll(std::string address, poll_order order, std::uint64_t token,
                                                time_point deadline) {
    const auto until = std::min(deadline, std::chrono::steady_clock::now() + milliseconds(order.wait_ms));
    while (true) {
        const auto response = poll_now(address, order, token);
        const bool has_changes = response.result != order_result::accepted || !response.report.ended.empty();
        if (has_changes || std::chrono::steady_clock::now() >= until) {
            co_return response;
        }
        co_await wait_until(std::min(until, std::chrono::steady_clock::now() + milliseconds(10)));
    }
}

awaitable<order_response> memory_upstreams::send(std::string, upstream_order order, std::uint64_t token,
                                                 time_point) {
    co_return send_now(order, token);
}

void memory_upstreams::set_advice_time(milliseconds decide_time, milliseconds interval) {
    std::lock_guard lock(mutex_);
    decide_time_ = decide_time;
    advice_interval_ = interval;
}

awaitable<absl::StatusOr<advice_response>> memory_upstreams::advise(advice_request request,
                                                                    time_point deadline) {
    auto answers_at = std::chrono::steady_clock::now();
    {
        std::lock_guard lock(mutex_);
        answers_at += decide_time_ + advice_interval_ * request.upstreams.size();
    }
    co_await wait_until(std::min(answers_at, deadline));
    if (deadline < answers_at) {
        co_return make_error(error_kind::upstream_lost, "the advice service has not answered in time");
    }
    advice_response response;
    response.valid_ms = 3000;
    for (const auto& id : request.upstreams) {
        response.allowed.emplace_back(id, "ticket-" + id.get());
    }
    co_return response;
}

poll_response memory_upstreams::poll_now(const std::string&, const poll_order& order, std::uint64_t token) {
    std::lock_guard lock(mutex_);
    advance_locked();
    auto* upstream = find(order.upstream);
    poll_response response;
    if (upstream == nullptr) {
        return response;
    }
    if (token < upstream->token) {
        response.result = order_result::refused_token;
        return response;
    }
    upstream->token = token;
    if (order.lease_until_clock_ms > 0) {
        extend_lease(*upstream, order.lease_until_clock_ms);
    }
    for (const auto& row : upstream->ended) {
        if (row.number <= order.acknowledged_end && row.how == run_end::done) {
            acknowledged_[row.task] = true;
        }
    }
    std::erase_if(upstream->ended,
                  [&](const ended_row& row) { return row.number <= order.acknowledged_end; });
    response.result = order_result::accepted;
    response.report.clock_ms = read_clock(*upstream);
    response.report.boot_unix_ms = upstream->entry.boot_unix_ms;
    response.report.ended = upstream->ended;
    for (const auto& [task, run] : upstream->runs) {
        // A run that is being stopped is in neither list until it has ended, but uses its capacity until
        // then.
        if (run.stops_at) {
            continue;
        }
        const auto percent = run.task.is_long_running
                                 ? 100
                                 : std::min<std::int64_t>(get_done_ms(run) * 100 / run.task.work_ms, 99);
        response.report.running.push_back(
            {task, run.run, std::string(), static_cast<std::int32_t>(percent), 0});
    }
    return response;
}

order_response memory_upstreams::send_now(const upstream_order& order, std::uint64_t token) {
    std::lock_guard lock(mutex_);
    advance_locked();
    const auto& id =
        std::visit([](const auto& specific) -> const upstream_id& { return specific.upstream; }, order);
    auto* upstream = find(id);
    if (upstream == nullptr) {
        return {order_result::unknown, 0};
    }
    if (token < upstream->token) {
        return {order_result::refused_token, read_clock(*upstream)};
    }
    upstream->token = token;
    if (const auto* start_request = std::get_if<start_order>(&order)) {
        return start(*upstream, *start_request);
    }
    if (const auto* stop_request = std::get_if<stop_order>(&order)) {
        return stop(*upstream, *stop_request);
    }
    return {order_result::accepted, read_clock(*upstream)};
}

void memory_upstreams::extend_lease(simulated_upstream& upstream, std::int64_t until_clock_ms) {
    const auto until =
        std::min(upstream.booted_at + milliseconds(until_clock_ms), get_now(clock_) + max_accepted_lease_);
    upstream.lease_until = std::max(upstream.lease_until, until);
}

order_response memory_upstreams::start(simulated_upstream& upstream, const start_order& order) {
    const auto clock = read_clock(upstream);
    if (order.lease_until_clock_ms < clock) {
        return {order_result::refused_late, clock};
    }
    extend_lease(upstream, order.lease_until_clock_ms);
    const auto running = upstream.runs.find(order.task);
    if (running != upstream.runs.end()) {
        const bool is_same = running->second.run == order.run;
        return {is_same ? order_result::accepted : order_result::refused_outdated, clock};
    }
    const auto excluded = upstream.excluded.find(order.task);
    if (excluded != upstream.excluded.end() && order.run <= excluded->second) {
        return {order_result::refused_outdated, clock};
    }
    const auto task = model_(order.task);
    check_start(upstream, order, task);
    simulated_run run;
    run.run = order.run;
    run.task = task;
    run.started_at = get_now(clock_);
    run.done_before_ms = order.checkpoint.empty() ? 0 : std::stoll(order.checkpoint);
    upstream.used = upstream.used + task.size;
    upstream.runs.emplace(order.task, run);
    ++starts_;
    return {order_result::accepted, clock};
}

void memory_upstreams::check_start(const simulated_upstream& upstream, const start_order& order,
                                   const simulated_task& task) {
    const auto name = order.task.to_string() + "/" + std::to_string(order.run);
    if (!(upstream.used + task.size).is_within(upstream.entry.capacity)) {
        violations_.push_back("start of " + name + " exceeds the capacity of " + upstream.entry.id.get());
    }
    for (const auto& [id, other] : upstreams_) {
        if (other.runs.contains(order.task)) {
            violations_.push_back("start of " + name + " while it runs on " + id.get());
        }
    }
    if (acknowledged_.contains(order.task) && !task.is_long_running) {
        violations_.push_back("start of " + name + " after its end as done was acknowledged");
    }
}

order_response memory_upstreams::stop(simulated_upstream& upstream, const stop_order& order) {
    auto& excluded = upstream.excluded[order.task];
    excluded = std::max(excluded, order.run);
    const auto found = upstream.runs.find(order.task);
    if (found != upstream.runs.end() && found->second.run <= order.run && !found->second.stops_at) {
        found->second.stops_at = get_now(clock_) + stop_duration;
    }
    return {order_result::accepted, read_clock(upstream)};
}

void memory_upstreams::end_run(simulated_upstream& upstream, const task_ref& task, run_end how) {
    const auto found = upstream.runs.find(task);
    const auto& run = found->second;
    std::string checkpoint;
    if (run.task.saves_checkpoints && how != run_end::done) {
        const auto saved = get_done_ms(run) / checkpoint_interval_ms * checkpoint_interval_ms;
        checkpoint = saved > 0 ? std::to_string(saved) : std::string();
    }
    upstream.ended.push_back({upstream.next_end++, task, run.run, how, checkpoint});
    auto& excluded = upstream.excluded[task];
    excluded = std::max(excluded, run.run);
    upstream.used = upstream.used - run.task.size;
    upstream.runs.erase(found);
}

void memory_upstreams::advance() {
    std::lock_guard lock(mutex_);
    advance_locked();
}

void memory_upstreams::advance_locked() {
    const auto now = get_now(clock_);
    for (auto& [id, upstream] : upstreams_) {
        std::vector<std::pair<task_ref, run_end>> ends;
        for (const auto& [task, run] : upstream.runs) {
            const bool is_finished = !run.task.is_long_running && get_done_ms(run) >= run.task.work_ms;
            if (now >= upstream.lease_until) {
                ends.emplace_back(task, run_end::lapsed);
            } else if (run.stops_at && now >= *run.stops_at) {
                ends.emplace_back(task, run_end::stopped);
            } else if (is_finished && (upstream.is_failing || failed_runs_[task] < run.task.failing_runs)) {
                ++failed_runs_[task];
                ends.emplace_back(task, run_end::failed);
            } else if (is_finished) {
                ends.emplace_back(task, run_end::done);
            }
        }
        for (const auto& [task, how] : ends) {
            end_run(upstream, task, how);
        }
    }
}

std::vector<std::string> memory_upstreams::get_violations() const {
    std::lock_guard lock(mutex_);
    return violations_;
}

std::size_t memory_upstreams::count_running() const {
    std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [id, upstream] : upstreams_) {
        count += upstream.runs.size();
    }
    return count;
}

std::size_t memory_upstreams::count_running(const upstream_id& id) const {
    std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? 0 : found->second.runs.size();
}

std::size_t memory_upstreams::get_start_count() const {
    std::lock_guard lock(mutex_);
    return starts_;
}

}  // namespace jacinthvane
