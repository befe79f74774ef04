#pragma once

#include <cstdint>
#include <string_view>

namespace jacinthvane {

// FNV-1a. It has to be the same on all machines and in all versions, since it selects the shard of a key.
constexpr std::uint64_t stable_hash_start = 0xcbf29ce484222325U;

constexpr std::uint64_t get_stable_hash(std::string_view bytes, std::uint64_t start = stable_hash_start) {
    std::uint64_t hash = start;
    for (const char c : bytes) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return hash;
}

}  // namespace jacinthvane
