#pragma once

#include <mutex>

#include "process/lock_order.hpp"

namespace jacinthvane {

// A mutex with a rank in the lock order. Debug builds abort when a thread violates the order. A possible
// deadlock is therefore found by the first test that acquires the locks, even if no two threads contend for
// them.
class ordered_mutex {
public:
    explicit ordered_mutex(lock_rank rank) : rank_(rank) {}

    ordered_mutex(const ordered_mutex&) = delete;
    ordered_mutex& operator=(const ordered_mutex&) = delete;

    void lock();
    void unlock();

private:
    std::mutex mutex_;
    [[maybe_unused]] lock_rank rank_;
};

}  // namespace jacinthvane
