#pragma once

#include <string_view>

#include "version/config_error.hpp"

namespace jacinthvane {

// Validates the text of a settings file of one entry process and returns the errors found.
config_errors check_settings(std::string_view text);

}  // namespace jacinthvane
