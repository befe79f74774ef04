#include "connection/json_reader.hpp"

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

const nlohmann::json empty_array = nlohmann::json::array();
const nlohmann::json empty_object = nlohmann::json::object();
// No message or record needs more; a parsed value of any depth would be a tree of that depth.
constexpr int max_nesting = 64;

// Values that a message may have in total. Each takes up to 100 bytes as a part of a tree, and as little as
// two as text. A job has fewer than 100,000, a configuration with 4,445 queues about 60,000.
constexpr std::size_t max_values = 200'000;

// Returns what would make the parsed message too large, or null.
const char* find_excess(std::string_view bytes) {
    int depth = 0;
    std::size_t values = 1;
    bool is_in_text = false;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char c = bytes[i];
        if (is_in_text) {
            i += c == '\\' ? 1 : 0;
            is_in_text = c != '"';
        } else if (c == '"') {
            is_in_text = true;
        } else if (c == '[' || c == '{') {
            ++values;
            if (++depth > max_nesting) {
                return "is nested more than 64 levels deep";
            }
        } else if (c == ']' || c == '}') {
            --depth;
        } else if (c == ',') {
            ++values;
        }
        if (values > max_values) {
            return "has more than 200000 values";
        }
    }
    return nullptr;
}

}  // namespace

absl::StatusOr<nlohmann::json> parse_json_object(std::string_view bytes, std::string_view what) {
    if (const char* excess = find_excess(bytes); excess != nullptr) {
        return make_error(error_kind::bad_request, std::string(what) + " " + excess);
    }
    auto parsed = nlohmann::json::parse(bytes.begin(), bytes.end(), nullptr, false);
    if (!parsed.is_object()) {
        return make_error(error_kind::bad_request, std::string(what) + " is not a JSON object");
    }
    return parsed;
}

json_reader::json_reader(const nlohmann::json& object, std::string_view what) : object_(object), what_(what) {
    if (!object.is_object()) {
        status_ = make_error(error_kind::bad_request, what_ + " is not a JSON object");
    }
}

std::string json_reader::read_text(const char* name, std::size_t max_bytes) {
    const auto* field = find(name);
    if (field == nullptr) {
        fail(name, "is missing");
        return {};
    }
    if (!field->is_string() || field->get_ref<const std::string&>().size() > max_bytes) {
        fail(name, "is not a string of at most " + std::to_string(max_bytes) + " bytes");
        return {};
    }
    return field->get<std::string>();
}

std::optional<std::string> json_reader::read_optional_text(const char* name, std::size_t max_bytes) {
    const auto* field = find(name);
    if (field == nullptr || field->is_null()) {
        return std::nullopt;
    }
    return read_text(name, max_bytes);
}

std::int64_t json_reader::read_integer(const char* name, std::int64_t lowest, std::int64_t highest) {
    const auto* field = find(name);
    const bool is_integer = field != nullptr && field->is_number_integer() &&
                            (!field->is_number_unsigned() || field->get<std::uint64_t>() <= INT64_MAX);
    if (!is_integer || field->get<std::int64_t>() < lowest || field->get<std::int64_t>() > highest) {
        fail(name, "is not an integer from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return lowest;
    }
    return field->get<std::int64_t>();
}

std::int64_t json_reader::read_optional_number(const char* name, std::int64_t lowest, std::int64_t highest,
                                               std::int64_t default_value) {
    const auto* field = find(name);
    if (field == nullptr || field->is_null()) {
        return default_value;
    }
    if (!field->is_number_float()) {
        return read_integer(name, lowest, highest);
    }
    const auto value = field->get<double>();
    if (!(value >= static_cast<double>(lowest) && value <= static_cast<double>(highest))) {
        fail(name, "is not a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return default_value;
    }
    return static_cast<std::int64_t>(value);
}

bool json_reader::read_flag(const char* name) {
    const auto* field = find(name);
    if (field == nullptr || !field->is_boolean()) {
        fail(name, "is not true or false");
        return false;
    }
    return field->get<bool>();
}

const nlohmann::json& json_reader::read_array(const char* name) {
    const auto* field = find(name);
    if (field == nullptr || !field->is_array()) {
        fail(name, "is not an array");
        return empty_array;
    }
    return *field;
}

const nlohmann::json& json_reader::read_object(const char* name) {
    const auto* field = find(name);
    if (field == nullptr || !field->is_object()) {
        fail(name, "is not an object");
        return empty_object;
    }
    return *field;
}

void json_reader::fail(const char* name, std::string_view reason) {
    if (status_.ok()) {
        status_ = make_error(error_kind::bad_request,
                             "field \"" + std::string(name) + "\" of " + what_ + " " + std::string(reason));
    }
}

const nlohmann::json* json_reader::find(const char* name) {
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

}  // namespace jacinthvane
