#include "connection/http_client.hpp"

#include <mutex>
#include <utility>

#include "connection/client_connection.hpp"
#include "connection/endpoint.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// A connection that was idle for longer is replaced: a middlebox may have dropped it without closing it.
constexpr std::chrono::seconds max_idle{20};

}  // namespace

struct http_client::address_pool {
    std::list<std::unique_ptr<client_connection>> idle;
    std::size_t in_use = 0;
    // Calls that wait for a connection to this address. One signal for all addresses would wake every waiting
    // call of the process whenever any call ends.
    std::shared_ptr<async_signal> released = std::make_shared<async_signal>();
};

http_client::http_client(asio::io_context& context, std::size_t max_connections_per_address,
                         response_limits responses)
    : context_(context), max_connections_(max_connections_per_address), responses_(std::move(responses)) {}

http_client::~http_client() = default;

void http_client::drop_old_connections(address_pool& pool) {
    const auto oldest_usable = std::chrono::steady_clock::now() - max_idle;
    pool.idle.remove_if([&](const auto& connection) { return connection->get_idle_since() < oldest_usable; });
}

bool http_client::has_idle_connection(const std::string& address) {
    std::lock_guard lock(mutex_);
    const auto found = pools_.find(address);
    if (found == pools_.end()) {
        return false;
    }
    drop_old_connections(found->second);
    return !found->second.idle.empty();
}

awaitable<absl::StatusOr<std::unique_ptr<client_connection>>> http_client::acquire(std::string address,
                                                                                   time_point deadline,
                                                                                   connection_choice choice) {
    while (true) {
        std::shared_ptr<async_signal> released;
        std::uint64_t seen = 0;
        {
            std::lock_guard lock(mutex_);
            auto& pool = pools_[address];
            released = pool.released;
            seen = released->get_count();
            drop_old_connections(pool);
            while (!pool.idle.empty() && !pool.idle.back()->is_reusable()) {
                pool.idle.pop_back();
            }
            if (choice == connection_choice::reused && pool.idle.empty()) {
                co_return make_error(error_kind::call_delayed,
                                     "there is no idle connection to " + address + " to reuse",
                                     run_knowledge::not_run);
            }
            if (pool.in_use < max_connections_) {
                ++pool.in_use;
                if (pool.idle.empty()) {
                    co_return std::make_unique<client_connection>(context_, responses_);
                }
                auto connection = std::move(pool.idle.back());
                pool.idle.pop_back();
                co_return connection;
            }
        }
        if (!co_await released->wait(seen, deadline)) {
            co_return make_error(error_kind::call_delayed,
                                 "all " + std::to_string(max_connections_) + " connections to " + address +
                                     " were in use until the deadline",
                                 run_knowledge::not_run);
        }
    }
}

void http_client::release(const std::string& address, std::unique_ptr<client_connection> connection) {
    std::shared_ptr<async_signal> released;
    {
        std::lock_guard lock(mutex_);
        auto& pool = pools_[address];
        released = pool.released;
        --pool.in_use;
        if (connection && connection->is_open()) {
            connection->set_idle_since(std::chrono::steady_clock::now());
            pool.idle.push_back(std::move(connection));
        }
    }
    released->notify_all();
}

awaitable<absl::StatusOr<http_response>> http_client::fetch(std::string address, http_request request,
                                                            time_point deadline) {
    return fetch(std::move(address), std::move(request), deadline, call_options());
}

awaitable<absl::StatusOr<http_response>> http_client::fetch(std::string address, http_request request,
                                                            time_point deadline, call_options options) {
    const auto endpoint = parse_endpoint<asio::ip::tcp>(address);
    if (!endpoint.ok() || endpoint->port() == 0) {
        co_return make_error(error_kind::upstream_unreachable,
                             "\"" + address + "\" is not an IP address and port");
    }
    auto acquired = co_await acquire(address, deadline, options.choice);
    if (!acquired.ok()) {
        co_return acquired.status();
    }
    auto connection = std::move(*acquired);
    auto result = co_await connection->exchange(*endpoint, address, std::move(request), deadline,
                                                options.write_before, options.late);
    if (result.ok() && options.is_expected && !options.is_expected(*result)) {
        result = make_error(error_kind::upstream_lost, address + " sent the response to another request");
        connection.reset();
    }
    release(address, std::move(connection));
    co_return result;
}

}  // namespace jacinthvane
