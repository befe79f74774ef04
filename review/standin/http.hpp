#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

// One request as a stand-in receives it.
struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct response {
    int status = 200;
    std::string body = "{}";
};

using handler = std::function<response(const request&)>;

// Serves HTTP/1.1 on a loopback port for the rest of the process's life, one thread for each connection.
void serve(int port, handler handle);

// Sends one request on a connection of its own. Nothing is returned if no complete response came in time.
// With is_exact the time runs from the sending of the request on the open connection to the last byte of the
// response.
std::optional<response> call(int port, const std::string& method, const std::string& target,
                             const std::map<std::string, std::string>& headers, const std::string& body,
                             std::chrono::milliseconds timeout, bool is_exact = false);

}  // namespace review
