#include "connection/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace jacinthvane {

namespace {

char to_lower(char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view find_header(const header_map& headers, std::string_view name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::string decode_percent(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
            result.push_back(static_cast<char>(code));
            i += 2;
        } else {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return result;
}

}  // namespace

bool header_name_less::operator()(std::string_view left, std::string_view right) const {
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                        [](char a, char b) { return to_lower(a) < to_lower(b); });
}

std::string_view http_request::get_header(std::string_view name) const {
    return find_header(headers, name);
}

std::string_view http_request::get_path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

std::string http_request::get_query(std::string_view name) const {
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find('&'));
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name && equals != std::string_view::npos) {
            return decode_percent(part.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    return {};
}

std::string_view http_response::get_header(std::string_view name) const {
    return find_header(headers, name);
}

}  // namespace jacinthvane
