#pragma once

#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/http_client.hpp"
#include "connection/http_message.hpp"
#include "process/clock.hpp"
#include "process/response_budget.hpp"

namespace jacinthvane {

// A connection of an http_client to one address. It carries out one exchange at a time, on the strand of the
// coroutine that calls it: an exchange that moved to a strand of the connection and back would cost two more
// turns of the event loop.
class client_connection {
public:
    client_connection(asio::io_context& context, const response_limits& limits);

    // Connects if necessary, sends the request and reads its response. See http_client::fetch.
    awaitable<absl::StatusOr<http_response>> exchange(asio::ip::tcp::endpoint endpoint, std::string address,
                                                      http_request request, time_point deadline,
                                                      time_point write_before, late_response late);

    // Whether the connection can be used for another exchange.
    bool is_open() const { return is_open_; }
    // Whether it can still be used: bytes that arrived while it was idle belong to no later request.
    bool is_reusable() const;
    time_point get_idle_since() const { return idle_since_; }
    void set_idle_since(time_point now) { idle_since_ = now; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    // Ends the current operation of an exchange when its deadline has passed.
    class exchange_timer;

    awaitable<boost::system::error_code> write_request(std::string text);
    awaitable<boost::system::error_code> read_response(response_parser& parser, exchange_timer& timer);
    // Accounts for what the response holds. Returns false if it has to end.
    bool charge(const response_parser& parser, exchange_timer& timer);
    void record(rejection kind);

    const response_limits limits_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    time_point idle_since_;
    bool is_open_ = false;
};

}  // namespace jacinthvane
