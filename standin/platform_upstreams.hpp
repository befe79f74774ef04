#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "process/upstream_entry.hpp"

namespace jacinthvane::standin {

// Upstreams with the platform's protocol on loopback ports: they run tasks under leases, list ends and keep
// the highest fencing token. The text of a job says how many milliseconds its tasks run; 0 runs until it is
// stopped. All handlers run on one context.
class platform_upstreams {
public:
    platform_upstreams(asio::io_context& context, std::size_t count);
    ~platform_upstreams();

    // Begins to listen and returns one entry for each upstream.
    absl::StatusOr<std::vector<upstream_entry>> listen();

    std::uint64_t get_start_count() const;
    std::uint64_t get_end_count() const;

private:
    class simulated_upstream;

    asio::io_context& context_;
    std::vector<std::shared_ptr<simulated_upstream>> upstreams_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

}  // namespace jacinthvane::standin
