#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/key_ring.hpp"
#include "connection/member_codec.hpp"
#include "process/member_table.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

struct member_socket_counts {
    std::uint64_t rounds = 0;
    std::uint64_t sent_datagrams = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t failed_sends = 0;
    std::uint64_t received_datagrams = 0;
    std::uint64_t received_bytes = 0;
    // Dropped datagrams by datagram_fault.
    std::array<std::uint64_t, datagram_fault_count> dropped{};

    bool operator==(const member_socket_counts&) const = default;
};

// Exchanges a member table with other processes over UDP: sends one round per second and merges every
// datagram that is received.
class member_socket {
public:
    // Called on the socket's strand before each round to update the table's own entry.
    using round_callback = std::function<void()>;
    // Called on the socket's strand after each datagram that was merged into the table; must not block.
    using merge_callback = std::function<void(const member_merge&)>;

    member_socket(asio::io_context& context, std::shared_ptr<member_table> table, key_ring keys);
    ~member_socket();

    member_socket(const member_socket&) = delete;
    member_socket& operator=(const member_socket&) = delete;

    // Both must be set before start.
    void set_round_callback(round_callback callback);
    void set_merge_callback(merge_callback callback);

    // Binds "address:port"; port 0 picks a free port. Errors: bad_configuration.
    absl::Status listen(const std::string& address);
    std::string get_address() const;
    void start();

    // Notifies several members that this process has left, then stops.
    awaitable<void> leave();

    // Stops without notifying other members.
    void stop();

    member_socket_counts get_counts() const;

private:
    struct shared_state;

    static awaitable<void> send_rounds(std::shared_ptr<shared_state> state);
    static awaitable<void> receive_datagrams(std::shared_ptr<shared_state> state);
    static awaitable<void> announce_leave(std::shared_ptr<shared_state> state);
    static void send_round(shared_state& state);
    static void accept_datagram(shared_state& state, std::string_view bytes);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
