#include "process/digest.hpp"

#include <array>

#include <openssl/sha.h>

namespace jacinthvane {

namespace {

constexpr std::size_t digest_bytes = 16;

std::array<unsigned char, SHA256_DIGEST_LENGTH> compute_sha256(std::string_view text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> result{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data());
    return result;
}

}  // namespace

std::string make_digest(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    const auto hash = compute_sha256(text);
    std::string result;
    result.reserve(digest_bytes * 2);
    for (std::size_t i = 0; i < digest_bytes; ++i) {
        result.push_back(digits[hash.at(i) >> 4U]);
        result.push_back(digits[hash.at(i) & 15U]);
    }
    return result;
}

std::uint64_t make_hash(std::string_view text) {
    const auto hash = compute_sha256(text);
    std::uint64_t result = 0;
    for (std::size_t i = 0; i < sizeof(result); ++i) {
        result = (result << 8U) | hash.at(i);
    }
    return result;
}

}  // namespace jacinthvane
