#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "version/dispatch_config.hpp"

namespace jacinthvane {

// What identifies a queue in a configuration. A queue of which one of these changes counts as another one.
struct queue_key {
    std::string name;
    std::string host;
    std::string prefix;

    auto operator<=>(const queue_key&) const = default;
};

// What a configuration has changed since an earlier version.
struct config_delta {
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    // Queues that were added or changed, and the keys of removed ones, both in the order of their keys.
    std::vector<queue_settings> changed_queues;
    std::vector<queue_key> removed_queues;
    std::vector<service_settings> services;
    request_limits limits;

    bool operator==(const config_delta&) const = default;
};

// What a process has to know to have the newest configuration: nothing if it has it, the changes since its
// version, or all of it.
struct config_unchanged {
    bool operator==(const config_unchanged&) const = default;
};
using config_update = std::variant<config_unchanged, config_delta, dispatch_config>;

// Sorts the queues by their keys, which the functions below need.
void sort_queues(dispatch_config& config);
bool is_sorted(const std::vector<queue_settings>& queues);
bool is_sorted(const std::vector<queue_key>& keys);

// Both configurations must be sorted.
config_delta make_delta(const dispatch_config& base, const dispatch_config& next);

// Returns the sorted configuration that the delta was made from. Errors: version_conflict if it was made
// from another base.
absl::StatusOr<dispatch_config> apply_delta(const dispatch_config& base, const config_delta& delta);

}  // namespace jacinthvane
