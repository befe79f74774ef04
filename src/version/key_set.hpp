#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

constexpr std::size_t max_access_tokens = 1024;
constexpr std::size_t min_token_bytes = 24;
constexpr std::size_t max_token_bytes = 256;
constexpr std::size_t min_peer_key_bytes = 32;

// Each role includes the permissions of the roles before it.
enum class access_role { viewer, operator_role, admin };

std::string_view get_name(access_role role);

using token_digest = std::array<std::uint8_t, 32>;

// Returns the SHA-256 digest of a token. Only digests are stored, so that a memory dump reveals no token.
token_digest digest_token(std::string_view token);

struct access_token {
    std::string name;
    token_digest digest{};
    access_role role = access_role::viewer;
    // The team that the token is limited to; empty for access to the whole fleet.
    team_id team;

    bool operator==(const access_token&) const = default;
};

// A signing key for messages between entry processes. The first key of the set signs; all of them verify.
struct peer_key {
    std::string id;
    std::string bytes;

    bool operator==(const peer_key&) const = default;
};

// The content of one version of the key file.
struct key_set {
    std::vector<access_token> tokens;
    std::vector<peer_key> peer_keys;

    bool operator==(const key_set&) const = default;
};

using key_set_ptr = std::shared_ptr<const key_set>;

// Finds a token by its digest. Returns nullptr for an unknown token. Every digest is compared in constant
// time, so the duration does not reveal which token matches or how long the matching prefix is.
const access_token* find_token(const key_set& keys, std::string_view token);

}  // namespace jacinthvane
