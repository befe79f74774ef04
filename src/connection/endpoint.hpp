#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

// Parses "address:port" for the protocol, asio::ip::tcp or asio::ip::udp. Port 0, which only a listener may
// have, is accepted. Errors: bad_configuration.
template <class Protocol>
absl::StatusOr<typename Protocol::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const char* const end = address.data() + address.size();
    std::uint16_t port = 0;
    bool is_port = false;
    if (colon != std::string::npos) {
        const auto [parsed_end, failure] = std::from_chars(address.data() + colon + 1, end, port);
        is_port = failure == std::errc() && parsed_end == end;
    }
    if (error || !is_port) {
        return make_error(error_kind::bad_configuration, "\"" + address + "\" is not an IP address and port");
    }
    return typename Protocol::endpoint(ip, port);
}

template <class Endpoint>
std::string to_address(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace jacinthvane
