#include "connection/store_http_codec.hpp"

#include <cctype>

namespace jacinthvane {

namespace {

bool is_plain(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("/-_.~").find(c) != std::string_view::npos;
}

}  // namespace

std::string encode_store_path(std::string_view path) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    result.reserve(path.size());
    for (const char c : path) {
        if (is_plain(c)) {
            result.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        result.push_back('%');
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & 15U]);
    }
    return result;
}

std::optional<std::string> decode_store_path(std::string_view path) {
    std::string result;
    result.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            result.push_back(path[i]);
            continue;
        }
        unsigned code = 0;
        const char* start = path.data() + i + 1;
        if (i + 2 >= path.size() || std::from_chars(start, start + 2, code, 16).ptr != start + 2) {
            return std::nullopt;
        }
        result.push_back(static_cast<char>(code));
        i += 2;
    }
    return result;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

}  // namespace jacinthvane
