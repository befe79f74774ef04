#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_message.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// What a relay does to the traffic that crosses it. Changed as a whole over the admin address.
struct link_faults {
    std::int64_t delay_ms = 0;
    // 0 stands for no limit. Shared by all connections of one direction.
    std::int64_t bytes_per_second = 0;
    // Refuses new connections, closes open ones and drops datagrams.
    bool is_cut = false;
    // Drops what is sent towards the target, or back from it, without closing anything.
    bool is_forward_dropped = false;
    bool is_backward_dropped = false;

    bool operator==(const link_faults&) const = default;
};

// One direction of a relay: when the next bytes may leave, and how many have passed.
class link_lane {
public:
    // Returns when the given bytes reach the other end, and takes their share of the rate.
    time_point schedule(std::int64_t bytes, const link_faults& faults, time_point now);

    std::uint64_t get_bytes() const { return bytes_.load(); }

private:
    ordered_mutex mutex_{lock_rank::standin};
    time_point free_at_;
    std::atomic<std::uint64_t> bytes_ = 0;
};

// Relays TCP connections and datagrams from one address to another, with faults that change while it runs.
class link_relay {
public:
    link_relay(asio::io_context& context, std::string target);

    absl::Status listen_tcp(const std::string& address);
    absl::Status listen_udp(const std::string& address);

    std::string get_tcp_address() const;

    void set_faults(const link_faults& faults);
    link_faults get_faults() const;

    // Makes every connection that is open now silent for good: its bytes are taken and dropped, and neither
    // end is told. New connections work.
    void silence_open_connections();

    // Serves GET /admin/ledger, PUT
    // /admin/faults?delay_ms=&bytes_per_second=&cut=&drop_forward=&drop_backward= and POST /admin/silence.
    awaitable<http_response> handle_admin(http_request request);

private:
    struct shared_state;

    static awaitable<void> accept_connections(std::shared_ptr<shared_state> state);
    static awaitable<void> relay_connection(std::shared_ptr<shared_state> state,
                                            asio::ip::tcp::socket client);
    // Reads one direction of a connection and hands its bytes to the queue that delivers them.
    static awaitable<void> pump_bytes(std::shared_ptr<shared_state> state, std::uint64_t number,
                                      std::shared_ptr<asio::ip::tcp::socket> from,
                                      std::shared_ptr<asio::ip::tcp::socket> to, bool is_forward);
    static awaitable<void> relay_datagrams(std::shared_ptr<shared_state> state);
    static awaitable<void> send_datagram(std::shared_ptr<shared_state> state,
                                         std::shared_ptr<std::vector<char>> bytes,
                                         asio::ip::udp::endpoint target, time_point due);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
