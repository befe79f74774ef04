#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "version/settings.hpp"

namespace jacinthvane {

// The values of a TOML text, or the syntax error in it. Tables become dotted keys.
std::variant<std::vector<raw_setting>, settings_problem> parse_settings_text(std::string_view text,
                                                                             const std::string& file_name);

// Returns the name of the environment variable for a key: limits.body becomes JACINTHVANE_LIMITS_BODY.
std::string get_variable_name(std::string_view key);

struct environment_variable {
    std::string name;
    std::string value;

    bool operator==(const environment_variable&) const = default;
};

// Returns the variables of this process whose names start with JACINTHVANE_.
std::vector<environment_variable> read_environment();

// Reads the settings from the file, then from environment variables, then from overrides of the form
// "key=value" (the command's flags); later ones win. An empty path reads no file.
settings_result read_settings(const std::string& path, std::span<const environment_variable> environment,
                              std::span<const std::string> overrides);

}  // namespace jacinthvane
