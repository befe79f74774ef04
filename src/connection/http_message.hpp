#pragma once

#include <map>
#include <string>
#include <string_view>

namespace jacinthvane {

// Compares header names without regard to case, as HTTP requires.
struct header_name_less {
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using header_map = std::map<std::string, std::string, header_name_less>;

// An HTTP request without types of the HTTP library, so that handlers do not depend on it.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    header_map headers;
    std::string body;

    bool operator==(const http_request&) const = default;

    // Returns the value of a header, or an empty view if it is absent.
    std::string_view get_header(std::string_view name) const;
    // Returns the target without its query.
    std::string_view get_path() const;
    // Returns the decoded value of a query parameter, or an empty string if it is absent.
    std::string get_query(std::string_view name) const;
};

// A handler that returns this status makes the server close the connection without a response. The stand-ins
// use it to simulate lost responses.
constexpr int dropped_response_status = 0;

struct http_response {
    int status = 200;
    header_map headers;
    std::string body;

    bool operator==(const http_response&) const = default;

    std::string_view get_header(std::string_view name) const;
};

}  // namespace jacinthvane
