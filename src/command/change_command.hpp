#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "command/admin_client.hpp"
#include "command/command_line.hpp"

namespace jacinthvane {

// The options of every command that changes something.
extern const option_spec reason_option;
extern const option_spec wait_option;
extern const option_spec wait_timeout_option;

// Returns the reason of a change; a change without one is refused.
absl::StatusOr<std::string> require_reason(const parsed_arguments& arguments);

// Sends a change with a mark of its own and the time of this machine. A lost answer is resolved by sending
// the same mark again: the entry process then reports what became of the first attempt.
absl::StatusOr<nlohmann::json> post_change(const admin_client& client, const std::string& target,
                                           nlohmann::json body);

// Waits until the version is in force on every live member; prints progress.
absl::Status wait_until_in_force(const admin_client& client, std::uint64_t version,
                                 const parsed_arguments& arguments, command_streams& streams);

// Prints the result of a change and waits if --wait was given.
absl::Status finish_change(const admin_client& client, const nlohmann::json& answer,
                           const parsed_arguments& arguments, command_streams& streams);

}  // namespace jacinthvane
