#include "command/info_commands.hpp"

#include <set>

#include "absl/strings/str_cat.h"
#include "command/admin_client.hpp"
#include "command/documents.hpp"
#include "command/settings_check.hpp"
#include "command/text_table.hpp"
#include "connection/document_reader.hpp"
#include "connection/fleet_config_codec.hpp"
#include "connection/key_file.hpp"
#include "connection/runbook_codec.hpp"

namespace jacinthvane {

namespace {

constexpr const char* version = "0.1.0";

absl::Status show_errors(const parsed_arguments& arguments, command_streams& streams) {
    if (arguments.has("markdown")) {
        streams.out << write_errors_page();
        return absl::OkStatus();
    }
    if (arguments.is_json()) {
        auto list = nlohmann::json::array();
        for (const auto& entry : get_all_error_mappings()) {
            list.push_back({{"kind", entry.name},
                            {"http_status", entry.http_status},
                            {"run", get_name(entry.run)},
                            {"retry_after_ms", entry.retry_after_ms},
                            {"exit_code", entry.exit_code},
                            {"text", entry.text}});
        }
        streams.out << write_json({{"errors", std::move(list)}}) << "\n";
        return absl::OkStatus();
    }
    text_table table({"KIND", "HTTP", "RUN", "RETRY AFTER", "EXIT", "MEANING"});
    for (const auto& entry : get_all_error_mappings()) {
        table.add_row({std::string(entry.name), std::to_string(entry.http_status),
                       std::string(get_name(entry.run)),
                       entry.retry_after_ms == 0 ? "-" : std::to_string(entry.retry_after_ms) + " ms",
                       std::to_string(entry.exit_code), std::string(entry.text)});
    }
    table.print(streams.out);
    return absl::OkStatus();
}

absl::Status show_schema(const parsed_arguments& arguments, command_streams& streams) {
    if (arguments.has("markdown")) {
        streams.out << write_configuration_page();
        return absl::OkStatus();
    }
    auto list = nlohmann::json::array();
    text_table table({"SETTING", "DEFAULT", "UNIT", "MEANING"});
    for (const auto& schema : get_setting_schemas()) {
        const auto value = format_value(schema.get_default());
        list.push_back(
            {{"key", schema.key}, {"default", value}, {"unit", schema.unit}, {"text", schema.text}});
        table.add_row({std::string(schema.key), value, std::string(schema.unit), std::string(schema.text)});
    }
    if (arguments.is_json()) {
        streams.out << write_json({{"settings", std::move(list)}}) << "\n";
    } else {
        table.print(streams.out);
    }
    return absl::OkStatus();
}

config_errors check_text(const std::string& kind, const std::string& text) {
    if (kind == "fleet") {
        const auto parsed = parse_config_toml(text);
        const auto* errors = std::get_if<config_errors>(&parsed);
        return errors == nullptr ? config_errors{} : *errors;
    }
    if (kind == "runbook") {
        const auto parsed = parse_runbook_toml(text);
        const auto* errors = std::get_if<config_errors>(&parsed);
        return errors == nullptr ? config_errors{} : *errors;
    }
    if (kind == "keys") {
        const auto parsed = parse_key_file(text);
        const auto* errors = std::get_if<config_errors>(&parsed);
        return errors == nullptr ? config_errors{} : *errors;
    }
    return check_settings(text);
}

absl::Status check_file(const parsed_arguments& arguments, command_streams& streams) {
    const auto kind = arguments.get("kind", "settings");
    if (kind != "settings" && kind != "fleet" && kind != "runbook" && kind != "keys") {
        return make_error(error_kind::bad_request,
                          "--kind must be settings, fleet, runbook or keys, not \"" + kind + "\"");
    }
    const auto& path = arguments.positionals[0];
    const auto text = read_file(path);
    if (!text.ok()) {
        return text.status();
    }
    const auto errors = check_text(kind, *text);
    if (!errors.empty()) {
        return make_error(error_kind::bad_configuration, path + ":\n" + format_errors(errors));
    }
    if (arguments.is_json()) {
        streams.out << write_json({{"file", path}, {"kind", kind}, {"ok", true}}) << "\n";
    } else {
        streams.out << path << " is a valid " << kind << " file\n";
    }
    return absl::OkStatus();
}

absl::Status show_completion(const parsed_arguments& arguments, command_streams& streams) {
    if (arguments.positionals[0] != "bash") {
        return make_error(error_kind::bad_request, "completion is available for bash only, not for \"" +
                                                       arguments.positionals[0] + "\"");
    }
    std::set<std::string> words = {"serve"};
    std::string cases;
    for (const auto& command : get_all_commands()) {
        words.insert(command.command);
    }
    for (const auto& word : words) {
        std::string choices;
        for (const auto& command : get_all_commands()) {
            if (command.command == word && !command.subcommand.empty()) {
                choices += (choices.empty() ? "" : " ") + command.subcommand;
            }
        }
        if (!choices.empty()) {
            absl::StrAppend(&cases, "            ", word, ") words=\"", choices, "\" ;;\n");
        }
    }
    for (const auto& command : get_all_commands()) {
        std::string options = "--output --help";
        for (const auto& option : command.options) {
            options += " --" + option.name;
        }
        if (command.calls_admin) {
            options += " --address --token-file --timeout";
        }
        cases += "            \"" + command.get_full_name() + "\"" + (command.subcommand.empty() ? "*" : "") +
                 ") options=\"" + options + "\" ;;\n";
    }
    std::string first;
    for (const auto& word : words) {
        first += (first.empty() ? "" : " ") + word;
    }
    streams.out << "# Completion for bash: source <(jacinthvane completion bash)\n"
                   "_jacinthvane() {\n"
                   "    local words=\"\" options=\"\" current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
                   "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n        words=\""
                << first
                << "\"\n    else\n"
                   "        case \"${COMP_WORDS[1]}\" in\n"
                << cases.substr(0, cases.find("            \""))
                << "        esac\n"
                   "        case \"${COMP_WORDS[1]} ${COMP_WORDS[2]}\" in\n"
                << cases.substr(cases.find("            \""))
                << "        esac\n"
                   "        [ \"$COMP_CWORD\" -gt 2 ] && words=\"\"\n"
                   "    fi\n"
                   "    if [[ \"$current\" == -* ]]; then words=\"$options\"; fi\n"
                   "    COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
                   "    [ ${#COMPREPLY[@]} -eq 0 ] && COMPREPLY=($(compgen -f -- \"$current\"))\n"
                   "}\n"
                   "complete -F _jacinthvane jacinthvane\n";
    return absl::OkStatus();
}

absl::Status show_version(const parsed_arguments& arguments, command_streams& streams) {
    if (arguments.is_json()) {
        streams.out << write_json({{"version", version}}) << "\n";
    } else {
        streams.out << "jacinthvane " << version << "\n";
    }
    return absl::OkStatus();
}

}  // namespace

std::vector<command_spec> get_info_commands() {
    return {
        {.command = "config",
         .subcommand = "schema",
         .summary = "list the settings of the fleet configuration",
         .examples = {"jacinthvane config schema", "jacinthvane config schema --markdown"},
         .options = {{"markdown", "", "print the page docs/configuration.md"}},
         .calls_admin = false,
         .run = show_schema},
        {.command = "check",
         .operands = "FILE",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "validate a file without contacting a process",
         .examples = {"jacinthvane check settings.toml", "jacinthvane check fleet.toml --kind fleet"},
         .options = {{"kind", "settings|fleet|runbook|keys", "content of the file (default: settings)"}},
         .calls_admin = false,
         .run = check_file},
        {.command = "errors",
         .summary = "list the kinds of errors with exit codes",
         .examples = {"jacinthvane errors", "jacinthvane errors --markdown"},
         .options = {{"markdown", "", "print the page docs/errors.md"}},
         .calls_admin = false,
         .run = show_errors},
        {.command = "completion",
         .operands = "bash",
         .min_operands = 1,
         .max_operands = 1,
         .summary = "print a completion script",
         .examples = {"source <(jacinthvane completion bash)"},
         .calls_admin = false,
         .run = show_completion},
        {.command = "version",
         .summary = "print the version",
         .examples = {"jacinthvane version"},
         .calls_admin = false,
         .run = show_version},
    };
}

}  // namespace jacinthvane
