#pragma once

#include <cstdint>
#include <string>

#include "process/cell_limits.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// Settings that an entry process of a cell receives when it starts.
struct entry_settings {
    vm_id vm;
    location place;
    // "IP:PORT" of each listener.
    std::string caller_address;
    std::string readiness_address;
    std::string peer_address;
    std::string metrics_address;
    std::string store_address;
    std::string advice_address;
    // Thousandths of a processor that the process may use.
    std::int64_t processors_milli = 1000;
    // Rate of the link of this VM; 0 if it is unknown.
    std::int64_t link_mbps = 0;
    // Memory and descriptors that the process may use.
    std::int64_t memory_mb = 512;
    std::int64_t max_descriptors = 8192;
    // Shortest lease that the store accepts.
    std::int64_t min_store_lease_ms = 1000;
    // How long the shutdown of the process may take in total.
    std::int64_t grace_ms = 6000;
    cell_limits limits;

    bool operator==(const entry_settings&) const = default;
};

}  // namespace jacinthvane
