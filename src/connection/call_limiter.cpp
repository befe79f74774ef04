#include "connection/call_limiter.hpp"

#include <mutex>

namespace jacinthvane {

awaitable<call_limiter::permit> call_limiter::acquire(time_point deadline) {
    const auto state = state_;
    while (true) {
        const auto seen = state->freed.get_count();
        {
            std::lock_guard lock(state->mutex);
            if (state->free > 0) {
                --state->free;
                break;
            }
        }
        if (!co_await state->freed.wait(seen, deadline)) {
            co_return permit{};
        }
    }
    co_return permit(state.get(), [state](void*) {
        {
            std::lock_guard lock(state->mutex);
            ++state->free;
        }
        state->freed.notify_all();
    });
}

}  // namespace jacinthvane
