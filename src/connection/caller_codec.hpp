#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "connection/http_message.hpp"
#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

// A validated client request, independent of HTTP.
struct caller_request {
    request_id request;
    task_spec spec;
    time_point deadline;
    std::optional<idempotency_key> key;
    // Equal for two requests for the same work; a key that is reused with another digest is refused.
    std::string digest;

    bool operator==(const caller_request&) const = default;
};

// Limits and defaults of what a client may request.
struct caller_limits {
    std::int64_t max_deadline_ms = 24L * 3600 * 1000;
    std::int64_t default_urgent_deadline_ms = 30'000;
    std::int64_t default_batch_deadline_ms = 24L * 3600 * 1000;
};

// Reads the headers and the body of a request for the given class. The error names the invalid header.
absl::StatusOr<caller_request> parse_caller_request(const http_request& message, task_class work_class,
                                                    const request_id& request, time_point now,
                                                    const caller_limits& limits);

// Makes the response for a task that ran.
http_response make_task_response(const task_response& response, const request_id& request);

// Makes the response for an error: the HTTP status of its kind, a JSON body, and whether the task ran.
http_response make_error_response(const absl::Status& status, const request_id& request);

http_response make_json_response(int status, const std::string& json, const std::string& run,
                                 const request_id& request);

}  // namespace jacinthvane
