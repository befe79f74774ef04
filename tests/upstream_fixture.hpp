#pragma once

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/spawn_task.hpp"
#include "process/clock.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// glog formats local times. If TZ is not set, the C library initializes the time zone at every call, which
// ThreadSanitizer reports as a data race of its allocations.
inline const bool is_time_zone_set = [] {
    setenv("TZ", "UTC", 1);
    tzset();
    return true;
}();

// A thread pool that runs the coroutines of a test.
class test_pool {
public:
    explicit test_pool(std::size_t threads = 4) : work_(asio::make_work_guard(context_)) {
        for (std::size_t n = 0; n < threads; ++n) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    ~test_pool() { stop(); }

    test_pool(const test_pool&) = delete;
    test_pool& operator=(const test_pool&) = delete;

    asio::io_context& get_context() { return context_; }

    // Runs the coroutine on a separate strand and waits for its result.
    template <typename T>
    T run(awaitable<T> work) {
        auto future = asio::co_spawn(asio::make_strand(context_), std::move(work), asio::use_future);
        return future.get();
    }

    void stop() {
        work_.reset();
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

// Bounds the wait of a test that fails; a passing test never waits this long.
constexpr std::chrono::seconds test_timeout{60};

inline time_point get_test_deadline() {
    return std::chrono::steady_clock::now() + test_timeout;
}

// Waits until the condition holds. It is rechecked at every change of the signal and every 5 ms.
inline awaitable<bool> wait_for(async_signal& changed, std::function<bool()> holds) {
    const auto deadline = get_test_deadline();
    while (true) {
        const auto seen = changed.get_count();
        if (holds()) {
            co_return true;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline) {
            co_return false;
        }
        co_await changed.wait(seen, now + std::chrono::milliseconds(5));
    }
}

inline task_start make_start(const std::string& id, const std::string& body,
                             std::int64_t processors_milli = 1000,
                             task_class work_class = task_class::urgent) {
    task_start start;
    start.spec.task = task_id(id);
    start.spec.team = team_id("team");
    start.spec.kind = task_kind("import");
    start.spec.work_class = work_class;
    start.spec.size = resource_vector(processors_milli, 100, 0, 1);
    start.spec.body = body;
    start.deadline = get_test_deadline();
    return start;
}

}  // namespace jacinthvane
