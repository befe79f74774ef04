#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/http_limits.hpp"
#include "connection/http_message.hpp"
#include "process/connection_budget.hpp"

namespace jacinthvane {

// Serves HTTP/1.1 on one listening socket. Requests of one connection are handled in order, so pipelined
// requests get their responses in the order in which they were sent. What clients can make the process hold
// is limited for each connection, and in total by a budget that the servers of a process share.
class http_server {
public:
    using handler = std::function<awaitable<http_response>(http_request)>;

    // Without a budget the server has one of its own.
    http_server(asio::io_context& context, http_limits limits, handler handle,
                std::shared_ptr<connection_budget> budget = nullptr);

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
        std::shared_ptr<connection_budget> budget;
        // The number of this server in the budget.
        std::size_t group = 0;
        std::atomic<bool> is_stopping = false;
        std::atomic<bool> is_closing = false;
        std::atomic<std::size_t> requests_in_progress = 0;
        async_signal request_finished;
    };

    // Counts a request in progress until its response has been written.
    class progress_count;

    static awaitable<void> accept_connections(std::shared_ptr<shared_state> state);
    static awaitable<bool> accept_connection(std::shared_ptr<shared_state> state);
    static awaitable<void> serve_connection(std::shared_ptr<shared_state> state,
                                            asio::ip::tcp::socket socket);
    static awaitable<http_response> handle_request(std::shared_ptr<shared_state> state, http_request request);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
