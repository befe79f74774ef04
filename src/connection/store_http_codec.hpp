#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthvane {

// Encodes a path of the store for a URL. Characters that are not allowed in a URL are escaped.
std::string encode_store_path(std::string_view path);

// Returns nothing if an escape is malformed.
std::optional<std::string> decode_store_path(std::string_view path);

// Parses a decimal number. Returns nothing if the text has any other characters.
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace jacinthvane
