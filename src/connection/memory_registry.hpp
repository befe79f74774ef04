#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "connection/async_signal.hpp"
#include "connection/registry_port.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// An in-memory registry of upstreams and a configuration, for tests. Safe to call from any thread.
class memory_registry {
public:
    awaitable<absl::StatusOr<upstream_changes>> list_upstreams(time_point deadline);
    awaitable<absl::StatusOr<upstream_changes>> watch_upstreams(std::uint64_t after, std::int64_t wait_ms,
                                                                time_point deadline);
    awaitable<absl::StatusOr<evacuation_changes>> list_evacuations(time_point deadline);
    awaitable<absl::StatusOr<evacuation_changes>> watch_evacuations(std::uint64_t after, std::int64_t wait_ms,
                                                                    time_point deadline);
    awaitable<absl::StatusOr<config_state>> get_config(time_point deadline);
    awaitable<absl::StatusOr<config_state>> watch_config(std::uint64_t after, std::int64_t wait_ms,
                                                         time_point deadline);

    void set_upstream(const upstream_entry& entry);
    void remove_upstream(const upstream_id& id);
    void set_config(std::shared_ptr<const dispatch_config> config);
    // Requests the evacuation of a failure domain, or withdraws the request.
    void set_evacuation(const failure_domain_id& domain, bool is_evacuated);
    // Makes all calls fail with store_unavailable.
    void set_down(bool is_down);
    // Makes the calls for evacuations fail with store_unavailable at their deadlines.
    void lose_evacuation_responses(bool is_lost);
    // Discards the evacuations' history so far, so that watches from older revisions have to list again.
    void discard_evacuation_history();
    std::uint64_t get_evacuation_calls() const;

private:
    struct numbered_change {
        std::uint64_t revision = 0;
        upstream_change change;
    };

    struct numbered_evacuation {
        std::uint64_t revision = 0;
        evacuation_change change;
    };

    absl::Status check_available() const;
    // Counts a call for evacuations. Waits until its deadline if its response is to be lost.
    awaitable<absl::Status> check_evacuation_call(time_point deadline);

    mutable ordered_mutex mutex_{lock_rank::store};
    async_signal changed_;
    bool is_down_ = false;
    std::uint64_t revision_ = 1;
    std::map<upstream_id, upstream_entry> entries_;
    std::vector<numbered_change> history_;
    std::set<failure_domain_id> evacuations_;
    std::vector<numbered_evacuation> evacuation_history_;
    std::uint64_t discarded_evacuations_ = 0;
    std::uint64_t evacuation_calls_ = 0;
    bool loses_evacuation_responses_ = false;
    std::shared_ptr<const dispatch_config> config_;
    std::uint64_t config_revision_ = 0;
};

}  // namespace jacinthvane
