// A small HTTP/1.1 server and client for the stand-ins: one thread a connection, blocking sockets, loopback
// only.

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

struct http_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;  // Names in lower case.
    std::string body;
    // The connection on which it came.
    int socket = -1;

    // Whether the client has closed the connection.
    bool is_abandoned() const;
    std::string get_path() const;
    std::string get_query(const std::string& name) const;
    std::string get_header(const std::string& name) const;
};

struct http_response {
    int status = 200;
    json body = json::object();
    // The connection is closed without a response.
    bool is_dropped = false;
    std::map<std::string, std::string> headers;
};

// Serves requests on one loopback address until it is stopped. A stopped server can be started again.
class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_server(handler handle) : handle_(std::move(handle)) {}
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Port 0 takes a free one. Returns the port, or 0 if it cannot be taken.
    std::uint16_t start(std::uint16_t port);
    // Closes the listening socket and all connections, as the end of a process does. Waits for all threads.
    void stop();

private:
    void accept_all();
    void serve(int socket);

    handler handle_;
    std::atomic<bool> is_stopping_ = false;
    int listener_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> sockets_;
    std::atomic<int> threads_ = 0;
};

struct call_result {
    // 0 if there was no response.
    int status = 0;
    json body;
};

// Makes one call on a connection of its own.
call_result call(std::uint16_t port, const std::string& method, const std::string& target,
                 const std::map<std::string, std::string>& headers, const std::string& body, int timeout_ms);

// Returns a free loopback port; with count > 1 the first of as many consecutive ones.
std::uint16_t find_free_ports(int count);

std::int64_t now_ms();
std::int64_t unix_ms();
void sleep_ms(std::int64_t ms);
void sleep_until_ms(std::int64_t at);

}  // namespace review
