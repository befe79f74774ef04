#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "version/settings.hpp"

namespace jacinthvane {

// Parses a TOML text into its values, or returns the syntax error. Keys of nested tables are joined by dots.
std::variant<std::vector<raw_setting>, settings_problem> parse_settings_text(std::string_view text,
                                                                             const std::string& file_name);

// Returns the name of the environment variable for a key: limits.body becomes JACINTHVANE_LIMITS_BODY.
std::string get_variable_name(std::string_view key);

struct environment_variable {
    std::string name;
    std::string value;

    bool operator==(const environment_variable&) const = default;
};

// Returns the environment variables whose names start with JACINTHVANE_.
std::vector<environment_variable> read_environment();

// Reads the settings from the file, then from environment variables, then from overrides of the form
// "key=value" (the command's flags); later sources override earlier ones. If the path is empty, no file is
// read.
settings_result read_settings(const std::string& path, std::span<const environment_variable> environment,
                              std::span<const std::string> overrides);

}  // namespace jacinthvane
