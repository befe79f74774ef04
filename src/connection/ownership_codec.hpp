#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "version/ownership.hpp"

namespace jacinthvane {

// Encodes the value ownership/<failure domain> of the store as JSON.
std::string encode_ownership(const ownership& value);

// Errors: bad_request, bad_configuration (the value breaks a rule of check_ownership).
absl::StatusOr<ownership> decode_ownership(std::string_view bytes);

}  // namespace jacinthvane
