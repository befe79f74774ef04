#pragma once

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

// Decodes the responses of the owner. Errors: not_found (the owner does not have the job), peer_unreachable
// (the process that responded is not the owner), bad_request (the response cannot be decoded).
absl::StatusOr<job_phase> read_state_response(const http_response& response);
absl::StatusOr<std::vector<queue_status>> read_status_response(const http_response& response);

// Errors: peer_unreachable, bad_request.
absl::StatusOr<config_report> read_config_response(const http_response& response);

// Responds to a query for the configuration, and to any other query if this process owns the cell (status 421
// otherwise).
awaitable<http_response> respond_to_query(http_request request, std::shared_ptr<const cell_member> member);

}  // namespace jacinthvane
