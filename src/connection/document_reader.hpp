#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

#include "version/config_error.hpp"

namespace jacinthvane {

// A parsed document. Line numbers exist for TOML only, keyed by a path such as "exceptions[2].reason".
struct text_document {
    nlohmann::json root;
    std::map<std::string, int> lines;
};

// Both refuse documents larger than max_bytes. JSON may nest 32 levels, TOML as many as the library allows
// (256).
std::variant<text_document, config_errors> read_json(std::string_view text, std::size_t max_bytes);
std::variant<text_document, config_errors> read_toml(std::string_view text, std::size_t max_bytes);

// Writes compact JSON. Bytes that are not UTF-8 are replaced.
std::string write_json(const nlohmann::json& value);

// Collects the errors that are found while a document is read.
class fault_collector {
public:
    // The document must outlive the collector. Unknown keys are errors only if is_strict is set.
    fault_collector(const text_document& document, bool is_strict)
        : document_(document), is_strict_(is_strict) {}

    void add(const std::string& path, std::string message);
    bool is_strict() const { return is_strict_; }
    bool is_empty() const { return errors_.empty(); }
    config_errors take() { return std::move(errors_); }

private:
    const text_document& document_;
    bool is_strict_;
    config_errors errors_;
};

// Reads the fields of one object and reports fields that are missing, of the wrong type or unknown.
class object_reader {
public:
    object_reader(const nlohmann::json& value, std::string path, fault_collector& faults);

    const std::string& get_path() const { return path_; }
    std::string get_path(std::string_view key) const;

    // Returns nullptr if the field is absent.
    const nlohmann::json* find(std::string_view key);
    bool has(std::string_view key) { return find(key) != nullptr; }

    std::string require_text(std::string_view key);
    std::string get_text(std::string_view key, std::string_view fallback);
    std::int64_t require_number(std::string_view key);
    std::int64_t get_number(std::string_view key, std::int64_t fallback);
    bool get_flag(std::string_view key, bool fallback);
    // Returns the elements of an array, or nullptr if the field is absent or not an array.
    const nlohmann::json* find_array(std::string_view key);

    // Reports the fields that none of the calls above requested as unknown.
    void finish();

private:
    std::optional<std::string> read_text(std::string_view key);
    std::optional<std::int64_t> read_number(std::string_view key);

    const nlohmann::json& value_;
    std::string path_;
    fault_collector& faults_;
    std::set<std::string, std::less<>> requested_keys_;
};

}  // namespace jacinthvane
