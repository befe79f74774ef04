#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// The entry that an upstream registers for itself.
struct upstream_entry {
    upstream_id id;
    std::string service;
    std::string address;
    failure_domain_id failure_domain;
    std::vector<std::string> labels;
    resource_vector capacity;
    bool is_leaving = false;
    // Minimum time until a leaving upstream is removed, measured from when the entry was written.
    std::int64_t remaining_ms = 0;
    std::int64_t boot_unix_ms = 0;

    bool operator==(const upstream_entry&) const = default;

    // Returns true if the upstream has the label. An empty label matches every upstream.
    bool has_label(const std::string& label) const {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
    // Whether it belongs to the service and has the label, as a task requires of the upstream that runs it.
    bool is_suitable(const std::string& wanted_service, const std::string& required_label) const {
        return service == wanted_service && has_label(required_label);
    }
    // Returns the rack, which is the last label.
    std::string get_rack() const { return labels.empty() ? std::string() : labels.back(); }
};

}  // namespace jacinthvane
