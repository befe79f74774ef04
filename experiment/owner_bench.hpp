#pragma once

#include <cstddef>

namespace jacinthvane::experiment {

struct owner_bench_options {
    std::size_t upstreams = 490;
    std::size_t long_running_jobs = 150;
    // Jobs submitted a second: two in three are best-effort jobs of two steps of 20 tasks, the others are
    // short jobs of 16 tasks.
    std::size_t jobs_per_second = 30;
    int seconds = 20;

    bool operator==(const owner_bench_options&) const = default;
};

// Runs the owner of a cell over HTTP against upstreams on loopback and prints a line a second: processor time
// of the owner's thread, starts, ends and late timers. Returns the exit code.
int run_owner_bench(const owner_bench_options& options);

}  // namespace jacinthvane::experiment
