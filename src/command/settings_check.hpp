#pragma once

#include <string_view>

#include "version/config_error.hpp"

namespace jacinthvane {

// Checks the text of a settings file of one entry process and returns its faults.
config_errors check_settings(std::string_view text);

}  // namespace jacinthvane
