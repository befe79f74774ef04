#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthvane::experiment {

struct policy_bench_options {
    std::vector<std::string> sites;
    // Variants whose names contain this; empty runs all.
    std::string variant;
    int seeds = 5;
    std::size_t workers = 4;
    // Where results are written: JSON lines, SVG plots and the generated tables. Empty writes none.
    std::string folder;
    // First part of the names of the files.
    std::string name = "policy";
    bool has_overload = true;
};

// Runs the placement policies side by side and prints medians over the seeds with their spread.
int run_policy_bench(const policy_bench_options& options);

// Measures the time of one decision at the target size.
int run_decision_bench(const std::string& folder);

}  // namespace jacinthvane::experiment
