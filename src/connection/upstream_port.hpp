#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/clock.hpp"
#include "process/upstream_order.hpp"
#include "process/upstream_report.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

class memory_upstreams;
namespace platform {
class upstream_connection;
}

// The result of a poll. The report is valid only if the result is accepted.
struct poll_response {
    order_result result = order_result::unknown;
    upstream_report report;

    bool operator==(const poll_response&) const = default;
};

// The upstreams that may run a step, each with its ticket.
struct advice_response {
    std::vector<std::pair<upstream_id, std::string>> allowed;
    std::int64_t valid_ms = 0;

    bool operator==(const advice_response&) const = default;
};

// Sends the owner's orders to upstreams. Every order carries the owner's fencing token.
class upstream_port {
public:
    using backend =
        std::variant<std::shared_ptr<platform::upstream_connection>, std::shared_ptr<memory_upstreams>>;

    explicit upstream_port(backend upstreams) : backend_(std::move(upstreams)) {}

    // Returns whether a poll would use the connection of the last poll.
    bool has_poll_connection(const std::string& address);
    // A poll that acknowledges ends is sent only on the connection of the last poll.
    awaitable<poll_response> poll(std::string address, poll_order order, std::uint64_t token,
                                  time_point deadline);
    awaitable<order_response> send(std::string address, upstream_order order, std::uint64_t token,
                                   time_point deadline);
    awaitable<absl::StatusOr<advice_response>> advise(advice_request request, time_point deadline);

private:
    backend backend_;
};

}  // namespace jacinthvane
