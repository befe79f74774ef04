#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// Measures what the journal costs and prints one line of key=value pairs for each size. Arguments: none for
// all parts, or any of "rules" (validate, encode, decode and apply, by table and batch size), "snapshot" (by
// table size) and "service" (appends through the whole service over a store in memory, by the number of
// callers). Returns the exit code.
int run_journal_bench(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
