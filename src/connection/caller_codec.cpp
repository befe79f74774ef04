#include "connection/caller_codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string_view>

#include <nlohmann/json.hpp>

#include "process/digest.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_key_bytes = 128;
constexpr std::int64_t max_processors_milli = 1'024'000;
constexpr std::int64_t max_memory_mb = 16'777'216;
constexpr std::int64_t max_accelerators = 64;
constexpr std::int64_t default_processors_milli = 1000;
constexpr std::int64_t default_memory_mb = 512;

absl::Status make_header_error(std::string_view header, std::string_view value, std::string_view accepted) {
    return make_error(error_kind::bad_request, "header " + std::string(header) + " is \"" +
                                                   std::string(value.substr(0, max_name_bytes)) +
                                                   "\"; expected " + std::string(accepted));
}

bool is_name(std::string_view text) {
    const auto is_name_char = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

bool is_key(std::string_view text) {
    return !text.empty() && text.size() <= max_key_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

absl::StatusOr<std::string> read_name(const http_request& message, std::string_view header) {
    const auto value = message.get_header(header);
    if (!is_name(value)) {
        return make_header_error(header, value, "1 to 64 letters, digits, '-', '_' or '.'");
    }
    return std::string(value);
}

absl::StatusOr<std::int64_t> read_number(const http_request& message, std::string_view header,
                                         std::int64_t fallback, std::int64_t minimum, std::int64_t maximum) {
    const auto value = message.get_header(header);
    if (value.empty()) {
        return fallback;
    }
    std::int64_t number = 0;
    const auto result = std::from_chars(value.data(), value.data() + value.size(), number);
    if (result.ec != std::errc() || result.ptr != value.data() + value.size() || number < minimum ||
        number > maximum) {
        return make_header_error(
            header, value,
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return number;
}

absl::StatusOr<bool> read_flag(const http_request& message, std::string_view header) {
    const auto value = message.get_header(header);
    if (value.empty() || value == "false") {
        return false;
    }
    if (value != "true") {
        return make_header_error(header, value, "true or false");
    }
    return true;
}

absl::StatusOr<resource_vector> read_size(const http_request& message) {
    const auto processors =
        read_number(message, "X-Processors-Milli", default_processors_milli, 1, max_processors_milli);
    if (!processors.ok()) {
        return processors.status();
    }
    const auto memory = read_number(message, "X-Memory-Mb", default_memory_mb, 1, max_memory_mb);
    if (!memory.ok()) {
        return memory.status();
    }
    const auto accelerators = read_number(message, "X-Accelerators", 0, 0, max_accelerators);
    if (!accelerators.ok()) {
        return accelerators.status();
    }
    return resource_vector(*processors, *memory, *accelerators, 1);
}

std::string make_request_digest(const task_spec& spec) {
    return make_digest(spec.kind.get() + "\n" + spec.size.to_string() + "\n" + spec.body);
}

absl::Status check_class(const http_request& message, task_class work_class) {
    const auto value = message.get_header("X-Class");
    const std::string_view expected = work_class == task_class::urgent ? "urgent" : "batch";
    if (!value.empty() && value != expected) {
        return make_header_error("X-Class", value, std::string(expected) + " for this address");
    }
    return absl::OkStatus();
}

}  // namespace

absl::StatusOr<caller_request> parse_caller_request(const http_request& message, task_class work_class,
                                                    const request_id& request, time_point now,
                                                    const caller_limits& limits) {
    if (const auto status = check_class(message, work_class); !status.ok()) {
        return status;
    }
    const auto team = read_name(message, "X-Team");
    if (!team.ok()) {
        return team.status();
    }
    const auto kind = read_name(message, "X-Kind");
    if (!kind.ok()) {
        return kind.status();
    }
    const auto size = read_size(message);
    if (!size.ok()) {
        return size.status();
    }
    const auto default_deadline_ms = work_class == task_class::urgent ? limits.default_urgent_deadline_ms
                                                                      : limits.default_batch_deadline_ms;
    const auto deadline_ms =
        read_number(message, "X-Deadline-Ms", default_deadline_ms, 1, limits.max_deadline_ms);
    if (!deadline_ms.ok()) {
        return deadline_ms.status();
    }
    const auto is_non_idempotent = read_flag(message, "X-Non-Idempotent");
    if (!is_non_idempotent.ok()) {
        return is_non_idempotent.status();
    }
    const auto key = message.get_header("Idempotency-Key");
    if (!key.empty() && !is_key(key)) {
        return make_header_error("Idempotency-Key", key, "1 to 128 printable characters without spaces");
    }
    if (key.empty() && *is_non_idempotent && work_class == task_class::urgent) {
        return make_error(
            error_kind::bad_request,
            "header Idempotency-Key is missing; a request with X-Non-Idempotent: true needs one");
    }
    caller_request result;
    result.request = request;
    result.deadline = now + std::chrono::milliseconds(*deadline_ms);
    result.spec.team = team_id(*team);
    result.spec.kind = task_kind(*kind);
    result.spec.work_class = work_class;
    result.spec.size = *size;
    result.spec.is_idempotent = !*is_non_idempotent;
    result.spec.body = message.body;
    result.digest = make_request_digest(result.spec);
    if (!key.empty()) {
        result.key = idempotency_key(std::string(key));
    }
    // Retries share a task id only if the work must not run twice. An idempotent request that is sent twice
    // may run twice, even concurrently, so upstreams need two ids to distinguish the runs.
    const bool shares_task_id = result.key && (*is_non_idempotent || work_class == task_class::batch);
    result.spec.task =
        task_id(shares_task_id ? "k-" + make_digest(*team + "\n" + std::string(key)) : request.get());
    return result;
}

http_response make_task_response(const task_response& response, const request_id& request) {
    http_response encoded;
    encoded.status = response.status;
    if (!response.content_type.empty()) {
        encoded.headers["Content-Type"] = response.content_type;
    }
    encoded.headers["X-Run"] = std::string(get_name(run_knowledge::ran));
    encoded.headers["X-Request-Id"] = request.get();
    encoded.body = response.body;
    return encoded;
}

http_response make_error_response(const absl::Status& status, const request_id& request) {
    const auto& mapping = get_error_mapping(get_error_kind(status));
    const std::string run(get_name(get_run_knowledge(status)));
    const nlohmann::json body = {{"kind", std::string(mapping.name)},
                                 {"message", std::string(status.message())},
                                 {"run", run},
                                 {"retry_after_ms", mapping.retry_after_ms}};
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    auto response = make_json_response(mapping.http_status, text, run, request);
    if (mapping.retry_after_ms > 0) {
        response.headers["Retry-After"] = std::to_string((mapping.retry_after_ms + 999) / 1000);
    }
    return response;
}

http_response make_json_response(int status, const std::string& json, const std::string& run,
                                 const request_id& request) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Run"] = run;
    response.headers["X-Request-Id"] = request.get();
    response.body = json;
    return response;
}

}  // namespace jacinthvane
