#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// A process says of itself that it is joining, live, leaving or gone (it has left). Others judge it suspect
// or gone when its heartbeat counter does not advance. The order is that of a process's life.
enum class member_state { joining, live, suspect, leaving, gone };

// Bounds of what one entry carries, so that a datagram always has room for the own entry and several others.
constexpr std::size_t max_gossiped_teams = 64;
constexpr std::size_t max_gossiped_leaving = 16;
constexpr std::size_t max_gossiped_domains = 8;
constexpr std::size_t max_gossiped_wanted = 16;

// Running tasks of one team, which is named by a hash: 58 names would fill a third of a datagram.
struct team_running {
    std::uint32_t team_hash = 0;
    std::uint32_t running = 0;

    auto operator<=>(const team_running&) const = default;
};

// A report that an upstream is leaving, or that it is back. The report with the higher version counts.
struct leaving_report {
    upstream_id upstream;
    std::uint64_t version = 0;
    bool is_leaving = true;

    bool operator==(const leaving_report&) const = default;
};

// What a process tells of itself directly; entries that are passed on carry no details.
struct member_details {
    // The teams with the most running tasks.
    std::vector<team_running> teams;
    // The latest reports that this process made or heard.
    std::vector<leaving_report> leaving;
    // Failure domains from which this process hears directly.
    std::vector<failure_domain_id> heard_domains;
    // Hashes of processes that this one heard a pulse of but has no entry for. Who hears this answers in its
    // next round; without that, the last entries reach a new member of a large fleet by chance only.
    std::vector<std::uint32_t> wanted;

    bool operator==(const member_details&) const = default;
};

// Free capacity of the slices that a process owns.
struct member_capacity {
    resource_vector free;
    std::uint32_t queue_length = 0;

    bool operator==(const member_capacity&) const = default;
};

// One entry of the membership.
struct member {
    process_id process;
    location place;
    std::string caller_address;
    std::string peer_address;
    std::string membership_address;
    // As the process says itself.
    member_state state = member_state::joining;
    std::uint64_t heartbeat = 0;
    std::uint64_t config_version = 0;
    member_capacity capacity;
    std::optional<member_details> details;

    bool operator==(const member&) const = default;
};

// The counter of a process that the receiver knows, in a few bytes instead of a whole entry: at 200 members,
// whole entries alone arrive too rarely to tell a live member from a dead one.
struct member_pulse {
    std::uint32_t process_hash = 0;
    std::uint64_t heartbeat = 0;

    auto operator<=>(const member_pulse&) const = default;
};

// What one datagram says. The first entry is the sender's own.
struct member_message {
    std::vector<member> entries;
    std::vector<member_pulse> pulses;

    bool operator==(const member_message&) const = default;
};

std::uint32_t hash_process(const process_id& process);

// Hash under which a team's running tasks are gossiped.
std::uint32_t hash_team(const team_id& team);

}  // namespace jacinthvane
