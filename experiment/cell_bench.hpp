#pragma once

#include <cstddef>

namespace jacinthvane::experiment {

struct cell_bench_options {
    std::size_t upstreams = 890;
    // Upstreams that report between two decisions.
    std::size_t reports = 40;
    // Jobs of one best-effort step that begin between two decisions.
    std::size_t jobs = 1;
    std::size_t decisions = 500;

    bool operator==(const cell_bench_options&) const = default;
};

// Measures the decisions and reports of a cell's scheduler against upstreams in memory and prints their
// mean times in microseconds, first while there is room and then while tasks wait for it. Returns the exit
// code.
int run_cell_bench(const cell_bench_options& options);

}  // namespace jacinthvane::experiment
