#include "version/runbook.hpp"

#include <algorithm>
#include <set>

namespace jacinthvane {

namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_description_bytes = 4096;

bool has_control_character(std::string_view text) {
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

std::string_view get_selection_name(const upstream_selection& selection) {
    struct visitor {
        std::string_view operator()(const any_upstream&) const { return "any"; }
        std::string_view operator()(const upstream_id& id) const { return id.get(); }
        std::string_view operator()(const rack_id& id) const { return id.get(); }
        std::string_view operator()(const failure_domain_id& id) const { return id.get(); }
    };
    return std::visit(visitor{}, selection);
}

void check_step(const runbook_step& step, const std::string& prefix, config_errors& errors) {
    if (!is_valid_name(step.name)) {
        errors.push_back({prefix + ".name", "\"" + step.name + "\" is not a valid step name"});
    }
    if (step.command.empty() || step.command.size() > max_argument_bytes ||
        has_control_character(step.command)) {
        errors.push_back({prefix + ".command", "the command is empty, too long or has control characters"});
    }
    if (step.arguments.size() > max_step_arguments) {
        errors.push_back({prefix + ".arguments", "has " + std::to_string(step.arguments.size()) +
                                                     " arguments; the limit is " +
                                                     std::to_string(max_step_arguments)});
    }
    for (std::size_t i = 0; i < step.arguments.size(); ++i) {
        if (step.arguments[i].size() > max_argument_bytes) {
            errors.push_back({prefix + ".arguments[" + std::to_string(i) + "]",
                              "has " + std::to_string(step.arguments[i].size()) + " bytes; the limit is " +
                                  std::to_string(max_argument_bytes)});
        }
    }
    if (!is_valid_name(step.kind.get())) {
        errors.push_back({prefix + ".kind", "\"" + step.kind.get() + "\" is not a valid task kind"});
    }
    if (!is_valid_name(get_selection_name(step.runs_on))) {
        errors.push_back(
            {prefix + ".runs_on", "the name of the upstream, rack or failure domain is not valid"});
    }
    if (step.timeout_ms < 1 || step.timeout_ms > max_step_timeout_ms) {
        errors.push_back({prefix + ".timeout_ms", "must be between 1 and " +
                                                      std::to_string(max_step_timeout_ms) + ", not " +
                                                      std::to_string(step.timeout_ms)});
    }
    if (step.size.is_negative() || step.size.get_slots() < 1) {
        errors.push_back({prefix + ".size", "must have at least one slot and no negative amount"});
    }
}

}  // namespace

bool is_valid_name(std::string_view name) {
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), is_allowed);
}

config_errors check_runbook(const runbook& book, const std::string& prefix) {
    config_errors errors;
    if (!is_valid_name(book.name)) {
        errors.push_back({prefix + ".name", "\"" + book.name + "\" is not a valid runbook name"});
    }
    if (!is_valid_name(book.team.get())) {
        errors.push_back({prefix + ".team", "\"" + book.team.get() + "\" is not a valid team name"});
    }
    if (book.description.size() > max_description_bytes) {
        errors.push_back({prefix + ".description", "has " + std::to_string(book.description.size()) +
                                                       " bytes; the limit is " +
                                                       std::to_string(max_description_bytes)});
    }
    if (book.steps.empty() || book.steps.size() > max_runbook_steps) {
        errors.push_back({prefix + ".steps", "a runbook has 1 to " + std::to_string(max_runbook_steps) +
                                                 " steps, not " + std::to_string(book.steps.size())});
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < book.steps.size() && i < max_runbook_steps; ++i) {
        const auto step_prefix = prefix + ".steps[" + std::to_string(i) + "]";
        check_step(book.steps[i], step_prefix, errors);
        if (!names.insert(book.steps[i].name).second) {
            errors.push_back(
                {step_prefix + ".name", "\"" + book.steps[i].name + "\" names more than one step"});
        }
    }
    return errors;
}

std::string_view get_name(failure_action action) {
    switch (action) {
        case failure_action::stop:
            return "stop";
        case failure_action::go_on:
            return "continue";
        case failure_action::ask:
            return "ask";
    }
    return "stop";
}

std::string_view get_name(step_state state) {
    switch (state) {
        case step_state::waiting:
            return "waiting";
        case step_state::started:
            return "started";
        case step_state::done:
            return "done";
        case step_state::failed:
            return "failed";
        case step_state::unknown_outcome:
            return "unknown_outcome";
        case step_state::skipped:
            return "skipped";
    }
    return "unknown_outcome";
}

std::string_view get_name(run_state state) {
    switch (state) {
        case run_state::running:
            return "running";
        case run_state::asking:
            return "asking";
        case run_state::stopped:
            return "stopped";
        case run_state::finished:
            return "finished";
        case run_state::cancelled:
            return "cancelled";
    }
    return "asking";
}

std::string_view get_name(run_decision decision) {
    switch (decision) {
        case run_decision::it_ran:
            return "it-ran";
        case run_decision::it_failed:
            return "it-failed";
        case run_decision::did_not_run:
            return "did-not-run";
        case run_decision::repeat:
            return "repeat";
    }
    return "it-failed";
}

}  // namespace jacinthvane
