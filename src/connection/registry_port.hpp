#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "process/clock.hpp"
#include "process/evacuation_change.hpp"
#include "process/upstream_entry.hpp"
#include "version/dispatch_config.hpp"

namespace jacinthvane {

class memory_registry;
namespace platform {
class registry;
}

// The new entry of an upstream. No entry means that the upstream was removed.
struct upstream_change {
    upstream_id id;
    std::optional<upstream_entry> entry;

    bool operator==(const upstream_change&) const = default;
};

// Entries or their changes up to a revision of the store.
struct upstream_changes {
    std::vector<upstream_change> changes;
    std::uint64_t revision = 0;

    bool operator==(const upstream_changes&) const = default;
};

// The configuration as of a revision of the store. It is null if there is none or if it has not changed.
struct config_state {
    std::shared_ptr<const dispatch_config> config;
    std::uint64_t revision = 0;
};

// The platform's registry of upstreams, and of the operators' configuration and evacuations. Errors are those
// of cell_store.
class registry_port {
public:
    using backend = std::variant<std::shared_ptr<platform::registry>, std::shared_ptr<memory_registry>>;

    explicit registry_port(backend registry) : backend_(std::move(registry)) {}

    awaitable<absl::StatusOr<upstream_changes>> list_upstreams(time_point deadline);
    awaitable<absl::StatusOr<upstream_changes>> watch_upstreams(std::uint64_t after, std::int64_t wait_ms,
                                                                time_point deadline);
    awaitable<absl::StatusOr<evacuation_changes>> list_evacuations(time_point deadline);
    awaitable<absl::StatusOr<evacuation_changes>> watch_evacuations(std::uint64_t after, std::int64_t wait_ms,
                                                                    time_point deadline);
    awaitable<absl::StatusOr<config_state>> get_config(time_point deadline);
    awaitable<absl::StatusOr<config_state>> watch_config(std::uint64_t after, std::int64_t wait_ms,
                                                         time_point deadline);

private:
    backend backend_;
};

}  // namespace jacinthvane
