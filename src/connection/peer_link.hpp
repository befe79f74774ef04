#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/peer_connection.hpp"
#include "connection/peer_message.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

struct peer_link_counts {
    std::uint64_t opened = 0;
    std::uint64_t failed_to_open = 0;
    // Open links that failed or became unresponsive.
    std::uint64_t replaced = 0;
    std::uint64_t closed_idle = 0;
    std::uint64_t calls = 0;
    std::uint64_t calls_unreachable = 0;
    std::uint64_t calls_lost = 0;
    // Replies received after the caller had stopped waiting.
    std::uint64_t late_replies = 0;

    bool operator==(const peer_link_counts&) const = default;
};

// Calls other entry processes over one link per address. A link is opened by the first call to its address,
// closed and replaced by the next call after nothing was received for receive_timeout, and closed after no
// call has used it for idle_timeout.
class peer_links {
public:
    peer_links(asio::io_context& context, peer_options options);
    ~peer_links();

    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Sends the request to "address:port" and returns the reply, which may be an error_reply. Errors:
    // peer_unreachable (the peer cannot have received the complete request), peer_lost (the peer may have
    // processed the request). Must be called on a strand.
    awaitable<absl::StatusOr<peer_reply>> call(std::string address, peer_request request,
                                               time_point deadline);

    // Closes all links. Calls in progress end with peer_lost or peer_unreachable.
    void close();

    peer_link_counts get_counts() const;

private:
    struct pending_call;
    struct link;
    struct shared_state;

    // Finds or opens the link to the address and registers the call on it. Returns nullptr after close.
    static std::shared_ptr<link> register_call(const std::shared_ptr<shared_state>& state,
                                               const std::string& address,
                                               const std::shared_ptr<pending_call>& call,
                                               std::uint64_t& correlation_id);
    static awaitable<void> run_link(std::shared_ptr<shared_state> state, std::shared_ptr<link> opened);
    static awaitable<absl::Status> open(std::shared_ptr<shared_state> state, std::shared_ptr<link> opened,
                                        std::shared_ptr<peer_connection>& connection);
    static awaitable<void> close_when_idle(std::shared_ptr<shared_state> state, std::shared_ptr<link> opened);
    static void accept_reply(const std::shared_ptr<shared_state>& state, link& opened,
                             const peer_delivery& delivery);
    static void end_link(const std::shared_ptr<shared_state>& state, const std::shared_ptr<link>& opened,
                         const absl::Status& reason);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
