#include "version/config_error.hpp"

namespace jacinthvane {

std::string format_errors(const config_errors& errors) {
    std::string text;
    for (const auto& error : errors) {
        if (!text.empty()) {
            text += "\n";
        }
        if (error.line > 0) {
            text += "line " + std::to_string(error.line) + ": ";
        }
        if (!error.key.empty()) {
            text += error.key + ": ";
        }
        text += error.message;
    }
    return text;
}

}  // namespace jacinthvane
