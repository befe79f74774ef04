#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <nlohmann/json.hpp>

#include "connection/document_reader.hpp"
#include "version/runbook.hpp"

namespace jacinthvane {

constexpr std::size_t max_runbook_bytes = 256U << 10U;

nlohmann::json encode_runbook(const runbook& book);
runbook decode_runbook(const nlohmann::json& value, const std::string& path, fault_collector& faults);

// Parses a file with one runbook at its top level.
std::variant<runbook, config_errors> parse_runbook_toml(std::string_view text);
std::string write_runbook_toml(const runbook& book);
// Writes the steps of a runbook as an array of tables with the given name.
std::string write_steps_toml(const runbook& book, std::string_view table);
// Writes a TOML string, quoted and escaped.
std::string quote_toml(std::string_view text);

nlohmann::json encode_runbook_run(const runbook_run_record& record);
std::variant<runbook_run_record, config_errors> decode_runbook_run(std::string_view text);

}  // namespace jacinthvane
