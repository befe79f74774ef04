#pragma once

#include <cstddef>
#include <memory>

#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Bounds the number of concurrent calls of one kind.
class call_limiter {
public:
    // Holds one slot until it is destroyed. Empty if the deadline passed before a slot became free.
    using permit = std::shared_ptr<void>;

    explicit call_limiter(std::size_t max_calls) : state_(std::make_shared<shared_state>()) {
        state_->free = max_calls;
    }

    awaitable<permit> acquire(time_point deadline);

private:
    struct shared_state {
        ordered_mutex mutex{lock_rank::connections};
        async_signal freed;
        std::size_t free = 0;
    };

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
