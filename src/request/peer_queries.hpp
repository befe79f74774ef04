#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/http_message.hpp"
#include "process/job_progress.hpp"
#include "version/cell_scheduler.hpp"
#include "version/config_report.hpp"

namespace jacinthvane {

class cell_member;

// Queries that the processes of a cell send to its owner, as HTTP requests with JSON responses.
http_request make_state_query(const std::string& queue, const job_id& id);
http_request make_status_query();
// The query that a process sends to its relay.
http_request make_config_query(const config_query& query);

// What a process says of itself to the owner that has taken the cell over.
struct process_report {
    // The name of the process, which a restarted one does not share with the one before.
    std::string process;
    // How long it has been running, which it was not as another process of the same VM.
    std::int64_t uptime_ms = 0;
    // The fencing token with which it still acts as an owner; 0 if it does not.
    std::uint64_t acting_token = 0;

    bool operator==(const process_report&) const = default;
};

// Asks a process which owner it is. One with a lower token than the given one ends its ownership first.
http_request make_process_query(std::uint64_t token);
// Errors: peer_unreachable, bad_request.
absl::StatusOr<process_report> read_process_response(const http_response& response);

// Decodes the responses of the owner. Errors: not_found (the owner does not have the job), peer_unreachable
// (the process that responded is not the owner), bad_request (the response cannot be decoded).
absl::StatusOr<job_phase> read_state_response(const http_response& response);
absl::StatusOr<std::vector<queue_status>> read_status_response(const http_response& response);

// Errors: peer_unreachable, bad_request.
absl::StatusOr<config_report> read_config_response(const http_response& response);

// Responds to a query for the configuration, and to any other query if this process owns the cell (status 421
// otherwise).
awaitable<http_response> respond_to_query(http_request request, std::shared_ptr<cell_member> member);

}  // namespace jacinthvane
