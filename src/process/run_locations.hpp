#pragma once

#include <cstdint>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// The only upstream on which a long-running task may run, and the number of its run.
struct task_location {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    upstream_id upstream;
    std::uint64_t run = 0;

    bool operator==(const task_location&) const = default;
};

// Where the long-running tasks of a job may run. A task without an entry runs nowhere.
struct run_locations {
    std::vector<task_location> tasks;

    bool operator==(const run_locations&) const = default;
};

}  // namespace jacinthvane
