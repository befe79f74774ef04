#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <memory>
#include <mutex>
#include <variant>

namespace jacinthvane {

using time_point = std::chrono::steady_clock::time_point;

// Reads the monotonic clock of this machine.
struct machine_clock {
    time_point get_now() const { return std::chrono::steady_clock::now(); }
};

// Reads a monotonic clock that also counts the time for which the machine was suspended. Deadlines that other
// processes rely on, such as those of leases, have to be measured with it.
inline time_point get_suspend_aware_now() {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

// Returns milliseconds since the Unix epoch. This clock can jump forwards and backwards.
inline std::int64_t get_unix_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

// A clock for tests. It advances only by calls of advance().
class manual_clock {
public:
    time_point get_now() const {
        std::lock_guard lock(mutex_);
        return now_;
    }

    void advance(std::chrono::milliseconds amount) {
        std::lock_guard lock(mutex_);
        now_ += amount;
    }

private:
    mutable std::mutex mutex_;
    time_point now_ = time_point(std::chrono::hours(1));
};

using clock_source = std::variant<machine_clock, std::shared_ptr<manual_clock>>;

inline time_point get_now(const clock_source& clock) {
    struct visitor {
        time_point operator()(const machine_clock& source) const { return source.get_now(); }
        time_point operator()(const std::shared_ptr<manual_clock>& source) const { return source->get_now(); }
    };
    return std::visit(visitor{}, clock);
}

}  // namespace jacinthvane
