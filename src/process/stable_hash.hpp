#pragma once

#include <cstdint>
#include <string_view>

namespace jacinthvane {

// FNV-1a. The same on all machines and versions, since it decides in which shard a key is kept.
constexpr std::uint64_t stable_hash_start = 0xcbf29ce484222325U;

constexpr std::uint64_t get_stable_hash(std::string_view bytes, std::uint64_t start = stable_hash_start) {
    std::uint64_t hash = start;
    for (const char c : bytes) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return hash;
}

}  // namespace jacinthvane
