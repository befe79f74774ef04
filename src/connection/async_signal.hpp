#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "connection/asio.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Wakes coroutines that wait for a change of shared state, without blocking a thread. A waiter reads the
// count before it reads the state and passes that count to wait, so that a change in between is not missed.
// Waiters must run on a strand (see spawn_task).
class async_signal {
public:
    std::uint64_t get_count() const;

    void notify_all();

    // Returns true once the count differs from seen_count, or false if the deadline passes first.
    awaitable<bool> wait(std::uint64_t seen_count, time_point deadline);

private:
    mutable ordered_mutex mutex_{lock_rank::signal};
    std::uint64_t count_ = 0;
    std::vector<std::weak_ptr<asio::steady_timer>> waiters_;
};

// Suspends the calling coroutine until the deadline.
awaitable<void> wait_until(time_point deadline);

}  // namespace jacinthvane
