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

// What both ends of a link need to know.
struct peer_options {
    key_ring keys;
    region_id region;
    // Returns the budget for links to that region, or nothing if the link is not limited.
    std::function<std::shared_ptr<link_budget>(const region_id&)> get_budget;
    std::chrono::milliseconds heartbeat_interval{1000};
    // A link from which nothing arrives for so long is given up, since connections can go silent for good.
    std::chrono::milliseconds silence_limit{3000};
    std::chrono::milliseconds connect_timeout{2000};
    // A link without calls is closed after this time: at target scale, the heartbeats of a full mesh would
    // use more than the 5 KB/s that a node may spend on control.
    std::chrono::milliseconds idle_limit{10000};
    std::size_t max_message_bytes = 12U << 20U;
    // Bytes of unfinished incoming messages, and of queued outgoing ones, for each link.
    std::size_t max_partial_bytes = 64U << 20U;
    std::size_t max_queued_bytes = 64U << 20U;
    std::size_t max_calls_in_progress = 1024;
    std::size_t max_connections = 512;
};

// A whole message that arrived on a link.
struct peer_delivery {
    frame_kind kind = frame_kind::request;
    peer_lane lane = peer_lane::urgent;
    std::uint64_t correlation_id = 0;
    std::string bytes;
};

// One TCP connection between two entry processes, the same at both ends once the greetings are exchanged. All
// work on the socket runs on the socket's strand; send, withdraw and close may be called from any thread.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    // Called on the socket's strand; must not block.
    using delivery_handler = std::function<void(peer_delivery)>;

    peer_connection(asio::ip::tcp::socket socket, std::shared_ptr<const peer_options> options);

    // Exchanges the greetings. Errors: unauthorized, bad_request, peer_unreachable.
    awaitable<absl::Status> greet_as_client();
    awaitable<absl::Status> greet_as_server();

    // Delivers messages until the link breaks, goes silent or is closed; returns the reason.
    awaitable<absl::Status> run(delivery_handler deliver);

    // Queues a message. Returns false if the link is closed or its queue is full.
    bool send(frame_kind kind, peer_lane lane, std::uint64_t correlation_id, std::string bytes);

    // Takes a queued message back. Returns false if its last chunk may have left, so that the other end may
    // have the whole message.
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
    void use_keys(std::size_t key_index, const std::string& client_nonce, const std::string& server_nonce,
                  bool is_client);

    static awaitable<void> watch_silence(std::shared_ptr<peer_connection> self);
    static awaitable<void> write_frames(std::shared_ptr<peer_connection> self);
    next_frame take_next_frame(time_point now);
    std::optional<peer_lane> get_next_lane(std::size_t& chunk_bytes);
    std::optional<time_point> spend_budget(peer_lane lane, std::size_t bytes, time_point now);
    absl::Status accept_frame(peer_frame frame, const delivery_handler& deliver);
    void start_watch();
    void close_on_strand(const std::string& reason);

    const std::shared_ptr<const peer_options> options_;

    // Touched on the strand only.
    asio::ip::tcp::socket socket_;
    std::shared_ptr<link_budget> budget_;
    std::optional<frame_codec> sender_;
    std::optional<frame_codec> receiver_;
    std::map<std::uint64_t, std::string> partial_;
    std::size_t partial_bytes_ = 0;
    time_point heard_at_;
    bool is_watched_ = false;
    std::string close_reason_;

    async_signal queued_;
    async_signal closed_;
    mutable ordered_mutex mutex_{lock_rank::pending_answers};
    lane_queue urgent_;
    lane_queue bulk_;
    std::size_t queued_bytes_ = 0;
    std::size_t urgent_in_row_ = 0;
    bool is_closed_ = false;
};

}  // namespace jacinthvane
