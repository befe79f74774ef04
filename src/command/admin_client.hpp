#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "command/command_line.hpp"
#include "connection/http_message.hpp"

namespace jacinthvane {

// Calls the admin interface of an entry process and waits for the answer.
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

    // Tries the addresses in order while it is certain that none has got the request.
    absl::StatusOr<http_response> send(http_request request) const;

private:
    std::vector<std::string> addresses_;
    std::string token_;
    std::chrono::milliseconds timeout_;
};

// Turns an answer into the error that its body names.
absl::Status read_error(const http_response& response);

// Reads a file of at most 1 MB. Errors: bad_request.
absl::StatusOr<std::string> read_file(const std::string& path);

// Writes text so that it can stand in a path or a query.
std::string escape_target(std::string_view text);

// Waits without using the processor.
void pause_for(std::chrono::milliseconds time);

}  // namespace jacinthvane
