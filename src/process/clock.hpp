#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <variant>

namespace jacinthvane {

using time_point = std::chrono::steady_clock::time_point;

// Reads the monotonic clock of this machine.
struct machine_clock {
    time_point get_now() const { return std::chrono::steady_clock::now(); }
};

// A clock that moves only when a test moves it.
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
