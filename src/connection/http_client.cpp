#include "connection/http_client.hpp"

#include <mutex>
#include <optional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_response_bytes = 64U << 20U;
// A connection that was idle for longer is replaced: a middlebox may have dropped it without closing it.
constexpr std::chrono::seconds max_idle{20};
// A read takes no more bytes than the buffer has room for, and each read costs a turn of the event loop. The
// first amount holds most responses with their header, the second bounds the buffer for long bodies.
constexpr std::size_t initial_buffer_bytes = 4U << 10U;
constexpr std::size_t max_buffer_bytes = 64U << 10U;

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error) {
        return std::nullopt;
    }
    const int port = std::atoi(address.c_str() + colon + 1);
    if (port < 1 || port > 65535) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

http::request<http::string_body> to_beast(const http_request& request, const std::string& address) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, address);
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

http_response from_beast(http::response<http::string_body>&& message) {
    http_response response;
    response.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
        response.headers.emplace(std::string(field.name_string()), std::string(field.value()));
    }
    response.body = std::move(message.body());
    return response;
}

}  // namespace

struct http_client::pooled_connection {
    explicit pooled_connection(asio::io_context& context) : stream(asio::make_strand(context)) {
        buffer.reserve(initial_buffer_bytes);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idle_since;
    bool is_open = false;
};

struct http_client::address_pool {
    std::list<std::unique_ptr<pooled_connection>> idle;
    std::size_t in_use = 0;
    // Calls that wait for a connection to this address. One signal for all addresses would wake every waiting
    // call of the process whenever any call ends.
    std::shared_ptr<async_signal> released = std::make_shared<async_signal>();
};

http_client::http_client(asio::io_context& context, std::size_t max_connections_per_address)
    : context_(context), max_connections_(max_connections_per_address) {}

http_client::~http_client() = default;

void http_client::drop_old_connections(address_pool& pool) {
    const auto oldest_usable = std::chrono::steady_clock::now() - max_idle;
    pool.idle.remove_if([&](const auto& connection) { return connection->idle_since < oldest_usable; });
}

bool http_client::has_idle_connection(const std::string& address) {
    std::lock_guard lock(mutex_);
    const auto found = pools_.find(address);
    if (found == pools_.end()) {
        return false;
    }
    drop_old_connections(found->second);
    return !found->second.idle.empty();
}

awaitable<absl::StatusOr<std::unique_ptr<http_client::pooled_connection>>> http_client::acquire(
    std::string address, time_point deadline, connection_choice choice) {
    while (true) {
        std::shared_ptr<async_signal> released;
        std::uint64_t seen = 0;
        {
            std::lock_guard lock(mutex_);
            auto& pool = pools_[address];
            released = pool.released;
            seen = released->get_count();
            drop_old_connections(pool);
            if (choice == connection_choice::reused && pool.idle.empty()) {
                co_return make_error(error_kind::upstream_unreachable,
                                     "there is no idle connection to " + address + " to reuse");
            }
            if (pool.in_use < max_connections_) {
                ++pool.in_use;
                if (pool.idle.empty()) {
                    co_return std::make_unique<pooled_connection>(context_);
                }
                auto connection = std::move(pool.idle.back());
                pool.idle.pop_back();
                co_return connection;
            }
        }
        if (!co_await released->wait(seen, deadline)) {
            co_return make_error(error_kind::upstream_unreachable,
                                 "all " + std::to_string(max_connections_) + " connections to " + address +
                                     " were in use until the deadline");
        }
    }
}

void http_client::release(const std::string& address, std::unique_ptr<pooled_connection> connection) {
    std::shared_ptr<async_signal> released;
    {
        std::lock_guard lock(mutex_);
        auto& pool = pools_[address];
        released = pool.released;
        --pool.in_use;
        if (connection && connection->is_open) {
            connection->idle_since = std::chrono::steady_clock::now();
            pool.idle.push_back(std::move(connection));
        }
    }
    released->notify_all();
}

awaitable<absl::StatusOr<http_response>> http_client::fetch(std::string address, http_request request,
                                                            time_point deadline, time_point write_before,
                                                            response_check is_expected,
                                                            connection_choice choice) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        co_return make_error(error_kind::upstream_unreachable,
                             "\"" + address + "\" is not an IP address and port");
    }
    auto acquired = co_await acquire(address, deadline, choice);
    if (!acquired.ok()) {
        co_return acquired.status();
    }
    auto connection = std::move(*acquired);
    // The stream's timers run on the strand of the stream, so the exchange has to run there too.
    auto result = co_await asio::co_spawn(connection->stream.get_executor(),
                                          exchange(*connection, *endpoint, address, std::move(request),
                                                   deadline, write_before, std::move(is_expected)),
                                          asio::use_awaitable);
    release(address, std::move(connection));
    co_return result;
}

awaitable<absl::StatusOr<http_response>> http_client::exchange(pooled_connection& connection,
                                                               asio::ip::tcp::endpoint endpoint,
                                                               std::string address, http_request request,
                                                               time_point deadline, time_point write_before,
                                                               response_check is_expected) {
    auto& stream = connection.stream;
    stream.expires_at(deadline);
    boost::system::error_code error;
    if (!connection.is_open) {
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return make_error(error_kind::upstream_unreachable,
                                 "cannot connect to " + address + ": " + error.message());
        }
        stream.socket().set_option(asio::ip::tcp::no_delay(true));
    }
    connection.is_open = false;
    const auto message = to_beast(request, address);
    if (std::chrono::steady_clock::now() >= std::min(write_before, deadline)) {
        co_return make_error(error_kind::upstream_unreachable,
                             "the time limit passed before the request to " + address + " could be sent");
    }
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    if (!error) {
        co_await http::async_read_header(stream, connection.buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        const auto missing = parser.content_length_remaining().value_or(max_buffer_bytes);
        connection.buffer.reserve(
            std::min(connection.buffer.size() + static_cast<std::size_t>(missing), max_buffer_bytes));
        co_await http::async_read(stream, connection.buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return make_error(error_kind::upstream_lost, "call to " + address + " failed: " + error.message());
    }
    auto received = parser.release();
    const bool is_kept_alive = received.keep_alive();
    auto response = from_beast(std::move(received));
    if (is_expected && !is_expected(response)) {
        co_return make_error(error_kind::upstream_lost, address + " sent the response to another request");
    }
    connection.is_open = is_kept_alive;
    stream.expires_never();
    co_return response;
}

}  // namespace jacinthvane
