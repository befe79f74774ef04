#include "connection/key_file.hpp"

#include <array>
#include <charconv>
#include <fstream>
#include <mutex>
#include <optional>
#include <set>

#include "connection/document_reader.hpp"
#include "version/runbook.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_key_file_bytes = 512U << 10U;
constexpr std::size_t max_peer_keys = 4;

std::optional<std::string> read_hex(std::string_view text) {
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        unsigned value = 0;
        const auto* end = text.data() + i + 2;
        if (std::from_chars(text.data() + i, end, value, 16).ptr != end) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

token_digest read_digest(object_reader& reader, fault_collector& faults) {
    if (reader.has("token") == reader.has("token_sha256")) {
        faults.add(reader.get_path(), "must have exactly one of token and token_sha256");
        return {};
    }
    if (reader.has("token")) {
        const auto token = reader.require_text("token");
        if (token.size() < min_token_bytes || token.size() > max_token_bytes) {
            faults.add(reader.get_path("token"), "must have " + std::to_string(min_token_bytes) + " to " +
                                                     std::to_string(max_token_bytes) + " characters");
        }
        return digest_token(token);
    }
    const auto bytes = read_hex(reader.require_text("token_sha256"));
    token_digest digest{};
    if (!bytes || bytes->size() != digest.size()) {
        faults.add(reader.get_path("token_sha256"), "must have 64 hexadecimal digits");
        return {};
    }
    std::copy(bytes->begin(), bytes->end(), digest.begin());
    return digest;
}

access_token read_token(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    access_token token;
    token.name = reader.require_text("name");
    if (!is_valid_name(token.name)) {
        faults.add(reader.get_path("name"), "is not a valid name");
    }
    token.digest = read_digest(reader, faults);
    const auto role = reader.require_text("role");
    bool is_known = false;
    for (const auto known : {access_role::viewer, access_role::operator_role, access_role::admin}) {
        if (get_name(known) == role) {
            token.role = known;
            is_known = true;
        }
    }
    if (!is_known) {
        faults.add(reader.get_path("role"), "must be viewer, operator or admin, not \"" + role + "\"");
    }
    // Access to the whole fleet must be requested explicitly, so that an omitted field does not grant access
    // to all teams.
    const auto team = reader.require_text("team");
    if (team != "*") {
        token.team = team_id(team);
        if (!is_valid_name(team)) {
            faults.add(reader.get_path("team"), "must be a team name, or \"*\" for the whole fleet");
        }
    }
    reader.finish();
    return token;
}

peer_key read_peer_key(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    peer_key key;
    key.id = reader.require_text("id");
    const auto bytes = read_hex(reader.require_text("key"));
    if (!bytes || bytes->size() < min_peer_key_bytes) {
        faults.add(reader.get_path("key"),
                   "must have " + std::to_string(2 * min_peer_key_bytes) + " hexadecimal digits or more");
    } else {
        key.bytes = *bytes;
    }
    reader.finish();
    return key;
}

}  // namespace

std::variant<key_set_ptr, config_errors> parse_key_file(std::string_view text) {
    auto read = read_toml(text, max_key_file_bytes);
    if (auto* errors = std::get_if<config_errors>(&read)) {
        return std::move(*errors);
    }
    const auto& document = std::get<text_document>(read);
    fault_collector faults(document, true);
    object_reader reader(document.root, "", faults);
    auto keys = std::make_shared<key_set>();
    std::set<std::string> names;
    std::set<token_digest> digests;
    const auto* tokens = reader.find_array("tokens");
    if (tokens != nullptr && tokens->size() > max_access_tokens) {
        faults.add("tokens", "at most " + std::to_string(max_access_tokens) + " tokens are allowed");
        tokens = nullptr;
    }
    for (std::size_t i = 0; tokens != nullptr && i < tokens->size(); ++i) {
        const auto path = "tokens[" + std::to_string(i) + "]";
        auto token = read_token((*tokens)[i], path, faults);
        if (!names.insert(token.name).second) {
            faults.add(path + ".name", "\"" + token.name + "\" is used twice");
        }
        if (!digests.insert(token.digest).second) {
            faults.add(path, "has the same token as another entry");
        }
        keys->tokens.push_back(std::move(token));
    }
    const auto* peers = reader.find_array("peer_keys");
    if (peers != nullptr && peers->size() > max_peer_keys) {
        faults.add("peer_keys", "at most " + std::to_string(max_peer_keys) + " keys are allowed");
        peers = nullptr;
    }
    for (std::size_t i = 0; peers != nullptr && i < peers->size(); ++i) {
        keys->peer_keys.push_back(read_peer_key((*peers)[i], "peer_keys[" + std::to_string(i) + "]", faults));
    }
    reader.finish();
    if (!faults.is_empty()) {
        return faults.take();
    }
    return key_set_ptr(keys);
}

config_errors key_file::reload() {
    std::ifstream file(path_, std::ios::binary);
    std::string text;
    std::array<char, 4096> block{};
    while (file.read(block.data(), block.size()) || file.gcount() > 0) {
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
        if (text.size() > max_key_file_bytes) {
            break;
        }
    }
    if (text.empty()) {
        return {{"", "the key file " + path_ + " cannot be read or is empty"}};
    }
    auto parsed = parse_key_file(text);
    if (auto* errors = std::get_if<config_errors>(&parsed)) {
        return std::move(*errors);
    }
    replace(std::get<key_set_ptr>(parsed));
    return {};
}

void key_file::replace(key_set_ptr keys) {
    std::lock_guard lock(mutex_);
    keys_ = std::move(keys);
}

key_set_ptr key_file::get() const {
    std::lock_guard lock(mutex_);
    return keys_;
}

}  // namespace jacinthvane
