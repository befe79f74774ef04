#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "process/task_ref.hpp"

namespace jacinthvane {

// Starts a run. Repeating it with the same run is harmless.
struct start_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    // End of the lease of everything on the upstream, on the upstream's clock.
    std::int64_t lease_until_clock_ms = 0;

    bool operator==(const start_order&) const = default;
};

// Stops a run, and makes a start of it that arrives later be refused.
struct stop_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;

    bool operator==(const stop_order&) const = default;
};

// Lets a run work at a share of its speed.
struct cpu_limit_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;
    std::int32_t percent = 100;

    bool operator==(const cpu_limit_order&) const = default;
};

using upstream_order = std::variant<start_order, stop_order, cpu_limit_order>;

// What an upstream answered to an order.
enum class order_result {
    accepted,
    // A higher token was seen.
    refused_token,
    // A run at least as high was stopped or ended there, or never was there.
    refused_outdated,
    // The lease in the order had ended.
    refused_late,
    refused_room,
    refused_ticket,
    refused_invalid,
    // The upstream is unhealthy and did nothing.
    refused_busy,
    // The address belongs to another life now.
    refused_other_life,
    // The connection was refused: nothing was sent.
    not_sent,
    // It may have been carried out, or may be later.
    unknown,
};

std::string_view get_name(order_result result);

struct order_response {
    order_result result = order_result::unknown;
    // Clock of the upstream when it answered, 0 if it did not tell.
    std::int64_t clock_ms = 0;

    bool operator==(const order_response&) const = default;
};

// Asks an upstream for its lists, renews its lease and acknowledges ends.
struct poll_order {
    upstream_id upstream;
    std::uint64_t acknowledged_end = 0;
    // 0 renews nothing.
    std::int64_t lease_until_clock_ms = 0;
    // How long the upstream may wait for an end before it answers.
    std::int64_t wait_ms = 0;

    bool operator==(const poll_order&) const = default;
};

}  // namespace jacinthvane
