#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/store_client.hpp"
#include "version/fleet_config.hpp"

namespace jacinthvane {

inline constexpr const char* config_path = "config/fleet";

// The configuration with the store revision at which it was read. If the store holds no configuration,
// version and revision are 0.
struct loaded_config {
    std::uint64_t revision = 0;
    fleet_config_ptr config;

    bool operator==(const loaded_config&) const = default;
};

// The two store calls that a change needs, with the errors of store_client. Tests inject faults here.
struct config_store {
    std::function<awaitable<absl::StatusOr<stored_value>>(std::string path, time_point deadline)> get;
    std::function<awaitable<absl::StatusOr<std::uint64_t>>(std::string path, std::uint64_t expected_revision,
                                                           std::string bytes, time_point deadline)>
        compare_and_swap;
};

// The client must outlive the result.
config_store make_config_store(store_client& client);

// Errors: those of the store, and bad_configuration for a value that cannot be read.
awaitable<absl::StatusOr<loaded_config>> load_config(const config_store& store, time_point deadline);

// Changes the configuration by compare-and-swap against the version that the operator saw. Without an
// expected version the change applies to the current version; this is for changes that do not depend on the
// rest of the configuration, such as a drain. A write whose response was lost is resolved by reading back the
// mark of the change, so the result is "unknown" only if the store stays unresponsive until the deadline, or
// if the history is too short to show whether the write took effect.
awaitable<config_change_result> change_config(config_store store, config_change change,
                                              std::optional<std::uint64_t> expected_version,
                                              time_point deadline);

// Creates a new version with the content of an older one.
awaitable<config_change_result> roll_back_config(config_store store, config_change change,
                                                 std::uint64_t target_version, std::uint64_t expected_version,
                                                 time_point deadline);

}  // namespace jacinthvane
