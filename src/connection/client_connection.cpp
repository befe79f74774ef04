#include "connection/client_connection.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A read takes no more bytes than the buffer has room for, and each read costs a turn of the event loop. The
// first amount holds most responses with their header, the second bounds the buffer for long bodies.
constexpr std::size_t initial_buffer_bytes = 4U << 10U;
constexpr std::size_t max_buffer_bytes = 64U << 10U;
// Responses that hold less are not accounted for: an owner reads thousands of small ones a second, and each
// change of the budget takes its lock. 490 of them hold 4 MB.
constexpr std::size_t uncounted_bytes = 8U << 10U;
// How long a response that has begun to arrive is still read after the deadline, and again after each such
// time in which more of it has arrived.
constexpr std::chrono::milliseconds late_read_grace{1000};
// Longest time after the deadline for which a response is read while it arrives.
constexpr std::chrono::milliseconds max_late_read{30000};

std::string serialize(const http_request& request, const std::string& address) {
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
    http::request_serializer<http::string_body> serializer(message);
    std::string text;
    boost::system::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
            text += beast::buffers_to_string(buffers);
            serializer.consume(beast::buffer_bytes(buffers));
        });
    }
    return text;
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

// A socket that cannot be prepared still works: writes may then be delayed or block for a moment.
void prepare_socket(asio::ip::tcp::socket& socket) {
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    socket.non_blocking(true, error);
}

absl::Status make_delayed_error(const std::string& address) {
    return make_error(error_kind::call_delayed,
                      "the time limit passed before the request to " + address + " could be sent",
                      run_knowledge::not_run);
}

absl::Status make_connect_error(const std::string& address, const boost::system::error_code& error,
                                bool is_own_delay) {
    const auto kind = is_own_delay ? error_kind::call_delayed : error_kind::upstream_unreachable;
    return make_error(kind, "cannot connect to " + address + ": " + error.message(), run_knowledge::not_run);
}

}  // namespace

// Runs on the strand of the exchange.
class client_connection::exchange_timer {
public:
    exchange_timer(const asio::any_io_executor& strand, asio::ip::tcp::socket& socket, time_point deadline,
                   late_response late)
        : state_(std::make_shared<shared_state>(strand, socket)) {
        state_->latest_read =
            deadline + (late == late_response::read_while_arriving ? max_late_read : late_read_grace);
        wait(state_, deadline);
    }
    ~exchange_timer() {
        state_->is_finished = true;
        state_->timer.cancel();
    }
    exchange_timer(const exchange_timer&) = delete;
    exchange_timer& operator=(const exchange_timer&) = delete;

    void set_connected() { state_->is_connected = true; }

    // Returns false if the response has to end, since it is the largest one when the memory is exhausted.
    bool charge(const std::shared_ptr<response_budget>& budget, std::size_t bytes) {
        if (!share_) {
            share_ = std::make_unique<response_budget::share>(budget, [weak_state = std::weak_ptr(state_)] {
                if (const auto state = weak_state.lock()) {
                    asio::post(state->timer.get_executor(), [state] { close(*state); });
                }
            });
        }
        return share_->resize(bytes);
    }

    void add_received(std::size_t bytes) { state_->received_bytes += bytes; }
    std::size_t get_received_bytes() const { return state_->received_bytes; }
    bool has_expired() const { return state_->has_expired; }
    // Whether the call failed because of this process: it left a connection or a response unattended.
    bool is_own_delay() const { return state_->has_expired && state_->is_own_delay; }

private:
    struct shared_state {
        shared_state(const asio::any_io_executor& strand, asio::ip::tcp::socket& observed)
            : socket(observed), timer(strand) {}

        asio::ip::tcp::socket& socket;
        asio::steady_timer timer;
        bool is_finished = false;
        bool is_connected = false;
        // Bytes of the response that have been read.
        std::size_t received_bytes = 0;
        // The response is not read after this time, although more of it may arrive.
        time_point latest_read;
        // Bytes that had been read when the deadline passed, or a later grace began; nothing before.
        std::optional<std::size_t> late_bytes;
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
        const bool has_unhandled_data = has_arrived(*state);
        const bool has_response = state->is_connected && (has_unhandled_data || state->received_bytes > 0);
        const bool is_arriving = has_unhandled_data || state->received_bytes > state->late_bytes.value_or(0);
        const auto now = std::chrono::steady_clock::now();
        if (has_response && (!state->late_bytes || (is_arriving && now < state->latest_read))) {
            state->late_bytes = state->received_bytes;
            wait(state, now + late_read_grace);
            return;
        }
        state->has_expired = true;
        state->is_own_delay = has_unhandled_data;
        close(*state);
    }

    // An operation that begins after a mere cancellation would wait without a deadline.
    static void close(shared_state& state) {
        boost::system::error_code error;
        if (!state.is_finished) {
            state.socket.close(error);
        }
    }

    // Whether the other side has done its part of the current operation: bytes of the response wait in the
    // socket, or the connection is established.
    static bool has_arrived(const shared_state& state) {
        boost::system::error_code error;
        if (state.is_connected) {
            return state.socket.available(error) > 0;
        }
        state.socket.remote_endpoint(error);
        return !error;
    }

    std::shared_ptr<shared_state> state_;
    // What the response holds; null while it is small.
    std::unique_ptr<response_budget::share> share_;
};

client_connection::client_connection(asio::io_context& context, const response_limits& limits)
    : limits_(limits), socket_(context), buffer_(max_buffer_bytes + initial_buffer_bytes) {}

bool client_connection::is_reusable() const {
    boost::system::error_code error;
    return is_open_ && socket_.available(error) == 0 && !error;
}

awaitable<boost::system::error_code> client_connection::write_request(std::string text) {
    boost::system::error_code error;
    auto written = socket_.write_some(asio::buffer(text), error);
    if (error == asio::error::would_block) {
        error.clear();
        written = 0;
    }
    if (!error && written < text.size()) {
        const auto rest = asio::buffer(text) + written;
        co_await asio::async_write(socket_, rest, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

awaitable<boost::system::error_code> client_connection::read_response(response_parser& parser,
                                                                      exchange_timer& timer) {
    boost::system::error_code error;
    while (!parser.is_done()) {
        // Waits before it reads, since a read that finds no data costs a system call.
        co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
        const auto missing = parser.is_header_done() ? parser.content_length_remaining().value_or(0) : 0;
        const auto wanted = std::clamp<std::uint64_t>(missing, initial_buffer_bytes, max_buffer_bytes);
        const auto room = std::min<std::uint64_t>(wanted, buffer_.max_size() - buffer_.size());
        if (room == 0) {
            // The trailers, or an extension of a chunk, do not fit.
            co_return http::make_error_code(http::error::buffer_overflow);
        }
        const auto received = socket_.read_some(buffer_.prepare(room), error);
        if (error == asio::error::would_block) {
            error.clear();
            continue;
        }
        if (error == asio::error::eof && parser.is_header_done()) {
            // Ends a body of unannounced length, and is an error within any other one.
            error.clear();
            parser.put_eof(error);
            co_return error;
        }
        if (error) {
            co_return error;
        }
        timer.add_received(received);
        buffer_.commit(received);
        buffer_.consume(parser.put(buffer_.data(), error));
        if (error && error != http::error::need_more) {
            co_return error;
        }
        error.clear();
        if (!charge(parser, timer)) {
            co_return asio::error::make_error_code(asio::error::no_memory);
        }
    }
    co_return error;
}

bool client_connection::charge(const response_parser& parser, exchange_timer& timer) {
    // Half of the capacity of a body that grows by doubling is unused memory; the part of a body that was
    // announced and has not arrived is none.
    const auto& body = parser.get().body();
    const auto held = std::min(body.capacity(), 2 * body.size()) + buffer_.capacity();
    return !limits_.budget || held <= uncounted_bytes || timer.charge(limits_.budget, held);
}

void client_connection::record(rejection kind) {
    if (limits_.budget) {
        limits_.budget->get_log()->record(kind, std::chrono::steady_clock::now());
    }
}

awaitable<absl::StatusOr<http_response>> client_connection::exchange(
    asio::ip::tcp::endpoint endpoint, std::string address, http_request request, time_point deadline,
    time_point write_before, late_response late) {
    const auto send_deadline = std::min(write_before, deadline);
    if (std::chrono::steady_clock::now() >= send_deadline) {
        co_return make_delayed_error(address);
    }
    const auto strand = co_await asio::this_coro::executor;
    exchange_timer timer(strand, socket_, deadline, late);
    boost::system::error_code error;
    if (!is_open_) {
        co_await socket_.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return make_connect_error(address, error, timer.is_own_delay());
        }
        prepare_socket(socket_);
    }
    timer.set_connected();
    is_open_ = false;
    auto text = serialize(request, address);
    if (std::chrono::steady_clock::now() >= send_deadline) {
        co_return make_delayed_error(address);
    }
    error = co_await write_request(std::move(text));
    response_parser parser;
    parser.eager(true);
    parser.body_limit(limits_.max_body_bytes);
    if (!error) {
        error = co_await read_response(parser, timer);
    }
    if (error == http::error::body_limit || error == http::error::buffer_overflow ||
        error == http::error::header_limit) {
        record(rejection::response_too_large);
    }
    if (error || timer.has_expired()) {
        const auto kind = timer.is_own_delay() ? error_kind::call_delayed : error_kind::upstream_lost;
        const auto reason = timer.has_expired() ? std::string("the deadline passed") : error.message();
        co_return make_error(kind, "call to " + address + " failed: " + reason + " after " +
                                       std::to_string(timer.get_received_bytes()) + " bytes of the response");
    }
    auto received = parser.release();
    // Bytes after the response belong to no request of this client.
    is_open_ = received.keep_alive() && buffer_.size() == 0;
    if (buffer_.size() == 0 && buffer_.capacity() > uncounted_bytes) {
        // An idle connection keeps no memory that is not accounted for.
        buffer_.shrink_to_fit();
    }
    co_return from_beast(std::move(received));
}

}  // namespace jacinthvane
