#include "connection/key_ring.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

std::optional<std::string> decode_hex(std::string_view text) {
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const char* end = text.data() + i + 2;
        if (std::from_chars(text.data() + i, end, value, 16).ptr != end) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

}  // namespace

absl::StatusOr<key_ring> key_ring::parse(std::string_view text) {
    std::vector<std::string> keys;
    std::size_t line_number = 0;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = trim(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        ++line_number;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        auto key = decode_hex(line);
        if (!key || key->size() < min_key_bytes) {
            return make_error(error_kind::bad_configuration,
                              "line " + std::to_string(line_number) +
                                  " of the key file is not a hexadecimal key of at least 16 bytes");
        }
        keys.push_back(std::move(*key));
    }
    if (keys.empty() || keys.size() > max_keys) {
        return make_error(error_kind::bad_configuration,
                          "the key file has " + std::to_string(keys.size()) + " keys; 1 or 2 are accepted");
    }
    return key_ring(std::move(keys));
}

absl::StatusOr<key_ring> key_ring::read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return make_error(error_kind::bad_configuration, "cannot read the key file " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

std::string key_ring::sign(std::string_view bytes, std::size_t key_index) const {
    return compute_mac(keys_.at(key_index), bytes);
}

std::optional<std::size_t> key_ring::find_key(std::string_view bytes, std::string_view mac) const {
    for (std::size_t index = 0; index < keys_.size(); ++index) {
        const auto expected = compute_mac(keys_[index], bytes);
        if (mac.size() <= expected.size() &&
            is_same_mac(std::string_view(expected).substr(0, mac.size()), mac)) {
            return index;
        }
    }
    return std::nullopt;
}

std::string compute_mac(std::string_view key, std::string_view bytes) {
    std::string mac(key_ring::mac_bytes, '\0');
    unsigned length = 0;
    const auto* result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                              reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                              reinterpret_cast<unsigned char*>(mac.data()), &length);
    if (result == nullptr || length != mac.size()) {
        throw std::runtime_error("OpenSSL could not compute an HMAC-SHA256");
    }
    return mac;
}

bool is_same_mac(std::string_view left, std::string_view right) {
    return left.size() == right.size() && !left.empty() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string make_random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
        throw std::runtime_error("OpenSSL could not generate random bytes");
    }
    return bytes;
}

}  // namespace jacinthvane
