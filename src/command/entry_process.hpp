#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "connection/key_ring.hpp"
#include "connection/member_socket.hpp"
#include "connection/peer_link.hpp"
#include "connection/peer_server.hpp"
#include "connection/store_client.hpp"
#include "connection/upstream_client.hpp"
#include "connection/vm_list_client.hpp"
#include "process/fault_point.hpp"
#include "process/interference_model.hpp"
#include "process/link_budget.hpp"
#include "process/member_table.hpp"
#include "process/metrics.hpp"
#include "request/caller_handler.hpp"
#include "request/capacity_service.hpp"
#include "request/config_service.hpp"
#include "request/job_service.hpp"
#include "request/peer_handler.hpp"
#include "request/placement_service.hpp"
#include "request/request_service.hpp"
#include "request/runbook_service.hpp"
#include "request/shard_service.hpp"
#include "request/task_locator.hpp"
#include "version/fleet_config.hpp"
#include "version/settings.hpp"

namespace jacinthvane {

// External services and parameters of a process. Tests use in-memory services and shorter times.
struct process_dependencies {
    store_client::backend store;
    vm_list_client::backend vm_list;
    upstream_client::backend upstreams;
    key_ring keys;
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
    std::size_t shards = 8;
    std::chrono::milliseconds startup_jitter{1000};
    step_observer observer;
};

// An entry process: owns all its services and connects them. The services live as long as the process; start
// starts them, and stop_gracefully or abandon stops them.
class entry_process {
public:
    entry_process(asio::io_context& context, settings given, process_dependencies dependencies);
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // Binds all addresses and starts all loops. Errors: bad_configuration.
    absl::Status start();

    // Completes the requests in flight, hands over everything that this process owns, and stops. Returns
    // false if work was still in flight at the deadline.
    awaitable<bool> stop_gracefully(time_point deadline);

    // Stops all loops immediately, as a crash would.
    void abandon();

    readiness get_readiness() const;
    std::string get_caller_address() const { return caller_server_.get_address(); }
    process_id get_self() const { return self_; }

    // Returns the complete state as JSON.
    std::string dump_state() const;

    metrics& get_metrics() { return metrics_; }
    capacity_service& get_capacity() { return *capacity_; }
    shard_service& get_shards() { return *shards_; }
    job_service& get_jobs() { return *jobs_; }
    runbook_service& get_runbooks() { return *runbooks_; }
    request_service& get_requests() { return *requests_; }
    config_service& get_config() { return *config_; }
    member_table& get_members() { return *members_; }
    store_client& get_store() { return *store_; }
    const settings& get_settings() const { return settings_; }
    std::size_t get_shard_count() const { return dependencies_.shards; }

    // Returns the installed fleet configuration, or nullptr if there is none.
    fleet_config_ptr get_fleet_config() const;

private:
    capacity_settings make_capacity_settings() const;
    capacity_callbacks make_capacity_callbacks();
    process_hooks make_hooks();
    locator_hooks make_locator_hooks();
    peer_options make_peer_options();
    void make_services();
    void install_config(const config_bytes& installed);
    void refresh_own_entry();
    void apply_member_changes(const member_merge& merge);
    void update_flush_interval();
    void update_metrics();
    awaitable<absl::StatusOr<task_response>> run_urgent(task_start start);
    std::vector<route_target> get_routes() const;
    route_target make_route(const member& entry) const;

    asio::io_context& context_;
    const settings settings_;
    const process_dependencies dependencies_;
    const process_id self_;
    metrics metrics_;
    std::shared_ptr<store_client> store_;
    std::shared_ptr<member_table> members_;
    std::shared_ptr<link_budget> region_budget_;
    std::unique_ptr<peer_links> links_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<member_socket> member_socket_;
    std::unique_ptr<config_service> config_;
    std::unique_ptr<shard_service> shards_;
    placement_service placement_;
    std::shared_ptr<capacity_service> capacity_;
    std::unique_ptr<request_service> requests_;
    std::unique_ptr<job_service> jobs_;
    std::unique_ptr<runbook_service> runbooks_;
    std::unique_ptr<task_locator> locator_;
    std::unique_ptr<peer_handler> peers_;
    std::unique_ptr<caller_handler> callers_;
    http_server caller_server_;
    http_server metrics_server_;
    mutable ordered_mutex config_mutex_{lock_rank::fleet_config};
    fleet_config_ptr fleet_config_;
    std::atomic<bool> is_shutting_down_ = false;
};

}  // namespace jacinthvane
