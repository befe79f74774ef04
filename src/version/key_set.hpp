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

// Each role may do what the roles before it may.
enum class access_role { viewer, operator_role, admin };

std::string_view get_name(access_role role);

using token_digest = std::array<std::uint8_t, 32>;

// SHA-256 of a token. Only digests are kept, so a dump of the process shows no token.
token_digest digest_token(std::string_view token);

struct access_token {
    std::string name;
    token_digest digest{};
    access_role role = access_role::viewer;
    // Empty for tokens of the whole fleet.
    team_id team;

    bool operator==(const access_token&) const = default;
};

// One key of the messages between entry processes. The first one signs; all are accepted.
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

// Returns nullptr for an unknown token. The time does not depend on which token matches or how far: every
// digest is compared, each in constant time.
const access_token* find_token(const key_set& keys, std::string_view token);

}  // namespace jacinthvane
