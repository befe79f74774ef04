#pragma once

#include <cstdint>
#include <map>
#include <memory>
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
    awaitable<absl::StatusOr<config_state>> get_config(time_point deadline);
    awaitable<absl::StatusOr<config_state>> watch_config(std::uint64_t after, std::int64_t wait_ms,
                                                         time_point deadline);

    void set_upstream(const upstream_entry& entry);
    void remove_upstream(const upstream_id& id);
    void set_config(std::shared_ptr<const dispatch_config> config);
    // Makes all calls fail with store_unavailable.
    void set_down(bool is_down);

private:
    struct numbered_change {
        std::uint64_t revision = 0;
        upstream_change change;
    };

    absl::Status check_available() const;

    mutable ordered_mutex mutex_{lock_rank::store};
    async_signal changed_;
    bool is_down_ = false;
    std::uint64_t revision_ = 1;
    std::map<upstream_id, upstream_entry> entries_;
    std::vector<numbered_change> history_;
    std::shared_ptr<const dispatch_config> config_;
    std::uint64_t config_revision_ = 0;
};

}  // namespace jacinthvane
