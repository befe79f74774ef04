#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include "connection/caller_codec.hpp"
#include "connection/http_message.hpp"
#include "process/ids.hpp"
#include "request/job_service.hpp"
#include "request/request_service.hpp"

namespace jacinthvane {

// Whether a process accepts requests from clients, and if not, why.
enum class readiness { ready, not_ready, shutting_down };

// The HTTP front end for clients. It only converts messages; the services make all decisions.
class caller_handler {
public:
    caller_handler(process_id self, request_service& requests, job_service& jobs, caller_limits limits,
                   std::size_t max_in_progress, std::function<readiness()> get_readiness);

    awaitable<http_response> handle(http_request message);

private:
    awaitable<http_response> route(const http_request& message, const request_id& request);
    awaitable<http_response> run_urgent(const http_request& message, const request_id& request);
    awaitable<http_response> submit_job(const http_request& message, const request_id& request);
    awaitable<http_response> use_job(const http_request& message, const request_id& request);
    awaitable<http_response> list_jobs(const http_request& message, const request_id& request);
    http_response show_readiness(const request_id& request) const;
    request_id make_request_id();

    const process_id self_;
    request_service& requests_;
    job_service& jobs_;
    const caller_limits limits_;
    const std::size_t max_in_progress_;
    const std::function<readiness()> get_readiness_;
    std::atomic<std::uint64_t> next_request_ = 0;
    std::atomic<std::size_t> in_progress_ = 0;
};

}  // namespace jacinthvane
