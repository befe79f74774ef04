#pragma once

#include <cstdint>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// An operator's request to start nothing more in a failure domain, or its removal.
struct evacuation_change {
    failure_domain_id domain;
    bool is_removed = false;

    bool operator==(const evacuation_change&) const = default;
};

// All evacuations, or their changes in order, up to a revision of the store.
struct evacuation_changes {
    std::vector<evacuation_change> changes;
    std::uint64_t revision = 0;

    bool operator==(const evacuation_changes&) const = default;
};

}  // namespace jacinthvane
