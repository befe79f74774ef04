#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"

namespace jacinthvane {

// Parses a JSON object whose arrays and objects are nested at most 64 deep. Errors: bad_request, with a
// message that begins with the name in `what`.
absl::StatusOr<nlohmann::json> parse_json_object(std::string_view bytes, std::string_view what);

// Reads the fields of one JSON object. The first field that is missing or has a wrong type or range sets the
// status. Reads of such fields return defaults, so a decoder checks the status only once, at its end.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string_view what);

    std::string read_text(const char* name, std::size_t max_bytes);
    std::optional<std::string> read_optional_text(const char* name, std::size_t max_bytes);
    std::int64_t read_integer(const char* name, std::int64_t lowest, std::int64_t highest);
    // The same for a field that may be missing and whose value may be a fraction, which is rounded down.
    std::int64_t read_optional_number(const char* name, std::int64_t lowest, std::int64_t highest,
                                      std::int64_t default_value);
    bool read_flag(const char* name);
    // Returns an array field, or an empty array if the field is missing or has another type.
    const nlohmann::json& read_array(const char* name);
    // Returns an object field, or an empty object if the field is missing or has another type.
    const nlohmann::json& read_object(const char* name);

    void fail(const char* name, std::string_view reason);
    const absl::Status& get_status() const { return status_; }

private:
    const nlohmann::json* find(const char* name);

    const nlohmann::json& object_;
    std::string what_;
    absl::Status status_;
};

}  // namespace jacinthvane
