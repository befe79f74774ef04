#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// Runs one entry process until it is told to stop. Returns the exit code.
int run_serve(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
