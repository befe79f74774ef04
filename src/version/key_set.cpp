#include "version/key_set.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace jacinthvane {

std::string_view get_name(access_role role) {
    switch (role) {
        case access_role::viewer:
            return "viewer";
        case access_role::operator_role:
            return "operator";
        case access_role::admin:
            return "admin";
    }
    return "viewer";
}

token_digest digest_token(std::string_view token) {
    token_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
    return digest;
}

const access_token* find_token(const key_set& keys, std::string_view token) {
    const auto digest = digest_token(token);
    const access_token* found = nullptr;
    for (const auto& known : keys.tokens) {
        if (CRYPTO_memcmp(known.digest.data(), digest.data(), digest.size()) == 0) {
            found = &known;
        }
    }
    return found;
}

}  // namespace jacinthvane
