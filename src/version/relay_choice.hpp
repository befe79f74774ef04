#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

// An entry process as the others see it.
struct live_peer {
    std::string process;
    // "IP:PORT" at which it serves requests of other processes.
    std::string address;
    location place;
    std::int64_t link_mbps = 0;
    std::int64_t processors_milli = 0;

    bool operator==(const live_peer&) const = default;
};

// Returns the peer from which a process gets what all processes need, or nothing if it has to read it from
// the store itself. The processes of a region form a tree, in which the strongest one reads from the store.
// The strongest process of each failure domain is attached to those of other domains, and the others are
// attached within their domain, so a value crosses each link between regions once and each link between
// failure domains about once. Every relay is stronger than those attached to it, so there is no cycle even
// among processes that know different peers.
std::optional<live_peer> choose_relay(const live_peer& self, const std::vector<live_peer>& peers);

}  // namespace jacinthvane
