#include "connection/registry_port.hpp"

#include "connection/memory_registry.hpp"
#include "platform/registry.hpp"

namespace jacinthvane {

awaitable<absl::StatusOr<upstream_changes>> registry_port::list_upstreams(time_point deadline) {
    return std::visit([&](auto& registry) { return registry->list_upstreams(deadline); }, backend_);
}

awaitable<absl::StatusOr<upstream_changes>> registry_port::watch_upstreams(std::uint64_t after,
                                                                           std::int64_t wait_ms,
                                                                           time_point deadline) {
    return std::visit([&](auto& registry) { return registry->watch_upstreams(after, wait_ms, deadline); },
                      backend_);
}

awaitable<absl::StatusOr<evacuation_changes>> registry_port::list_evacuations(time_point deadline) {
    return std::visit([&](auto& registry) { return registry->list_evacuations(deadline); }, backend_);
}

awaitable<absl::StatusOr<evacuation_changes>> registry_port::watch_evacuations(std::uint64_t after,
                                                                               std::int64_t wait_ms,
                                                                               time_point deadline) {
    return std::visit([&](auto& registry) { return registry->watch_evacuations(after, wait_ms, deadline); },
                      backend_);
}

awaitable<absl::StatusOr<config_state>> registry_port::get_config(time_point deadline) {
    return std::visit([&](auto& registry) { return registry->get_config(deadline); }, backend_);
}

awaitable<absl::StatusOr<config_state>> registry_port::watch_config(std::uint64_t after, std::int64_t wait_ms,
                                                                    time_point deadline) {
    return std::visit([&](auto& registry) { return registry->watch_config(after, wait_ms, deadline); },
                      backend_);
}

}  // namespace jacinthvane
