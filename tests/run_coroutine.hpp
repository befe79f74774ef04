#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/spawn_task.hpp"

// Runs a coroutine to its end on a context with the given number of threads, then stops the context. A test
// that hangs is ended by the time limit of ctest.
inline void run_coroutine(jacinthvane::asio::io_context& context,
                          std::function<jacinthvane::awaitable<void>()> body, unsigned threads = 1) {
    bool is_finished = false;
    const auto task = [&]() -> jacinthvane::awaitable<void> {
        co_await body();
        is_finished = true;
        context.stop();
    };
    jacinthvane::spawn_task(context, "test", task());
    std::vector<std::thread> pool;
    for (unsigned i = 1; i < threads; ++i) {
        pool.emplace_back([&] { context.run(); });
    }
    context.run();
    for (auto& thread : pool) {
        thread.join();
    }
    BOOST_TEST(is_finished);
}
