#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthvane {

// Path of the store's values in its HTTP interface, with characters that a URL cannot hold escaped.
std::string encode_store_path(std::string_view path);

// Returns nothing if an escape is malformed.
std::optional<std::string> decode_store_path(std::string_view path);

// Parses a decimal number that has to fill the whole text.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace jacinthvane
