#pragma once

#include <cstddef>
#include <memory>
#include <variant>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "connection/asio.hpp"
#include "connection/http_limits.hpp"
#include "connection/http_message.hpp"
#include "process/connection_budget.hpp"

namespace jacinthvane {

// A complete request. It may run: the connection cannot be evicted until its response has been written.
struct received_request {
    http_request request;
    bool keep_alive = false;

    bool operator==(const received_request&) const = default;
};

// The response to a request that is not read to its end and does not run.
struct rejected_request {
    http_response response;

    bool operator==(const rejected_request&) const = default;
};

// The connection ends without a response.
struct ended_connection {
    bool operator==(const ended_connection&) const = default;
};

using read_result = std::variant<received_request, rejected_request, ended_connection>;

// One connection of an http_server. Reads one request at a time into a buffer of bounded size, within a
// deadline from its first byte, and accounts for its memory in the budget of the process. All calls run on
// the strand of the socket.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(asio::ip::tcp::socket socket, const http_limits& limits,
                      std::shared_ptr<connection_budget> budget);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    // Takes a place in the budget. If there is none, sends a response with status 503 and returns false.
    bool open(std::size_t group);

    awaitable<read_result> read_request();

    // Returns false if the connection has ended.
    awaitable<bool> write_response(http_response response, bool keep_alive);

    // Sends as much of a rejection as the socket takes at once, and ends the connection. Does not wait, since
    // a client that reads nothing would keep a connection that was evicted to make room.
    void reject(http_response response);

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool begin_reading();
    bool charge(const request_parser& parser);
    read_result end_reading(const boost::system::error_code& error, bool has_begun);
    void prepare_next();
    void discard_received();
    void record(rejection kind);

    boost::beast::tcp_stream stream_;
    const http_limits limits_;
    const std::shared_ptr<connection_budget> budget_;
    // Null until the connection is open.
    connection_budget::handle place_;
    boost::beast::flat_buffer buffer_;
    // What the connection accounts for beyond the fixed part.
    std::size_t charged_bytes_ = 0;
};

}  // namespace jacinthvane
