#include "connection/document_reader.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

#include "connection/toml_library.hpp"
#include "process/utc_time.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_depth = 32;
constexpr std::size_t max_errors = 100;

config_errors make_size_error(std::size_t size, std::size_t limit) {
    return {{"", "the text has " + std::to_string(size) + " bytes; at most " + std::to_string(limit) +
                     " are allowed"}};
}

int count_line(std::string_view text, std::size_t position) {
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(position, text.size()));
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// Returns the position at which brackets outside of strings nest too deeply, or npos.
std::size_t find_deep_nesting(std::string_view text) {
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (is_in_string) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                is_in_string = false;
            }
        } else if (c == '"') {
            is_in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_depth) {
                return i;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return std::string_view::npos;
}

// Records the position of a parse error instead of throwing the library's exception.
class position_recorder : public nlohmann::json_sax<nlohmann::json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return true; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }
    bool parse_error(std::size_t position, const std::string&, const nlohmann::json::exception&) override {
        position_ = position;
        return false;
    }

    std::size_t get_position() const { return position_; }

private:
    std::size_t position_ = 0;
};

std::string join_path(const std::string& path, std::string_view key) {
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

// Converts TOML values to a JSON tree, so that the same code validates both formats.
class toml_converter {
public:
    explicit toml_converter(text_document& document) : document_(document) {}

    nlohmann::json convert(const toml::node& node, const std::string& path) {
        document_.lines[path] = static_cast<int>(node.source().begin.line);
        switch (node.type()) {
            case toml::node_type::table:
                return convert_table(*node.as_table(), path);
            case toml::node_type::array:
                return convert_array(*node.as_array(), path);
            case toml::node_type::string:
                return node.as_string()->get();
            case toml::node_type::integer:
                return node.as_integer()->get();
            case toml::node_type::floating_point:
                return node.as_floating_point()->get();
            case toml::node_type::boolean:
                return node.as_boolean()->get();
            case toml::node_type::date_time:
                return convert_time(node.as_date_time()->get());
            default: {
                // A date or a time alone does not give a point in time. The string fails later, where a UTC
                // time is parsed.
                return "a date or time without the other part";
            }
        }
    }

private:
    nlohmann::json convert_table(const toml::table& table, const std::string& path) {
        auto object = nlohmann::json::object();
        for (const auto& [key, value] : table) {
            const auto child = join_path(path, key.str());
            object[std::string(key.str())] = convert(value, child);
            document_.lines[child] = static_cast<int>(key.source().begin.line);
        }
        return object;
    }

    nlohmann::json convert_array(const toml::array& array, const std::string& path) {
        auto values = nlohmann::json::array();
        for (std::size_t i = 0; i < array.size(); ++i) {
            values.push_back(convert(*array.get(i), path + "[" + std::to_string(i) + "]"));
        }
        return values;
    }

    static nlohmann::json convert_time(const toml::date_time& time) {
        if (!time.offset) {
            return "a time without its offset from UTC";
        }
        std::ostringstream text;
        text << time.date << "T" << toml::time{time.time.hour, time.time.minute, time.time.second} << "Z";
        const auto local = parse_utc(text.str());
        if (!local) {
            return text.str();
        }
        return format_utc({local->unix_seconds - time.offset->minutes * 60LL});
    }

    text_document& document_;
};

}  // namespace

std::variant<text_document, config_errors> read_json(std::string_view text, std::size_t max_bytes) {
    if (text.size() > max_bytes) {
        return make_size_error(text.size(), max_bytes);
    }
    if (const auto position = find_deep_nesting(text); position != std::string_view::npos) {
        return config_errors{{"", "nested more than " + std::to_string(max_depth) + " levels deep",
                              count_line(text, position)}};
    }
    position_recorder recorder;
    if (!nlohmann::json::sax_parse(text.begin(), text.end(), &recorder)) {
        return config_errors{{"", "not valid JSON", count_line(text, recorder.get_position())}};
    }
    return text_document{nlohmann::json::parse(text.begin(), text.end(), nullptr, false), {}};
}

std::variant<text_document, config_errors> read_toml(std::string_view text, std::size_t max_bytes) {
    if (text.size() > max_bytes) {
        return make_size_error(text.size(), max_bytes);
    }
    try {
        const auto table = toml::parse(text);
        text_document document;
        document.root = toml_converter(document).convert(table, "");
        return document;
    } catch (const toml::parse_error& error) {
        return config_errors{{"", "not valid TOML", static_cast<int>(error.source().begin.line)}};
    } catch (const toml_fault&) {
        return config_errors{{"", "not valid TOML"}};
    }
}

std::string write_json(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void fault_collector::add(const std::string& path, std::string message) {
    if (errors_.size() >= max_errors) {
        return;
    }
    // A missing field has no line; use the line of the innermost object that encloses it.
    auto enclosing_path = path;
    auto found = document_.lines.find(enclosing_path);
    while (found == document_.lines.end() && !enclosing_path.empty()) {
        const auto cut = enclosing_path.find_last_of(".[");
        enclosing_path.resize(cut == std::string::npos ? 0 : cut);
        found = document_.lines.find(enclosing_path);
    }
    errors_.push_back({path, std::move(message), found == document_.lines.end() ? 0 : found->second});
}

object_reader::object_reader(const nlohmann::json& value, std::string path, fault_collector& faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
    if (!value_.is_object()) {
        faults_.add(path_, "must be a table of fields");
    }
}

std::string object_reader::get_path(std::string_view key) const {
    return join_path(path_, key);
}

const nlohmann::json* object_reader::find(std::string_view key) {
    requested_keys_.emplace(key);
    if (!value_.is_object()) {
        return nullptr;
    }
    const auto found = value_.find(std::string(key));
    return found == value_.end() || found->is_null() ? nullptr : &*found;
}

std::optional<std::string> object_reader::read_text(std::string_view key) {
    const auto* field = find(key);
    if (field == nullptr) {
        return std::nullopt;
    }
    if (!field->is_string()) {
        faults_.add(get_path(key), "must be a string");
        return std::string();
    }
    return field->get<std::string>();
}

std::optional<std::int64_t> object_reader::read_number(std::string_view key) {
    const auto* field = find(key);
    if (field == nullptr) {
        return std::nullopt;
    }
    const bool is_too_large =
        field->is_number_unsigned() &&
        field->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!field->is_number_integer() || is_too_large) {
        faults_.add(get_path(key), "must be a whole number");
        return 0;
    }
    return field->get<std::int64_t>();
}

std::string object_reader::require_text(std::string_view key) {
    auto text = read_text(key);
    if (!text) {
        faults_.add(get_path(key), "is missing");
        return {};
    }
    return *text;
}

std::string object_reader::get_text(std::string_view key, std::string_view fallback) {
    auto text = read_text(key);
    return text ? *text : std::string(fallback);
}

std::int64_t object_reader::require_number(std::string_view key) {
    const auto number = read_number(key);
    if (!number) {
        faults_.add(get_path(key), "is missing");
        return 0;
    }
    return *number;
}

std::int64_t object_reader::get_number(std::string_view key, std::int64_t fallback) {
    return read_number(key).value_or(fallback);
}

bool object_reader::get_flag(std::string_view key, bool fallback) {
    const auto* field = find(key);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_boolean()) {
        faults_.add(get_path(key), "must be true or false");
        return fallback;
    }
    return field->get<bool>();
}

const nlohmann::json* object_reader::find_array(std::string_view key) {
    const auto* field = find(key);
    if (field != nullptr && !field->is_array()) {
        faults_.add(get_path(key), "must be a list");
        return nullptr;
    }
    return field;
}

void object_reader::finish() {
    if (!faults_.is_strict() || !value_.is_object()) {
        return;
    }
    for (const auto& [key, field] : value_.items()) {
        if (!requested_keys_.contains(key)) {
            faults_.add(get_path(key), "is not a known field");
        }
    }
}

}  // namespace jacinthvane
