#include "command/settings_check.hpp"

#include <string>
#include <variant>
#include <vector>

#include "connection/settings_file.hpp"
#include "version/settings.hpp"

namespace jacinthvane {

config_errors check_settings(std::string_view text) {
    const auto parsed = parse_settings_text(text, std::string());
    std::vector<settings_problem> problems;
    if (const auto* problem = std::get_if<settings_problem>(&parsed)) {
        problems.push_back(*problem);
    } else {
        const auto result = make_settings(std::get<std::vector<raw_setting>>(parsed));
        if (const auto* found = std::get_if<std::vector<settings_problem>>(&result)) {
            problems = *found;
        }
    }
    config_errors errors;
    for (const auto& problem : problems) {
        const auto accepted = problem.accepted.empty() ? std::string() : "; accepted: " + problem.accepted;
        errors.push_back({problem.key, problem.message + accepted, static_cast<int>(problem.origin.line)});
    }
    return errors;
}

}  // namespace jacinthvane
