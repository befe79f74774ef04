#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/job_spec.hpp"

namespace jacinthvane {

// Timing of the advice service of a queue: how long it takes to decide, and how long its tickets are valid.
struct advice_settings {
    std::int64_t decide_ms = 0;
    std::int64_t interval_ms = 0;
    std::int64_t valid_ms = 0;

    bool operator==(const advice_settings&) const = default;
};

// A queue of jobs and the requests that lead to it.
struct queue_settings {
    queue_rules rules;
    std::string host;
    std::string prefix;
    std::optional<advice_settings> advice;

    bool operator==(const queue_settings&) const = default;
};

// A pool of upstreams.
struct service_settings {
    std::string name;
    // The upstreams themselves refuse runs that exceed their capacity.
    bool enforces_capacity = false;
    bool is_standby = false;

    bool operator==(const service_settings&) const = default;
};

struct request_limits {
    std::int64_t max_header_bytes = 16384;
    std::int64_t max_body_bytes = 262144;
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15000;

    bool operator==(const request_limits&) const = default;
};

// One version of the configuration: queues, services and limits. Later configurations have higher versions.
struct dispatch_config {
    std::uint64_t version = 0;
    std::vector<queue_settings> queues;
    std::vector<service_settings> services;
    request_limits limits;

    bool operator==(const dispatch_config&) const = default;
};

}  // namespace jacinthvane
