#include "connection/upstream_port.hpp"

#include <utility>

#include "connection/memory_upstreams.hpp"
#include "platform/upstream_connection.hpp"

namespace jacinthvane {

bool upstream_port::has_look_connection(const std::string& address) {
    return std::visit([&](auto& upstreams) { return upstreams->has_look_connection(address); }, backend_);
}

awaitable<look_answer> upstream_port::look(std::string address, look_order order, std::uint64_t token,
                                           time_point deadline) {
    return std::visit(
        [&](auto& upstreams) {
            return upstreams->look(std::move(address), std::move(order), token, deadline);
        },
        backend_);
}

awaitable<order_answer> upstream_port::send(std::string address, upstream_order order, std::uint64_t token,
                                            time_point deadline) {
    return std::visit(
        [&](auto& upstreams) {
            return upstreams->send(std::move(address), std::move(order), token, deadline);
        },
        backend_);
}

awaitable<absl::StatusOr<advice_answer>> upstream_port::advise(advice_request request, time_point deadline) {
    return std::visit([&](auto& upstreams) { return upstreams->advise(std::move(request), deadline); },
                      backend_);
}

}  // namespace jacinthvane
