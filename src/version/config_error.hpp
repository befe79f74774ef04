#pragma once

#include <string>
#include <vector>

namespace jacinthvane {

// One fault of a configuration text or of a change. The line is 0 if the fault has no place in a text.
struct config_error {
    std::string key;
    std::string message;
    int line = 0;

    bool operator==(const config_error&) const = default;
};

using config_errors = std::vector<config_error>;

// Joins the faults into one text, one a line: "line 12: defaults.shards: ...".
std::string format_errors(const config_errors& errors);

}  // namespace jacinthvane
