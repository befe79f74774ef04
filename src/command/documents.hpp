#pragma once

#include <string>

namespace jacinthvane {

// Generate the pages docs/errors.md and docs/configuration.md from the tables in the code.
std::string write_errors_page();
std::string write_configuration_page();

}  // namespace jacinthvane
