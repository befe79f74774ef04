#pragma once

#include <functional>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/spawn_task.hpp"

// Runs a coroutine to completion on a context with the given number of threads, then stops the context. The
// timeout of ctest ends a test that hangs.
inline void run_coroutine(jacinthvane::asio::io_context& context,
                          std::function<jacinthvane::awaitable<void>()> body, unsigned threads = 1) {
    // A failed BOOST_REQUIRE leaves the coroutine as an exception. The context has to stop in this case, too.
    struct stop_at_end {
        explicit stop_at_end(jacinthvane::asio::io_context& stopped) : context(stopped) {}
        ~stop_at_end() { context.stop(); }
        stop_at_end(const stop_at_end&) = delete;
        stop_at_end& operator=(const stop_at_end&) = delete;
        jacinthvane::asio::io_context& context;
    };
    bool is_finished = false;
    const auto task = [&]() -> jacinthvane::awaitable<void> {
        const stop_at_end guard(context);
        co_await body();
        is_finished = true;
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
