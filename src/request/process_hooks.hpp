#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/peer_message.hpp"
#include "process/clock.hpp"
#include "process/fault_point.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"
#include "request/routing.hpp"

namespace jacinthvane {

// Functions that the request path needs from the rest of the process: the other entry processes, and the
// capacity of the upstreams that this process owns. The process sets them at start-up; tests set fakes.
struct process_hooks {
    process_id self;
    location place;
    // Whether the process is known to be live; false for an unknown process.
    std::function<bool(const process_id&)> is_live;
    // Returns the live entry processes other than this one that accept new work.
    std::function<std::vector<route_target>()> get_peers;
    // Returns the owner of a shard, or nothing if it is this process.
    std::function<std::optional<route_target>(std::size_t)> find_remote_shard_owner;
    std::function<awaitable<absl::StatusOr<peer_reply>>(std::string, peer_request, time_point)> call_peer;
    // Runs an urgent task on an upstream of this process.
    std::function<awaitable<absl::StatusOr<task_response>>(task_start)> run_urgent;
    // Reserves room for a batch task on an upstream of this process, without sending anything.
    std::function<absl::StatusOr<upstream_id>(const task_start&)> reserve_batch;
    // Starts a batch task for which room is reserved.
    std::function<awaitable<absl::Status>(task_start, upstream_id)> start_reserved;
    std::function<void(const task_start&, const upstream_id&)> cancel_reservation;
    // Queries the owner of the upstream for the state of a task.
    std::function<awaitable<absl::StatusOr<task_reply>>(query_task_request)> query_task;
    std::function<awaitable<absl::StatusOr<task_reply>>(stop_task_request)> stop_task;
    // Whether any upstream of the system is large enough.
    std::function<bool(const resource_vector&)> would_ever_fit;
    // Called at named steps of the work; tests use it to inject faults.
    step_observer observer;
};

}  // namespace jacinthvane
