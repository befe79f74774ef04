#include "connection/server_connection.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Holds most requests with their header, and is part of what each connection accounts for anyway.
constexpr std::size_t read_bytes = 4U << 10U;
// Smaller differences are not accounted for, since most requests and responses are small and each change
// takes the lock of the budget.
constexpr std::size_t uncounted_bytes = 4U << 10U;
// Bytes that a rejected client may have sent further; a socket that is closed before they are read discards
// the response.
constexpr std::size_t max_discarded_bytes = 64U << 10U;

http_request from_beast(http::request<http::string_body>&& message) {
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> to_beast(http_response&& response, bool keep_alive) {
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (const auto& [name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive);
    message.prepare_payload();
    return message;
}

http_response make_rejection(error_kind kind, const std::string& message) {
    const auto& error_info = get_error_mapping(kind);
    http_response response;
    response.status = error_info.http_status;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Run"] = std::string(get_name(error_info.run));
    response.body = "{\"kind\":\"" + std::string(error_info.name) + "\",\"message\":\"" + message +
                    "\",\"run\":\"not-run\",\"retry_after_ms\":" + std::to_string(error_info.retry_after_ms) +
                    "}\n";
    return response;
}

http_response make_parse_failure(const boost::system::error_code& error) {
    const auto kind = error == http::error::body_limit ? error_kind::body_too_large : error_kind::bad_request;
    return make_rejection(kind, "cannot read the request: " + error.message());
}

http_response make_overload_rejection() {
    return make_rejection(error_kind::overloaded, "the connections of this process use up their memory");
}

bool is_parse_failure(const boost::system::error_code& error) {
    return error && error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

server_connection::server_connection(asio::ip::tcp::socket socket, const http_limits& limits,
                                     std::shared_ptr<connection_budget> budget)
    : stream_(std::move(socket)),
      limits_(limits),
      budget_(std::move(budget)),
      buffer_(limits.max_header_bytes + read_bytes) {
    boost::system::error_code error;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
}

server_connection::~server_connection() {
    if (place_) {
        budget_->remove(place_);
    }
}

bool server_connection::open(std::size_t group) {
    const std::weak_ptr<server_connection> weak_connection = weak_from_this();
    place_ = budget_->add(group, [weak_connection, executor = stream_.get_executor()] {
        asio::post(executor, [weak_connection] {
            if (const auto evicted = weak_connection.lock()) {
                evicted->stream_.cancel();
            }
        });
    });
    if (place_) {
        return true;
    }
    reject(make_overload_rejection());
    return false;
}

awaitable<read_result> server_connection::read_request() {
    request_parser parser;
    parser.eager(true);
    parser.body_limit(limits_.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    boost::system::error_code error;
    bool has_begun = buffer_.size() > 0;
    stream_.expires_after(has_begun ? limits_.io_timeout : limits_.idle_timeout);
    if (has_begun && !begin_reading()) {
        co_return ended_connection{};
    }
    bool needs_input = !has_begun;
    while (!parser.is_done()) {
        if (needs_input) {
            const auto room = std::min(read_bytes, buffer_.max_size() - buffer_.size());
            if (room == 0) {
                record(rejection::request_too_large);
                co_return rejected_request{make_rejection(error_kind::body_too_large,
                                                          "the trailers or a chunk extension are too large")};
            }
            const auto received = co_await stream_.async_read_some(
                buffer_.prepare(room), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return end_reading(error, has_begun);
            }
            buffer_.commit(received);
            if (!has_begun) {
                has_begun = true;
                // The deadline is that of the whole request, however slowly it arrives.
                stream_.expires_after(limits_.io_timeout);
                if (!begin_reading()) {
                    co_return ended_connection{};
                }
            }
        }
        buffer_.consume(parser.put(buffer_.data(), error));
        if (error && error != http::error::need_more) {
            co_return end_reading(error, has_begun);
        }
        if (!charge(parser)) {
            co_return rejected_request{make_overload_rejection()};
        }
        needs_input = true;
    }
    stream_.expires_never();
    if (!budget_->enter(place_, connection_phase::answering)) {
        co_return rejected_request{make_overload_rejection()};
    }
    const bool keep_alive = parser.get().keep_alive();
    co_return received_request{from_beast(parser.release()), keep_alive};
}

awaitable<bool> server_connection::write_response(http_response response, bool keep_alive) {
    const auto response_bytes = response.body.size();
    const bool is_small = response_bytes <= uncounted_bytes;
    if (!is_small && !budget_->resize(place_, charged_bytes_ + response_bytes)) {
        // The request has run, so that no other response would be true.
        co_return false;
    }
    charged_bytes_ += is_small ? 0 : response_bytes;
    budget_->enter(place_, connection_phase::writing);
    const auto message = to_beast(std::move(response), keep_alive);
    boost::system::error_code error;
    stream_.expires_after(limits_.io_timeout);
    co_await http::async_write(stream_, message, asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout) {
        record(rejection::request_timeout);
    }
    if (error || !keep_alive) {
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
        discard_received();
        co_return false;
    }
    prepare_next();
    co_return budget_->enter(place_, connection_phase::idle);
}

void server_connection::reject(http_response response) {
    beast::flat_buffer output;
    beast::ostream(output) << to_beast(std::move(response), false);
    boost::system::error_code error;
    stream_.socket().non_blocking(true, error);
    stream_.socket().write_some(output.data(), error);
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    discard_received();
}

bool server_connection::begin_reading() {
    return budget_->enter(place_, connection_phase::reading);
}

bool server_connection::charge(const request_parser& parser) {
    // Half of the capacity of a body that grows by doubling is unused memory; the part of a body that was
    // announced and has not arrived is none.
    const auto& body = parser.get().body();
    const auto body_bytes = std::min(body.capacity(), 2 * body.size());
    const auto buffer_bytes = buffer_.capacity() > read_bytes ? buffer_.capacity() - read_bytes : 0;
    const auto held = body_bytes + buffer_bytes;
    if (held <= charged_bytes_ + uncounted_bytes) {
        return true;
    }
    if (!budget_->resize(place_, held)) {
        return false;
    }
    charged_bytes_ = held;
    return true;
}

read_result server_connection::end_reading(const boost::system::error_code& error, bool has_begun) {
    if (has_begun && budget_->is_evicted(place_)) {
        return rejected_request{make_overload_rejection()};
    }
    if (is_parse_failure(error)) {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            record(rejection::request_too_large);
        }
        return rejected_request{make_parse_failure(error)};
    }
    if (has_begun && error == beast::error::timeout) {
        record(rejection::request_timeout);
    }
    return ended_connection{};
}

void server_connection::prepare_next() {
    if (buffer_.size() == 0 && buffer_.capacity() > read_bytes) {
        buffer_.shrink_to_fit();
    }
    const auto kept_bytes = buffer_.capacity() > read_bytes ? buffer_.capacity() - read_bytes : 0;
    if (kept_bytes < charged_bytes_) {
        budget_->resize(place_, kept_bytes);
        charged_bytes_ = kept_bytes;
    }
}

void server_connection::discard_received() {
    std::array<char, read_bytes> discarded{};
    boost::system::error_code error;
    stream_.socket().non_blocking(true, error);
    std::size_t total = 0;
    while (!error && total < max_discarded_bytes) {
        const auto part = stream_.socket().read_some(asio::buffer(discarded), error);
        total += part;
    }
}

void server_connection::record(rejection kind) {
    budget_->get_log()->record(kind, std::chrono::steady_clock::now());
}

}  // namespace jacinthvane
