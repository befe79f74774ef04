#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/key_ring.hpp"
#include "connection/peer_codec.hpp"
#include "process/clock.hpp"
#include "process/link_budget.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// Settings of a link, used by both ends.
struct peer_options {
    key_ring keys;
    region_id region;
    // Returns the bandwidth budget for links to the region, or nullptr if they are not limited.
    std::function<std::shared_ptr<link_budget>(const region_id&)> get_budget;
    std::chrono::milliseconds heartbeat_interval{1000};
    // A link on which nothing is received for this time is closed, because a TCP connection can stop
    // delivering data without reporting an error.
    std::chrono::milliseconds receive_timeout{3000};
    std::chrono::milliseconds connect_timeout{2000};
    // A link without calls is closed after this time. At target scale, the heartbeats of a full mesh would
    // exceed the 5 KB/s of control traffic that a node may use.
    std::chrono::milliseconds idle_timeout{10000};
    std::size_t max_message_bytes = 12U << 20U;
    // Limits per link: bytes of incomplete incoming messages, and bytes of queued outgoing messages.
    std::size_t max_partial_bytes = 64U << 20U;
    std::size_t max_queued_bytes = 64U << 20U;
    std::size_t max_calls_in_progress = 1024;
    std::size_t max_connections = 512;
};

// A complete message received on a link.
struct peer_delivery {
    frame_kind kind = frame_kind::request;
    peer_lane lane = peer_lane::urgent;
    std::uint64_t correlation_id = 0;
    std::string bytes;
};

// One TCP connection between two entry processes. Both ends behave the same after the handshake. All socket
// operations run on the socket's strand; send, withdraw and close may be called from any thread.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    // Called on the socket's strand; must not block.
    using delivery_handler = std::function<void(peer_delivery)>;

    peer_connection(asio::ip::tcp::socket socket, std::shared_ptr<const peer_options> options);

    // Exchange the hellos and derive the link's keys. Errors: unauthorized, bad_request, peer_unreachable.
    awaitable<absl::Status> perform_client_handshake();
    awaitable<absl::Status> perform_server_handshake();

    // Delivers messages until the link fails, becomes unresponsive or is closed. Returns the reason.
    awaitable<absl::Status> run(delivery_handler deliver);

    // Queues a message. Returns false if the link is closed or its queue is full.
    bool send(frame_kind kind, peer_lane lane, std::uint64_t correlation_id, std::string bytes);

    // Removes a queued request. Returns false if its last chunk may have been sent already, in which case the
    // peer may have received the complete message.
    bool withdraw(std::uint64_t correlation_id);

    void close();

private:
    struct outgoing_message {
        frame_kind kind = frame_kind::request;
        std::uint64_t correlation_id = 0;
        std::string bytes;
        std::size_t sent_bytes = 0;
    };
    using lane_queue = std::deque<outgoing_message>;

    struct next_frame {
        std::optional<peer_frame> frame;
        std::optional<time_point> retry_at;
    };

    awaitable<absl::Status> write_bytes(std::string bytes);
    awaitable<absl::StatusOr<peer_hello>> read_hello(std::string context, std::size_t& key_index);
    void set_direction_keys(std::size_t key_index, const std::string& client_nonce,
                            const std::string& server_nonce, bool is_client);

    static awaitable<void> watch_receive_timeout(std::shared_ptr<peer_connection> self);
    static awaitable<void> write_frames(std::shared_ptr<peer_connection> self);
    next_frame take_next_frame(time_point now);
    std::optional<peer_lane> get_next_lane(std::size_t& chunk_bytes);
    std::optional<time_point> spend_budget(peer_lane lane, std::size_t bytes, time_point now);
    absl::Status accept_frame(peer_frame frame, const delivery_handler& deliver);
    void start_receive_watchdog();
    void close_on_strand(const std::string& reason);

    const std::shared_ptr<const peer_options> options_;

    // Accessed only on the strand.
    asio::ip::tcp::socket socket_;
    std::shared_ptr<link_budget> budget_;
    std::optional<frame_codec> sender_;
    std::optional<frame_codec> receiver_;
    std::map<std::uint64_t, std::string> partial_;
    std::size_t partial_bytes_ = 0;
    time_point last_received_at_;
    bool is_watchdog_started_ = false;
    std::string close_reason_;

    async_signal queued_;
    async_signal closed_;
    mutable ordered_mutex mutex_{lock_rank::pending_responses};
    lane_queue urgent_;
    lane_queue bulk_;
    std::size_t queued_bytes_ = 0;
    std::size_t consecutive_urgent_frames_ = 0;
    bool is_closed_ = false;
};

}  // namespace jacinthvane
