#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// Sends a mix of requests to entry processes, prints the outcomes reported to clients, and compares them with
// the ledgers of the upstream farms. Returns 0 only if every invariant holds.
int run_load_command(const std::vector<std::string>& arguments);

// Runs a link relay until SIGTERM or SIGINT. Prints one line with the bound addresses when it is ready.
int run_link_command(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
