#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "command/command_line.hpp"
#include "connection/http_message.hpp"

namespace jacinthvane {

// Sends requests to the admin interface of an entry process and blocks until the response arrives.
class admin_client {
public:
    // Reads the addresses and the token from the options or from the environment.
    static absl::StatusOr<admin_client> make(const parsed_arguments& arguments);

    admin_client(std::vector<std::string> addresses, std::string token, std::chrono::milliseconds timeout)
        : addresses_(std::move(addresses)), token_(std::move(token)), timeout_(timeout) {}

    absl::StatusOr<nlohmann::json> get(const std::string& target) const;
    absl::StatusOr<nlohmann::json> post(const std::string& target, const nlohmann::json& body) const;
    absl::StatusOr<std::string> get_text(const std::string& target) const;

    // Returns one client for each address, for calls that act on one process only.
    std::vector<admin_client> split() const;
    const std::string& get_first_address() const { return addresses_.front(); }

    // Tries the addresses in order. Continues with the next one only if no connection could be opened, since
    // the request may otherwise have been received.
    absl::StatusOr<http_response> send(http_request request) const;

private:
    std::vector<std::string> addresses_;
    std::string token_;
    std::chrono::milliseconds timeout_;
};

// Converts an error response into the status that its body describes.
absl::Status read_error(const http_response& response);

// Reads a file of at most 1 MB. Errors: bad_request.
absl::StatusOr<std::string> read_file(const std::string& path);

// Percent-encodes text for use in a path or a query.
std::string escape_target(std::string_view text);

// Blocks the calling thread without spinning.
void pause_for(std::chrono::milliseconds time);

}  // namespace jacinthvane
