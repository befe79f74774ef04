#include "worker.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "base64.hpp"
#include "http.hpp"
#include "record.hpp"

namespace review {

namespace {

using nlohmann::json;

constexpr std::int64_t clock_start_ms = 1000;
constexpr std::chrono::milliseconds heartbeat_interval{1100};
constexpr std::int64_t entry_lease_ms = 3300;
constexpr std::chrono::milliseconds store_timeout{1000};
constexpr std::size_t max_listed_ends = 500;

class worker {
public:
    explicit worker(const worker_settings& settings)
        : settings_(settings), born_unix_ms_(read_unix_ms()), booted_at_ms_(read_clock_ms()) {}

    response handle(const request& call) {
        if (call.path == "/health") {
            return {200, "{}"};
        }
        const auto instance = call.headers.find("Target-Instance");
        if (instance != call.headers.end() && instance->second != settings_.id) {
            return {421, "{}"};
        }
        const auto body = json::parse(call.body);
        std::unique_lock lock(mutex_);
        end_finished_runs();
        const auto fence = body.value("Fence", std::uint64_t{0});
        if (fence < fence_) {
            return refuse("fence");
        }
        fence_ = fence;
        if (call.path == "/-/run-start") {
            return start(body);
        }
        if (call.path == "/-/run-stop") {
            return stop(body);
        }
        if (call.path == "/-/pace") {
            return {200, make_answer().dump()};
        }
        return hold(body, lock);
    }

    // Ends runs when they are due, also while nobody asks.
    void watch_runs() {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            std::lock_guard lock(mutex_);
            end_finished_runs();
        }
    }

    void keep_registered() {
        std::uint64_t lease = 0;
        while (true) {
            if (lease == 0) {
                lease = register_entry();
            } else {
                const auto kept = call(settings_.store_port, "POST", "/-/kv-keep/" + std::to_string(lease),
                                       {}, "{}", store_timeout);
                lease = kept && kept->status == 404 ? 0 : lease;
            }
            if (lease != 0) {
                std::this_thread::sleep_for(heartbeat_interval);
            }
        }
    }

private:
    struct run {
        std::uint64_t number = 0;
        std::int64_t started_at_ms = 0;
        std::int64_t work_ms = 0;
        bool fails = false;
        bool lasts = false;
        // When a stop order takes effect; 0 if there was none.
        std::int64_t stops_at_ms = 0;
    };

    std::int64_t read_own_clock() const { return clock_start_ms + read_clock_ms() - booted_at_ms_; }

    json make_answer() const { return {{"ClockMs", read_own_clock()}, {"born", born_unix_ms_}}; }

    response refuse(const char* reason) const {
        auto body = make_answer();
        body["Reason"] = reason;
        return {409, body.dump()};
    }

    void extend_lease(const json& body) {
        const auto until = body.value("UntilMs", std::int64_t{0});
        lease_until_ = std::max(lease_until_, std::min(until, read_own_clock() + settings_.max_hold_ms));
    }

    response start(const json& body) {
        const auto task = body.at("Task").get<std::string>();
        const auto number = body.at("RunId").get<std::uint64_t>();
        if (body.at("UntilMs").get<std::int64_t>() < read_own_clock()) {
            return refuse("late");
        }
        extend_lease(body);
        if (const auto found = runs_.find(task); found != runs_.end()) {
            return found->second.number == number ? response{200, make_answer().dump()} : refuse("old");
        }
        if (const auto found = excluded_.find(task); found != excluded_.end() && number <= found->second) {
            return refuse("old");
        }
        run started;
        started.number = number;
        started.started_at_ms = read_clock_ms();
        const auto spec = body.at("Spec").get<std::string>();
        started.fails = spec.starts_with("fail");
        const auto equals = spec.find('=');
        started.lasts = spec == "last";
        started.work_ms = equals == std::string::npos ? 0 : std::stoll(spec.substr(equals + 1));
        runs_[task] = started;
        record("start " + settings_.id + " " + task + " " + std::to_string(number));
        return {200, make_answer().dump()};
    }

    response stop(const json& body) {
        const auto task = body.at("Task").get<std::string>();
        const auto number = body.at("RunId").get<std::uint64_t>();
        exclude(task, number);
        const auto found = runs_.find(task);
        if (found != runs_.end() && found->second.number <= number && found->second.stops_at_ms == 0) {
            found->second.stops_at_ms = read_clock_ms() + settings_.stop_timeout_ms / 4;
        }
        return {200, make_answer().dump()};
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock) {
        extend_lease(body);
        const auto acked = body.value("Acked", std::uint64_t{0});
        std::erase_if(ended_, [&](const json& row) { return row[0].get<std::uint64_t>() <= acked; });
        const auto wait = std::chrono::milliseconds(body.value("WaitMs", std::int64_t{0}));
        ended_changed_.wait_for(lock, wait, [&] { return !ended_.empty(); });
        json running = json::array();
        for (const auto& [task, run] : runs_) {
            const auto done_ms = read_clock_ms() - run.started_at_ms;
            const auto share =
                std::min<std::int64_t>(done_ms * 100 / std::max<std::int64_t>(run.work_ms, 1), 99);
            const std::int64_t percent = run.lasts ? 100 : share;
            running.push_back(json::array({task, run.number, "", percent, 1000}));
        }
        auto answer = make_answer();
        answer["Running"] = std::move(running);
        answer["Ended"] = std::vector<json>(
            ended_.begin(),
            ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), max_listed_ends)));
        return {200, answer.dump()};
    }

    void exclude(const std::string& task, std::uint64_t number) {
        auto& excluded = excluded_[task];
        excluded = std::max(excluded, number);
    }

    void end_finished_runs() {
        const auto now = read_clock_ms();
        const bool has_lapsed = read_own_clock() >= lease_until_;
        std::vector<std::pair<std::string, const char*>> ends;
        for (const auto& [task, run] : runs_) {
            const bool is_over = !run.lasts && now >= run.started_at_ms + run.work_ms;
            const char* how = nullptr;
            if (is_over) {
                how = run.fails ? "failed" : "done";
            } else if (run.stops_at_ms != 0 && now >= run.stops_at_ms) {
                how = "stopped";
            } else if (has_lapsed) {
                how = "lapsed";
            }
            if (how != nullptr) {
                ends.emplace_back(task, how);
            }
        }
        for (const auto& [task, how] : ends) {
            const auto number = runs_.at(task).number;
            runs_.erase(task);
            exclude(task, number);
            ended_.push_back(json::array({next_end_++, task, number, how, ""}));
            record("end " + settings_.id + " " + task + " " + std::to_string(number) + " " + how);
        }
        if (!ends.empty()) {
            ended_changed_.notify_all();
        }
    }

    // Returns the lease of the entry, 0 if the store did not take it.
    std::uint64_t register_entry() const {
        const auto granted = call(settings_.store_port, "POST", "/-/kv-lease", {},
                                  json({{"TtlMs", entry_lease_ms}}).dump(), store_timeout);
        if (!granted || granted->status != 200) {
            return 0;
        }
        const auto lease = json::parse(granted->body).at("Lease").get<std::uint64_t>();
        const json entry = {{"Service", "tree"},
                            {"Addr", "127.0.0.1:" + std::to_string(settings_.port)},
                            {"Zone", "z1"},
                            {"Version", "v1"},
                            {"Slots", 8},
                            {"State", "ready"},
                            {"ColdLeftMs", 0},
                            {"Capacity", {{"Cpu", 16000}, {"MemMb", 64000}, {"Gpus", 0}}},
                            {"Labels", {settings_.kind, settings_.rack}},
                            {"ClockMs", read_own_clock()},
                            {"born", born_unix_ms_},
                            {"Seq", 1}};
        const json transaction = {{"Expected", json::array()},
                                  {"Writes",
                                   {{{"Key", "servers/" + settings_.id},
                                     {"Value", encode_base64(entry.dump())},
                                     {"Lease", lease}}}},
                                  {"Deletes", json::array()}};
        const auto written =
            call(settings_.store_port, "POST", "/-/kv-txn", {}, transaction.dump(), store_timeout);
        return written && written->status == 200 ? lease : 0;
    }

    const worker_settings settings_;
    const std::int64_t born_unix_ms_;
    const std::int64_t booted_at_ms_;
    std::mutex mutex_;
    std::condition_variable ended_changed_;
    std::uint64_t fence_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t next_end_ = 1;
    std::map<std::string, run> runs_;
    std::vector<json> ended_;
    // The highest run of each task that has ended here or was stopped.
    std::map<std::string, std::uint64_t> excluded_;
};

}  // namespace

void run_worker(const worker_settings& settings) {
    worker present(settings);
    serve(settings.port, [&present](const request& call) { return present.handle(call); });
    std::thread([&present] { present.watch_runs(); }).detach();
    present.keep_registered();
    std::abort();
}

}  // namespace review
