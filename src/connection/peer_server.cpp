#include "connection/peer_server.hpp"

#include <exception>
#include <list>
#include <mutex>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "connection/async_signal.hpp"
#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{50};

void reply_to(peer_connection& connection, peer_lane lane, std::uint64_t correlation_id,
              const peer_reply& reply) {
    auto bytes = encode_reply(reply, std::chrono::steady_clock::now());
    if (connection.send(frame_kind::reply, lane, correlation_id, std::move(bytes))) {
        return;
    }
    const auto status = make_error(
        error_kind::body_too_large,
        "the reply exceeds the message size limit or the free space of the send queue", run_knowledge::ran);
    auto error_bytes = encode_reply(make_error_reply(status), std::chrono::steady_clock::now());
    if (!connection.send(frame_kind::reply, lane, correlation_id, std::move(error_bytes))) {
        // The send queue has no space for the error either, because the caller does not read its replies.
        // Closing the connection notifies the caller that they are lost.
        connection.close();
    }
}

}  // namespace

struct peer_server::shared_state {
    shared_state(asio::io_context& io, peer_options given)
        : context(io),
          options(std::make_shared<const peer_options>(std::move(given))),
          acceptor(asio::make_strand(io)) {}

    asio::io_context& context;
    const std::shared_ptr<const peer_options> options;
    asio::ip::tcp::acceptor acceptor;
    handler handle;
    async_signal request_finished;

    ordered_mutex mutex{lock_rank::connections};
    std::vector<std::weak_ptr<peer_connection>> connections;
    peer_server_counts counts;
    bool is_stopping = false;
};

peer_server::peer_server(asio::io_context& context, peer_options options)
    : state_(std::make_shared<shared_state>(context, std::move(options))) {}

peer_server::~peer_server() {
    close();
}

void peer_server::set_handler(handler handle) {
    state_->handle = std::move(handle);
}

absl::Status peer_server::listen(const std::string& address) {
    const auto endpoint = parse_endpoint<asio::ip::tcp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto& acceptor = state_->acceptor;
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error(error_kind::bad_configuration,
                          "cannot listen for peers on " + address + ": " + error.message());
    }
    spawn_task(state_->context, "accept_peers", accept_connections(state_));
    return absl::OkStatus();
}

std::string peer_server::get_address() const {
    boost::system::error_code error;
    const auto endpoint = state_->acceptor.local_endpoint(error);
    return error ? std::string() : to_address(endpoint);
}

void peer_server::stop_accepting() {
    {
        std::lock_guard lock(state_->mutex);
        state_->is_stopping = true;
    }
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

awaitable<bool> peer_server::drain(time_point deadline) {
    const auto state = state_;
    while (true) {
        const auto seen = state->request_finished.get_count();
        {
            std::lock_guard lock(state->mutex);
            if (state->counts.in_progress == 0) {
                co_return true;
            }
        }
        if (!co_await state->request_finished.wait(seen, deadline)) {
            co_return false;
        }
    }
}

void peer_server::close() {
    stop_accepting();
    std::vector<std::weak_ptr<peer_connection>> connections;
    {
        std::lock_guard lock(state_->mutex);
        connections.swap(state_->connections);
    }
    for (const auto& entry : connections) {
        if (const auto connection = entry.lock()) {
            connection->close();
        }
    }
}

peer_server_counts peer_server::get_counts() const {
    std::lock_guard lock(state_->mutex);
    return state_->counts;
}

awaitable<void> peer_server::accept_connections(std::shared_ptr<shared_state> state) {
    while (true) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(asio::make_strand(state->context));
        co_await state->acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            // The process may be out of file descriptors: wait until some are closed instead of failing in a
            // loop.
            co_await wait_until(std::chrono::steady_clock::now() + accept_retry_delay);
            continue;
        }
        const auto executor = socket.get_executor();
        std::shared_ptr<peer_connection> connection;
        {
            std::lock_guard lock(state->mutex);
            std::erase_if(state->connections, [](const auto& entry) { return entry.expired(); });
            if (state->is_stopping || state->connections.size() >= state->options->max_connections) {
                ++state->counts.refused_connections;
                continue;
            }
            ++state->counts.accepted;
            connection = std::make_shared<peer_connection>(std::move(socket), state->options);
            state->connections.emplace_back(connection);
        }
        asio::co_spawn(executor, serve_connection(state, connection), [](const std::exception_ptr& failure) {
            if (failure) {
                LOG(ERROR) << "event=peer_connection_failed";
            }
        });
    }
}

awaitable<void> peer_server::serve_connection(std::shared_ptr<shared_state> state,
                                              std::shared_ptr<peer_connection> connection) {
    const auto handshake = co_await connection->perform_server_handshake();
    if (!handshake.ok()) {
        connection->close();
        std::lock_guard lock(state->mutex);
        ++state->counts.refused_handshakes;
        co_return;
    }
    // The connection owns the handler while it runs. The handler holds a weak pointer to avoid a reference
    // cycle.
    const std::weak_ptr<peer_connection> weak_connection = connection;
    peer_connection::delivery_handler deliver = [state, weak_connection](const peer_delivery& delivery) {
        if (const auto target = weak_connection.lock()) {
            accept_request(state, target, delivery);
        }
    };
    const auto reason = co_await connection->run(std::move(deliver));
    VLOG(1) << "event=peer_connection_ended reason=\"" << reason.message() << "\"";
}

void peer_server::accept_request(const std::shared_ptr<shared_state>& state,
                                 const std::shared_ptr<peer_connection>& connection,
                                 const peer_delivery& delivery) {
    if (delivery.kind != frame_kind::request) {
        return;
    }
    auto request = decode_request(delivery.bytes, std::chrono::steady_clock::now());
    absl::Status refusal;
    {
        std::lock_guard lock(state->mutex);
        if (!request.ok()) {
            ++state->counts.unreadable_requests;
            refusal = request.status();
        } else if (state->is_stopping) {
            ++state->counts.refused_requests;
            refusal = make_error(error_kind::shutting_down, "the peer is shutting down");
        } else if (state->counts.in_progress >= state->options->max_calls_in_progress) {
            ++state->counts.refused_requests;
            refusal =
                make_error(error_kind::overloaded, "the peer has reached its limit of " +
                                                       std::to_string(state->options->max_calls_in_progress) +
                                                       " calls in progress");
        } else {
            ++state->counts.requests;
            ++state->counts.in_progress;
        }
    }
    if (!refusal.ok()) {
        reply_to(*connection, delivery.lane, delivery.correlation_id, make_error_reply(refusal));
        return;
    }
    spawn_task(state->context, "serve_peer_request",
               serve_request(state, connection, delivery.lane, delivery.correlation_id, std::move(*request)));
}

awaitable<void> peer_server::serve_request(std::shared_ptr<shared_state> state,
                                           std::shared_ptr<peer_connection> connection, peer_lane lane,
                                           std::uint64_t correlation_id, peer_request request) {
    peer_reply reply =
        make_error_reply(make_error(error_kind::not_ready, "the peer is not ready to serve calls"));
    std::exception_ptr failure;
    if (state->handle) {
        try {
            reply = co_await state->handle(std::move(request));
        } catch (...) {
            failure = std::current_exception();
        }
    }
    if (failure) {
        LOG(ERROR) << "event=peer_handler_failed";
        reply =
            make_error_reply(make_error(error_kind::internal, "the peer failed while it handled the call"));
    }
    // A configuration may be large and must not delay urgent replies that are queued after it.
    const auto reply_lane = std::holds_alternative<fetch_config_reply>(reply) ? peer_lane::bulk : lane;
    reply_to(*connection, reply_lane, correlation_id, reply);
    {
        std::lock_guard lock(state->mutex);
        --state->counts.in_progress;
    }
    state->request_finished.notify_all();
}

}  // namespace jacinthvane
