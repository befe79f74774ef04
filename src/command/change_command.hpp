#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "command/admin_client.hpp"
#include "command/command_line.hpp"

namespace jacinthvane {

// Options shared by all commands that make a change.
extern const option_spec reason_option;
extern const option_spec wait_option;
extern const option_spec wait_timeout_option;

// Returns the reason of a change. Errors: bad_request if it is missing.
absl::StatusOr<std::string> require_reason(const parsed_arguments& arguments);

// Sends a change with a unique mark and the time of this machine. If the response is lost, the same mark is
// sent again: the entry process then reports the outcome of the first attempt instead of repeating the
// change.
absl::StatusOr<nlohmann::json> post_change(const admin_client& client, const std::string& target,
                                           nlohmann::json body);

// Waits until the version is in force on every live member; prints progress.
absl::Status wait_until_in_force(const admin_client& client, std::uint64_t version,
                                 const parsed_arguments& arguments, command_streams& streams);

// Prints the result of a change and waits if --wait was given.
absl::Status finish_change(const admin_client& client, const nlohmann::json& response,
                           const parsed_arguments& arguments, command_streams& streams);

}  // namespace jacinthvane
