#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "version/ownership.hpp"

namespace jacinthvane {

// Encodes the store value ownership/<failure domain> as JSON.
std::string encode_ownership(const ownership& value);

// Errors: bad_request (malformed JSON or fields), bad_configuration (check_ownership rejected the value).
absl::StatusOr<ownership> decode_ownership(std::string_view bytes);

}  // namespace jacinthvane
