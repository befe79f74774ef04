#pragma once

#include <cstdint>

#include "version/config_delta.hpp"

namespace jacinthvane {

// What a process asks its relay: whether there is a newer configuration than the one that it has, or else
// proof that there is none.
struct config_query {
    // The version that the process has; 0 for none.
    std::uint64_t version = 0;
    // The last confirmation that it got from this relay; 0 for none.
    std::uint64_t confirmation = 0;
    // How long the relay may wait for something new.
    std::int64_t wait_ms = 0;

    bool operator==(const config_query&) const = default;
};

// The response of a relay. The configuration that it leads to was the newest one in the store age_ms before
// the response was sent.
struct config_report {
    config_update update;
    // Revision of the store from which a watch continues without a gap; 0 if the relay has no configuration.
    std::uint64_t revision = 0;
    // Increases with each proof that the relay gets.
    std::uint64_t confirmation = 0;
    std::int64_t age_ms = 0;
    // How long the relay held the query.
    std::int64_t held_ms = 0;
    // The relay's own source responded last time, and its next response is on the way. A large configuration
    // takes long to arrive, and a relay that receives one must not be abandoned.
    bool is_source_alive = false;

    bool operator==(const config_report&) const = default;
};

}  // namespace jacinthvane
