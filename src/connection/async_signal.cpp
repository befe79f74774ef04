#include "connection/async_signal.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

#include <boost/asio/post.hpp>

namespace jacinthvane {

std::uint64_t async_signal::get_count() const {
    std::lock_guard lock(mutex_);
    return count_;
}

void async_signal::notify_all() {
    std::vector<std::weak_ptr<asio::steady_timer>> waiters;
    {
        std::lock_guard lock(mutex_);
        ++count_;
        waiters.swap(waiters_);
    }
    for (const auto& waiter : waiters) {
        if (const auto timer = waiter.lock()) {
            // The cancel runs on the waiter's own strand, after the waiter has suspended.
            asio::post(timer->get_executor(), [timer] { timer->cancel(); });
        }
    }
}

awaitable<bool> async_signal::wait(std::uint64_t seen_count, time_point deadline) {
    const auto executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<asio::steady_timer>(executor, deadline);
    {
        std::lock_guard lock(mutex_);
        if (count_ != seen_count) {
            co_return true;
        }
        std::erase_if(waiters_, [](const auto& waiter) { return waiter.expired(); });
        waiters_.push_back(timer);
    }
    boost::system::error_code error;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
    co_return get_count() != seen_count;
}

awaitable<void> wait_until(time_point deadline) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, deadline);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace jacinthvane
