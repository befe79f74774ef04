#include "connection/upstream_port.hpp"

#include <utility>

#include "connection/memory_upstreams.hpp"
#include "platform/upstream_connection.hpp"

namespace jacinthvane {

bool upstream_port::has_poll_connection(const std::string& address) {
    return std::visit([&](auto& upstreams) { return upstreams->has_poll_connection(address); }, backend_);
}

awaitable<poll_response> upstream_port::poll(std::string address, poll_order order, std::uint64_t token,
                                             time_point deadline) {
    return std::visit(
        [&](auto& upstreams) {
            return upstreams->poll(std::move(address), std::move(order), token, deadline);
        },
        backend_);
}

awaitable<order_response> upstream_port::send(std::string address, upstream_order order, std::uint64_t token,
                                              time_point deadline) {
    return std::visit(
        [&](auto& upstreams) {
            return upstreams->send(std::move(address), std::move(order), token, deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<advice_response>> upstream_port::advise(advice_request request,
                                                                 time_point deadline) {
    return std::visit([&](auto& upstreams) { return upstreams->advise(std::move(request), deadline); },
                      backend_);
}

}  // namespace jacinthvane
