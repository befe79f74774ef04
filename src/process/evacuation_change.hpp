#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// Prefix of the keys with which operators request evacuations. The name of the failure domain follows.
constexpr std::string_view evacuation_prefix = "op/evacuate/";

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
