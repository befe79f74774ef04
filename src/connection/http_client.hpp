#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/http_message.hpp"
#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"
#include "process/response_budget.hpp"

namespace jacinthvane {

class client_connection;

// Whether a call may open a connection. A reused connection still leads to the process that responded on it
// before, whereas a new one may lead to another process that now listens at the same address.
enum class connection_choice { any, reused };

// What happens to a response that has begun to arrive when the deadline passes: it is read for a short while,
// or for as long as more of it arrives. A large response would otherwise be discarded and requested again
// from its beginning on a link that needs longer for it.
enum class late_response { read_briefly, read_while_arriving };

// Returns whether a response belongs to the request, and not to another one.
using response_check = std::function<bool(const http_response&)>;

// How a call differs from the usual one.
struct call_options {
    // A request whose connection is not ready before this time is not sent (call_delayed if the connection
    // was open, and upstream_unreachable if it could not be opened).
    time_point write_before = time_point::max();
    // A response that fails the check is discarded and its connection is closed (upstream_lost).
    response_check is_expected;
    connection_choice choice = connection_choice::any;
    late_response late = late_response::read_briefly;
};

// Sends HTTP/1.1 requests over persistent connections, with a maximum number of connections per address. A
// connection that fails or exceeds a deadline is closed and never reused, so an unresponsive connection
// affects only one call. A response that has begun to arrive when the deadline passes is still read for a
// short while, since a busy process would otherwise discard responses and send the same requests again. A
// response that exceeds its limit, or that has to end because the memory of all responses is exhausted,
// counts as lost.
class http_client {
public:
    http_client(asio::io_context& context, std::size_t max_connections_per_address,
                response_limits responses = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Sends the request to "address:port". Errors: upstream_unreachable (known not to have been sent),
    // upstream_lost (may have been executed), call_delayed (this process was too slow, so the error says
    // nothing about the other side). Waits for a free connection until the deadline.
    awaitable<absl::StatusOr<http_response>> fetch(std::string address, http_request request,
                                                   time_point deadline);
    awaitable<absl::StatusOr<http_response>> fetch(std::string address, http_request request,
                                                   time_point deadline, call_options options);

    // Returns whether a call with connection_choice::reused could be sent now.
    bool has_idle_connection(const std::string& address);

private:
    struct address_pool;

    awaitable<absl::StatusOr<std::unique_ptr<client_connection>>> acquire(std::string address,
                                                                          time_point deadline,
                                                                          connection_choice choice);
    static void drop_old_connections(address_pool& pool);
    void release(const std::string& address, std::unique_ptr<client_connection> connection);

    asio::io_context& context_;
    const std::size_t max_connections_;
    const response_limits responses_;
    ordered_mutex mutex_{lock_rank::connections};
    std::map<std::string, address_pool> pools_;
};

}  // namespace jacinthvane
