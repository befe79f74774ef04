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
// How long a response that has begun to arrive is still read after the deadline.
constexpr std::chrono::milliseconds late_read_grace{1000};

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

absl::Status make_connect_error(const std::string& address, const boost::system::error_code& error,
                                bool is_own_delay) {
    const auto kind = is_own_delay ? error_kind::call_delayed : error_kind::upstream_unreachable;
    return make_error(kind, "cannot connect to " + address + ": " + error.message(), run_knowledge::not_run);
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

// Runs on the strand of the stream, like the exchange itself.
class http_client::exchange_timer {
public:
    exchange_timer(beast::tcp_stream& stream, time_point deadline)
        : state_(std::make_shared<shared_state>(stream)) {
        wait(state_, deadline);
    }
    ~exchange_timer() {
        state_->is_finished = true;
        state_->timer.cancel();
    }
    exchange_timer(const exchange_timer&) = delete;
    exchange_timer& operator=(const exchange_timer&) = delete;

    void set_connected() { state_->is_connected = true; }
    void set_written() { state_->is_written = true; }
    void set_read_begun() { state_->has_read_begun = true; }
    bool has_expired() const { return state_->has_expired; }
    // Whether the call failed because of this process: it left a connection or a response unattended.
    bool is_own_delay() const { return state_->has_expired && state_->is_own_delay; }

private:
    struct shared_state {
        explicit shared_state(beast::tcp_stream& observed)
            : stream(observed), timer(observed.get_executor()) {}

        beast::tcp_stream& stream;
        asio::steady_timer timer;
        bool is_finished = false;
        bool is_connected = false;
        bool is_written = false;
        bool has_read_begun = false;
        bool has_expired = false;
        bool is_own_delay = false;
    };

    static void wait(const std::shared_ptr<shared_state>& state, time_point deadline) {
        state->timer.expires_at(deadline);
        state->timer.async_wait([state](const boost::system::error_code& error) {
            if (!error && !state->is_finished) {
                expire(state);
            }
        });
    }

    static void expire(const std::shared_ptr<shared_state>& state) {
        const bool has_response = has_arrived(*state);
        if (has_response && state->is_written && !state->is_own_delay) {
            state->is_own_delay = true;
            wait(state, std::chrono::steady_clock::now() + late_read_grace);
            return;
        }
        state->has_expired = true;
        state->is_own_delay = has_response || (state->is_connected && !state->is_written);
        // An operation that begins after a mere cancellation would wait without a deadline.
        state->stream.close();
    }

    // Whether the other side has done its part of the current operation: bytes of the response wait in the
    // socket, or the connection is established.
    static bool has_arrived(const shared_state& state) {
        boost::system::error_code error;
        if (state.is_connected) {
            return state.has_read_begun || state.stream.socket().available(error) > 0;
        }
        state.stream.socket().remote_endpoint(error);
        return !error;
    }

    std::shared_ptr<shared_state> state_;
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
            co_return make_error(error_kind::call_delayed,
                                 "all " + std::to_string(max_connections_) + " connections to " + address +
                                     " were in use until the deadline",
                                 run_knowledge::not_run);
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
    exchange_timer timer(stream, deadline);
    boost::system::error_code error;
    const auto send_deadline = std::min(write_before, deadline);
    const auto delayed = make_error(
        error_kind::call_delayed, "the time limit passed before the request to " + address + " could be sent",
        run_knowledge::not_run);
    if (std::chrono::steady_clock::now() >= send_deadline) {
        co_return delayed;
    }
    if (!connection.is_open) {
        co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return make_connect_error(address, error, timer.is_own_delay());
        }
        stream.socket().set_option(asio::ip::tcp::no_delay(true));
    }
    timer.set_connected();
    connection.is_open = false;
    const auto message = to_beast(request, address);
    if (std::chrono::steady_clock::now() >= send_deadline) {
        co_return delayed;
    }
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    if (!error) {
        timer.set_written();
        co_await http::async_read_header(stream, connection.buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && !parser.is_done()) {
        timer.set_read_begun();
        const auto missing = parser.content_length_remaining().value_or(max_buffer_bytes);
        connection.buffer.reserve(
            std::min(connection.buffer.size() + static_cast<std::size_t>(missing), max_buffer_bytes));
        co_await http::async_read(stream, connection.buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || timer.has_expired()) {
        const auto kind = timer.is_own_delay() ? error_kind::call_delayed : error_kind::upstream_lost;
        const auto reason = timer.has_expired() ? std::string("the deadline passed") : error.message();
        co_return make_error(kind, "call to " + address + " failed: " + reason);
    }
    auto received = parser.release();
    const bool is_kept_alive = received.keep_alive();
    auto response = from_beast(std::move(received));
    if (is_expected && !is_expected(response)) {
        co_return make_error(error_kind::upstream_lost, address + " sent the response to another request");
    }
    connection.is_open = is_kept_alive;
    co_return response;
}

}  // namespace jacinthvane
