#pragma once

#include <cstdlib>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

// Parses "address:port" for the protocol, asio::ip::tcp or asio::ip::udp. Errors: bad_configuration.
template <class Protocol>
absl::StatusOr<typename Protocol::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    const int port = colon == std::string::npos ? -1 : std::atoi(address.c_str() + colon + 1);
    if (error || port < 0 || port > 65535) {
        return make_error(error_kind::bad_configuration, "\"" + address + "\" is not an IP address and port");
    }
    return typename Protocol::endpoint(ip, static_cast<unsigned short>(port));
}

template <class Endpoint>
std::string to_address(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace jacinthvane
