#include "command/drain_commands.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "command/admin_client.hpp"
#include "command/change_command.hpp"
#include "connection/document_reader.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds drain_poll_interval{1000};

absl::Status wait_until_empty(const admin_client& client, const std::string& scope, const std::string& name,
                              const parsed_arguments& arguments, command_streams& streams) {
    std::int64_t seconds = 60;
    if (auto status = read_number_option(arguments, "wait-timeout", 1, 86400, seconds); !status.ok()) {
        return status;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::string last_progress = "the entry process does not respond";
    while (true) {
        const auto response = client.get("/v1/admin/drain?scope=" + scope + "&name=" + escape_target(name));
        if (response.ok()) {
            const auto tasks = response->value("tasks", std::int64_t{0});
            auto progress = absl::StrCat(scope, " ", name, " runs ", tasks, " tasks on ",
                                         response->value("upstreams", std::int64_t{0}), " upstreams");
            if (progress != last_progress) {
                streams.err << progress << "\n";
                last_progress = std::move(progress);
            }
            if (tasks == 0 && response->value("is_complete", false)) {
                return absl::OkStatus();
            }
        }
        if (std::chrono::steady_clock::now() + drain_poll_interval >= deadline) {
            return make_error(
                error_kind::deadline_exceeded,
                "the drain is in force, but after " + std::to_string(seconds) + " s " + last_progress,
                run_knowledge::ran);
        }
        pause_for(drain_poll_interval);
    }
}

absl::Status change_drain(const parsed_arguments& arguments, command_streams& streams,
                          const std::string& action) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    auto scope = arguments.positionals[0];
    if (scope == "failure-domain") {
        scope = "failure_domain";
    }
    if (scope != "upstream" && scope != "rack" && scope != "failure_domain") {
        return make_error(
            error_kind::bad_request,
            "the first operand must be upstream, rack or failure-domain, not \"" + scope + "\"");
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto& name = arguments.positionals[1];
    const auto response =
        post_change(*client, "/v1/admin/" + action, {{"scope", scope}, {"name", name}, {"reason", *reason}});
    if (!response.ok()) {
        return response.status();
    }
    if (auto status = finish_change(*client, *response, arguments, streams); !status.ok()) {
        return status;
    }
    if (action == "drain" && arguments.has("wait")) {
        return wait_until_empty(*client, scope, name, arguments, streams);
    }
    return absl::OkStatus();
}

absl::Status drain_place(const parsed_arguments& arguments, command_streams& streams) {
    return change_drain(arguments, streams, "drain");
}

absl::Status undrain_place(const parsed_arguments& arguments, command_streams& streams) {
    return change_drain(arguments, streams, "undrain");
}

}  // namespace

std::vector<command_spec> get_drain_commands() {
    return {
        {.command = "drain",
         .operands = "upstream|rack|failure-domain NAME",
         .min_operands = 2,
         .max_operands = 2,
         .summary = "stop placing new work on an upstream, rack or failure domain",
         .examples = {"jacinthvane drain rack r3 --reason \"new switch\" --wait --wait-timeout 900",
                      "jacinthvane drain upstream up-12 --reason \"bad memory\""},
         .options = {reason_option,
                     {"wait", "",
                      "wait until the drain is in force on every live member and no task runs there"},
                     wait_timeout_option},
         .run = drain_place},
        {.command = "undrain",
         .operands = "upstream|rack|failure-domain NAME",
         .min_operands = 2,
         .max_operands = 2,
         .summary = "allow new work on a drained upstream, rack or failure domain",
         .examples = {"jacinthvane undrain rack r3 --reason \"switch replaced\" --wait"},
         .options = {reason_option, wait_option, wait_timeout_option},
         .run = undrain_place},
    };
}

}  // namespace jacinthvane
