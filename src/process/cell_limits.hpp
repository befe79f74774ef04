#pragma once

#include <chrono>
#include <cstdint>

namespace jacinthvane {

// Durations that the platform defines for upstreams and jobs. Deadlines are computed from them.
struct cell_limits {
    // The longest lease that an owner requests.
    std::chrono::milliseconds max_lease{6000};
    // The longest lease that an upstream accepts; it shortens a longer one to this.
    std::chrono::milliseconds max_accepted_lease{6000};
    // Largest relative deviation of an upstream's clock from the clock of this process, in thousandths.
    std::int64_t clock_drift_permille = 20;
    std::chrono::milliseconds stop_timeout{200};
    // How long a run that continues from a checkpoint takes until it begins to work.
    std::chrono::milliseconds restore_time{0};
    // How long a latency-critical task may exceed its target because of best-effort tasks.
    std::chrono::milliseconds interference_limit{4000};
    // The time after which an acknowledged configuration must be in force in every process.
    std::chrono::milliseconds config_bound{8000};
    // How long an owner may act after its last confirmed proof of ownership.
    std::chrono::milliseconds proof_window{6000};
    // How long the outcome of a job can be requested after the job ended.
    std::chrono::milliseconds status_retention{120000};
    // The time after which an acknowledged evacuation of a failure domain must be in force: no task starts
    // there later. 0 means that there are no evacuations.
    std::chrono::milliseconds evacuation_bound{0};

    bool operator==(const cell_limits&) const = default;
};

}  // namespace jacinthvane
