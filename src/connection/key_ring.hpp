#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace jacinthvane {

// The keys that members and peers of one fleet share. The first key signs; every key is accepted, so a key is
// rotated in three steps without a pause: add the new one second everywhere, swap, remove the old one.
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

    // Returns the HMAC-SHA256 of the bytes under the signing key, or under the key of that index.
    std::string sign(std::string_view bytes, std::size_t key_index = 0) const;

    // Returns the index of the key whose HMAC-SHA256, cut to the length of the given one, matches.
    std::optional<std::size_t> find_key(std::string_view bytes, std::string_view mac) const;

    bool operator==(const key_ring&) const = default;

private:
    std::vector<std::string> keys_;
};

// Returns the HMAC-SHA256 of the bytes.
std::string compute_mac(std::string_view key, std::string_view bytes);

// Compares in a time that does not depend on where the first difference is.
bool is_same_mac(std::string_view left, std::string_view right);

// Returns bytes of the operating system's random generator.
std::string make_random_bytes(std::size_t count);

}  // namespace jacinthvane
