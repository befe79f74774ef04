#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "process/clock.hpp"
#include "process/upstream_entry.hpp"

namespace jacinthvane::standin {

// A run as the upstream saw it, with the times at which it began and ended there, whenever the end was
// reported.
struct observed_run {
    std::string task;
    std::uint64_t number = 0;
    std::string upstream;
    time_point started_at;
    // max while the run has not ended.
    time_point ended_at = time_point::max();
    // "done", "stopped" or "lapsed"; empty while the run has not ended.
    std::string how;

    bool operator==(const observed_run&) const = default;
};

// Upstreams with the platform's protocol on loopback ports: they run tasks under leases, list ends, keep
// the highest fencing token and refuse starts that are late or outdated. The text of a job says how many
// milliseconds its tasks run; 0 runs until it is stopped. All handlers run on one context with one thread;
// the getters may be called from any thread.
class platform_upstreams {
public:
    platform_upstreams(asio::io_context& context, std::size_t count);
    ~platform_upstreams();

    // Begins to listen and returns one entry for each upstream.
    absl::StatusOr<std::vector<upstream_entry>> listen();

    std::uint64_t get_start_count() const;
    std::uint64_t get_end_count() const;
    // Returns all runs so far, those of one upstream in the order of their starts.
    std::vector<observed_run> get_runs() const;
    // Returns the earliest end of a lease under which an upstream runs tasks; max if none runs any.
    time_point get_first_lease_end() const;

private:
    class simulated_upstream;

    asio::io_context& context_;
    std::vector<std::shared_ptr<simulated_upstream>> upstreams_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

}  // namespace jacinthvane::standin
