#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection/async_signal.hpp"
#include "connection/http_client.hpp"
#include "connection/registry_port.hpp"
#include "process/ordered_mutex.hpp"
#include "process/response_budget.hpp"
#include "request/peer_directory.hpp"
#include "version/config_report.hpp"
#include "version/queue_index.hpp"

namespace jacinthvane {

// Keeps the configuration of this process up to date and knows until when it is proven to be. A process gets
// it from its relay (see choose_relay) as the changes since its version, and from the store only if it has
// no relay or no relay responds. Each response also proves how recently the configuration was the newest
// one, so a process that is left behind knows it. Thread-safe.
class config_follower : public std::enable_shared_from_this<config_follower> {
public:
    struct callbacks {
        // Called after each installation, in the order of the versions.
        std::function<void(std::shared_ptr<const queue_index>)> install;
        // Called after each read from the store.
        std::function<void(bool is_ok)> record_store_read;
    };

    // config_bound is the time after which an acknowledged configuration must be in force. The budget of
    // responses may be null.
    config_follower(asio::io_context& context, registry_port registry,
                    std::shared_ptr<peer_directory> directory, std::chrono::milliseconds config_bound,
                    callbacks hooks, std::shared_ptr<response_budget> responses = nullptr);

    // Follows the configuration until the process ends, also while it shuts down: it serves requests, and is
    // the relay of others, until then.
    void start();

    // Returns the queues of the configuration in force, or null if none has been read yet.
    std::shared_ptr<const queue_index> get_queues() const;
    // Whether no newer configuration can have been acknowledged so long ago that it has to be in force. If
    // not, this process cannot tell an unknown queue from one that was added, or a known one from one that
    // was removed.
    bool is_current() const;

    // Returns the response to a process for which this one is the relay. Waits until there is something that
    // the process does not know, or for as long as the query allows.
    awaitable<config_report> get_report(config_query query);

private:
    // The relay that was asked last, and the last confirmation number that it sent.
    struct relay_position {
        std::string process;
        std::uint64_t confirmation = 0;

        bool operator==(const relay_position&) const = default;
    };

    static awaitable<void> follow(std::shared_ptr<config_follower> self);
    // Waits until the other processes are known.
    awaitable<void> wait_for_peers();
    // Returns the relay to ask now: processes that failed recently are left out of the tree.
    std::optional<live_peer> find_relay(time_point now);
    void avoid(const live_peer& relay, const std::string& reason);
    awaitable<bool> follow_relay(live_peer relay);
    // Whether the relay has lost its own source, so that another one should be tried.
    bool is_left_behind(const live_peer& relay, const config_report& report);
    awaitable<bool> follow_store();
    absl::Status apply(const config_report& report, time_point confirmed_at);
    // Puts a sorted configuration in force if it is newer than the present one. The form is for the log.
    void install(std::shared_ptr<const dispatch_config> next, const char* form);
    void set_source_alive(bool is_alive);
    // Records that the configuration in force was the newest one at this time.
    void confirm(time_point confirmed_at, std::uint64_t revision);
    config_report make_report(const config_query& query) const;
    std::uint64_t get_version() const;

    asio::io_context& context_;
    registry_port registry_;
    const std::shared_ptr<peer_directory> directory_;
    const std::chrono::milliseconds config_bound_;
    const callbacks hooks_;
    http_client relay_client_;
    mutable ordered_mutex mutex_{lock_rank::config_follower};
    std::shared_ptr<const queue_index> queues_;
    // The last configurations, the newest one last, to which deltas can be made.
    std::deque<std::shared_ptr<const dispatch_config>> history_;
    // On the clock that also counts the time for which the machine was suspended.
    time_point confirmed_at_;
    std::uint64_t confirmation_ = 0;
    std::uint64_t revision_ = 0;
    // The last exchange with the relay or the store succeeded.
    bool is_source_alive_ = false;
    // Used by the coroutine that follows the configuration only.
    relay_position position_;
    std::map<std::string, time_point> avoided_until_;
    time_point left_behind_until_;
    // The store no longer holds the history from the known revision.
    bool is_history_lost_ = false;
    async_signal changed_;
};

}  // namespace jacinthvane
