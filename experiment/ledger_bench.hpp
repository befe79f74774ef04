#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jacinthvane {

// Figures of one ledger of a given size.
struct ledger_figures {
    std::size_t upstreams = 0;
    std::size_t tasks = 0;
    // One choice between two candidates and its commitment, and the release of another task.
    double start_operations_per_second = 0;
    double p99_start_us = 0;
    // List answers applied that change nothing.
    double lists_per_second = 0;
    double bytes_per_upstream = 0;
    double bytes_per_task = 0;

    bool operator==(const ledger_figures&) const = default;
};

// Fills a ledger to nearly the target's 20 tasks per upstream and measures it with the given number of
// operations.
ledger_figures measure_ledger(std::size_t upstreams, std::size_t operations, std::uint64_t seed);

// Measures the sizes of both customers, of a quarter of the target and of the target, and prints one line for
// each in key=value form. Arguments: [--operations N] [--seed N]. Returns the exit code.
int run_ledger_bench(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
