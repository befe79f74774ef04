#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "connection/start_log.hpp"
#include "process/error_kind.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// What one client was told about one request it sent. A request may be sent more than once with the same key.
struct told_outcome {
    std::string kind;
    // Task id or idempotency key as the upstreams log it; empty if the client gave no key.
    std::string key;
    bool is_non_idempotent = false;
    // Absent status: the connection broke before an answer came, so the client knows nothing.
    int status = 0;
    run_knowledge run = run_knowledge::may_have_run;
    // False if an answer came that was not the whole answer to this very request.
    bool is_matching_complete_response = true;

    bool operator==(const told_outcome&) const = default;
};

// What became of one job that was accepted with an id.
struct accepted_job {
    job_id job;
    std::string key;
    bool is_non_idempotent = false;
    // State at the end, as the API tells it; empty if the job is unknown there.
    std::string final_state;

    bool operator==(const accepted_job&) const = default;
};

// One invariant of the design page with what was looked at and what was found wrong.
struct invariant_result {
    std::string name;
    std::string text;
    std::size_t checked = 0;
    std::vector<std::string> violations;

    bool operator==(const invariant_result&) const = default;
};

// Compares what clients were told with what the upstreams saw. This is the one place where the invariants
// stand as code; the tests, the fault matrix and the demo use it.
std::vector<invariant_result> check_invariants(const std::vector<told_outcome>& told,
                                               const std::vector<accepted_job>& jobs,
                                               const start_log::snapshot& seen);

bool is_clean(const std::vector<invariant_result>& results);

// A table for people, with one line for each invariant and one for each violation.
std::string format_results(const std::vector<invariant_result>& results);

}  // namespace jacinthvane
