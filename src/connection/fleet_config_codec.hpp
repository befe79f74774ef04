#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "connection/document_reader.hpp"
#include "version/fleet_config.hpp"

namespace jacinthvane {

// The store's limit is 1 MB per value; the difference is reserved for the store's framing.
constexpr std::size_t max_config_bytes = 960U << 10U;
constexpr std::size_t max_config_file_bytes = 512U << 10U;

// Encodes the value that is stored at config/fleet.
std::string encode_fleet_config(const fleet_config& config);

// Decodes the value that is stored at config/fleet. Unknown fields and settings are not errors, since members
// of a newer release may have written them during an upgrade.
std::variant<fleet_config_ptr, config_errors> decode_fleet_config(std::string_view text);

// Parses an operator's file. Unknown fields and settings are errors.
std::variant<config_document, config_errors> parse_config_toml(std::string_view text);

// Writes a file from which parse_config_toml restores the same content.
std::string write_config_toml(const fleet_config& config);

nlohmann::json encode_operation(const config_operation& operation);
std::vector<config_operation> decode_operations(const nlohmann::json& value, const std::string& path,
                                                fault_collector& faults);
nlohmann::json encode_change_record(const config_change_record& record, bool with_undo);
nlohmann::json encode_exception(const config_exception& exception);

}  // namespace jacinthvane
