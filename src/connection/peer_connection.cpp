#include "connection/peer_connection.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t read_buffer_bytes = 32U << 10U;
// After this number of consecutive urgent chunks one bulk chunk is sent, so that bulk messages are not
// starved.
constexpr std::size_t max_consecutive_urgent_frames = 16;

std::uint64_t make_partial_key(const peer_frame& frame) {
    // Each end assigns correlation ids to its own requests, so a request and a reply may have the same id.
    return frame.correlation_id * 2 + (frame.kind == frame_kind::reply ? 1 : 0);
}

}  // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, std::shared_ptr<const peer_options> options)
    : options_(std::move(options)),
      socket_(std::move(socket)),
      last_received_at_(std::chrono::steady_clock::now()) {
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

awaitable<absl::Status> peer_connection::write_bytes(std::string bytes) {
    boost::system::error_code error;
    const auto buffer = asio::buffer(bytes);
    co_await asio::async_write(socket_, buffer, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return make_error(error_kind::peer_unreachable,
                             "cannot send the hello to the peer: " + error.message());
    }
    co_return absl::OkStatus();
}

awaitable<absl::StatusOr<peer_hello>> peer_connection::read_hello(std::string context,
                                                                  std::size_t& key_index) {
    boost::system::error_code error;
    std::string bytes(hello_header_bytes, '\0');
    const auto header = asio::buffer(bytes);
    co_await asio::async_read(socket_, header, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return make_error(error_kind::peer_unreachable,
                             "cannot receive the hello of the peer: " + error.message());
    }
    const auto length = get_hello_length(bytes);
    if (!length.ok()) {
        co_return length.status();
    }
    bytes.resize(*length);
    const auto rest = asio::buffer(bytes.data() + hello_header_bytes, *length - hello_header_bytes);
    co_await asio::async_read(socket_, rest, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return make_error(error_kind::peer_unreachable,
                             "cannot receive the hello of the peer: " + error.message());
    }
    co_return decode_hello(bytes, context, options_->keys, key_index);
}

void peer_connection::set_direction_keys(std::size_t key_index, const std::string& client_nonce,
                                         const std::string& server_nonce, bool is_client) {
    const auto& keys = options_->keys;
    sender_.emplace(make_direction_key(keys, key_index, client_nonce, server_nonce, is_client));
    receiver_.emplace(make_direction_key(keys, key_index, client_nonce, server_nonce, !is_client));
}

awaitable<absl::Status> peer_connection::perform_client_handshake() {
    start_receive_watchdog();
    const peer_hello local_hello{.nonce = make_random_bytes(nonce_bytes), .region = options_->region};
    auto hello_bytes = encode_hello(local_hello, std::string_view(), options_->keys, 0);
    const auto written = co_await write_bytes(std::move(hello_bytes));
    if (!written.ok()) {
        co_return written;
    }
    std::size_t key_index = 0;
    const auto remote_hello = co_await read_hello(local_hello.nonce, key_index);
    if (!remote_hello.ok()) {
        co_return remote_hello.status();
    }
    set_direction_keys(key_index, local_hello.nonce, remote_hello->nonce, true);
    budget_ = options_->get_budget ? options_->get_budget(remote_hello->region) : nullptr;
    co_return absl::OkStatus();
}

awaitable<absl::Status> peer_connection::perform_server_handshake() {
    start_receive_watchdog();
    std::size_t key_index = 0;
    std::string no_context;
    const auto remote_hello = co_await read_hello(std::move(no_context), key_index);
    if (!remote_hello.ok()) {
        co_return remote_hello.status();
    }
    const peer_hello local_hello{.nonce = make_random_bytes(nonce_bytes), .region = options_->region};
    auto hello_bytes = encode_hello(local_hello, remote_hello->nonce, options_->keys, key_index);
    const auto written = co_await write_bytes(std::move(hello_bytes));
    if (!written.ok()) {
        co_return written;
    }
    set_direction_keys(key_index, remote_hello->nonce, local_hello.nonce, false);
    budget_ = options_->get_budget ? options_->get_budget(remote_hello->region) : nullptr;
    co_return absl::OkStatus();
}

awaitable<absl::Status> peer_connection::run(delivery_handler deliver) {
    const auto self = shared_from_this();
    start_receive_watchdog();
    asio::co_spawn(socket_.get_executor(), write_frames(self), asio::detached);
    std::string pending;
    std::array<char, read_buffer_bytes> chunk{};
    const auto buffer = asio::buffer(chunk);
    while (true) {
        boost::system::error_code error;
        const auto count =
            co_await socket_.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close_on_strand("the connection failed: " + error.message());
            break;
        }
        last_received_at_ = std::chrono::steady_clock::now();
        pending.append(chunk.data(), count);
        std::size_t consumed = 0;
        absl::Status accepted;
        while (accepted.ok()) {
            std::size_t used = 0;
            auto frame = receiver_->decode(std::string_view(pending).substr(consumed), used);
            if (!frame.ok()) {
                accepted = frame.status();
            } else if (!frame->has_value()) {
                break;
            } else {
                consumed += used;
                accepted = accept_frame(std::move(**frame), deliver);
            }
        }
        if (!accepted.ok()) {
            close_on_strand(std::string(accepted.message()));
            break;
        }
        pending.erase(0, consumed);
    }
    co_return make_error(error_kind::peer_lost, close_reason_);
}

absl::Status peer_connection::accept_frame(peer_frame frame, const delivery_handler& deliver) {
    if (frame.kind == frame_kind::heartbeat) {
        return absl::OkStatus();
    }
    if (frame.kind == frame_kind::abandon) {
        const auto found = partial_.find(frame.correlation_id * 2);
        if (found != partial_.end()) {
            partial_bytes_ -= found->second.size();
            partial_.erase(found);
        }
        return absl::OkStatus();
    }
    const auto key = make_partial_key(frame);
    const auto found = partial_.find(key);
    if (found == partial_.end() && frame.is_last) {
        deliver(peer_delivery{.kind = frame.kind,
                              .lane = frame.lane,
                              .correlation_id = frame.correlation_id,
                              .bytes = std::move(frame.payload)});
        return absl::OkStatus();
    }
    auto& bytes = found == partial_.end() ? partial_[key] : found->second;
    partial_bytes_ += frame.payload.size();
    bytes += frame.payload;
    if (bytes.size() > options_->max_message_bytes || partial_bytes_ > options_->max_partial_bytes) {
        return make_error(error_kind::body_too_large,
                          "a peer message of at least " + std::to_string(bytes.size()) + " bytes or " +
                              std::to_string(partial_bytes_) +
                              " bytes of incomplete messages exceed the limits of the link, " +
                              std::to_string(options_->max_message_bytes) + " and " +
                              std::to_string(options_->max_partial_bytes) + " bytes");
    }
    if (frame.is_last) {
        partial_bytes_ -= bytes.size();
        auto complete_message = std::move(bytes);
        partial_.erase(key);
        deliver(peer_delivery{.kind = frame.kind,
                              .lane = frame.lane,
                              .correlation_id = frame.correlation_id,
                              .bytes = std::move(complete_message)});
    }
    return absl::OkStatus();
}

bool peer_connection::send(frame_kind kind, peer_lane lane, std::uint64_t correlation_id, std::string bytes) {
    {
        std::lock_guard lock(mutex_);
        if (is_closed_ || bytes.size() > options_->max_message_bytes ||
            queued_bytes_ + bytes.size() > options_->max_queued_bytes) {
            return false;
        }
        queued_bytes_ += bytes.size();
        auto& queue = lane == peer_lane::urgent ? urgent_ : bulk_;
        queue.push_back(outgoing_message{
            .kind = kind, .correlation_id = correlation_id, .bytes = std::move(bytes), .sent_bytes = 0});
    }
    queued_.notify_all();
    return true;
}

bool peer_connection::withdraw(std::uint64_t correlation_id) {
    bool is_found = false;
    {
        std::lock_guard lock(mutex_);
        for (auto* queue : {&urgent_, &bulk_}) {
            const auto found = std::find_if(queue->begin(), queue->end(), [&](const auto& message) {
                return message.kind == frame_kind::request && message.correlation_id == correlation_id;
            });
            if (found == queue->end()) {
                continue;
            }
            is_found = true;
            queued_bytes_ -= found->bytes.size();
            if (found->sent_bytes == 0) {
                queue->erase(found);
            } else {
                // The peer has received a part of the message and must discard it.
                found->kind = frame_kind::abandon;
                found->bytes.clear();
                found->sent_bytes = 0;
            }
            break;
        }
    }
    queued_.notify_all();
    return is_found;
}

void peer_connection::close() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close_on_strand("closed"); });
}

void peer_connection::close_on_strand(const std::string& reason) {
    {
        std::lock_guard lock(mutex_);
        if (is_closed_) {
            return;
        }
        is_closed_ = true;
    }
    close_reason_ = reason;
    boost::system::error_code ignored;
    socket_.close(ignored);
    queued_.notify_all();
    closed_.notify_all();
}

void peer_connection::start_receive_watchdog() {
    if (is_watchdog_started_) {
        return;
    }
    is_watchdog_started_ = true;
    last_received_at_ = std::chrono::steady_clock::now();
    asio::co_spawn(socket_.get_executor(), watch_receive_timeout(shared_from_this()), asio::detached);
}

awaitable<void> peer_connection::watch_receive_timeout(std::shared_ptr<peer_connection> self) {
    while (true) {
        const auto seen = self->closed_.get_count();
        {
            std::lock_guard lock(self->mutex_);
            if (self->is_closed_) {
                co_return;
            }
        }
        const auto limit = self->last_received_at_ + self->options_->receive_timeout;
        if (std::chrono::steady_clock::now() >= limit) {
            self->close_on_strand("nothing was received for " +
                                  std::to_string(self->options_->receive_timeout.count()) + " ms");
            co_return;
        }
        co_await self->closed_.wait(seen, limit);
    }
}

std::optional<peer_lane> peer_connection::get_next_lane(std::size_t& chunk_bytes) {
    std::lock_guard lock(mutex_);
    if (urgent_.empty() && bulk_.empty()) {
        return std::nullopt;
    }
    const bool is_bulk =
        urgent_.empty() || (!bulk_.empty() && consecutive_urgent_frames_ >= max_consecutive_urgent_frames);
    const auto& message = is_bulk ? bulk_.front() : urgent_.front();
    chunk_bytes = frame_length_bytes + frame_header_bytes + frame_mac_bytes +
                  std::min(max_chunk_bytes, message.bytes.size() - message.sent_bytes);
    return is_bulk ? peer_lane::bulk : peer_lane::urgent;
}

std::optional<time_point> peer_connection::spend_budget(peer_lane lane, std::size_t bytes, time_point now) {
    if (!budget_) {
        return std::nullopt;
    }
    return lane == peer_lane::urgent ? budget_->spend_urgent(bytes, now) : budget_->spend_bulk(bytes, now);
}

peer_connection::next_frame peer_connection::take_next_frame(time_point now) {
    std::size_t chunk_bytes = 0;
    const auto lane = get_next_lane(chunk_bytes);
    if (!lane) {
        return {};
    }
    // The budget has its own mutex, which ranks before mutex_, so it is charged without holding mutex_.
    if (const auto retry_at = spend_budget(*lane, chunk_bytes, now)) {
        return {.frame = std::nullopt, .retry_at = retry_at};
    }
    std::lock_guard lock(mutex_);
    auto& queue = *lane == peer_lane::urgent ? urgent_ : bulk_;
    if (queue.empty()) {
        return {.frame = std::nullopt, .retry_at = now};
    }
    consecutive_urgent_frames_ = *lane == peer_lane::urgent ? consecutive_urgent_frames_ + 1 : 0;
    auto& message = queue.front();
    const auto size = std::min(max_chunk_bytes, message.bytes.size() - message.sent_bytes);
    peer_frame frame{.kind = message.kind,
                     .lane = *lane,
                     .is_last = message.sent_bytes + size == message.bytes.size(),
                     .correlation_id = message.correlation_id,
                     .payload = message.bytes.substr(message.sent_bytes, size)};
    if (frame.is_last) {
        queued_bytes_ -= message.bytes.size();
        queue.pop_front();
    } else {
        // The remaining chunks move to the back of the lane, so that messages of a lane are sent round-robin.
        message.sent_bytes += size;
        queue.push_back(std::move(message));
        queue.pop_front();
    }
    return {.frame = std::move(frame), .retry_at = std::nullopt};
}

awaitable<void> peer_connection::write_frames(std::shared_ptr<peer_connection> self) {
    auto next_heartbeat = std::chrono::steady_clock::now();
    while (true) {
        const auto seen = self->queued_.get_count();
        {
            std::lock_guard lock(self->mutex_);
            if (self->is_closed_) {
                co_return;
            }
        }
        const auto now = std::chrono::steady_clock::now();
        auto next = self->take_next_frame(now);
        if (!next.frame && now < next_heartbeat) {
            const auto wake_at = next.retry_at ? std::min(*next.retry_at, next_heartbeat) : next_heartbeat;
            co_await self->queued_.wait(seen, wake_at);
            continue;
        }
        const auto frame = next.frame ? std::move(*next.frame) : peer_frame();
        const auto bytes = self->sender_->encode(frame);
        const auto buffer = asio::buffer(bytes);
        boost::system::error_code error;
        co_await asio::async_write(self->socket_, buffer, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            self->close_on_strand("cannot write to the peer: " + error.message());
            co_return;
        }
        next_heartbeat = std::chrono::steady_clock::now() + self->options_->heartbeat_interval;
    }
}

}  // namespace jacinthvane
