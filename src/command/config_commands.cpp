#include "command/config_commands.hpp"

#include <charconv>
#include <optional>

#include "command/admin_client.hpp"
#include "command/change_command.hpp"
#include "command/text_table.hpp"
#include "connection/document_reader.hpp"
#include "connection/fleet_config_codec.hpp"

namespace jacinthvane {

namespace {

const option_spec expected_option = {
    "expected-version", "N",
    "version that the change is based on (default: the \"# Version N\" line of the file)"};

std::string to_text(const nlohmann::json& value) {
    return value.is_string() ? value.get<std::string>() : write_json(value);
}

absl::Status show_config(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    if (arguments.has("toml")) {
        const auto text = client->get_text("/v1/admin/config?format=toml");
        if (text.ok()) {
            streams.out << *text;
        }
        return text.status();
    }
    const auto config = client->get("/v1/admin/config");
    if (!config.ok()) {
        return config.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*config) << "\n";
        return absl::OkStatus();
    }
    streams.out << "version " << config->at("version") << "\n\n";
    text_table defaults({"SETTING", "VALUE", "UNIT", "FROM"});
    for (const auto& schema : get_setting_schemas()) {
        const auto found = config->at("defaults").find(std::string(schema.key));
        const bool is_set = found != config->at("defaults").end();
        defaults.add_row({std::string(schema.key),
                          is_set ? to_text(*found) : format_value(schema.get_default()),
                          std::string(schema.unit), is_set ? "fleet" : "built-in"});
    }
    defaults.print(streams.out);
    streams.out << "\n";
    text_table exceptions({"EXCEPTION FOR", "SETTING", "VALUE", "UNTIL", "AUTHOR", "REASON"});
    for (const auto& item : config->at("exceptions")) {
        exceptions.add_row({to_text(item.at("scope")) + " " + to_text(item.at("name")),
                            to_text(item.at("key")), to_text(item.at("value")), item.value("until", "-"),
                            item.value("author", ""), item.value("reason", "")});
    }
    exceptions.print(streams.out);
    streams.out << "\n";
    text_table drained({"DRAINED", "SINCE", "AUTHOR", "REASON"});
    for (const auto& item : config->at("drained")) {
        drained.add_row({to_text(item.at("scope")) + " " + to_text(item.at("name")), item.value("since", ""),
                         item.value("author", ""), item.value("reason", "")});
    }
    drained.print(streams.out);
    return absl::OkStatus();
}

// Reads and validates the file before any request is sent.
absl::StatusOr<std::string> read_config_file(const std::string& path) {
    auto text = read_file(path);
    if (!text.ok()) {
        return text.status();
    }
    const auto parsed = parse_config_toml(*text);
    if (const auto* errors = std::get_if<config_errors>(&parsed)) {
        return make_error(error_kind::bad_configuration, path + ":\n" + format_errors(*errors));
    }
    return text;
}

absl::Status diff_file(const parsed_arguments& arguments, command_streams& streams) {
    const auto text = read_config_file(arguments.positionals[0]);
    if (!text.ok()) {
        return text.status();
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->post("/v1/admin/config/diff", {{"toml", *text}});
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    streams.out << "against version " << response->at("version") << ":\n";
    for (const auto& line : response->at("changes")) {
        streams.out << "  " << to_text(line) << "\n";
    }
    if (response->at("changes").empty()) {
        streams.out << "  nothing to change\n";
    }
    return absl::OkStatus();
}

std::optional<std::uint64_t> read_version_line(const std::string& text) {
    constexpr std::string_view prefix = "# Version ";
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const auto [end, error] =
        std::from_chars(text.data() + prefix.size(), text.data() + text.size(), version);
    return error == std::errc() ? std::optional(version) : std::nullopt;
}

absl::Status apply_file(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    const auto text = read_config_file(arguments.positionals[0]);
    if (!text.ok()) {
        return text.status();
    }
    const auto line = read_version_line(*text);
    std::int64_t expected = line ? static_cast<std::int64_t>(*line) : -1;
    if (auto status = read_number_option(arguments, "expected-version", 0, INT64_MAX, expected);
        !status.ok()) {
        return status;
    }
    if (expected < 0) {
        return make_error(
            error_kind::bad_request,
            arguments.positionals[0] + " has no \"# Version N\" line; give --expected-version N");
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = post_change(*client, "/v1/admin/config",
                                      {{"toml", *text}, {"expected_version", expected}, {"reason", *reason}});
    return response.ok() ? finish_change(*client, *response, arguments, streams) : response.status();
}

absl::Status show_history(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    const auto response = client->get("/v1/admin/config/history");
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    text_table table({"VERSION", "AT", "AUTHOR", "REASON", "CHANGE"});
    for (const auto& change : response->at("changes")) {
        table.add_row({to_text(change.at("version")), change.value("at", ""), change.value("author", ""),
                       change.value("reason", ""), change.value("summary", "")});
    }
    table.print(streams.out);
    return absl::OkStatus();
}

absl::Status explain_setting(const parsed_arguments& arguments, command_streams& streams) {
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    std::string target = "/v1/admin/config/explain?key=" + escape_target(arguments.positionals[0]);
    for (const auto& [option, field] :
         {std::pair{"team", "team"}, std::pair{"kind", "kind"}, std::pair{"upstream", "upstream"},
          std::pair{"rack", "rack"}, std::pair{"failure-domain", "failure_domain"}}) {
        if (arguments.has(option)) {
            target += std::string("&") + field + "=" + escape_target(arguments.get(option));
        }
    }
    const auto response = client->get(target);
    if (!response.ok()) {
        return response.status();
    }
    if (arguments.is_json()) {
        streams.out << write_json(*response) << "\n";
        return absl::OkStatus();
    }
    streams.out << to_text(response->at("key")) << " = " << to_text(response->at("value")) << " "
                << response->value("unit", "") << "\n  " << response->value("text", "")
                << "\n  why: " << response->value("why", "") << "\n";
    return absl::OkStatus();
}

absl::Status roll_back(const parsed_arguments& arguments, command_streams& streams) {
    const auto reason = require_reason(arguments);
    if (!reason.ok()) {
        return reason.status();
    }
    parsed_arguments operand;
    operand.options["version"] = arguments.positionals[0];
    std::int64_t version = 0;
    if (!read_number_option(operand, "version", 0, INT64_MAX, version).ok()) {
        return make_error(error_kind::bad_request,
                          "\"" + arguments.positionals[0] + "\" is not a version number");
    }
    const auto client = admin_client::make(arguments);
    if (!client.ok()) {
        return client.status();
    }
    std::int64_t expected = -1;
    if (auto status = read_number_option(arguments, "expected-version", 0, INT64_MAX, expected);
        !status.ok()) {
        return status;
    }
    if (expected < 0) {
        const auto config = client->get("/v1/admin/config");
        if (!config.ok()) {
            return config.status();
        }
        expected = config->at("version").get<std::int64_t>();
    }
    const auto response =
        post_change(*client, "/v1/admin/config/rollback",
                    {{"version", version}, {"expected_version", expected}, {"reason", *reason}});
    return response.ok() ? finish_change(*client, *response, arguments, streams) : response.status();
}

}  // namespace

std::vector<command_spec> get_config_commands() {
    return {
        {.command = "config",
         .subcommand = "show",
         .summary = "show the fleet configuration in force",
         .examples = {"jacinthvane config show", "jacinthvane config show --toml > fleet.toml"},
         .options = {{"toml", "", "print a file that 'config apply' accepts"}},
         .run = show_config},
        {.command = "config",
         .subcommand = "diff",
         .operands = "FILE",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "show what 'config apply FILE' would change",
         .examples = {"jacinthvane config diff fleet.toml"},
         .run = diff_file},
        {.command = "config",
         .subcommand = "apply",
         .operands = "FILE",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "replace the sections of the fleet configuration that a file contains",
         .examples = {"jacinthvane config apply fleet.toml --reason \"visits start in Sfax\" --wait",
                      "jacinthvane config apply fleet.toml --expected-version 0 --reason \"first set-up\""},
         .options = {reason_option, expected_option, wait_option, wait_timeout_option},
         .run = apply_file},
        {.command = "config",
         .subcommand = "history",
         .summary = "list the last 50 changes",
         .examples = {"jacinthvane config history --output json"},
         .run = show_history},
        {.command = "config",
         .subcommand = "explain",
         .operands = "SETTING",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "show the value of a setting for one subject, and why it applies",
         .examples = {"jacinthvane config explain weight_tail_latency --team imports",
                      "jacinthvane config explain eject_probe_ms --upstream up-12 --rack r3"},
         .options = {{"team", "NAME", "team"},
                     {"kind", "NAME", "task kind"},
                     {"upstream", "NAME", "upstream"},
                     {"rack", "NAME", "rack"},
                     {"failure-domain", "NAME", "failure domain"}},
         .run = explain_setting},
        {.command = "config",
         .subcommand = "rollback",
         .operands = "VERSION",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "create a new version with the content of an older one",
         .examples = {"jacinthvane config rollback 41 --reason \"imports got slower\" --wait"},
         .options = {reason_option,
                     {"expected-version", "N",
                      "version that the rollback is based on (default: the current one)"},
                     wait_option,
                     wait_timeout_option},
         .run = roll_back},
    };
}

}  // namespace jacinthvane
