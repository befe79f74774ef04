#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "version/config_report.hpp"

namespace jacinthvane {

// A relay's report in a compact form: a configuration takes about a quarter of the bytes that the store needs
// for it. Errors: bad_request, also for a configuration whose queues are not sorted.
std::string encode_record(const config_report& report);
absl::StatusOr<config_report> decode_config_report(std::string_view bytes);

}  // namespace jacinthvane
