#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "process/error_kind.hpp"
#include "process/ids.hpp"
#include "process/resource_vector.hpp"
#include "process/task_types.hpp"
#include "process/utc_time.hpp"
#include "version/config_error.hpp"

namespace jacinthvane {

constexpr std::size_t max_runbook_steps = 64;
constexpr std::size_t max_step_arguments = 32;
constexpr std::size_t max_argument_bytes = 1024;
constexpr std::int64_t max_step_timeout_ms = 24LL * 3600 * 1000;

// How a run proceeds after a step has definitely failed.
enum class failure_action { stop, go_on, ask };

// Selects the upstreams on which a step may run.
struct any_upstream {
    bool operator==(const any_upstream&) const = default;
};
using upstream_selection = std::variant<any_upstream, upstream_id, rack_id, failure_domain_id>;

// One step, which runs an existing command of the operators' previous system.
struct runbook_step {
    std::string name;
    std::string command;
    std::vector<std::string> arguments;
    task_kind kind;
    upstream_selection runs_on;
    task_class work_class = task_class::batch;
    resource_vector size{1000, 1024, 0, 1};
    bool is_idempotent = false;
    std::int64_t timeout_ms = 0;
    failure_action on_failure = failure_action::stop;

    bool operator==(const runbook_step&) const = default;
};

struct runbook {
    std::string name;
    std::string description;
    team_id team;
    std::vector<runbook_step> steps;

    bool operator==(const runbook&) const = default;
};

// Returns all errors of a runbook. The key of each error starts with the given prefix.
config_errors check_runbook(const runbook& book, const std::string& prefix);

// Returns whether the name consists of 1 to 64 letters, digits, '.', '_' or '-'. Such names need no escaping
// in a path.
bool is_valid_name(std::string_view name);

enum class step_state { waiting, started, done, failed, unknown_outcome, skipped };
enum class run_state { running, asking, stopped, finished, cancelled };

std::string_view get_name(failure_action action);
std::string_view get_name(step_state state);
std::string_view get_name(run_state state);

// The operator's decision about the step at which a run waits. did_not_run and repeat start the step again;
// repeat is refused for a non-idempotent step.
enum class run_decision { it_ran, it_failed, did_not_run, repeat };
std::string_view get_name(run_decision decision);

// The recorded state of one step of a run.
struct step_record {
    step_state state = step_state::waiting;
    run_knowledge knowledge = run_knowledge::not_run;
    std::uint32_t attempts = 0;
    // The task of the latest attempt. A driver uses this id to look up the outcome later.
    task_id task;
    std::string detail;

    bool operator==(const step_record&) const = default;
};

// The durable record of one run. It holds everything that another driver needs to continue the run.
struct runbook_run_record {
    std::string run_id;
    runbook book;
    run_state state = run_state::running;
    std::vector<step_record> steps;
    std::string started_by;
    std::string reason;
    utc_time started_at;
    // The question to the operator while the state is asking.
    std::string question;
    // Unique to each write, so that reading it back shows whether a write whose response was lost took
    // effect.
    std::string writer;
    // Operators' decisions in chronological order, each with author, decision and reason. At most
    // max_run_decisions.
    std::vector<std::string> decisions;

    bool operator==(const runbook_run_record&) const = default;
};

constexpr std::size_t max_run_decisions = 100;

}  // namespace jacinthvane
