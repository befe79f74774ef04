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

// The store's limit is 1 MB a value; the rest is room for the store's own framing.
constexpr std::size_t max_config_bytes = 960U << 10U;
constexpr std::size_t max_config_file_bytes = 512U << 10U;

// Writes the value of config/fleet.
std::string encode_fleet_config(const fleet_config& config);

// Reads the value of config/fleet. Fields and settings that this release does not know are no faults, since
// members of a newer release may have written them during an upgrade.
std::variant<fleet_config_ptr, config_errors> decode_fleet_config(std::string_view text);

// Reads an operator's file. Everything unknown is a fault.
std::variant<config_document, config_errors> parse_config_toml(std::string_view text);

// Writes a file that parse_config_toml reads back to the same content.
std::string write_config_toml(const fleet_config& config);

nlohmann::json encode_operation(const config_operation& operation);
std::vector<config_operation> decode_operations(const nlohmann::json& value, const std::string& path,
                                                fault_collector& faults);
nlohmann::json encode_change_record(const config_change_record& record, bool with_undo);
nlohmann::json encode_exception(const config_exception& exception);

}  // namespace jacinthvane
