#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "connection/asio.hpp"
#include "connection/peer_message.hpp"
#include "request/attempt_state.hpp"
#include "request/capacity_service.hpp"

namespace jacinthvane {

// Functions that the locator needs to send requests to other entry processes.
struct locator_hooks {
    process_id self;
    // Returns the peer address of a live process, or an empty string.
    std::function<std::string(const process_id&)> find_address;
    // Returns the peer addresses of the live processes of a failure domain, without this one.
    std::function<std::vector<std::string>(const failure_domain_id&)> get_addresses;
    std::function<awaitable<absl::StatusOr<peer_reply>>(std::string, peer_request, time_point)> call_peer;
};

// Finds the owner of an upstream and sends it a request to query or stop a task there. Any process may send
// the request; it is forwarded at most twice: to the failure domain of the upstream, and there to the owner.
class task_locator {
public:
    task_locator(std::shared_ptr<capacity_service> capacity, locator_hooks hooks);

    // Errors: peer_unreachable, peer_lost, not_found (no live process reports that it owns the upstream).
    awaitable<absl::StatusOr<task_reply>> query(query_task_request request);
    awaitable<absl::StatusOr<task_reply>> stop(stop_task_request request);

private:
    awaitable<absl::StatusOr<task_reply>> forward_to_peers(upstream_id upstream, std::uint32_t hops,
                                                           peer_request request);
    awaitable<absl::StatusOr<task_reply>> stop_here(stop_task_request request);
    std::vector<std::string> get_targets(const upstream_id& upstream) const;
    bool is_owned_here(const upstream_id& upstream) const;

    std::shared_ptr<capacity_service> capacity_;
    const locator_hooks hooks_;
};

// Converts a fate into the reply to the owner of a job. An attempt that can no longer be running, and whose
// outcome is unknown, is lost.
task_reply make_task_reply(const upstream_id& upstream, const task_id& task, std::uint64_t generation,
                           const attempt_state& known_state, time_point now);

}  // namespace jacinthvane
