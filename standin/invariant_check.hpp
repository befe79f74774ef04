#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "connection/start_log.hpp"
#include "process/error_kind.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// The outcome of one request as reported to the client. A request may be sent more than once with the same
// key.
struct client_outcome {
    std::string kind;
    // Task id or idempotency key as the upstreams log it; empty if the client gave no key.
    std::string key;
    bool is_non_idempotent = false;
    // 0 if the connection failed before a response arrived; the outcome is then unknown to the client.
    int status = 0;
    run_knowledge run = run_knowledge::may_have_run;
    // False if the response was incomplete or belonged to another request.
    bool is_response_correct = true;

    bool operator==(const client_outcome&) const = default;
};

// A job that was accepted with an id, and its final state.
struct accepted_job {
    job_id job;
    std::string key;
    bool is_non_idempotent = false;
    // Final state as reported by the API; empty if the API does not know the job.
    std::string final_state;

    bool operator==(const accepted_job&) const = default;
};

// The result of checking one invariant of the design page: the number of items checked and the violations.
struct invariant_result {
    std::string name;
    std::string text;
    std::size_t checked = 0;
    std::vector<std::string> violations;

    bool operator==(const invariant_result&) const = default;
};

// Compares the outcomes reported to clients with the ledgers of the upstreams. The tests, the fault matrix
// and the demo all use this implementation of the invariants.
std::vector<invariant_result> check_invariants(const std::vector<client_outcome>& outcomes,
                                               const std::vector<accepted_job>& jobs,
                                               const start_log::snapshot& ledger);

bool is_clean(const std::vector<invariant_result>& results);

// Formats the results as text, with one line for each invariant and for each of its first violations.
std::string format_results(const std::vector<invariant_result>& results);

}  // namespace jacinthvane
