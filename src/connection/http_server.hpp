#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/http_message.hpp"

namespace jacinthvane {

// Limits that keep one slow or hostile client from degrading the service for the others.
struct http_limits {
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_connections = 4096;
    // How long a client may take to send one request or to read one response.
    std::chrono::milliseconds io_timeout{15000};
    std::chrono::milliseconds idle_timeout{60000};
};

// Serves HTTP/1.1 on one listening socket. Requests of one connection are handled in order, so pipelined
// requests get their responses in the order in which they were sent.
class http_server {
public:
    using handler = std::function<awaitable<http_response>(http_request)>;

    http_server(asio::io_context& context, http_limits limits, handler handle);

    // Binds "address:port"; port 0 picks a free port.
    absl::Status listen(const std::string& address);

    // Returns the bound "address:port".
    std::string get_address() const;

    // Closes each connection after its next response, while new connections are still accepted.
    void close_after_responses() { state_->is_closing = true; }

    // Accepts no further connections. Open connections finish the current request and are then closed.
    void stop_accepting();

    // Waits until no request is in progress. Returns false if the deadline passes first.
    awaitable<bool> drain(time_point deadline);

    std::size_t get_requests_in_progress() const { return state_->requests_in_progress.load(); }

private:
    struct shared_state {
        explicit shared_state(asio::io_context& io) : context(io), acceptor(asio::make_strand(io)) {}

        asio::io_context& context;
        asio::ip::tcp::acceptor acceptor;
        http_limits limits;
        handler handle;
        std::atomic<bool> is_stopping = false;
        std::atomic<bool> is_closing = false;
        std::atomic<std::size_t> connections = 0;
        std::atomic<std::size_t> requests_in_progress = 0;
        async_signal request_finished;
    };

    static awaitable<void> accept_connections(std::shared_ptr<shared_state> state);
    static awaitable<void> serve_connection(std::shared_ptr<shared_state> state,
                                            asio::ip::tcp::socket socket);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
