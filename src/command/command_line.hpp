#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "process/error_kind.hpp"

namespace jacinthvane {

// One option of a command. An option without a value name is a flag.
struct option_spec {
    std::string name;
    std::string value_name;
    std::string text;
};

// The parsed options and operands of one command.
struct parsed_arguments {
    std::vector<std::string> positionals;
    std::map<std::string, std::string> options;

    bool has(const std::string& name) const { return options.contains(name); }
    std::string get(const std::string& name, const std::string& fallback = {}) const;
    bool is_json() const { return get("output", "table") == "json"; }

    bool operator==(const parsed_arguments&) const = default;
};

// The output streams of a command. Results go to out; progress and errors go to err.
struct command_streams {
    std::ostream& out;
    std::ostream& err;
};

// One command of the binary. The subcommand is empty for commands of one word.
struct command_spec {
    std::string command = {};
    std::string subcommand = {};
    std::string operands = {};
    std::size_t min_operands = 0;
    std::size_t max_operands = 0;
    std::string summary = {};
    std::vector<std::string> examples = {};
    std::vector<option_spec> options = {};
    // Adds --address, --token-file and --timeout.
    bool calls_admin = true;
    std::function<absl::Status(const parsed_arguments&, command_streams&)> run = {};

    std::string get_full_name() const { return subcommand.empty() ? command : command + " " + subcommand; }
};

const std::vector<command_spec>& get_all_commands();

// Runs the command given by the arguments (without the program name) and returns its exit code.
int run_command_line(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

// Reads an option as an integer within bounds. Leaves value unchanged if the option is absent.
absl::Status read_number_option(const parsed_arguments& arguments, const std::string& name, std::int64_t min,
                                std::int64_t max, std::int64_t& value);

}  // namespace jacinthvane
