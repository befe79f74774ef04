#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/peer_connection.hpp"
#include "connection/peer_message.hpp"
#include "process/clock.hpp"

namespace jacinthvane {

struct peer_server_counts {
    std::uint64_t accepted = 0;
    // Connections whose handshake failed, for example because of an unsupported version or an unknown key.
    std::uint64_t refused_handshakes = 0;
    std::uint64_t refused_connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused_requests = 0;
    std::uint64_t unreadable_requests = 0;
    std::size_t in_progress = 0;

    bool operator==(const peer_server_counts&) const = default;
};

// Serves the calls of other entry processes. Each request runs on its own strand. Requests beyond the limit
// of concurrent calls are rejected as overloaded and not_run.
class peer_server {
public:
    using handler = std::function<awaitable<peer_reply>(peer_request)>;

    peer_server(asio::io_context& context, peer_options options);
    ~peer_server();

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    // Must be called before listen. Without a handler, requests receive a not_ready error reply.
    void set_handler(handler handle);

    // Binds "address:port"; port 0 picks a free port. Errors: bad_configuration.
    absl::Status listen(const std::string& address);

    // Returns the bound "address:port".
    std::string get_address() const;

    // Rejects new connections, and new requests with shutting_down. Requests in progress continue.
    void stop_accepting();

    // Waits until no request is in progress. Returns false if the deadline passes first.
    awaitable<bool> drain(time_point deadline);

    // Closes all connections.
    void close();

    peer_server_counts get_counts() const;

private:
    struct shared_state;

    static awaitable<void> accept_connections(std::shared_ptr<shared_state> state);
    static awaitable<void> serve_connection(std::shared_ptr<shared_state> state,
                                            std::shared_ptr<peer_connection> connection);
    static void accept_request(const std::shared_ptr<shared_state>& state,
                               const std::shared_ptr<peer_connection>& connection,
                               const peer_delivery& delivery);
    static awaitable<void> serve_request(std::shared_ptr<shared_state> state,
                                         std::shared_ptr<peer_connection> connection, peer_lane lane,
                                         std::uint64_t correlation_id, peer_request request);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
