#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "process/task_ref.hpp"

namespace jacinthvane {

// Starts a run. The order is idempotent: repeating it for the same run has no further effect.
struct start_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    // End of the lease for all runs on the upstream, on the upstream's clock.
    std::int64_t lease_until_clock_ms = 0;
    // Incarnation that the order was decided for. It is not sent: another one may carry out the order.
    std::int64_t boot_unix_ms = 0;

    bool operator==(const start_order&) const = default;
};

// Stops a run. The upstream then refuses a start order for the same run that arrives later.
struct stop_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;
    // As in start_order.
    std::int64_t boot_unix_ms = 0;

    bool operator==(const stop_order&) const = default;
};

// Limits the CPU of a run to a percentage of full speed.
struct cpu_limit_order {
    upstream_id upstream;
    task_ref task;
    std::uint64_t run = 0;
    std::int32_t percent = 100;

    bool operator==(const cpu_limit_order&) const = default;
};

using upstream_order = std::variant<start_order, stop_order, cpu_limit_order>;

// Estimates the bytes that an order takes on the link, with headers.
std::size_t estimate_bytes(const start_order& order);

// The result of an order to an upstream.
enum class order_result {
    accepted,
    // The upstream has seen a higher fencing token.
    refused_token,
    // A run with the same or a higher number was stopped or has ended there, or the run never was there.
    refused_outdated,
    // The lease in the order had expired.
    refused_late,
    refused_room,
    refused_ticket,
    refused_invalid,
    // The upstream is unhealthy or over its request rate and did not process the order.
    refused_busy,
    // The address now belongs to another incarnation.
    refused_other_incarnation,
    // The connection was refused: nothing was sent.
    not_sent,
    // The order may have taken effect, or may do so later.
    unknown,
    // This process was too slow to send the order, or to read the response to a poll, so the outcome says
    // nothing about the upstream.
    delayed,
    // The order was not sent, since it would not be decided any more.
    withdrawn,
};

std::string_view get_name(order_result result);

// Whether the upstream responded, whatever its response.
bool is_answer(order_result result);
// Whether the upstream may have received the order.
bool may_have_been_sent(order_result result);

// Whether an upstream may have renewed its lease with a start order that has this result. It also does so
// with one that it refuses for lack of room or as outdated; the same is assumed of a ticket that is not
// valid.
bool may_have_renewed_lease(order_result result);

struct order_response {
    order_result result = order_result::unknown;
    // Clock of the upstream at its response; 0 if the response does not contain it.
    std::int64_t clock_ms = 0;
    // Whether a missing response says something about the upstream. It does not while this process or its
    // link is slow.
    bool is_conclusive = true;

    bool operator==(const order_response&) const = default;
};

// Requests the running and ended runs of an upstream, renews its lease and acknowledges ends of runs.
struct poll_order {
    upstream_id upstream;
    std::uint64_t acknowledged_end = 0;
    // New end of the lease, on the upstream's clock; 0 does not renew it.
    std::int64_t lease_until_clock_ms = 0;
    // How long the upstream may wait for the end of a run before it responds.
    std::int64_t wait_ms = 0;
    // As in start_order.
    std::int64_t boot_unix_ms = 0;
    // It is sent only on a connection on which the upstream has responded before, so no later incarnation
    // receives it.
    bool needs_same_connection = false;

    bool operator==(const poll_order&) const = default;
};

// Estimates the bytes that a poll takes on the link, with headers.
std::size_t estimate_bytes(const poll_order& order);

}  // namespace jacinthvane
