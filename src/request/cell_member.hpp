#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/async_signal.hpp"
#include "connection/cell_records.hpp"
#include "connection/http_client.hpp"
#include "process/metrics.hpp"
#include "process/ordered_mutex.hpp"
#include "process/owner_history.hpp"
#include "request/cell_owner.hpp"
#include "request/config_follower.hpp"
#include "request/peer_directory.hpp"
#include "request/peer_queries.hpp"
#include "version/entry_settings.hpp"
#include "version/queue_index.hpp"

namespace jacinthvane {

// One process of the cell: follows the configuration, the other processes and the owner record, and takes
// ownership of the cell when it has no owner. Thread-safe.
class cell_member : public std::enable_shared_from_this<cell_member> {
public:
    cell_member(asio::io_context& context, cell_ports ports, entry_settings settings,
                std::string process_name, metrics& counters);

    void start();
    // Releases the cell if this process owns it, and stops competing for ownership.
    awaitable<void> stop(time_point deadline);

    // Returns the queues of the configuration in force, or null if none has been read yet.
    std::shared_ptr<const queue_index> get_queues() const { return configs_->get_queues(); }
    // Whether the configuration is proven to be recent; see config_follower.
    bool is_config_current() const { return configs_->is_current(); }
    config_follower& get_configs() const { return *configs_; }
    // Returns the owner that runs in this process, or null.
    std::shared_ptr<cell_owner> get_owner() const;
    // Returns the record of the current owner with its address, or nothing if no owner is known.
    std::optional<cell_row> get_owner_row() const;
    // Returns after how many milliseconds the caller of a new job should come back, by what the owner has
    // told all processes; 0 while it can start further jobs in time.
    std::int64_t get_retry_after_ms() const;
    // Whether this process can accept requests: a recent configuration is in force and the store responds.
    bool is_ready() const;
    // Ends the ownership of this process if its token is lower than the given one, and reports on the
    // process.
    process_report report_process(std::uint64_t token);
    // The budget of the responses of peers, which may be null.
    const std::shared_ptr<response_budget>& get_responses() const { return ports_.responses; }
    // Records the outcome of a store call that another component made; is_ready() uses it.
    void record_store_call(bool is_ok);

private:
    void spawn(const char* name, awaitable<void> task);
    static awaitable<void> keep_alive(std::shared_ptr<cell_member> self, awaitable<void> task);
    awaitable<void> follow_owner();
    // Renews the claim of this process, or tries once to take the cell after a delay.
    awaitable<void> contest();
    awaitable<bool> take_cell();
    awaitable<bool> renew_claim();
    awaitable<bool> write_claim(cell_row row, std::uint64_t expected_revision);
    // Learns from the earlier owners when they acted for the last time, as long as that may matter.
    awaitable<void> ask_earlier_owners(std::shared_ptr<cell_owner> owner);
    awaitable<void> ask_earlier_owner(seen_owner earlier, std::uint64_t token);
    std::vector<seen_owner> get_possible_owners(std::uint64_t token) const;
    owner_history get_history() const;
    awaitable<void> keep_lease(std::uint64_t lease);
    awaitable<void> release_lease(std::uint64_t lease);
    // Tells the other processes when this owner is overloaded, and when it no longer is.
    awaitable<void> publish_overload(std::shared_ptr<cell_owner> owner);
    awaitable<void> write_overload(overload_notice notice);
    void set_overload(const store_item& item);
    // Applies an item under owner_prefix; one without a revision has been removed.
    void apply_owner_item(const store_item& item);

    void install_config(std::shared_ptr<const queue_index> queues);
    void set_owner_row(const store_item& item);
    std::int64_t get_owner_lease_ms() const;
    std::chrono::milliseconds get_contest_delay() const;
    bool is_stopping() const;

    asio::io_context& context_;
    cell_ports ports_;
    const entry_settings settings_;
    const std::string process_name_;
    metrics& metrics_;
    const time_point started_at_;
    http_client peers_;
    const std::shared_ptr<peer_directory> directory_;
    // Created by start, since its callbacks hold a weak reference to this object.
    std::shared_ptr<config_follower> configs_;
    mutable ordered_mutex mutex_{lock_rank::cell_member};
    std::shared_ptr<cell_owner> owner_;
    std::optional<cell_row> owner_row_;
    owner_history history_;
    overload_notice overload_;
    bool is_stopping_ = false;
    std::uint64_t lease_ = 0;
    std::uint64_t cell_revision_ = 0;
    time_point store_ok_at_;
    time_point store_failed_at_;
    // Measured latency of a store read.
    std::chrono::milliseconds store_delay_{50};
    async_signal config_installed_;
    async_signal stopped_;
};

}  // namespace jacinthvane
