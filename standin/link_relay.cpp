#include "standin/link_relay.hpp"

#include <array>
#include <chrono>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "connection/async_signal.hpp"
#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t chunk_bytes = 16U << 10U;
constexpr std::size_t max_datagram_bytes = 2048;
// Limits the data queued in one direction, so that a slow link applies back pressure to the sender.
constexpr std::size_t max_queued_chunks = 64;

http_response make_text(int status, const std::string& text) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = text + "\n";
    return response;
}

std::int64_t read_number(const http_request& request, std::string_view name, std::int64_t fallback) {
    const auto text = request.get_query(name);
    return text.empty() ? fallback : std::atoll(text.c_str());
}

bool read_flag(const http_request& request, std::string_view name, bool fallback) {
    const auto text = request.get_query(name);
    return text.empty() ? fallback : text == "1" || text == "true";
}

}  // namespace

time_point relayed_direction::schedule(std::int64_t bytes, const link_faults& faults, time_point now) {
    std::lock_guard lock(mutex_);
    bytes_ += static_cast<std::uint64_t>(bytes);
    if (faults.bytes_per_second > 0) {
        free_at_ =
            std::max(free_at_, now) + std::chrono::microseconds(bytes * 1'000'000 / faults.bytes_per_second);
        now = free_at_;
    }
    return now + std::chrono::milliseconds(faults.delay_ms);
}

struct link_relay::shared_state {
    shared_state(asio::io_context& io, std::string to, std::shared_ptr<relayed_link> over)
        : context(io),
          target(std::move(to)),
          link(std::move(over)),
          acceptor(asio::make_strand(io)),
          datagram_socket(asio::make_strand(io)) {}

    link_faults get_faults() const {
        std::lock_guard lock(mutex);
        return faults;
    }

    asio::io_context& context;
    std::string target;
    const std::shared_ptr<relayed_link> link;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::udp::socket datagram_socket;
    mutable ordered_mutex mutex{lock_rank::standin};
    link_faults faults;
    // Connections with this number or a lower one are unresponsive: their bytes are dropped.
    std::atomic<std::uint64_t> last_silenced_connection = 0;
    std::atomic<std::uint64_t> next_connection = 0;
    std::atomic<std::uint64_t> dropped_bytes = 0;
    std::atomic<std::uint64_t> refused_connections = 0;
    async_signal faults_changed;
};

namespace {

struct chunk {
    time_point due;
    std::vector<char> bytes;
};

// The queue of one direction of one connection; holds chunks until they are due for delivery.
struct chunk_queue {
    ordered_mutex mutex{lock_rank::pending_responses};
    std::deque<chunk> chunks;
    bool is_closed = false;
    async_signal changed;

    void push(chunk item) {
        {
            std::lock_guard lock(mutex);
            chunks.push_back(std::move(item));
        }
        changed.notify_all();
    }

    void close() {
        {
            std::lock_guard lock(mutex);
            is_closed = true;
        }
        changed.notify_all();
    }
};

void close_socket(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.close(ignored);
}

awaitable<void> deliver_chunks(std::shared_ptr<chunk_queue> queue,
                               std::shared_ptr<asio::ip::tcp::socket> to) {
    while (true) {
        const auto seen = queue->changed.get_count();
        chunk next;
        bool has_next = false;
        {
            std::lock_guard lock(queue->mutex);
            if (!queue->chunks.empty()) {
                next = std::move(queue->chunks.front());
                queue->chunks.pop_front();
                has_next = true;
            } else if (queue->is_closed) {
                break;
            }
        }
        if (!has_next) {
            co_await queue->changed.wait(seen, time_point::max());
            continue;
        }
        queue->changed.notify_all();
        co_await wait_until(next.due);
        boost::system::error_code error;
        co_await asio::async_write(*to, asio::buffer(next.bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    boost::system::error_code ignored;
    to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

awaitable<void> wait_for_room(std::shared_ptr<chunk_queue> queue) {
    while (true) {
        const auto seen = queue->changed.get_count();
        {
            std::lock_guard lock(queue->mutex);
            if (queue->chunks.size() < max_queued_chunks) {
                co_return;
            }
        }
        co_await queue->changed.wait(seen, time_point::max());
    }
}

}  // namespace

link_relay::link_relay(asio::io_context& context, std::string target)
    : link_relay(context, std::move(target), std::make_shared<relayed_link>()) {}

link_relay::link_relay(asio::io_context& context, std::string target, std::shared_ptr<relayed_link> link)
    : state_(std::make_shared<shared_state>(context, std::move(target), std::move(link))) {}

absl::Status link_relay::listen_tcp(const std::string& address) {
    const auto endpoint = parse_endpoint<asio::ip::tcp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    boost::system::error_code error;
    auto& acceptor = state_->acceptor;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error(error_kind::bad_configuration,
                          "cannot listen on " + address + ": " + error.message());
    }
    spawn_task(state_->context, "accept_connections", accept_connections(state_));
    return absl::OkStatus();
}

absl::Status link_relay::listen_udp(const std::string& address) {
    const auto endpoint = parse_endpoint<asio::ip::udp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    boost::system::error_code error;
    state_->datagram_socket.open(endpoint->protocol(), error);
    state_->datagram_socket.bind(*endpoint, error);
    if (error) {
        return make_error(error_kind::bad_configuration, "cannot bind " + address + ": " + error.message());
    }
    spawn_task(state_->context, "relay_datagrams", relay_datagrams(state_));
    return absl::OkStatus();
}

std::string link_relay::get_tcp_address() const {
    boost::system::error_code error;
    const auto endpoint = state_->acceptor.local_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void link_relay::set_faults(const link_faults& faults) {
    {
        std::lock_guard lock(state_->mutex);
        state_->faults = faults;
    }
    state_->faults_changed.notify_all();
}

link_faults link_relay::get_faults() const {
    return state_->get_faults();
}

void link_relay::silence_open_connections() {
    state_->last_silenced_connection = state_->next_connection.load();
}

awaitable<http_response> link_relay::handle_admin(http_request request) {
    if (request.method == "POST" && request.get_path() == "/admin/silence") {
        silence_open_connections();
        co_return make_text(200, "{\"silenced\": true}");
    }
    if (request.method == "PUT" && request.get_path() == "/admin/faults") {
        const auto old = get_faults();
        link_faults faults;
        faults.delay_ms = read_number(request, "delay_ms", old.delay_ms);
        faults.bytes_per_second = read_number(request, "bytes_per_second", old.bytes_per_second);
        faults.is_cut = read_flag(request, "cut", old.is_cut);
        faults.is_forward_dropped = read_flag(request, "drop_forward", old.is_forward_dropped);
        faults.is_backward_dropped = read_flag(request, "drop_backward", old.is_backward_dropped);
        set_faults(faults);
        co_return make_text(200, "{\"changed\": true}");
    }
    if (request.method == "GET" && request.get_path() == "/admin/ledger") {
        const nlohmann::json ledger = {{"forward_bytes", state_->link->forward.get_bytes()},
                                       {"backward_bytes", state_->link->backward.get_bytes()},
                                       {"dropped_bytes", state_->dropped_bytes.load()},
                                       {"connections", state_->next_connection.load()},
                                       {"refused_connections", state_->refused_connections.load()}};
        co_return make_text(200, ledger.dump());
    }
    co_return make_text(404, "{\"message\": \"unknown admin path\"}");
}

awaitable<void> link_relay::accept_connections(std::shared_ptr<shared_state> state) {
    while (true) {
        boost::system::error_code error;
        asio::ip::tcp::socket client(asio::make_strand(state->context));
        co_await state->acceptor.async_accept(client, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error || state->get_faults().is_cut) {
            ++state->refused_connections;
            continue;
        }
        const auto executor = client.get_executor();
        asio::co_spawn(executor, relay_connection(state, std::move(client)), asio::detached);
    }
}

awaitable<void> link_relay::relay_connection(std::shared_ptr<shared_state> state,
                                             asio::ip::tcp::socket client) {
    const auto number = ++state->next_connection;
    const auto endpoint = parse_endpoint<asio::ip::tcp>(state->target);
    if (!endpoint.ok()) {
        co_return;
    }
    const auto executor = client.get_executor();
    const auto client_socket = std::make_shared<asio::ip::tcp::socket>(std::move(client));
    const auto target_socket = std::make_shared<asio::ip::tcp::socket>(executor);
    boost::system::error_code error;
    co_await target_socket->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    client_socket->set_option(asio::ip::tcp::no_delay(true), error);
    target_socket->set_option(asio::ip::tcp::no_delay(true), error);

    // One strand runs the reads and the writes of both directions, so the sockets need no lock.
    asio::co_spawn(executor, pump_bytes(state, number, client_socket, target_socket, true), asio::detached);
    asio::co_spawn(executor, pump_bytes(state, number, target_socket, client_socket, false), asio::detached);

    while (client_socket->is_open()) {
        const auto seen = state->faults_changed.get_count();
        if (state->get_faults().is_cut) {
            break;
        }
        co_await state->faults_changed.wait(seen, time_point::max());
    }
    close_socket(*client_socket);
    close_socket(*target_socket);
}

awaitable<void> link_relay::pump_bytes(std::shared_ptr<shared_state> state, std::uint64_t number,
                                       std::shared_ptr<asio::ip::tcp::socket> from,
                                       std::shared_ptr<asio::ip::tcp::socket> to, bool is_forward) {
    const auto queue = std::make_shared<chunk_queue>();
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, deliver_chunks(queue, to), asio::detached);
    while (true) {
        co_await wait_for_room(queue);
        chunk next;
        next.bytes.resize(chunk_bytes);
        boost::system::error_code error;
        const auto size = co_await from->async_read_some(asio::buffer(next.bytes),
                                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const auto faults = state->get_faults();
        const bool is_dropped = is_forward ? faults.is_forward_dropped : faults.is_backward_dropped;
        if (is_dropped || number <= state->last_silenced_connection) {
            state->dropped_bytes += size;
            continue;
        }
        next.bytes.resize(size);
        auto& direction = is_forward ? state->link->forward : state->link->backward;
        next.due =
            direction.schedule(static_cast<std::int64_t>(size), faults, std::chrono::steady_clock::now());
        queue->push(std::move(next));
    }
    queue->close();
}

awaitable<void> link_relay::send_datagram(std::shared_ptr<shared_state> state,
                                          std::shared_ptr<std::vector<char>> bytes,
                                          asio::ip::udp::endpoint target, time_point due) {
    co_await wait_until(due);
    boost::system::error_code ignored;
    co_await state->datagram_socket.async_send_to(asio::buffer(*bytes), target,
                                                  asio::redirect_error(asio::use_awaitable, ignored));
}

awaitable<void> link_relay::relay_datagrams(std::shared_ptr<shared_state> state) {
    const auto endpoint = parse_endpoint<asio::ip::udp>(state->target);
    if (!endpoint.ok()) {
        co_return;
    }
    while (true) {
        const auto buffer = std::make_shared<std::vector<char>>(max_datagram_bytes);
        asio::ip::udp::endpoint sender;
        boost::system::error_code error;
        const auto size = co_await state->datagram_socket.async_receive_from(
            asio::buffer(*buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        const auto faults = state->get_faults();
        if (error || faults.is_cut || faults.is_forward_dropped) {
            state->dropped_bytes += size;
            continue;
        }
        buffer->resize(size);
        const auto due = state->link->forward.schedule(static_cast<std::int64_t>(size), faults,
                                                       std::chrono::steady_clock::now());
        asio::co_spawn(state->datagram_socket.get_executor(), send_datagram(state, buffer, *endpoint, due),
                       asio::detached);
    }
}

}  // namespace jacinthvane
