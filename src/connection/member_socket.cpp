#include "connection/member_socket.hpp"

#include <mutex>
#include <utility>
#include <variant>

#include <glog/logging.h>
#include <boost/asio/post.hpp>

#include "connection/endpoint.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// One byte larger than the limit, so that a datagram that is too long can be detected.
constexpr std::size_t receive_bytes = max_member_datagram_bytes + 1;
// Number of rounds that announce a planned leave directly; gossip spreads it to the remaining members.
constexpr int leave_announcement_rounds = 3;
constexpr std::chrono::milliseconds receive_retry_delay{100};

std::string_view get_name(member_state state) {
    switch (state) {
        case member_state::joining:
            return "joining";
        case member_state::live:
            return "live";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::gone:
            return "gone";
    }
    return "gone";
}

void log_changes(const std::vector<member_change>& changes) {
    for (const auto& change : changes) {
        LOG(INFO) << "event=member_changed process=" << change.process.to_string()
                  << " from=" << get_name(change.from) << " to=" << get_name(change.to);
    }
}

}  // namespace

struct member_socket::shared_state {
    shared_state(asio::io_context& io, std::shared_ptr<member_table> members, key_ring given_keys)
        : context(io),
          table(std::move(members)),
          keys(std::move(given_keys)),
          socket(asio::make_strand(io)) {}

    asio::io_context& context;
    const std::shared_ptr<member_table> table;
    const key_ring keys;
    // Accessed only on its own strand after start.
    asio::ip::udp::socket socket;
    round_callback before_round;
    merge_callback after_merge;
    async_signal stopped;

    mutable ordered_mutex mutex{lock_rank::connections};
    member_socket_counts counts;
};

member_socket::member_socket(asio::io_context& context, std::shared_ptr<member_table> table, key_ring keys)
    : state_(std::make_shared<shared_state>(context, std::move(table), std::move(keys))) {}

member_socket::~member_socket() {
    stop();
}

void member_socket::set_round_callback(round_callback callback) {
    state_->before_round = std::move(callback);
}

void member_socket::set_merge_callback(merge_callback callback) {
    state_->after_merge = std::move(callback);
}

absl::Status member_socket::listen(const std::string& address) {
    const auto endpoint = parse_endpoint<asio::ip::udp>(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    boost::system::error_code error;
    state_->socket.open(endpoint->protocol(), error);
    if (!error) {
        state_->socket.bind(*endpoint, error);
    }
    if (!error) {
        // A datagram whose send would block is dropped, like one that is lost in the network.
        state_->socket.non_blocking(true, error);
    }
    if (error) {
        return make_error(error_kind::bad_configuration,
                          "cannot listen for members on " + address + ": " + error.message());
    }
    return absl::OkStatus();
}

std::string member_socket::get_address() const {
    boost::system::error_code error;
    const auto endpoint = state_->socket.local_endpoint(error);
    return error ? std::string() : to_address(endpoint);
}

void member_socket::start() {
    const auto executor = state_->socket.get_executor();
    asio::co_spawn(executor, send_rounds(state_), asio::detached);
    asio::co_spawn(executor, receive_datagrams(state_), asio::detached);
}

void member_socket::stop() {
    asio::post(state_->socket.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->socket.close(ignored);
        state->stopped.notify_all();
    });
}

awaitable<void> member_socket::leave() {
    const auto state = state_;
    state->table->set_state(member_state::gone);
    co_await asio::co_spawn(state->socket.get_executor(), announce_leave(state), asio::use_awaitable);
    stop();
}

awaitable<void> member_socket::announce_leave(std::shared_ptr<shared_state> state) {
    for (int i = 0; i < leave_announcement_rounds; ++i) {
        send_round(*state);
    }
    co_return;
}

member_socket_counts member_socket::get_counts() const {
    std::lock_guard lock(state_->mutex);
    return state_->counts;
}

void member_socket::send_round(shared_state& state) {
    if (state.before_round) {
        state.before_round();
    }
    const auto round = state.table->begin_round(std::chrono::steady_clock::now());
    const auto datagram = encode_members(round, state.keys);
    state.table->note_sent(round, datagram.other_count);
    log_changes(round.changes);
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    for (const auto& receiver : round.receivers) {
        const auto endpoint = parse_endpoint<asio::ip::udp>(receiver);
        boost::system::error_code error;
        if (endpoint.ok()) {
            const auto buffer = asio::buffer(datagram.bytes);
            state.socket.send_to(buffer, *endpoint, 0, error);
        }
        ++(endpoint.ok() && !error ? sent : failed);
    }
    std::lock_guard lock(state.mutex);
    ++state.counts.rounds;
    state.counts.sent_datagrams += sent;
    state.counts.sent_bytes += sent * datagram.bytes.size();
    state.counts.failed_sends += failed;
}

awaitable<void> member_socket::send_rounds(std::shared_ptr<shared_state> state) {
    auto next_round = std::chrono::steady_clock::now();
    while (state->socket.is_open()) {
        send_round(*state);
        // Rounds that were missed while the process was paused are skipped.
        next_round = std::max(next_round + member_table::round_interval, std::chrono::steady_clock::now());
        co_await state->stopped.wait(0, next_round);
    }
}

awaitable<void> member_socket::receive_datagrams(std::shared_ptr<shared_state> state) {
    std::array<char, receive_bytes> bytes{};
    const auto buffer = asio::buffer(bytes);
    asio::ip::udp::endpoint sender;
    while (state->socket.is_open()) {
        boost::system::error_code error;
        const auto count = co_await state->socket.async_receive_from(
            buffer, sender, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            accept_datagram(*state, std::string_view(bytes.data(), count));
        } else if (state->socket.is_open() && error != asio::error::connection_refused) {
            // connection_refused reports an earlier datagram that was rejected by its destination. It says
            // nothing about this socket, so receiving continues without a delay.
            co_await state->stopped.wait(0, std::chrono::steady_clock::now() + receive_retry_delay);
        }
    }
}

void member_socket::accept_datagram(shared_state& state, std::string_view bytes) {
    const auto decoded = decode_members(bytes, state.keys);
    const auto* message = std::get_if<member_message>(&decoded);
    {
        std::lock_guard lock(state.mutex);
        if (message == nullptr) {
            ++state.counts.dropped.at(static_cast<std::size_t>(std::get<datagram_fault>(decoded)));
            return;
        }
        ++state.counts.received_datagrams;
        state.counts.received_bytes += bytes.size();
    }
    const auto merged = state.table->merge(*message, std::chrono::steady_clock::now());
    log_changes(merged.changes);
    if (state.after_merge) {
        state.after_merge(merged);
    }
}

}  // namespace jacinthvane
