#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "version/dispatch_config.hpp"

namespace jacinthvane {

// Finds the queues of one configuration by name and by the host and path of a request. The time of a search
// does not depend on the number of queues.
class queue_index {
public:
    explicit queue_index(std::shared_ptr<const dispatch_config> config);

    const dispatch_config& get_config() const { return *config_; }
    // Returns the queue whose host is equal and whose prefix is the longest that the path begins with, or
    // null.
    const queue_settings* find_route(std::string_view host, std::string_view path) const;
    // Returns the queue with this name, or null.
    const queue_settings* find_queue(std::string_view name) const;

private:
    struct host_routes {
        // The lengths of the prefixes that occur, the longest first.
        std::vector<std::size_t> prefix_lengths;
        std::unordered_map<std::string_view, const queue_settings*> queues_by_prefix;
    };

    // The views and pointers below refer to its strings and queues.
    std::shared_ptr<const dispatch_config> config_;
    std::unordered_map<std::string_view, const queue_settings*> queues_by_name_;
    std::unordered_map<std::string_view, host_routes> routes_by_host_;
};

}  // namespace jacinthvane
