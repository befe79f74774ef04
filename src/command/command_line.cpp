#include "command/command_line.hpp"

#include <algorithm>
#include <charconv>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "command/config_commands.hpp"
#include "command/drain_commands.hpp"
#include "command/fleet_commands.hpp"
#include "command/info_commands.hpp"
#include "command/job_commands.hpp"
#include "command/runbook_commands.hpp"
#include "command/serve_command.hpp"

namespace jacinthvane {

namespace {

const option_spec output_option = {"output", "table|json", "output format (default: table)"};
const std::vector<option_spec> admin_options = {
    {"address", "IP:PORT[,...]",
     "admin address of entry processes, tried in order (default: $JACINTHVANE_ADDRESS)"},
    {"token-file", "FILE", "file with the bearer token (default: $JACINTHVANE_TOKEN_FILE)"},
    {"timeout", "SECONDS", "timeout of one call (default: 10)"},
};

std::vector<option_spec> list_options(const command_spec& command) {
    auto options = command.options;
    options.push_back(output_option);
    if (command.calls_admin) {
        options.insert(options.end(), admin_options.begin(), admin_options.end());
    }
    return options;
}

std::vector<command_spec> make_all_commands() {
    std::vector<command_spec> commands;
    for (auto group : {get_config_commands(), get_runbook_commands(), get_job_commands(),
                       get_drain_commands(), get_fleet_commands(), get_info_commands()}) {
        std::move(group.begin(), group.end(), std::back_inserter(commands));
    }
    return commands;
}

std::string pad(const std::string& text, std::size_t width) {
    return text + std::string(text.size() < width ? width - text.size() : 1, ' ');
}

void print_overview(std::ostream& out) {
    out << "Usage: jacinthvane COMMAND [ARGUMENTS]\n\nCommands:\n";
    out << "  " << pad("serve", 22) << "run one entry process\n";
    out << "  " << pad("entry", 22)
        << "run one entry process on the users' platform; --check checks its settings\n";
    for (const auto& command : get_all_commands()) {
        out << "  " << pad(command.get_full_name(), 22) << command.summary << "\n";
    }
    out << "\n'jacinthvane COMMAND --help' shows the options of a command with examples.\n"
           "Exit codes are listed by 'jacinthvane errors'.\n";
}

void print_group(const std::string& name, std::ostream& out) {
    out << "Usage: jacinthvane " << name << " SUBCOMMAND [ARGUMENTS]\n\nSubcommands:\n";
    for (const auto& command : get_all_commands()) {
        if (command.command == name) {
            out << "  " << pad(command.subcommand + " " + command.operands, 30) << command.summary << "\n";
        }
    }
}

void print_help(const command_spec& command, std::ostream& out) {
    out << "Usage: jacinthvane " << command.get_full_name() << " [OPTIONS]"
        << (command.operands.empty() ? "" : " ") << command.operands << "\n\n"
        << command.summary << "\n\nOptions:\n";
    for (const auto& option : list_options(command)) {
        const auto left = "--" + option.name + (option.value_name.empty() ? "" : " " + option.value_name);
        out << "  " << pad(left, 30) << option.text << "\n";
    }
    out << "  " << pad("--help", 30) << "show this text\n\nExamples:\n";
    for (const auto& example : command.examples) {
        out << "  " << example << "\n";
    }
}

int report(const absl::Status& status, bool is_json, std::ostream& err) {
    const auto& entry = get_error_mapping(get_error_kind(status));
    const std::string message(status.message());
    if (is_json) {
        const nlohmann::json value = {{"kind", entry.name},
                                      {"message", message},
                                      {"run", get_name(get_run_knowledge(status))},
                                      {"exit_code", entry.exit_code}};
        err << value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    } else {
        err << "jacinthvane: " << entry.name << ": " << message << "\n";
    }
    return entry.exit_code;
}

// Sets word_count to the number of arguments that form the name of the command.
const command_spec* find_command(const std::vector<std::string>& arguments, std::size_t& word_count) {
    for (const auto& command : get_all_commands()) {
        if (command.command != arguments[0]) {
            continue;
        }
        if (command.subcommand.empty()) {
            word_count = 1;
            return &command;
        }
        if (arguments.size() > 1 && command.subcommand == arguments[1]) {
            word_count = 2;
            return &command;
        }
    }
    return nullptr;
}

// Describes the argument that cannot be parsed. The messages of the option parser are not shown to users.
std::string describe_bad_option(const command_spec& command, const std::vector<std::string>& arguments) {
    const auto options = list_options(command);
    for (const auto& argument : arguments) {
        if (!argument.starts_with("-") || argument == "--help") {
            continue;
        }
        const auto name = argument.substr(0, argument.find('='));
        const auto known = std::find_if(options.begin(), options.end(),
                                        [&](const auto& option) { return "--" + option.name == name; });
        if (known == options.end()) {
            return "there is no option " + name + " of '" + command.get_full_name() + "'";
        }
        if (!known->value_name.empty() && argument == arguments.back()) {
            return "option " + name + " needs a value (" + known->value_name + ")";
        }
    }
    return "the options of '" + command.get_full_name() + "' cannot be parsed";
}

absl::Status parse_arguments(const command_spec& command, const std::vector<std::string>& arguments,
                             parsed_arguments& parsed) {
    const auto specs = list_options(command);
    cxxopts::Options options("jacinthvane " + command.get_full_name());
    auto adder = options.add_options();
    adder("help", "show help");
    for (const auto& option : specs) {
        if (option.value_name.empty()) {
            adder(option.name, option.text);
        } else {
            adder(option.name, option.text, cxxopts::value<std::string>());
        }
    }
    adder("operands", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("operands");
    std::vector<const char*> raw = {"jacinthvane"};
    for (const auto& argument : arguments) {
        raw.push_back(argument.c_str());
    }
    try {
        const auto result = options.parse(static_cast<int>(raw.size()), raw.data());
        for (const auto& option : specs) {
            if (result.count(option.name) > 0) {
                parsed.options[option.name] =
                    option.value_name.empty() ? "true" : result[option.name].as<std::string>();
            }
        }
        if (result.count("help") > 0) {
            parsed.options["help"] = "true";
        }
        if (result.count("operands") > 0) {
            parsed.positionals = result["operands"].as<std::vector<std::string>>();
        }
    } catch (const std::exception&) {
        return make_error(error_kind::bad_request, describe_bad_option(command, arguments));
    }
    return absl::OkStatus();
}

absl::Status check_arguments(const command_spec& command, const parsed_arguments& parsed) {
    const auto count = parsed.positionals.size();
    if (count < command.min_operands || count > command.max_operands) {
        return make_error(error_kind::bad_request,
                          "'" + command.get_full_name() + "' takes " +
                              (command.operands.empty() ? "no operands" : command.operands) + ", but got " +
                              std::to_string(count) + " operands");
    }
    const auto output = parsed.get("output", "table");
    if (output != "table" && output != "json") {
        return make_error(error_kind::bad_request, "--output must be table or json, not \"" + output + "\"");
    }
    return absl::OkStatus();
}

bool is_json_requested(const std::vector<std::string>& arguments) {
    const auto is_split =
        std::adjacent_find(arguments.begin(), arguments.end(), [](const auto& left, const auto& right) {
            return left == "--output" && right == "json";
        }) != arguments.end();
    return is_split || std::find(arguments.begin(), arguments.end(), "--output=json") != arguments.end();
}

}  // namespace

std::string parsed_arguments::get(const std::string& name, const std::string& fallback) const {
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

const std::vector<command_spec>& get_all_commands() {
    static const std::vector<command_spec> commands = make_all_commands();
    return commands;
}

int run_command_line(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
    if (arguments.empty()) {
        print_overview(err);
        return get_error_mapping(error_kind::bad_request).exit_code;
    }
    if (arguments[0] == "--help" || arguments[0] == "help") {
        print_overview(out);
        return 0;
    }
    if (arguments[0] == "serve") {
        return run_serve({arguments.begin() + 1, arguments.end()});
    }
    std::size_t word_count = 0;
    const auto* command = find_command(arguments, word_count);
    if (command == nullptr) {
        const bool is_group = std::any_of(get_all_commands().begin(), get_all_commands().end(),
                                          [&](const auto& known) { return known.command == arguments[0]; });
        const bool wants_help = arguments.size() == 2 && arguments[1] == "--help";
        if (is_group && (arguments.size() == 1 || wants_help)) {
            print_group(arguments[0], wants_help ? out : err);
            return wants_help ? 0 : get_error_mapping(error_kind::bad_request).exit_code;
        }
        const auto name = is_group ? arguments[0] + " " + arguments[1] : arguments[0];
        return report(make_error(error_kind::bad_request,
                                 "there is no command '" + name + "'; see 'jacinthvane --help'"),
                      is_json_requested(arguments), err);
    }
    const std::vector<std::string> rest(arguments.begin() + static_cast<std::ptrdiff_t>(word_count),
                                        arguments.end());
    parsed_arguments parsed;
    auto status = parse_arguments(*command, rest, parsed);
    if (status.ok() && parsed.has("help")) {
        print_help(*command, out);
        return 0;
    }
    if (status.ok()) {
        status = check_arguments(*command, parsed);
    }
    command_streams streams{out, err};
    if (status.ok()) {
        try {
            status = command->run(parsed, streams);
        } catch (const std::exception&) {
            // A response of another release can lack fields. The message of the JSON library would not help
            // the user.
            status =
                make_error(error_kind::internal,
                           "'" + command->get_full_name() +
                               "' cannot interpret the response: a field is missing or has the wrong type");
        }
    }
    return status.ok() ? 0 : report(status, is_json_requested(arguments), err);
}

absl::Status read_number_option(const parsed_arguments& arguments, const std::string& name, std::int64_t min,
                                std::int64_t max, std::int64_t& value) {
    if (!arguments.has(name)) {
        return absl::OkStatus();
    }
    const auto text = arguments.get(name);
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < min || number > max) {
        return make_error(error_kind::bad_request, "--" + name + " must be a whole number between " +
                                                       std::to_string(min) + " and " + std::to_string(max) +
                                                       ", not \"" + text + "\"");
    }
    value = number;
    return absl::OkStatus();
}

}  // namespace jacinthvane
