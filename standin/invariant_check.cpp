#include "standin/invariant_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace jacinthvane {

namespace {

constexpr std::size_t max_listed_violations = 5;

std::map<std::string, std::size_t> count_starts_by_key(const start_log::snapshot& ledger) {
    std::map<std::string, std::size_t> result;
    for (const auto& start : ledger.starts) {
        if (!start.key.empty()) {
            ++result[start.key];
        }
    }
    return result;
}

invariant_result check_commitments(const start_log::snapshot& ledger) {
    invariant_result result{
        .name = "I1", .text = "no VM has more committed work than its capacity", .violations = {}};
    for (const auto& [upstream, logged] : ledger.upstreams) {
        ++result.checked;
        if (!logged.most_committed.is_within(logged.size)) {
            result.violations.push_back(upstream.get() + " had commitments of " +
                                        logged.most_committed.to_string() + " at a capacity of " +
                                        logged.size.to_string());
        }
    }
    return result;
}

invariant_result check_concurrency(const start_log::snapshot& ledger) {
    invariant_result result{.name = "I2", .text = "no task has two runs at the same time", .violations = {}};
    std::set<task_id> tasks;
    for (const auto& start : ledger.starts) {
        tasks.insert(start.task);
    }
    result.checked = tasks.size();
    for (const auto& task : ledger.concurrent_tasks) {
        result.violations.push_back(task.get() + " had two runs at the same time");
    }
    return result;
}

invariant_result check_generations(const start_log::snapshot& ledger) {
    invariant_result result{.name = "I3",
                            .text = "a generation of a task starts once, so a resume happens once",
                            .violations = {}};
    std::map<std::pair<task_id, std::uint64_t>, std::size_t> starts;
    for (const auto& start : ledger.starts) {
        ++starts[{start.task, start.generation}];
    }
    result.checked = starts.size();
    for (const auto& [generation, count] : starts) {
        if (count > 1) {
            result.violations.push_back(generation.first.get() + " generation " +
                                        std::to_string(generation.second) + " started " +
                                        std::to_string(count) + " times");
        }
    }
    return result;
}

invariant_result check_responses(const std::vector<client_outcome>& outcomes) {
    invariant_result result{
        .name = "I4", .text = "every client gets the complete response to its own request", .violations = {}};
    for (const auto& outcome : outcomes) {
        if (outcome.status != 200) {
            continue;
        }
        ++result.checked;
        if (!outcome.is_response_correct) {
            result.violations.push_back(outcome.kind + " " + outcome.key +
                                        " got a wrong or an incomplete response");
        }
    }
    return result;
}

invariant_result check_not_run(const std::vector<client_outcome>& outcomes,
                               const start_log::snapshot& ledger) {
    invariant_result result{
        .name = "I5", .text = "a request reported as not-run did not run", .violations = {}};
    const auto starts = count_starts_by_key(ledger);
    // If a key was sent twice, the other request with this key may have run.
    std::set<std::string> keys_that_may_have_run;
    for (const auto& outcome : outcomes) {
        // An accepted job has not run yet, but will.
        if (outcome.status == 0 || outcome.status == 202 || outcome.run != run_knowledge::not_run) {
            keys_that_may_have_run.insert(outcome.key);
        }
    }
    for (const auto& outcome : outcomes) {
        if (outcome.key.empty() || keys_that_may_have_run.contains(outcome.key)) {
            continue;
        }
        ++result.checked;
        if (starts.contains(outcome.key)) {
            result.violations.push_back(outcome.kind + " " + outcome.key +
                                        " was reported as not-run but started");
        }
    }
    return result;
}

invariant_result check_at_most_once(const std::vector<client_outcome>& outcomes,
                                    const start_log::snapshot& ledger) {
    invariant_result result{
        .name = "I6", .text = "a non-idempotent request runs at most once", .violations = {}};
    const auto starts = count_starts_by_key(ledger);
    std::set<std::string> keys;
    for (const auto& outcome : outcomes) {
        if (outcome.is_non_idempotent) {
            keys.insert(outcome.key);
        }
    }
    for (const auto& key : keys) {
        ++result.checked;
        const auto found = starts.find(key);
        if (found != starts.end() && found->second > 1) {
            result.violations.push_back(key + " started " + std::to_string(found->second) + " times");
        }
    }
    return result;
}

invariant_result check_jobs(const std::vector<accepted_job>& jobs) {
    invariant_result result{.name = "I10", .text = "no accepted job is lost", .violations = {}};
    for (const auto& job : jobs) {
        ++result.checked;
        if (job.final_state.empty()) {
            result.violations.push_back(job.job.get() + " was accepted but is unknown at the end");
        }
    }
    return result;
}

}  // namespace

std::vector<invariant_result> check_invariants(const std::vector<client_outcome>& outcomes,
                                               const std::vector<accepted_job>& jobs,
                                               const start_log::snapshot& ledger) {
    return {check_commitments(ledger), check_concurrency(ledger),       check_generations(ledger),
            check_responses(outcomes), check_not_run(outcomes, ledger), check_at_most_once(outcomes, ledger),
            check_jobs(jobs)};
}

bool is_clean(const std::vector<invariant_result>& results) {
    return std::all_of(results.begin(), results.end(),
                       [](const invariant_result& result) { return result.violations.empty(); });
}

std::string format_results(const std::vector<invariant_result>& results) {
    std::ostringstream text;
    for (const auto& result : results) {
        text << (result.violations.empty() ? "holds    " : "VIOLATED ") << result.name << "  " << result.text
             << "  (" << result.checked << " checked, " << result.violations.size() << " violations)\n";
        for (std::size_t i = 0; i < std::min(result.violations.size(), max_listed_violations); ++i) {
            text << "           " << result.violations[i] << "\n";
        }
    }
    return text.str();
}

}  // namespace jacinthvane
