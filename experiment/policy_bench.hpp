#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthvane::experiment {

struct policy_bench_options {
    std::vector<std::string> sites;
    // Runs only the variants whose names start with this text. Empty runs all.
    std::string variant;
    int seeds = 5;
    std::size_t workers = 4;
    // Output folder for JSON lines, SVG plots and the generated tables. Empty writes no files.
    std::string folder;
    // Name of the JSON lines file without its extension.
    std::string name = "policy";
    bool has_overload = true;
};

// Compares the placement policies and prints the median, lowest and highest values over the seeds.
int run_policy_bench(const policy_bench_options& options);

// Measures the latency of one placement decision of each policy on a fleet of the target size.
int run_decision_bench(const std::string& folder);

}  // namespace jacinthvane::experiment
