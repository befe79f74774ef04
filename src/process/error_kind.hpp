#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "absl/status/status.h"

namespace jacinthvane {

// Whether a request is known to have run. Every response to a caller carries one of these values.
enum class run_knowledge { not_run, may_have_run, ran };

std::string_view get_name(run_knowledge run);

// The closed list of errors that the system reports. get_error_mapping returns how each one is reported.
enum class error_kind {
    bad_request,
    body_too_large,
    unauthorized,
    forbidden,
    not_found,
    version_conflict,
    key_reused,
    duplicate_in_progress,
    answer_not_kept,
    quota_exceeded,
    overloaded,
    deadline_unreachable,
    deadline_exceeded,
    never_fits,
    no_capacity,
    not_ready,
    shutting_down,
    store_unavailable,
    store_outcome_unknown,
    upstream_leaving,
    upstream_too_late,
    upstream_failed,
    upstream_unreachable,
    upstream_lost,
    call_delayed,
    peer_unreachable,
    peer_lost,
    bad_configuration,
    internal,
};

// How an error kind is reported by every front end.
struct error_mapping {
    error_kind kind;
    std::string_view name;
    int http_status;
    run_knowledge run;
    // Milliseconds after which the caller should retry; 0 means that a retry will not help.
    std::int64_t retry_after_ms;
    int exit_code;
    std::string_view text;
};

const error_mapping& get_error_mapping(error_kind kind);

std::span<const error_mapping> get_all_error_mappings();

// Makes a status of the given kind. The message describes what failed and which value caused it. Without the
// parameter run, the value from the table of error kinds is used.
absl::Status make_error(error_kind kind, std::string_view message);
absl::Status make_error(error_kind kind, std::string_view message, run_knowledge run);

// Makes the error of a refusal after which the caller should come back after the given time.
absl::Status make_refusal(error_kind kind, std::string_view message, std::int64_t retry_after_ms);

// Returns the time of make_refusal, or that of the kind of the error.
std::int64_t get_retry_after_ms(const absl::Status& status);

// Returns the kind of a status made by make_error; any other status counts as internal.
error_kind get_error_kind(const absl::Status& status);

run_knowledge get_run_knowledge(const absl::Status& status);

}  // namespace jacinthvane
