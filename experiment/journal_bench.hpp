#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// Measures the cost of the journal and prints one line of key=value pairs for each size. The arguments select
// the parts to run: "rules" (validate, encode, decode and apply, by table and batch size), "snapshot" (by
// table size) and "service" (appends through the complete service on an in-memory store, by the number of
// callers). Without arguments all parts run. Returns the exit code.
int run_journal_bench(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
