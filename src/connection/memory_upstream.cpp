#include "connection/memory_upstream.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

#include <nlohmann/json.hpp>

#include "connection/upstream_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds ended_task_retention{60};
constexpr std::size_t max_ended_tasks = 512;
constexpr std::size_t max_samples = 4096;
constexpr double default_run_ms = 20;
constexpr std::size_t max_response_bytes = 16U << 20U;

std::chrono::nanoseconds to_duration(double ms) {
    // About three years. Much longer times would overflow the clock's type.
    constexpr double max_ms = 1e11;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(std::ceil(std::min(ms, max_ms) * 1e6)));
}

double to_ms(std::chrono::nanoseconds duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

template <typename T>
T read_field(const nlohmann::json& object, const char* name, T fallback) {
    if (!object.is_object()) {
        return fallback;
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    if constexpr (std::is_same_v<T, bool>) {
        return found->is_boolean() ? found->get<bool>() : fallback;
    } else if constexpr (std::is_same_v<T, double>) {
        return found->is_number() ? found->get<double>() : fallback;
    } else {
        return found->is_string() ? found->get<T>() : fallback;
    }
}

absl::Status make_unknown_task_error(const task_id& task) {
    return make_error(error_kind::not_found, "task " + task.get() + " does not run on this upstream");
}

}  // namespace

memory_upstream::memory_upstream(const settings& given, std::shared_ptr<start_log> log)
    : settings_(given), log_(std::move(log)), advanced_to_(std::chrono::steady_clock::now()) {
    log_->add_upstream(settings_.upstream, settings_.size);
}

awaitable<memory_upstream::reply<upstream_list>> memory_upstream::list() {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    const auto now = std::chrono::steady_clock::now();
    upstream_list response;
    {
        std::lock_guard lock(mutex_);
        advance(now);
        response.now_ms = read_clock(now);
        response.is_leaving = faults_.is_leaving;
        for (const auto& task : tasks_) {
            response.tasks.push_back(task.listed);
        }
    }
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return reply<upstream_list>(std::move(response));
}

awaitable<memory_upstream::reply<start_result>> memory_upstream::start(
    start_call call, std::function<void(const task_id&)> advance_other_upstreams) {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    advance_other_upstreams(call.task);
    absl::Status refusal;
    std::uint64_t number = 0;
    {
        std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        advance(now);
        auto task = make_task(call);
        if (faults_.is_leaving) {
            refusal = make_error(error_kind::upstream_leaving, settings_.upstream.get() + " is leaving");
        } else if (read_clock(now) > call.start_by_ms) {
            refusal = make_error(error_kind::upstream_too_late,
                                 "the start order for " + call.task.get() + " arrived " +
                                     std::to_string(read_clock(now) - call.start_by_ms) + " ms late");
        } else if (!task.ok()) {
            refusal = task.status();
        } else {
            number = ++last_number_;
            task->number = number;
            task->started_at = now;
            task->fails = task->fails || faults_.fails_every_start;
            if (faults_.fails_every_start) {
                task->run_ms = 0;
            }
            tasks_.push_back(*task);
            const auto body = nlohmann::json::parse(call.body, nullptr, false);
            log_->record_start({settings_.upstream, call.task, call.generation,
                                read_field<std::string>(body, "key", ""), read_clock(now)},
                               get_committed());
            advance(now);
        }
    }
    changed_.notify_all();
    const bool is_lost = take_response_loss();
    if (is_lost) {
        co_return std::nullopt;
    }
    if (!refusal.ok()) {
        co_return reply<start_result>(refusal);
    }
    if (!call.is_waiting) {
        co_return reply<start_result>(start_result(start_accepted{}));
    }
    while (true) {
        const auto seen = changed_.get_count();
        const auto state = check_for_end(number);
        if (!state.ended) {
            co_await changed_.wait(seen, state.recheck_at);
            continue;
        }
        const auto& ended = *state.ended;
        if (get_faults().is_dead) {
            co_return std::nullopt;
        }
        if (ended.listed.state != task_state::finished) {
            co_return reply<start_result>(
                make_error(error_kind::upstream_failed, "task " + call.task.get() + " " +
                                                            std::string(get_name(ended.listed.state)) +
                                                            " on " + settings_.upstream.get()));
        }
        co_return reply<start_result>(
            start_result(task_response{call.task, 200, "application/json", ended.response}));
    }
}

awaitable<memory_upstream::reply<task_state>> memory_upstream::renew(task_id task, std::uint64_t generation,
                                                                     std::int64_t lease_deadline_ms) {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    reply<task_state> result(make_unknown_task_error(task));
    {
        std::lock_guard lock(mutex_);
        advance(std::chrono::steady_clock::now());
        if (auto* held = find(task, generation)) {
            if (is_occupying(held->listed.state)) {
                // A delayed renewal of one owner must not shorten the lease that another owner has extended.
                held->listed.lease_deadline_ms = std::max(held->listed.lease_deadline_ms, lease_deadline_ms);
            }
            result = held->listed.state;
        }
    }
    changed_.notify_all();
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return result;
}

awaitable<memory_upstream::reply<std::string>> memory_upstream::checkpoint(task_id task,
                                                                           std::uint64_t generation) {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    reply<std::string> result(make_unknown_task_error(task));
    {
        std::lock_guard lock(mutex_);
        advance(std::chrono::steady_clock::now());
        auto* held = find(task, generation);
        if (held != nullptr && is_occupying(held->listed.state)) {
            held->listed.state = task_state::checkpointed;
            held->listed.checkpoint = nlohmann::json{{"done_ms", held->done_ms}}.dump();
            result = *held->listed.checkpoint;
        }
    }
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return result;
}

awaitable<memory_upstream::reply<task_state>> memory_upstream::throttle(task_id task,
                                                                        std::uint64_t generation,
                                                                        std::int64_t percent) {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    reply<task_state> result(make_unknown_task_error(task));
    {
        std::lock_guard lock(mutex_);
        advance(std::chrono::steady_clock::now());
        if (auto* held = find(task, generation)) {
            held->percent = percent;
            result = held->listed.state;
        }
        advance(std::chrono::steady_clock::now());
    }
    changed_.notify_all();
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return result;
}

awaitable<memory_upstream::reply<stop_result>> memory_upstream::stop(task_id task, std::uint64_t generation) {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    stop_result result;
    {
        std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        advance(now);
        if (auto* held = find(task, generation)) {
            if (is_occupying(held->listed.state)) {
                end_task(*held, task_state::stopped, now);
            }
            result = {held->listed.state, held->listed.checkpoint};
        }
    }
    changed_.notify_all();
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return reply<stop_result>(result);
}

awaitable<memory_upstream::reply<usage_response>> memory_upstream::get_usage() {
    if (!co_await admit_call()) {
        co_return std::nullopt;
    }
    usage_response response;
    {
        std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        advance(now);
        for (const auto& task : tasks_) {
            if (is_occupying(task.listed.state)) {
                add_sample(task, now);
            }
        }
        response.now_ms = read_clock(now);
        while (!samples_.empty() && samples_.front().first <= now - settings_.usage_lag) {
            response.samples.push_back(samples_.front().second);
            samples_.pop_front();
        }
    }
    if (take_response_loss()) {
        co_return std::nullopt;
    }
    co_return reply<usage_response>(std::move(response));
}

void memory_upstream::set_faults(const upstream_faults& faults) {
    {
        std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        advance(now);
        const bool is_dying = faults.is_dead && !faults_.is_dead;
        faults_ = faults;
        if (is_dying) {
            for (auto& task : tasks_) {
                if (is_occupying(task.listed.state)) {
                    end_task(task, task_state::stopped, now);
                }
            }
            // A VM that is restarted has no tasks.
            tasks_.clear();
        }
    }
    changed_.notify_all();
}

upstream_faults memory_upstream::get_faults() const {
    std::lock_guard lock(mutex_);
    return faults_;
}

void memory_upstream::set_slowdowns(std::shared_ptr<const slowdown_table> slowdowns) {
    {
        std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        advance(now);
        settings_.slowdowns = std::move(slowdowns);
        advance(now);
    }
    changed_.notify_all();
}

void memory_upstream::advance_to_now() {
    std::lock_guard lock(mutex_);
    advance(std::chrono::steady_clock::now());
}

awaitable<bool> memory_upstream::admit_call() {
    while (true) {
        const auto seen = changed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (faults_.is_dead) {
                co_return false;
            }
            if (!faults_.is_paused) {
                if (faults_.calls_to_ignore > 0) {
                    --faults_.calls_to_ignore;
                    co_return false;
                }
                co_return true;
            }
        }
        co_await changed_.wait(seen, time_point::max());
    }
}

bool memory_upstream::take_response_loss() {
    std::lock_guard lock(mutex_);
    if (faults_.responses_to_lose > 0) {
        --faults_.responses_to_lose;
        return true;
    }
    return faults_.is_dead;
}

std::int64_t memory_upstream::read_clock(time_point now) const {
    return settings_.clock_offset_ms +
           std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

resource_vector memory_upstream::get_committed() const {
    resource_vector sum;
    for (const auto& task : tasks_) {
        if (is_occupying(task.listed.state)) {
            sum = sum + task.listed.size;
        }
    }
    return sum;
}

double memory_upstream::get_slowdown(const held_task& task) const {
    double slowdown = 1;
    for (const auto& other : tasks_) {
        if (other.number == task.number || !is_occupying(other.listed.state)) {
            continue;
        }
        const auto found = settings_.slowdowns->find({task.listed.kind, other.listed.kind});
        if (found != settings_.slowdowns->end()) {
            slowdown *= static_cast<double>(found->second) / 1000;
        }
    }
    const auto committed = get_committed().get_processors_milli();
    const auto available = std::max<std::int64_t>(1, settings_.size.get_processors_milli());
    return slowdown * std::max(1.0, static_cast<double>(committed) / static_cast<double>(available));
}

time_point memory_upstream::find_next_event(time_point now) const {
    auto next = time_point::max();
    for (const auto& task : tasks_) {
        if (!is_occupying(task.listed.state)) {
            continue;
        }
        next = std::min(next,
                        now + std::chrono::milliseconds(task.listed.lease_deadline_ms - read_clock(now) + 1));
        if (!faults_.is_paused) {
            next = std::min(next, advanced_to_ + to_duration((task.run_ms - task.done_ms) / task.speed));
        }
    }
    return next;
}

void memory_upstream::advance(time_point now) {
    while (true) {
        for (auto& task : tasks_) {
            task.speed = static_cast<double>(task.percent) / 100 / get_slowdown(task);
        }
        // Advances in steps from event to event, since the end of a task changes the speed of the others.
        const auto step_end = std::min(now, std::max(advanced_to_, find_next_event(advanced_to_)));
        const auto passed = faults_.is_paused ? 0 : to_ms(step_end - advanced_to_);
        advanced_to_ = std::max(advanced_to_, step_end);
        bool has_ended = false;
        for (auto& task : tasks_) {
            if (!is_occupying(task.listed.state)) {
                continue;
            }
            task.done_ms += passed * task.speed;
            const bool is_done = !faults_.is_paused && task.run_ms - task.done_ms < 1e-6;
            if (is_done) {
                end_task(task, task.fails ? task_state::failed : task_state::finished, advanced_to_);
                has_ended = true;
            } else if (read_clock(advanced_to_) > task.listed.lease_deadline_ms) {
                end_task(task, task_state::stopped, advanced_to_);
                has_ended = true;
            }
        }
        if (!has_ended && advanced_to_ >= now) {
            break;
        }
    }
    prune_ended_tasks(now);
}

void memory_upstream::end_task(held_task& task, task_state state, time_point now) {
    add_sample(task, now);
    task.listed.state = state;
    task.ended_at = now;
    log_->record_end(settings_.upstream, task.listed.task);
}

void memory_upstream::add_sample(const held_task& task, time_point at) {
    const auto elapsed = to_ms(at - task.started_at);
    const auto work = std::max(0.001, task.done_ms);
    samples_.emplace_back(
        at, usage_sample{.task = task.listed.task,
                         .generation = task.listed.generation,
                         .kind = task.listed.kind,
                         .at_ms = read_clock(at),
                         .processors_milli = task.listed.size.get_processors_milli() * task.percent / 100,
                         .memory_mb = task.listed.size.get_memory_mb(),
                         .slowdown_permille = std::max<std::int64_t>(
                             1000, std::llround(std::min(1e6, elapsed / work) * 1000))});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

void memory_upstream::prune_ended_tasks(time_point now) {
    std::erase_if(tasks_, [&](const auto& task) {
        return !is_occupying(task.listed.state) && task.ended_at + ended_task_retention < now;
    });
    auto ended = static_cast<std::size_t>(std::count_if(
        tasks_.begin(), tasks_.end(), [](const auto& task) { return !is_occupying(task.listed.state); }));
    std::erase_if(tasks_, [&](const auto& task) {
        if (ended <= max_ended_tasks || is_occupying(task.listed.state)) {
            return false;
        }
        --ended;
        return true;
    });
}

memory_upstream::held_task* memory_upstream::find(const task_id& task, std::uint64_t generation) {
    held_task* match = nullptr;
    for (auto& held : tasks_) {
        const bool is_match = held.listed.task == task && held.listed.generation == generation;
        if (is_match && (match == nullptr || is_occupying(held.listed.state))) {
            match = &held;
        }
    }
    return match;
}

absl::StatusOr<memory_upstream::held_task> memory_upstream::make_task(const start_call& call) const {
    const auto body = nlohmann::json::parse(call.body, nullptr, false);
    if (read_field<bool>(body, "bad", false)) {
        return make_error(error_kind::bad_request,
                          "the body of task " + call.task.get() + " is marked as bad");
    }
    held_task task;
    task.listed = {.task = call.task,
                   .generation = call.generation,
                   .kind = call.kind,
                   .size = call.size,
                   .state = task_state::running,
                   .lease_deadline_ms = call.lease_deadline_ms,
                   .owner = call.owner,
                   .checkpoint = call.resume_from};
    task.is_waiting = call.is_waiting;
    task.fails = read_field<bool>(body, "fail", false);
    task.run_ms = std::max(0.0, read_field<double>(body, "run_ms", default_run_ms));
    task.response = read_field<std::string>(
        body, "answer",
        nlohmann::json{{"task", call.task.get()}, {"ran_on", settings_.upstream.get()}}.dump());
    const auto response_bytes =
        static_cast<std::size_t>(std::max(0.0, read_field<double>(body, "answer_bytes", 0)));
    task.response.resize(std::max(task.response.size(), std::min(max_response_bytes, response_bytes)), ' ');
    if (call.resume_from) {
        const auto state = nlohmann::json::parse(*call.resume_from, nullptr, false);
        task.done_ms = std::min(task.run_ms, read_field<double>(state, "done_ms", 0));
    }
    return task;
}

memory_upstream::end_check memory_upstream::check_for_end(std::uint64_t number) {
    std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    advance(now);
    const auto found =
        std::find_if(tasks_.begin(), tasks_.end(), [&](const auto& task) { return task.number == number; });
    if (found == tasks_.end()) {
        held_task removed;
        removed.listed.state = task_state::stopped;
        return {removed, now};
    }
    if (!is_occupying(found->listed.state)) {
        return {*found, now};
    }
    // A paused upstream notifies its waiters when it resumes.
    return {std::nullopt, faults_.is_paused ? time_point::max() : find_next_event(now)};
}

}  // namespace jacinthvane
