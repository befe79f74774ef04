#include "connection/peer_link.hpp"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <boost/beast/core/tcp_stream.hpp>

#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

struct peer_links::pending_call {
    async_signal done;
    // Guarded by the mutex of the shared state.
    std::optional<absl::StatusOr<peer_reply>> result;
    bool is_queued = false;
};

// The state of one link. All fields except the signal are guarded by the mutex of the shared state.
struct peer_links::link {
    enum class stage { opening, open, ended };

    std::string address;
    async_signal changed;
    stage current_stage = stage::opening;
    absl::Status reason;
    std::shared_ptr<peer_connection> connection;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    std::uint64_t last_id = 0;
    time_point used_at;
};

struct peer_links::shared_state {
    shared_state(asio::io_context& io, peer_options given)
        : context(io), options(std::make_shared<const peer_options>(std::move(given))) {}

    asio::io_context& context;
    const std::shared_ptr<const peer_options> options;
    ordered_mutex mutex{lock_rank::connections};
    std::map<std::string, std::shared_ptr<link>> links;
    peer_link_counts counts;
    bool is_closed = false;
};

peer_links::peer_links(asio::io_context& context, peer_options options)
    : state_(std::make_shared<shared_state>(context, std::move(options))) {}

peer_links::~peer_links() {
    close();
}

void peer_links::close() {
    std::vector<std::shared_ptr<peer_connection>> open_connections;
    {
        std::lock_guard lock(state_->mutex);
        state_->is_closed = true;
        for (const auto& [address, opened] : state_->links) {
            if (opened->connection) {
                open_connections.push_back(opened->connection);
            }
        }
    }
    for (const auto& connection : open_connections) {
        connection->close();
    }
}

peer_link_counts peer_links::get_counts() const {
    std::lock_guard lock(state_->mutex);
    return state_->counts;
}

std::shared_ptr<peer_links::link> peer_links::register_call(const std::shared_ptr<shared_state>& state,
                                                            const std::string& address,
                                                            const std::shared_ptr<pending_call>& call,
                                                            std::uint64_t& correlation_id) {
    std::shared_ptr<link> target_link;
    bool is_new = false;
    {
        std::lock_guard lock(state->mutex);
        ++state->counts.calls;
        if (state->is_closed) {
            return nullptr;
        }
        auto& entry = state->links[address];
        if (!entry) {
            entry = std::make_shared<link>();
            entry->address = address;
            is_new = true;
        }
        // The call is registered before the link is open, so that a link is not closed as idle while a call
        // waits for it.
        correlation_id = ++entry->last_id;
        entry->pending.emplace(correlation_id, call);
        entry->used_at = std::chrono::steady_clock::now();
        target_link = entry;
    }
    if (is_new) {
        spawn_task(state->context, "run_peer_link", run_link(state, target_link));
    }
    return target_link;
}

awaitable<absl::StatusOr<peer_reply>> peer_links::call(std::string address, peer_request request,
                                                       time_point deadline) {
    const auto state = state_;
    const auto pending = std::make_shared<pending_call>();
    std::uint64_t correlation_id = 0;
    const auto target_link = register_call(state, address, pending, correlation_id);
    // Removes the call from the link. Returns the result if one has arrived in the meantime, else the given
    // error.
    const auto finish = [&](error_kind kind, const std::string& message) -> absl::StatusOr<peer_reply> {
        std::lock_guard lock(state->mutex);
        if (target_link) {
            target_link->pending.erase(correlation_id);
            target_link->used_at = std::chrono::steady_clock::now();
        }
        if (pending->result) {
            return std::move(*pending->result);
        }
        ++(kind == error_kind::peer_lost ? state->counts.calls_lost : state->counts.calls_unreachable);
        return make_error(kind, message);
    };
    if (!target_link) {
        co_return finish(error_kind::peer_unreachable, "all links to peers have been closed");
    }
    std::shared_ptr<peer_connection> connection;
    while (!connection) {
        const auto seen = target_link->changed.get_count();
        bool has_result = false;
        {
            std::lock_guard lock(state->mutex);
            has_result = pending->result.has_value();
            if (!has_result && target_link->current_stage == link::stage::open) {
                connection = target_link->connection;
                pending->is_queued = true;
            }
        }
        if (has_result || (!connection && !co_await target_link->changed.wait(seen, deadline))) {
            co_return finish(error_kind::peer_unreachable,
                             "no link to the peer " + address + " before the deadline");
        }
    }
    const auto lane = get_lane(request);
    auto bytes = encode_request(request, std::chrono::steady_clock::now());
    if (!connection->send(frame_kind::request, lane, correlation_id, std::move(bytes))) {
        {
            // end_link may have recorded the call as lost in the meantime, but the request was never queued.
            std::lock_guard lock(state->mutex);
            pending->result.reset();
        }
        co_return finish(error_kind::peer_unreachable,
                         "the link to the peer " + address + " is closed or its queue is full");
    }
    co_await pending->done.wait(0, deadline);
    bool has_result = false;
    {
        std::lock_guard lock(state->mutex);
        has_result = pending->result.has_value();
    }
    if (!has_result && connection->withdraw(correlation_id)) {
        co_return finish(error_kind::peer_unreachable,
                         "the request to the peer " + address + " was not sent before the deadline");
    }
    co_return finish(error_kind::peer_lost, "no reply from the peer " + address + " before the deadline");
}

awaitable<absl::Status> peer_links::open(std::shared_ptr<shared_state> state, std::shared_ptr<link> opened,
                                         std::shared_ptr<peer_connection>& connection) {
    const auto endpoint = parse_endpoint<asio::ip::tcp>(opened->address);
    if (!endpoint.ok()) {
        co_return endpoint.status();
    }
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(state->options->connect_timeout);
    boost::system::error_code error;
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return make_error(error_kind::peer_unreachable, error.message());
    }
    stream.expires_never();
    connection = std::make_shared<peer_connection>(stream.release_socket(), state->options);
    co_return co_await connection->perform_client_handshake();
}

awaitable<void> peer_links::run_link(std::shared_ptr<shared_state> state, std::shared_ptr<link> opened) {
    std::shared_ptr<peer_connection> connection;
    const auto handshake = co_await open(state, opened, connection);
    if (!handshake.ok()) {
        if (connection) {
            connection->close();
        }
        {
            std::lock_guard lock(state->mutex);
            ++state->counts.failed_to_open;
        }
        end_link(state, opened, handshake);
        co_return;
    }
    bool is_closed = false;
    {
        std::lock_guard lock(state->mutex);
        ++state->counts.opened;
        opened->connection = connection;
        opened->current_stage = link::stage::open;
        opened->used_at = std::chrono::steady_clock::now();
        is_closed = state->is_closed;
    }
    opened->changed.notify_all();
    if (is_closed) {
        connection->close();
    }
    spawn_task(state->context, "close_idle_peer_link", close_when_idle(state, opened));
    peer_connection::delivery_handler deliver = [state, opened](const peer_delivery& delivery) {
        accept_reply(state, *opened, delivery);
    };
    const auto reason = co_await connection->run(std::move(deliver));
    end_link(state, opened, reason);
}

void peer_links::accept_reply(const std::shared_ptr<shared_state>& state, link& opened,
                              const peer_delivery& delivery) {
    if (delivery.kind != frame_kind::reply) {
        return;
    }
    auto reply = decode_reply(delivery.bytes, std::chrono::steady_clock::now());
    std::shared_ptr<pending_call> pending;
    {
        std::lock_guard lock(state->mutex);
        const auto found = opened.pending.find(delivery.correlation_id);
        if (found == opened.pending.end()) {
            ++state->counts.late_replies;
            return;
        }
        pending = found->second;
        opened.pending.erase(found);
        if (reply.ok()) {
            pending->result.emplace(std::move(reply));
        } else {
            // The peer has processed the request, but its reply cannot be decoded.
            ++state->counts.calls_lost;
            pending->result.emplace(make_error(error_kind::peer_lost, std::string(reply.status().message())));
        }
    }
    pending->done.notify_all();
}

void peer_links::end_link(const std::shared_ptr<shared_state>& state, const std::shared_ptr<link>& opened,
                          const absl::Status& reason) {
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending;
    bool is_broken = false;
    {
        std::lock_guard lock(state->mutex);
        is_broken = opened->current_stage == link::stage::open && !state->is_closed;
        opened->current_stage = link::stage::ended;
        opened->reason = reason;
        state->counts.replaced += is_broken ? 1 : 0;
        pending.swap(opened->pending);
        const auto found = state->links.find(opened->address);
        if (found != state->links.end() && found->second == opened) {
            state->links.erase(found);
        }
    }
    if (is_broken) {
        LOG(INFO) << "event=peer_link_ended peer=" << opened->address << " calls=" << pending.size()
                  << " reason=\"" << reason.message() << "\"";
    }
    for (const auto& [correlation_id, call] : pending) {
        const bool was_sent =
            call->is_queued && opened->connection && !opened->connection->withdraw(correlation_id);
        const auto kind = was_sent ? error_kind::peer_lost : error_kind::peer_unreachable;
        const auto message =
            "the link to the peer " + opened->address + " ended: " + std::string(reason.message());
        {
            std::lock_guard lock(state->mutex);
            ++(was_sent ? state->counts.calls_lost : state->counts.calls_unreachable);
            call->result.emplace(make_error(kind, message));
        }
        call->done.notify_all();
    }
    opened->changed.notify_all();
}

awaitable<void> peer_links::close_when_idle(std::shared_ptr<shared_state> state,
                                            std::shared_ptr<link> opened) {
    while (true) {
        const auto seen = opened->changed.get_count();
        std::shared_ptr<peer_connection> idle;
        time_point next_check_at;
        {
            std::lock_guard lock(state->mutex);
            if (opened->current_stage == link::stage::ended) {
                co_return;
            }
            const auto now = std::chrono::steady_clock::now();
            const auto idle_at = opened->used_at + state->options->idle_timeout;
            if (opened->pending.empty() && now >= idle_at) {
                // Calls are registered under the same lock, so no new call can select this link after it has
                // ended.
                opened->current_stage = link::stage::ended;
                opened->reason =
                    make_error(error_kind::peer_unreachable, "the link was closed because it was idle");
                state->links.erase(opened->address);
                ++state->counts.closed_idle;
                idle = opened->connection;
            }
            next_check_at = std::max(idle_at, now + state->options->heartbeat_interval);
        }
        if (idle) {
            idle->close();
            co_return;
        }
        co_await opened->changed.wait(seen, next_check_at);
    }
}

}  // namespace jacinthvane
