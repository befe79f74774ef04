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

// Questions that the processes of a cell ask its owner, as HTTP requests with JSON answers.
http_request make_state_question(const std::string& queue, const job_id& id);
http_request make_status_question();

// Reads the owner's answers. Errors: not_found (the owner knows no such job), peer_unreachable (the process
// asked is not the owner), bad_request (the answer cannot be read).
absl::StatusOr<job_phase> read_state_answer(const http_response& response);
absl::StatusOr<std::vector<queue_status>> read_status_answer(const http_response& response);

// Answers a question as the owner, if this process is.
http_response answer_question(const http_request& request, const cell_member& member);

}  // namespace jacinthvane
