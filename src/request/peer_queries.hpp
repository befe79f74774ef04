#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/http_message.hpp"
#include "process/job_progress.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

class cell_member;

// Queries that the processes of a cell send to its owner, as HTTP requests with JSON responses.
http_request make_state_query(const std::string& queue, const job_id& id);
http_request make_status_query();

// Decodes the responses of the owner. Errors: not_found (the owner does not have the job), peer_unreachable
// (the process that responded is not the owner), bad_request (the response cannot be decoded).
absl::StatusOr<job_phase> read_state_response(const http_response& response);
absl::StatusOr<std::vector<queue_status>> read_status_response(const http_response& response);

// Responds to a query if this process owns the cell, and with status 421 otherwise.
http_response respond_to_query(const http_request& request, const cell_member& member);

}  // namespace jacinthvane
