#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthvane {

// Returns the first 128 bits of the SHA-256 of the text, as 32 hexadecimal digits. Equal on every process.
std::string make_digest(std::string_view text);

// Returns 64 bits of the same digest, for hashing keys and jobs to shards.
std::uint64_t make_hash(std::string_view text);

}  // namespace jacinthvane
