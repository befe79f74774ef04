#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "process/ids.hpp"
#include "process/resource_vector.hpp"

namespace jacinthvane {

// What an upstream registers about itself.
struct upstream_entry {
    upstream_id id;
    std::string service;
    std::string address;
    failure_domain_id failure_domain;
    std::vector<std::string> labels;
    resource_vector capacity;
    bool is_leaving = false;
    // Least time that is left of a leaving upstream when the entry was written.
    std::int64_t remaining_ms = 0;
    std::int64_t boot_unix_ms = 0;

    bool operator==(const upstream_entry&) const = default;

    // An empty label asks for nothing.
    bool has_label(const std::string& label) const {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
    // The rack is the last label.
    std::string get_rack() const { return labels.empty() ? std::string() : labels.back(); }
};

}  // namespace jacinthvane
