#include "standin/platform_upstreams.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/async_signal.hpp"
#include "connection/json_response.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane::standin {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t clock_start_ms = 1000;
// Longest time for which a waiting list call overlooks a run that was started meanwhile.
constexpr milliseconds wait_step{100};
constexpr int conflict_status = 409;
constexpr std::int64_t reported_tail_ms = 20;
constexpr std::int64_t reported_processors_milli = 1500;

}  // namespace

class platform_upstreams::simulated_upstream {
public:
    explicit simulated_upstream(std::string name) : name_(std::move(name)) {}

    awaitable<http_response> handle(http_request request) {
        const auto body = json::parse(request.body, nullptr, false);
        end_finished_runs();
        const auto token = body.value("Fence", std::uint64_t{0});
        if (token < token_) {
            co_return make_json_response(conflict_status, {{"ClockMs", read_clock()}, {"Reason", "fence"}});
        }
        token_ = token;
        const auto until = body.value("UntilMs", std::int64_t{0});
        extend_lease(until);
        const auto path = request.get_path();
        if (path == "/-/run-start") {
            if (const char* reason = start(body); reason != nullptr) {
                co_return make_json_response(conflict_status,
                                             {{"ClockMs", read_clock()}, {"Reason", reason}});
            }
        } else if (path == "/-/run-stop") {
            stop(body);
        } else if (path == "/-/hold") {
            co_return co_await list(body);
        }
        co_return make_json_response(200, {{"ClockMs", read_clock()}});
    }

    std::uint64_t get_start_count() const { return starts_; }
    std::uint64_t get_end_count() const { return ends_; }

    std::vector<observed_run> get_runs() const {
        std::lock_guard lock(mutex_);
        return observed_;
    }

    time_point get_lease_end() const {
        std::lock_guard lock(mutex_);
        return observed_running_ > 0 ? observed_lease_end_ : time_point::max();
    }

private:
    struct simulated_run {
        std::uint64_t number = 0;
        // When the task is done; max for a task that runs until it is stopped.
        time_point done_at;
        // Position in observed_.
        std::size_t position = 0;
    };

    std::int64_t read_clock() const {
        const auto up = std::chrono::steady_clock::now() - booted_at_;
        return clock_start_ms + std::chrono::duration_cast<milliseconds>(up).count();
    }

    // When the lease ends; max if none was granted yet.
    time_point get_lease_limit() const {
        return lease_until_ > 0 ? booted_at_ + milliseconds(lease_until_ - clock_start_ms)
                                : time_point::max();
    }

    void extend_lease(std::int64_t until) {
        lease_until_ = std::max(lease_until_, until);
        std::lock_guard lock(mutex_);
        observed_lease_end_ = get_lease_limit();
    }

    // Returns why the start is refused, or null if the run exists now.
    const char* start(const json& body) {
        const auto task = body.value("Task", std::string());
        const auto number = body.value("RunId", std::uint64_t{0});
        if (body.value("UntilMs", std::int64_t{0}) < read_clock()) {
            return "late";
        }
        if (const auto running = runs_.find(task); running != runs_.end()) {
            return running->second.number == number ? nullptr : "old";
        }
        // A repeated order must not start a run again that has ended, or one that was stopped before.
        if (const auto found = excluded_.find(task); found != excluded_.end() && number <= found->second) {
            return "old";
        }
        const auto work_ms = std::atoll(body.value("Spec", std::string("0")).c_str());
        const auto now = std::chrono::steady_clock::now();
        const auto done_at = work_ms > 0 ? now + milliseconds(work_ms) : time_point::max();
        ++starts_;
        std::lock_guard lock(mutex_);
        runs_.emplace(task, simulated_run{number, done_at, observed_.size()});
        observed_run run;
        run.task = task;
        run.number = number;
        run.upstream = name_;
        run.started_at = now;
        observed_.push_back(run);
        ++observed_running_;
        return nullptr;
    }

    void stop(const json& body) {
        const auto task = body.value("Task", std::string());
        const auto number = body.value("RunId", std::uint64_t{0});
        exclude(task, number);
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.number <= number) {
            end_run(task, "stopped", std::chrono::steady_clock::now());
        }
    }

    void exclude(const std::string& task, std::uint64_t number) {
        auto& excluded = excluded_[task];
        excluded = std::max(excluded, number);
    }

    void end_run(const std::string& task, const char* how, time_point ended_at) {
        const auto found = runs_.find(task);
        const auto run = found->second;
        exclude(task, run.number);
        ended_.push_back(json::array({next_end_++, task, run.number, how, ""}));
        runs_.erase(found);
        ++ends_;
        std::lock_guard lock(mutex_);
        observed_[run.position].ended_at = ended_at;
        observed_[run.position].how = how;
        --observed_running_;
    }

    // Ends the runs that are done and, once the lease has ended, all others. A run that was done before the
    // lease ended counts as done, even if it is looked at later.
    void end_finished_runs() {
        const auto now = std::chrono::steady_clock::now();
        const auto lease_limit = get_lease_limit();
        std::vector<std::pair<std::string, time_point>> finished;
        for (const auto& [task, run] : runs_) {
            if (std::min(run.done_at, lease_limit) <= now) {
                finished.emplace_back(task, run.done_at);
            }
        }
        for (const auto& [task, done_at] : finished) {
            const bool is_done = done_at <= lease_limit;
            end_run(task, is_done ? "done" : "lapsed", std::min(done_at, lease_limit));
        }
    }

    awaitable<http_response> list(json body) {
        const auto acknowledged = body.value("Acked", std::uint64_t{0});
        std::erase_if(ended_, [&](const json& row) { return row[0].get<std::uint64_t>() <= acknowledged; });
        const auto wait_ms = body.value("WaitMs", std::int64_t{0});
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait_ms);
        while (ended_.empty() && std::chrono::steady_clock::now() < deadline) {
            auto next = std::min(deadline, std::chrono::steady_clock::now() + wait_step);
            for (const auto& [task, run] : runs_) {
                next = std::min({next, run.done_at, get_lease_limit()});
            }
            co_await wait_until(next);
            end_finished_runs();
        }
        json running = json::array();
        for (const auto& [task, run] : runs_) {
            const bool is_serving = run.done_at == time_point::max();
            running.push_back(json::array({task, run.number, "", is_serving ? 100 : 50,
                                           is_serving ? reported_tail_ms : reported_processors_milli}));
        }
        co_return make_json_response(200,
                                     {{"ClockMs", read_clock()}, {"Running", running}, {"Ended", ended_}});
    }

    const std::string name_;
    const time_point booted_at_ = std::chrono::steady_clock::now();
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t next_end_ = 1;
    std::map<std::string, simulated_run> runs_;
    std::vector<json> ended_;
    // Highest number of a run of the task that has ended or was stopped.
    std::map<std::string, std::uint64_t> excluded_;
    mutable ordered_mutex mutex_{lock_rank::standin};
    // Guarded by mutex_.
    std::vector<observed_run> observed_;
    std::size_t observed_running_ = 0;
    time_point observed_lease_end_ = time_point::max();
    // Read by other threads.
    std::atomic<std::uint64_t> starts_ = 0;
    std::atomic<std::uint64_t> ends_ = 0;
};

platform_upstreams::platform_upstreams(asio::io_context& context, std::size_t count) : context_(context) {
    for (std::size_t i = 0; i < count; ++i) {
        upstreams_.push_back(std::make_shared<simulated_upstream>("u" + std::to_string(i)));
    }
}

platform_upstreams::~platform_upstreams() = default;

absl::StatusOr<std::vector<upstream_entry>> platform_upstreams::listen() {
    constexpr std::size_t upstreams_per_rack = 20;
    constexpr std::int64_t processors_milli = 16000;
    constexpr std::int64_t memory_mb = 64000;
    std::vector<upstream_entry> entries;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        const auto handle = [upstream = upstreams_[i]](http_request request) {
            return upstream->handle(std::move(request));
        };
        servers_.push_back(std::make_unique<http_server>(context_, http_limits{}, handle));
        if (auto status = servers_.back()->listen("127.0.0.1:0"); !status.ok()) {
            return status;
        }
        upstream_entry entry;
        entry.id = upstream_id("u" + std::to_string(i));
        entry.service = "tree";
        entry.address = servers_.back()->get_address();
        entry.labels = {"a", "r" + std::to_string(i / upstreams_per_rack)};
        entry.capacity = resource_vector(processors_milli, memory_mb, 0, 0);
        entry.boot_unix_ms = 1;
        entries.push_back(entry);
    }
    return entries;
}

std::uint64_t platform_upstreams::get_start_count() const {
    std::uint64_t count = 0;
    for (const auto& upstream : upstreams_) {
        count += upstream->get_start_count();
    }
    return count;
}

std::uint64_t platform_upstreams::get_end_count() const {
    std::uint64_t count = 0;
    for (const auto& upstream : upstreams_) {
        count += upstream->get_end_count();
    }
    return count;
}

std::vector<observed_run> platform_upstreams::get_runs() const {
    std::vector<observed_run> runs;
    for (const auto& upstream : upstreams_) {
        const auto part = upstream->get_runs();
        runs.insert(runs.end(), part.begin(), part.end());
    }
    return runs;
}

time_point platform_upstreams::get_first_lease_end() const {
    auto first = time_point::max();
    for (const auto& upstream : upstreams_) {
        first = std::min(first, upstream->get_lease_end());
    }
    return first;
}

}  // namespace jacinthvane::standin
