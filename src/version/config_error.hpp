#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// One error in a configuration file or a change. The line is 0 if the error has no position in a file.
struct config_error {
    std::string key;
    std::string message;
    int line = 0;

    bool operator==(const config_error&) const = default;
};

using config_errors = std::vector<config_error>;

// Formats the errors as text, one per line: "line 12: defaults.shards: ...".
std::string format_errors(const config_errors& errors);

}  // namespace jacinthvane
