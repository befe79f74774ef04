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

// Carries a member table over UDP: one round each second, and everything that arrives.
class member_socket {
public:
    // Called before each round, on the socket's strand, to bring the table's own entry up to date.
    using round_callback = std::function<void()>;
    // Called after a datagram with news was taken in, on the socket's strand; must not block.
    using news_callback = std::function<void(const member_merge&)>;

    member_socket(asio::io_context& context, std::shared_ptr<member_table> table, key_ring keys);
    ~member_socket();

    member_socket(const member_socket&) = delete;
    member_socket& operator=(const member_socket&) = delete;

    // Both must be set before start.
    void set_round_callback(round_callback callback);
    void set_news_callback(news_callback callback);

    // Binds "address:port"; port 0 picks a free port. Errors: bad_configuration.
    absl::Status listen(const std::string& address);
    std::string get_address() const;
    void start();

    // Tells several members that this process has left and stops.
    awaitable<void> leave();

    // Stops without a word.
    void stop();

    member_socket_counts get_counts() const;

private:
    struct shared_state;

    static awaitable<void> send_rounds(std::shared_ptr<shared_state> state);
    static awaitable<void> receive_datagrams(std::shared_ptr<shared_state> state);
    static awaitable<void> send_farewell(std::shared_ptr<shared_state> state);
    static void send_round(shared_state& state);
    static void accept_datagram(shared_state& state, std::string_view bytes);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
