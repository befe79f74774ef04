#include "process/error_kind.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string>

#include "absl/strings/cord.h"

namespace jacinthvane {

namespace {

constexpr std::string_view kind_payload_url = "jacinthvane/error_kind";
constexpr std::string_view run_payload_url = "jacinthvane/run_knowledge";
constexpr std::string_view retry_payload_url = "jacinthvane/retry_after_ms";

constexpr auto not_run = run_knowledge::not_run;
constexpr auto may_have_run = run_knowledge::may_have_run;
constexpr auto ran = run_knowledge::ran;

constexpr std::array error_table = {
    error_mapping{error_kind::bad_request, "bad_request", 400, not_run, 0, 2,
                  "a field of the request is invalid"},
    error_mapping{error_kind::body_too_large, "body_too_large", 413, not_run, 0, 2,
                  "the body is larger than the configured limit"},
    error_mapping{error_kind::unauthorized, "unauthorized", 401, not_run, 0, 3,
                  "the token is missing or unknown"},
    error_mapping{error_kind::forbidden, "forbidden", 403, not_run, 0, 3,
                  "the token's role does not allow this"},
    error_mapping{error_kind::not_found, "not_found", 404, not_run, 0, 4, "no such object"},
    error_mapping{error_kind::version_conflict, "version_conflict", 409, not_run, 0, 5,
                  "another writer changed the object first"},
    error_mapping{error_kind::key_reused, "key_reused", 409, not_run, 0, 5,
                  "the idempotency key was used before for another request"},
    error_mapping{error_kind::duplicate_in_progress, "duplicate_in_progress", 409, may_have_run, 1000, 6,
                  "a request with the same idempotency key was started and has no known outcome"},
    error_mapping{error_kind::answer_not_kept, "answer_not_kept", 410, ran, 0, 6,
                  "the request ran, but its response was too large to store"},
    error_mapping{error_kind::quota_exceeded, "quota_exceeded", 429, not_run, 1000, 7,
                  "the team's quota is used up"},
    error_mapping{error_kind::overloaded, "overloaded", 503, not_run, 1000, 7, "the queue is full"},
    error_mapping{error_kind::deadline_unreachable, "deadline_unreachable", 503, not_run, 1000, 7,
                  "the request cannot start before its deadline"},
    error_mapping{error_kind::deadline_exceeded, "deadline_exceeded", 504, may_have_run, 0, 8,
                  "the deadline passed before the response arrived"},
    error_mapping{error_kind::never_fits, "never_fits", 422, not_run, 0, 2,
                  "no upstream is large enough for the declared size"},
    error_mapping{error_kind::no_capacity, "no_capacity", 503, not_run, 500, 7,
                  "no upstream has enough free capacity now"},
    error_mapping{error_kind::not_ready, "not_ready", 503, not_run, 2000, 7,
                  "the process has no current configuration"},
    error_mapping{error_kind::shutting_down, "shutting_down", 503, not_run, 100, 7,
                  "the process is shutting down"},
    error_mapping{error_kind::store_unavailable, "store_unavailable", 503, not_run, 2000, 9,
                  "the platform's store did not accept the write"},
    error_mapping{error_kind::store_outcome_unknown, "store_outcome_unknown", 503, may_have_run, 2000, 9,
                  "the platform's store did not confirm whether the write took effect"},
    error_mapping{error_kind::upstream_leaving, "upstream_leaving", 503, not_run, 100, 10,
                  "the upstream is about to be removed and refused the task"},
    error_mapping{error_kind::upstream_too_late, "upstream_too_late", 503, not_run, 100, 10,
                  "the start order reached the upstream after its time limit and was refused"},
    error_mapping{error_kind::upstream_failed, "upstream_failed", 502, ran, 0, 10,
                  "the task failed on the upstream"},
    error_mapping{error_kind::upstream_unreachable, "upstream_unreachable", 502, not_run, 500, 10,
                  "no connection to the upstream could be opened"},
    error_mapping{error_kind::upstream_lost, "upstream_lost", 502, may_have_run, 500, 10,
                  "the connection to the upstream broke before the response arrived"},
    error_mapping{error_kind::call_delayed, "call_delayed", 503, may_have_run, 500, 10,
                  "this process was too slow to send the request or to read the response"},
    error_mapping{error_kind::peer_unreachable, "peer_unreachable", 503, not_run, 500, 11,
                  "no connection to the peer could be opened"},
    error_mapping{error_kind::peer_lost, "peer_lost", 502, may_have_run, 500, 11,
                  "the connection to the peer broke before the response arrived"},
    error_mapping{error_kind::bad_configuration, "bad_configuration", 422, not_run, 0, 2,
                  "the configuration is invalid"},
    error_mapping{error_kind::internal, "internal", 500, may_have_run, 0, 1, "an unexpected error"},
};

absl::StatusCode get_code(error_kind kind) {
    switch (get_error_mapping(kind).http_status) {
        case 400:
        case 413:
        case 422:
            return absl::StatusCode::kInvalidArgument;
        case 401:
            return absl::StatusCode::kUnauthenticated;
        case 403:
            return absl::StatusCode::kPermissionDenied;
        case 404:
            return absl::StatusCode::kNotFound;
        case 409:
            return absl::StatusCode::kAborted;
        case 429:
            return absl::StatusCode::kResourceExhausted;
        case 504:
            return absl::StatusCode::kDeadlineExceeded;
        case 500:
            return absl::StatusCode::kInternal;
        default:
            return absl::StatusCode::kUnavailable;
    }
}

std::optional<int> read_payload(const absl::Status& status, std::string_view url) {
    const auto payload = status.GetPayload(absl::string_view(url.data(), url.size()));
    if (!payload) {
        return std::nullopt;
    }
    return std::stoi(std::string(*payload));
}

void write_payload(absl::Status& status, std::string_view url, int value) {
    status.SetPayload(absl::string_view(url.data(), url.size()), absl::Cord(std::to_string(value)));
}

}  // namespace

std::string_view get_name(run_knowledge run) {
    switch (run) {
        case run_knowledge::not_run:
            return "not-run";
        case run_knowledge::may_have_run:
            return "may-have-run";
        case run_knowledge::ran:
            return "ran";
    }
    return "may-have-run";
}

const error_mapping& get_error_mapping(error_kind kind) {
    return error_table.at(static_cast<std::size_t>(kind));
}

std::span<const error_mapping> get_all_error_mappings() {
    return error_table;
}

absl::Status make_error(error_kind kind, std::string_view message) {
    return make_error(kind, message, get_error_mapping(kind).run);
}

absl::Status make_error(error_kind kind, std::string_view message, run_knowledge run) {
    absl::Status status(get_code(kind), absl::string_view(message.data(), message.size()));
    write_payload(status, kind_payload_url, static_cast<int>(kind));
    write_payload(status, run_payload_url, static_cast<int>(run));
    return status;
}

absl::Status make_refusal(error_kind kind, std::string_view message, std::int64_t retry_after_ms) {
    constexpr std::int64_t max_retry_after_ms = 3'600'000;
    auto status = make_error(kind, message, run_knowledge::not_run);
    const auto bounded = std::clamp<std::int64_t>(retry_after_ms, 0, max_retry_after_ms);
    write_payload(status, retry_payload_url, static_cast<int>(bounded));
    return status;
}

std::int64_t get_retry_after_ms(const absl::Status& status) {
    const auto own = read_payload(status, retry_payload_url);
    return own ? *own : get_error_mapping(get_error_kind(status)).retry_after_ms;
}

error_kind get_error_kind(const absl::Status& status) {
    const auto kind = read_payload(status, kind_payload_url);
    return kind ? static_cast<error_kind>(*kind) : error_kind::internal;
}

run_knowledge get_run_knowledge(const absl::Status& status) {
    const auto run = read_payload(status, run_payload_url);
    return run ? static_cast<run_knowledge>(*run) : run_knowledge::may_have_run;
}

}  // namespace jacinthvane
