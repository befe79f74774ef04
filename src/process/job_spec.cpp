#include "process/job_spec.hpp"

#include <algorithm>
#include <string>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

absl::Status make_step_error(std::size_t step, const std::string& reason) {
    return make_error(error_kind::bad_request, "step " + std::to_string(step) + " " + reason);
}

absl::Status check_step(const step_spec& step, std::size_t number) {
    if (step.task_count == 0 || step.task_count > max_tasks_per_job) {
        return make_step_error(number, "has " + std::to_string(step.task_count) +
                                           " tasks; the allowed range is 1 to " +
                                           std::to_string(max_tasks_per_job));
    }
    if (step.size.is_negative()) {
        return make_step_error(number, "requests a negative size: " + step.size.to_string());
    }
    for (const auto earlier : step.after) {
        if (earlier >= number) {
            return make_step_error(
                number, "depends on step " + std::to_string(earlier) + ", which is not an earlier one");
        }
    }
    return absl::OkStatus();
}

}  // namespace

bool job_spec::is_long_running() const {
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_spec& step) { return step.is_long_running; });
}

absl::Status check_job_spec(const job_spec& spec) {
    if (spec.payload.size() > max_payload_bytes) {
        return make_error(error_kind::bad_request, "the payload has " + std::to_string(spec.payload.size()) +
                                                       " bytes; the limit is " +
                                                       std::to_string(max_payload_bytes));
    }
    if (spec.steps.empty() || spec.steps.size() > max_steps) {
        return make_error(error_kind::bad_request, "the job has " + std::to_string(spec.steps.size()) +
                                                       " steps; the allowed range is 1 to " +
                                                       std::to_string(max_steps));
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        if (auto status = check_step(spec.steps[i], i); !status.ok()) {
            return status;
        }
        tasks += spec.steps[i].task_count;
    }
    if (tasks > max_tasks_per_job) {
        return make_error(error_kind::bad_request, "the job has " + std::to_string(tasks) +
                                                       " tasks; the limit is " +
                                                       std::to_string(max_tasks_per_job));
    }
    if (spec.occurrences > max_occurrences || (spec.occurrences > 1 && spec.period_ms <= 0)) {
        return make_error(error_kind::bad_request,
                          "the schedule has " + std::to_string(spec.occurrences) + " occurrences " +
                              std::to_string(spec.period_ms) + " ms apart; at most " +
                              std::to_string(max_occurrences) +
                              " are allowed, and more than one requires a positive period");
    }
    return absl::OkStatus();
}

std::int64_t get_longest_chain_ms(const job_spec& spec) {
    std::vector<std::int64_t> finish(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        std::int64_t start = 0;
        for (const auto earlier : spec.steps[i].after) {
            start = std::max(start, finish[earlier]);
        }
        finish[i] = start + spec.steps[i].estimated_ms;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

std::int64_t get_objective_ms(const queue_rules& rules, const job_spec& spec) {
    return get_longest_chain_ms(spec) * rules.stretch_permille / 1000 + rules.objective_ms;
}

}  // namespace jacinthvane
