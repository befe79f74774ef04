#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jacinthvane {

// The measurements of one ledger of a given size.
struct ledger_figures {
    std::size_t upstreams = 0;
    std::size_t tasks = 0;
    // A start operation releases one task, chooses between two candidates and commits a new task.
    double start_operations_per_second = 0;
    // Covers only the choice and the commitment.
    double p99_start_us = 0;
    // Task lists that match the ledger, so that applying them changes nothing.
    double lists_per_second = 0;
    double bytes_per_upstream = 0;
    double bytes_per_task = 0;

    bool operator==(const ledger_figures&) const = default;
};

// Fills a ledger to nearly the target of 20 tasks per upstream and measures it with the given number of
// operations.
ledger_figures measure_ledger(std::size_t upstreams, std::size_t operations, std::uint64_t seed);

// Measures ledgers of both customers' sizes, a quarter of the target size and the target size, and prints one
// line of key=value pairs for each. Arguments: [--operations N] [--seed N]. Returns the exit code.
int run_ledger_bench(const std::vector<std::string>& arguments);

}  // namespace jacinthvane
