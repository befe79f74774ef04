#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// A process reports itself as joining, live, leaving or gone (it has left). Other processes consider it
// suspect or gone when its heartbeat counter does not advance. The values are in the order in which a process
// passes through the states.
enum class member_state { joining, live, suspect, leaving, gone };

// Bounds on the contents of one entry, so that a datagram always has room for the sender's entry and several
// others.
constexpr std::size_t max_gossiped_teams = 64;
constexpr std::size_t max_gossiped_leaving = 16;
constexpr std::size_t max_gossiped_domains = 8;
constexpr std::size_t max_gossiped_wanted = 16;

// The number of running tasks of one team. The team is identified by a hash, since the names of 58 teams
// would fill a third of a datagram.
struct team_running {
    std::uint32_t team_hash = 0;
    std::uint32_t running = 0;

    auto operator<=>(const team_running&) const = default;
};

// A report that an upstream is leaving, or that it has returned. The report with the highest version is
// valid.
struct leaving_report {
    upstream_id upstream;
    std::uint64_t version = 0;
    bool is_leaving = true;

    bool operator==(const leaving_report&) const = default;
};

// The part of an entry that only the process itself sends. Entries that are forwarded carry no details.
struct member_details {
    // The teams with the most running tasks.
    std::vector<team_running> teams;
    // The latest reports that this process made or received.
    std::vector<leaving_report> leaving;
    // The failure domains from whose members this process receives datagrams directly.
    std::vector<failure_domain_id> heard_domains;
    // Hashes of processes of which this one received a pulse but has no entry. A receiver that has the
    // entries sends them in its next round. Without these requests, a new member of a large fleet gets the
    // last entries only by chance.
    std::vector<std::uint32_t> wanted;

    bool operator==(const member_details&) const = default;
};

// The free capacity of the slices that a process owns.
struct member_capacity {
    resource_vector free;
    std::uint32_t queue_length = 0;

    bool operator==(const member_capacity&) const = default;
};

// The membership entry of one process.
struct member {
    process_id process;
    location place;
    std::string caller_address;
    std::string peer_address;
    std::string membership_address;
    // As reported by the process itself.
    member_state state = member_state::joining;
    std::uint64_t heartbeat = 0;
    std::uint64_t config_version = 0;
    member_capacity capacity;
    std::optional<member_details> details;

    bool operator==(const member&) const = default;
};

// The heartbeat counter of a process whose entry the receiver has, in a few bytes instead of an entry. With
// 200 members, complete entries arrive too rarely to distinguish a live member from a dead one.
struct member_pulse {
    std::uint32_t process_hash = 0;
    std::uint64_t heartbeat = 0;

    auto operator<=>(const member_pulse&) const = default;
};

// The contents of one datagram. The first entry is that of the sender.
struct member_message {
    std::vector<member> entries;
    std::vector<member_pulse> pulses;

    bool operator==(const member_message&) const = default;
};

std::uint32_t hash_process(const process_id& process);

// Returns the hash that identifies a team in gossip.
std::uint32_t hash_team(const team_id& team);

}  // namespace jacinthvane
