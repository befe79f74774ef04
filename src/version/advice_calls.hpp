#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "process/clock.hpp"
#include "version/dispatch_config.hpp"

namespace jacinthvane {

// Returns how many upstreams a call to the advice service should name, for a step with this many waiting
// tasks. The service takes a fixed time for a call and a further one for each upstream.
std::size_t get_advice_call_size(const advice_settings& settings, std::size_t waiting_tasks);

// The calls of this process to the advice service, which serves them one at a time. Not safe for concurrent
// use.
class advice_calls {
public:
    // Whether another call should be sent: one is served and one waits, so that the service is never idle
    // between them and later, more urgent calls do not wait behind many others.
    bool may_begin() const { return in_flight_ < max_in_flight; }
    // Begins a call that names this many upstreams. Returns when its answer is expected.
    time_point begin(const advice_settings& settings, std::size_t named, time_point now);
    void end(time_point now);

private:
    static constexpr std::size_t max_in_flight = 2;

    std::size_t in_flight_ = 0;
    // When the answer to the last call in flight is expected.
    time_point busy_until_;
};

}  // namespace jacinthvane
