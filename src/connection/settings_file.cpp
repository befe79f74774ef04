#include "connection/settings_file.hpp"

#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>

#include "connection/toml_library.hpp"

namespace jacinthvane {

namespace {

constexpr std::string_view variable_prefix = "JACINTHVANE_";

setting_value to_value(const toml::node& node) {
    if (const auto* text = node.as_string()) {
        return text->get();
    }
    if (const auto* number = node.as_integer()) {
        return number->get();
    }
    if (const auto* array = node.as_array()) {
        std::vector<std::string> list;
        for (const auto& item : *array) {
            const auto* text = item.as_string();
            if (text == nullptr) {
                return other_value{"a list with a value that is not a string"};
            }
            list.push_back(text->get());
        }
        return list;
    }
    switch (node.type()) {
        case toml::node_type::boolean:
            return other_value{"true or false"};
        case toml::node_type::floating_point:
            return other_value{"a number with a fraction"};
        default:
            return other_value{"a date or time"};
    }
}

void add_table(const toml::table& table, const std::string& prefix, const std::string& file_name,
               std::vector<raw_setting>& values) {
    for (const auto& [name, node] : table) {
        const auto key = prefix + std::string(name.str());
        const auto* inner = node.as_table();
        if (inner == nullptr) {
            values.push_back(
                raw_setting{.key = key,
                            .value = to_value(node),
                            .origin = {file_name, static_cast<std::int64_t>(node.source().begin.line)},
                            .is_plain_text = false});
        } else if (find_setting_field(key) != nullptr) {
            values.push_back(
                raw_setting{.key = key,
                            .value = other_value{"a table"},
                            .origin = {file_name, static_cast<std::int64_t>(node.source().begin.line)},
                            .is_plain_text = false});
        } else {
            add_table(*inner, key + ".", file_name, values);
        }
    }
}

// Returns the key of an environment variable, or the variable's own name if no setting has it.
std::string find_key(const std::string& variable) {
    for (const auto& field : get_settings_schema()) {
        if (get_variable_name(field.key) == variable) {
            return std::string(field.key);
        }
    }
    return variable;
}

}  // namespace

std::variant<std::vector<raw_setting>, settings_problem> parse_settings_text(std::string_view text,
                                                                             const std::string& file_name) {
    const auto make_problem = [&](std::int64_t line, std::string_view description) {
        return settings_problem{setting_origin{file_name, line}, std::string(),
                                "invalid TOML: " + std::string(description),
                                "TOML 1.0, one key = value on each line"};
    };
    try {
        const auto table = toml::parse(text, file_name);
        std::vector<raw_setting> values;
        add_table(table, std::string(), file_name, values);
        return values;
    } catch (const toml::parse_error& error) {
        return make_problem(static_cast<std::int64_t>(error.source().begin.line), error.description());
    } catch (const toml_fault&) {
        return make_problem(0, "the TOML parser failed");
    }
}

std::string get_variable_name(std::string_view key) {
    std::string name(variable_prefix);
    for (const char c : key) {
        name.push_back(c == '.' ? '_' : static_cast<char>(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c));
    }
    return name;
}

std::vector<environment_variable> read_environment() {
    std::vector<environment_variable> variables;
    for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string_view text(*entry);
        const auto equals = text.find('=');
        if (text.starts_with(variable_prefix) && equals != std::string_view::npos) {
            variables.push_back(environment_variable{.name = std::string(text.substr(0, equals)),
                                                     .value = std::string(text.substr(equals + 1))});
        }
    }
    return variables;
}

settings_result read_settings(const std::string& path, std::span<const environment_variable> environment,
                              std::span<const std::string> overrides) {
    std::vector<raw_setting> values;
    if (!path.empty()) {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        if (!file) {
            return std::vector{settings_problem{setting_origin{path, 0}, std::string(),
                                                "the file cannot be read", "a readable TOML file"}};
        }
        auto parsed = parse_settings_text(text.str(), path);
        if (auto* problem = std::get_if<settings_problem>(&parsed)) {
            // A syntax error leaves all values unknown, so missing settings are not reported.
            return std::vector{std::move(*problem)};
        }
        values = std::move(std::get<std::vector<raw_setting>>(parsed));
    }
    for (const auto& variable : environment) {
        values.push_back(raw_setting{.key = find_key(variable.name),
                                     .value = variable.value,
                                     .origin = {"environment variable " + variable.name, 0},
                                     .is_plain_text = true});
    }
    std::vector<settings_problem> problems;
    for (const auto& text : overrides) {
        const auto equals = text.find('=');
        if (equals == std::string::npos) {
            problems.push_back(
                settings_problem{setting_origin{"flags", 0}, text, "the override has no value", "key=value"});
            continue;
        }
        values.push_back(raw_setting{.key = text.substr(0, equals),
                                     .value = text.substr(equals + 1),
                                     .origin = {"flags", 0},
                                     .is_plain_text = true});
    }
    auto result = make_settings(values);
    if (problems.empty()) {
        return result;
    }
    if (auto* more = std::get_if<std::vector<settings_problem>>(&result)) {
        problems.insert(problems.end(), more->begin(), more->end());
    }
    return problems;
}

}  // namespace jacinthvane
