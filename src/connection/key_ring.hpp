#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace jacinthvane {

// The keys shared by all members and peers of one fleet. The first key signs, and every key is accepted for
// verification. This allows key rotation without downtime in three steps: add the new key in second position
// on every process, swap the two keys, remove the old key.
class key_ring {
public:
    static constexpr std::size_t mac_bytes = 32;
    static constexpr std::size_t max_keys = 2;
    static constexpr std::size_t min_key_bytes = 16;

    key_ring() = default;
    explicit key_ring(std::vector<std::string> keys) : keys_(std::move(keys)) {}

    // Reads one hexadecimal key from each line that is neither empty nor a comment (#). Errors:
    // bad_configuration.
    static absl::StatusOr<key_ring> parse(std::string_view text);
    static absl::StatusOr<key_ring> read_file(const std::string& path);

    std::size_t get_count() const { return keys_.size(); }

    // Returns the HMAC-SHA256 of the bytes, computed with the signing key or with the key at the given index.
    std::string sign(std::string_view bytes, std::size_t key_index = 0) const;

    // Returns the index of the key whose HMAC-SHA256, truncated to the length of the given MAC, matches it.
    std::optional<std::size_t> find_key(std::string_view bytes, std::string_view mac) const;

    bool operator==(const key_ring&) const = default;

private:
    std::vector<std::string> keys_;
};

// Computes an HMAC-SHA256.
std::string compute_mac(std::string_view key, std::string_view bytes);

// Compares in constant time, so that the duration does not reveal the position of the first difference.
bool is_same_mac(std::string_view left, std::string_view right);

// Returns cryptographically secure random bytes.
std::string make_random_bytes(std::size_t count);

}  // namespace jacinthvane
