#pragma once

#include <chrono>
#include <cstdint>

namespace jacinthvane {

// Times that the platform states for upstreams and jobs. All are lengths that deadlines are computed from.
struct cell_limits {
    std::chrono::milliseconds max_lease{6000};
    // An upstream's clock may be slower than ours by this, in thousandths.
    std::int64_t clock_drift_permille = 20;
    std::chrono::milliseconds stop_timeout{200};
    // How long a serving task may be over its target because of fillers.
    std::chrono::milliseconds interference_limit{4000};
    // How long an owner acts on its last proof of ownership.
    std::chrono::milliseconds proof_window{6000};
    // How long the outcome of a job can be asked for.
    std::chrono::milliseconds status_retention{120000};

    bool operator==(const cell_limits&) const = default;
};

}  // namespace jacinthvane
