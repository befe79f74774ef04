#pragma once

#include <mutex>

#include "process/lock_order.hpp"

namespace jacinthvane {

// A mutex with a place in the lock order. Debug builds abort when a thread locks against the order, so a
// possible deadlock shows in the first test that takes the locks, not only when two threads meet.
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
