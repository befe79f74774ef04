#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/http_client.hpp"
#include "connection/memory_fleet.hpp"
#include "process/clock.hpp"
#include "process/task_types.hpp"
#include "process/upstream_types.hpp"

namespace jacinthvane {

// The numbers of connections that this process may open to one upstream. Only the owner of an upstream and
// the holder of a reservation connect to it, so each of the two may use half of the upstream's connections.
struct upstream_connections {
    std::size_t for_starts = 28;
    // Reserved for lists, renewals and stops, which must not be blocked while all other connections wait for
    // responses to start orders.
    std::size_t for_control = 4;

    bool operator==(const upstream_connections&) const = default;
};

// Identifies one run of a task on an upstream.
struct task_attempt {
    task_id task;
    std::uint64_t generation = 0;

    bool operator==(const task_attempt&) const = default;
};

// A client of the upstreams' HTTP interface.
class http_upstream {
public:
    http_upstream(asio::io_context& context, const upstream_connections& connections);

    awaitable<absl::StatusOr<upstream_list>> list(upstream_record upstream, time_point deadline);
    awaitable<absl::StatusOr<start_result>> start(upstream_record upstream, start_call call,
                                                  time_point deadline, time_point write_before);
    awaitable<absl::StatusOr<task_state>> renew(upstream_record upstream, task_attempt attempt,
                                                std::int64_t lease_deadline_ms, time_point deadline);
    awaitable<absl::StatusOr<std::string>> checkpoint(upstream_record upstream, task_attempt attempt,
                                                      time_point deadline);
    awaitable<absl::StatusOr<task_state>> throttle(upstream_record upstream, task_attempt attempt,
                                                   std::int64_t percent, time_point deadline);
    awaitable<absl::StatusOr<stop_result>> stop(upstream_record upstream, task_attempt attempt,
                                                time_point deadline);
    awaitable<absl::StatusOr<usage_response>> get_usage(upstream_record upstream, time_point deadline);

private:
    http_client start_client_;
    http_client control_client_;
};

// The in-memory counterpart of http_upstream: calls the upstreams of a memory_fleet with the same deadlines.
class memory_transport {
public:
    memory_transport(asio::io_context& context, std::shared_ptr<memory_fleet> fleet)
        : context_(context), fleet_(std::move(fleet)) {}

    awaitable<absl::StatusOr<upstream_list>> list(upstream_record upstream, time_point deadline);
    awaitable<absl::StatusOr<start_result>> start(upstream_record upstream, start_call call,
                                                  time_point deadline, time_point write_before);
    awaitable<absl::StatusOr<task_state>> renew(upstream_record upstream, task_attempt attempt,
                                                std::int64_t lease_deadline_ms, time_point deadline);
    awaitable<absl::StatusOr<std::string>> checkpoint(upstream_record upstream, task_attempt attempt,
                                                      time_point deadline);
    awaitable<absl::StatusOr<task_state>> throttle(upstream_record upstream, task_attempt attempt,
                                                   std::int64_t percent, time_point deadline);
    awaitable<absl::StatusOr<stop_result>> stop(upstream_record upstream, task_attempt attempt,
                                                time_point deadline);
    awaitable<absl::StatusOr<usage_response>> get_usage(upstream_record upstream, time_point deadline);

private:
    asio::io_context& context_;
    std::shared_ptr<memory_fleet> fleet_;
};

// The interface of the upstreams for the rest of the process. Errors of all calls: upstream_unreachable (no
// effect), upstream_lost (may have had an effect), not_found (the upstream does not have the task),
// bad_request. A start order can also fail with upstream_too_late or upstream_leaving (in both cases the task
// did not run), or with upstream_failed.
class upstream_client {
public:
    using backend = std::variant<std::shared_ptr<http_upstream>, std::shared_ptr<memory_transport>>;

    explicit upstream_client(backend transport) : backend_(std::move(transport)) {}

    awaitable<absl::StatusOr<upstream_list>> list(upstream_record upstream, time_point deadline);
    // If the call is waiting, the response arrives when the task has ended. Nothing is sent at write_before
    // or later.
    awaitable<absl::StatusOr<start_result>> start(upstream_record upstream, start_call call,
                                                  time_point deadline, time_point write_before);
    awaitable<absl::StatusOr<task_state>> renew(upstream_record upstream, task_attempt attempt,
                                                std::int64_t lease_deadline_ms, time_point deadline);
    awaitable<absl::StatusOr<std::string>> checkpoint(upstream_record upstream, task_attempt attempt,
                                                      time_point deadline);
    awaitable<absl::StatusOr<task_state>> throttle(upstream_record upstream, task_attempt attempt,
                                                   std::int64_t percent, time_point deadline);
    awaitable<absl::StatusOr<stop_result>> stop(upstream_record upstream, task_attempt attempt,
                                                time_point deadline);
    awaitable<absl::StatusOr<usage_response>> get_usage(upstream_record upstream, time_point deadline);

private:
    backend backend_;
};

}  // namespace jacinthvane
