#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// Runs one entry process until SIGTERM or SIGINT. Returns the exit code.
int run_serve(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
