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

// What a client asks for, checked and free of HTTP.
struct caller_request {
    request_id request;
    task_spec spec;
    time_point deadline;
    std::optional<idempotency_key> key;
    // Equal for two requests that ask for the same run; a key reused with another digest is refused.
    std::string digest;

    bool operator==(const caller_request&) const = default;
};

// Bounds of what a client may ask for.
struct caller_limits {
    std::int64_t max_deadline_ms = 24L * 3600 * 1000;
    std::int64_t default_urgent_deadline_ms = 30'000;
    std::int64_t default_batch_deadline_ms = 24L * 3600 * 1000;
};

// Reads the headers and the body of a request for the given class. The error names the header that is wrong.
absl::StatusOr<caller_request> parse_caller_request(const http_request& message, task_class work_class,
                                                    const request_id& request, time_point now,
                                                    const caller_limits& limits);

// Makes the answer for a task that ran.
http_response make_task_response(const task_answer& answer, const request_id& request);

// Makes the answer for an error: the status of the error table, the knowledge of the run and a JSON body.
http_response make_error_response(const absl::Status& status, const request_id& request);

// Makes a JSON answer with the given status.
http_response make_json_response(int status, const std::string& json, const std::string& run,
                                 const request_id& request);

}  // namespace jacinthvane
