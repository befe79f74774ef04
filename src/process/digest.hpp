#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthvane {

// Returns the first 128 bits of the SHA-256 of the text as 32 hexadecimal digits. The result is the same in
// every process.
std::string make_digest(std::string_view text);

// Returns the first 64 bits of the same digest. Keys and jobs are assigned to shards by it.
std::uint64_t make_hash(std::string_view text);

}  // namespace jacinthvane
