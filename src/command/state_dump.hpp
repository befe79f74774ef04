#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "connection/peer_link.hpp"
#include "process/ids.hpp"
#include "process/member_table.hpp"
#include "request/capacity_types.hpp"
#include "request/job_service.hpp"
#include "request/request_service.hpp"
#include "request/shard_service.hpp"

namespace jacinthvane {

// The state of a process that a dump contains.
struct process_state {
    process_id self;
    location place;
    bool is_ready = false;
    std::uint64_t config_version = 0;
    capacity_state capacity;
    std::vector<shard_state> shards;
    std::vector<member_view> members;
    peer_link_counts links;
    const request_counters& requests;
    const job_counters& jobs;
    std::size_t open_claims = 0;
    std::size_t queued_urgent = 0;
    std::size_t driven_jobs = 0;
    std::size_t unsent_reports = 0;
};

// Writes the state as JSON.
std::string write_state_dump(const process_state& state);

std::string_view get_state_name(member_state state);

}  // namespace jacinthvane
