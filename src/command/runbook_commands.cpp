#include "command/runbook_commands.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "command/admin_client.hpp"
#include "command/change_command.hpp"
#include "command/text_table.hpp"
#include "connection/document_reader.hpp"
#include "connection/runbook_codec.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds run_poll_interval{1000};

void print_run(const nlohmann::json& run, std::ostream& out) {
    const auto& book = run.at("runbook");
    out << "run " << run.value("run_id", "") << " of " << book.value("name", "") << ": "
        << run.value("state", "") << "\n";
    if (!run.value("question", "").empty()) {
        out << "question: " << run.value("question", "") << "\n";
    }
    text_table table({"STEP", "COMMAND", "STATE", "RUN", "ATTEMPTS", "DETAIL"});
    for (std::size_t i = 0; i < run.at("steps").size(); ++i) {
        const auto& step = run.at("steps")[i];
        const auto& step_definition = book.at("steps")[i];
        table.add_row({step_definition.value("name", ""), step_definition.value("command", ""),
                       step.value("state", ""), step.value("run", ""),
                       std::to_string(step.value("attempts", 0)), step.value("detail", "")});
    }
    table.print(out);
    for (const auto& decision : run.at("decisions")) {
        out << "decision: " << decision.get<std::string>() << "\n";
    }
}

void print_run_response(const nlohmann::json& run, const parsed_arguments& arguments, std::ostream& out) {
    if (arguments.is_json()) {
        out << write_json(run) << "\n";
    } else {
        print_run(run, out);
    }
}

absl::Status list_runbooks(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get(arguments.has("runs") ? "/v1/admin/runs" : "/v1/admin/runbooks");
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    if (arguments.has("runs")) {
        text_table table({"RUN", "RUNBOOK", "STATE", "STARTED", "BY"});
        for (const auto& run : response->at("runs")) {
            table.add_row({run.value("run_id", ""), run.at("runbook").value("name", ""),
                           run.value("state", ""), run.value("started_at", ""), run.value("started_by", "")});
        }
        table.print(streams.out);
        return absl::OkStatus();
    }
    text_table table({"RUNBOOK", "TEAM", "STEPS", "DESCRIPTION"});
    for (const auto& book : response->at("runbooks")) {
        table.add_row({book.value("name", ""), book.value("team", ""),
                       std::to_string(book.at("steps").size()), book.value("description", "")});
    }
    table.print(streams.out);
    return absl::OkStatus();
}

absl::Status show_runbook(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get("/v1/admin/runbooks/" + escape_target(arguments.positionals[0]));
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    text_document document{*response, {}};
    fault_collector faults(document, false);
    streams.out << write_runbook_toml(decode_runbook(document.root, "", faults));
    return absl::OkStatus();
}

absl::Status put_runbook_file(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto text = read_file(arguments.positionals[0]);
    if (!text.ok()) {
        return text.status();
    }
    const auto parsed = parse_runbook_toml(*text);
    if (const auto* errors = std::get_if<config_errors>(&parsed)) {
        return make_error(error_kind::bad_configuration,
                          arguments.positionals[0] + ":\n" + format_errors(*errors));
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto config = client->get("/v1/admin/config");
    if (!config.ok()) {
        return config.status();
    }
    const nlohmann::json operation = {{"op", "put_runbook"},
                                      {"runbook", encode_runbook(std::get<runbook>(parsed))}};
    const auto response = post_change(*client, "/v1/admin/config",
                                      {{"operations", nlohmann::json::array({operation})},
                                       {"expected_version", config->at("version")},
                                       {"reason", *reason}});
    return response.ok() ? finish_change(*client, *response, arguments, streams) : response.status();
}

// Prints progress until the run is no longer in the state "running" or the timeout passes.
absl::Status follow_run(const admin_client& client, const std::string& run_id,
                        const parsed_arguments& arguments, command_streams& streams) {
    std::int64_t seconds = 3600;
    if (auto status = read_number_option(arguments, "wait-timeout", 1, 86400, seconds); !status.ok()) {
        return status;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::string last_progress;
    while (true) {
        const auto run = client.get("/v1/admin/runs/" + escape_target(run_id));
        if (run.ok()) {
            std::size_t done = 0;
            for (const auto& step : run->at("steps")) {
                done += step.value("state", "") == "done" || step.value("state", "") == "skipped" ? 1 : 0;
            }
            const auto state = run->value("state", "");
            auto progress = absl::StrCat("run ", run_id, " is ", state, "; ", done, " of ",
                                         run->at("steps").size(), " steps are done");
            if (progress != last_progress) {
                streams.err << progress << "\n";
                last_progress = std::move(progress);
            }
            if (state != "running") {
                print_run_response(*run, arguments, streams.out);
                return state == "finished"
                           ? absl::OkStatus()
                           : make_error(error_kind::upstream_failed,
                                        absl::StrCat("run ", run_id, " did not finish: it is ", state));
            }
        }
        if (std::chrono::steady_clock::now() + run_poll_interval >= deadline) {
            return make_error(error_kind::deadline_exceeded,
                              "run " + run_id + " did not end within " + std::to_string(seconds) +
                                  " s and continues; see 'jacinthvane runbook status'");
        }
        pause_for(run_poll_interval);
    }
}

absl::Status start_run(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto run =
        post_change(*client, "/v1/admin/runbooks/" + escape_target(arguments.positionals[0]) + "/runs",
                    {{"reason", *reason}});
    if (!run.ok()) {
        return run.status();
    }
    if (arguments.has("wait")) {
        return follow_run(*client, run->value("run_id", ""), arguments, streams);
    }
    print_run_response(*run, arguments, streams.out);
    return absl::OkStatus();
}

absl::Status show_run(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto run = client->get("/v1/admin/runs/" + escape_target(arguments.positionals[0]));
    if (run.ok()) {
        print_run_response(*run, arguments, streams.out);
    }
    return run.status();
}

absl::Status decide_run(const parsed_arguments& arguments, command_streams& streams,
                        const std::string& action, const std::string& decision) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto run =
        post_change(*client, "/v1/admin/runs/" + escape_target(arguments.positionals[0]) + "/" + action,
                    {{"reason", *reason}, {"decision", decision}});
    if (run.ok()) {
        print_run_response(*run, arguments, streams.out);
    }
    return run.status();
}

absl::Status resume_run(const parsed_arguments& arguments, command_streams& streams) {
    const auto decision = arguments.get("decision");
    if (decision != "it-ran" && decision != "it-failed" && decision != "did-not-run" &&
        decision != "repeat") {
        return make_error(
            error_kind::bad_request,
            "give --decision it-ran, it-failed, did-not-run or repeat for the step of the open question");
    }
    return decide_run(arguments, streams, "resume", decision);
}

absl::Status cancel_run(const parsed_arguments& arguments, command_streams& streams) {
    return decide_run(arguments, streams, "cancel", "cancel");
}

}  // namespace

std::vector<command_spec> get_runbook_commands() {
    return {
        {.command = "runbook",
         .subcommand = "list",
         .summary = "list the runbooks, or their runs",
         .examples = {"jacinthvane runbook list", "jacinthvane runbook list --runs"},
         .options = {{"runs", "", "list runs instead"}},
         .run = list_runbooks},
        {.command = "runbook",
         .subcommand = "show",
         .operands = "NAME",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "print a runbook as a TOML file",
         .examples = {"jacinthvane runbook show import-before-visit"},
         .run = show_runbook},
        {.command = "runbook",
         .subcommand = "put",
         .operands = "FILE",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "add or replace a runbook",
         .examples = {"jacinthvane runbook put import.toml --reason \"new archive path\""},
         .options = {reason_option, wait_option, wait_timeout_option},
         .run = put_runbook_file},
        {.command = "runbook",
         .subcommand = "run",
         .operands = "NAME",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "start a run of a runbook",
         .examples = {"jacinthvane runbook run import-before-visit --reason \"visit at 10\" --wait"},
         .options = {reason_option,
                     {"wait", "", "wait until the run finishes, stops or needs a decision"},
                     wait_timeout_option},
         .run = start_run},
        {.command = "runbook",
         .subcommand = "status",
         .operands = "RUN",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "show a run with the state of each step",
         .examples = {"jacinthvane runbook status 3f9a"},
         .run = show_run},
        {.command = "runbook",
         .subcommand = "resume",
         .operands = "RUN",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "resolve the open question of a run and continue it",
         .examples = {"jacinthvane runbook resume 3f9a --decision it-ran --reason \"seen in the archive\""},
         .options = {{"decision", "it-ran|it-failed|did-not-run|repeat",
                      "outcome of the step, or repeat to run it again"},
                     reason_option},
         .run = resume_run},
        {.command = "runbook",
         .subcommand = "cancel",
         .operands = "RUN",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "cancel the remaining steps of a run",
         .examples = {"jacinthvane runbook cancel 3f9a --reason \"visit postponed\""},
         .options = {reason_option},
         .run = cancel_run},
    };
}

}  // namespace jacinthvane
