#pragma once

#include <cstdint>

#include "process/clock.hpp"

namespace jacinthvane {

// Whether an upstream takes start orders. One that answers polls may still leave them unanswered or refuse
// them, and its room, which nothing fills, makes it the cheapest choice for one task after the other. At
// first and after a failed start it gets one start at a time until it accepts one; after several failures in
// a row, none for a limited time.
class start_health {
public:
    // Records a start order that got no response, could not be sent or was refused as busy.
    void record_failure(time_point now);
    void record_accepted();

    bool is_paused(time_point now) const { return now < paused_until_; }
    time_point get_paused_until() const { return paused_until_; }
    // Whether the last start has failed.
    bool is_failing() const { return failures_in_row_ > 0; }
    // Returns false once a start has been accepted, until one fails.
    bool is_unproven() const { return !has_accepted_; }

    bool operator==(const start_health&) const = default;

private:
    bool has_accepted_ = false;
    std::uint32_t failures_in_row_ = 0;
    time_point paused_until_;
};

}  // namespace jacinthvane
