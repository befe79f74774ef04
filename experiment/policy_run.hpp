#pragma once

#include <cstdint>
#include <string>

#include "process/resource_vector.hpp"
#include "request/placement.hpp"

namespace jacinthvane::experiment {

// A simulated fleet, its network delays and its workload.
struct site {
    std::string name;
    std::size_t upstreams = 0;
    resource_vector size;
    double client_delay_s = 0;
    double domain_delay_s = 0;
    double region_delay_s = 0;
    // Mean share of the slots that urgent and batch work would occupy without interference.
    double urgent_load = 0;
    double batch_load = 0;
    // Multiplies the run times of urgent work.
    double urgent_run_scale = 1;
    // Divides the declared sizes and the shared resource use of all work.
    double size_divisor = 1;
    double deadline_s = 10;
    double length_s = 900;
    // Requests that arrive before this time are not counted.
    double warm_up_s = 60;
    placement_weights weights;
};

// One configuration of the decision code, as a row of the comparison.
struct variant_setup {
    std::string name;
    placement_policy policy;
    bool has_ejection = true;
    bool has_retries = true;
    bool has_hedges = false;
    bool has_early_refusal = true;
};

struct run_result {
    double urgent_p50_ms = 0;
    double urgent_p99_ms = 0;
    double urgent_p999_ms = 0;
    double started_in_time = 0;
    double answered_in_time = 0;
    double batch_finished = 0;
    double evictions = 0;
    // The number of evictions that memory overuse caused.
    double memory_stops = 0;
    double mean_load = 0;
    double batch_failures = 0;
    double urgent_offered = 0;
    double goodput_per_s = 0;
    double decision_p99_us = 0;
    double extra_attempts = 0;
};

// Runs one variant on one site with a virtual clock. Arrivals and faults depend only on the seed, so variants
// with the same seed receive the same load. If load_factor is above 0, the urgent load is that multiple of
// the capacity, and there are no batch tasks and no faults.
run_result run_policy(const site& bench_site, const variant_setup& variant, std::uint64_t seed,
                      double load_factor = 0);

}  // namespace jacinthvane::experiment
