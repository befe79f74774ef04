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

// The faults that a relay applies to its traffic. The admin interface replaces them as a whole.
struct link_faults {
    std::int64_t delay_ms = 0;
    // 0 means no limit. All connections of one direction share the rate.
    std::int64_t bytes_per_second = 0;
    // Refuses new connections, closes open ones and drops datagrams.
    bool is_cut = false;
    // Drop the data sent to the target, or from it, and leave the connections open.
    bool is_forward_dropped = false;
    bool is_backward_dropped = false;

    bool operator==(const link_faults&) const = default;
};

// One direction of a relay: schedules deliveries within the byte rate and counts the bytes.
class relayed_direction {
public:
    // Returns the time at which the given bytes are delivered, and charges them to the byte rate.
    time_point schedule(std::int64_t bytes, const link_faults& faults, time_point now);

    std::uint64_t get_bytes() const { return bytes_.load(); }

private:
    ordered_mutex mutex_{lock_rank::standin};
    time_point free_at_;
    std::atomic<std::uint64_t> bytes_ = 0;
};

// Both directions of a link that several relays share.
struct relayed_link {
    relayed_direction forward;
    relayed_direction backward;
};

// Relays TCP connections and datagrams to a target address, with faults that can be changed at run time.
class link_relay {
public:
    link_relay(asio::io_context& context, std::string target);
    // The byte rate of the faults then holds for all relays of the link together.
    link_relay(asio::io_context& context, std::string target, std::shared_ptr<relayed_link> link);

    absl::Status listen_tcp(const std::string& address);
    absl::Status listen_udp(const std::string& address);

    std::string get_tcp_address() const;

    void set_faults(const link_faults& faults);
    link_faults get_faults() const;

    // Makes all connections that are open now permanently unresponsive: their bytes are read and dropped, and
    // no side gets an error. New connections are not affected.
    void silence_open_connections();

    // Serves GET /admin/ledger, POST /admin/silence and
    // PUT /admin/faults?delay_ms=&bytes_per_second=&cut=&drop_forward=&drop_backward=.
    awaitable<http_response> handle_admin(http_request request);

private:
    struct shared_state;

    static awaitable<void> accept_connections(std::shared_ptr<shared_state> state);
    static awaitable<void> relay_connection(std::shared_ptr<shared_state> state,
                                            asio::ip::tcp::socket client);
    // Reads one direction of a connection and appends its bytes to the delivery queue.
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
