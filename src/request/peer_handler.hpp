#pragma once

#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "connection/asio.hpp"
#include "connection/peer_message.hpp"
#include "process/ordered_mutex.hpp"
#include "request/capacity_service.hpp"
#include "request/job_service.hpp"
#include "request/request_service.hpp"
#include "request/task_locator.hpp"

namespace jacinthvane {

// Serves the requests of other entry processes.
class peer_handler {
public:
    // Handlers of requests that no service handles.
    struct hooks {
        std::function<peer_reply(const fetch_config_request&)> fetch_config;
        std::function<void(const announce_leaving_request&)> record_leaving;
    };

    peer_handler(asio::io_context& context, request_service& requests, job_service& jobs,
                 task_locator& locator, std::shared_ptr<capacity_service> capacity, hooks given);

    awaitable<peer_reply> handle(peer_request request);

private:
    struct visitor;
    using attempt = std::pair<task_id, std::uint64_t>;

    // Releases reserved capacity unless the start order arrived in time.
    awaitable<void> expire_reservation(task_start start, upstream_id upstream);
    // Returns false if no reservation is open, because its capacity may already belong to another task.
    bool take_reservation(const task_start& start);

    asio::io_context& context_;
    request_service& requests_;
    job_service& jobs_;
    task_locator& locator_;
    std::shared_ptr<capacity_service> capacity_;
    const hooks hooks_;
    ordered_mutex mutex_{lock_rank::pending_responses};
    std::set<attempt> reservations_;
};

}  // namespace jacinthvane
