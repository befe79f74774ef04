#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ledger.hpp"
#include "process/tenure.hpp"
#include "process/upstream_types.hpp"
#include "request/attempt_state.hpp"
#include "version/ownership.hpp"

namespace jacinthvane {

struct capacity_settings {
    process_id process;
    location place;
    tenure_rules term;
    // A third of the lease time, so that two renewals can fail before the term expires.
    std::chrono::milliseconds renew_interval{3000};
    std::chrono::milliseconds ownership_interval{1000};
    // How long one watch call on the ownership value waits for a change.
    std::chrono::milliseconds watch_time{15000};
    std::chrono::milliseconds vm_list_interval{1000};
    std::chrono::milliseconds list_interval{1000};
    std::chrono::milliseconds usage_interval{5000};
    // How long after its decision a start order may still reach the upstream.
    std::chrono::milliseconds start_window{2000};
    std::chrono::milliseconds clock_error{200};
    std::chrono::milliseconds task_lease{30000};
    std::chrono::milliseconds task_renew_interval{10000};
    std::chrono::milliseconds store_timeout{2000};
    std::chrono::milliseconds call_timeout{1000};
    // Spreads the first store calls when all processes of a failure domain start at the same time.
    std::chrono::milliseconds startup_jitter{5000};
    std::size_t max_concurrent_lists = 64;
    std::size_t max_concurrent_renewals = 64;
    std::size_t max_concurrent_stops = 200;
    std::uint64_t random_seed = 1;
};

// A usage report with its upstream and its time on this machine's clock.
struct usage_report {
    upstream_id upstream;
    usage_sample sample;
    time_point at;

    bool operator==(const usage_report&) const = default;
};

// Called from threads of the pool; they must not block.
struct capacity_callbacks {
    std::function<void(const task_end&)> on_task_end;
    std::function<void(const usage_report&)> on_usage;
    std::function<void(const upstream_id&)> on_leaving;
    // Called when an upstream may have capacity available again.
    std::function<void()> on_room;
};

struct capacity_counters {
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unconfirmed = 0;
    std::uint64_t lists = 0;
    std::uint64_t list_failures = 0;
    std::uint64_t renewals = 0;
    std::uint64_t renewal_failures = 0;
    std::uint64_t adopted = 0;
    std::uint64_t vanished = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t slices_claimed = 0;
    std::uint64_t slices_handed_over = 0;
    std::uint64_t slices_lost = 0;
    std::uint64_t terms_lapsed = 0;

    bool operator==(const capacity_counters&) const = default;
};

struct upstream_state {
    upstream_id upstream;
    std::size_t slice = 0;
    bool is_open = false;
    bool is_leaving = false;
    bool is_responsive = false;
    resource_vector size;
    resource_vector committed;
    std::size_t tasks = 0;

    bool operator==(const upstream_state&) const = default;
};

struct slice_state {
    std::size_t slice = 0;
    std::uint64_t epoch = 0;
    bool is_handing_over = false;
    std::int64_t reserved_permille = 0;

    bool operator==(const slice_state&) const = default;
};

// The capacity section of the process's state dump.
struct capacity_state {
    process_id process;
    bool has_lease = false;
    bool is_term_valid = false;
    std::int64_t share_permille = 0;
    bool is_replaced = false;
    std::uint64_t ownership_revision = 0;
    std::vector<slice_state> slices;
    std::vector<upstream_state> upstreams;
    capacity_counters counters;

    bool operator==(const capacity_state&) const = default;
};

}  // namespace jacinthvane
