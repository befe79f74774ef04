#include "request/caller_handler.hpp"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::string_view jobs_prefix = "/v1/jobs/";
constexpr std::chrono::milliseconds query_timeout{5000};

std::string_view get_state_name(work_state state) {
    switch (state) {
        case work_state::queued:
            return "queued";
        case work_state::running:
        case work_state::checkpointed:
            return "running";
        case work_state::finished:
            return "finished";
        case work_state::cancelled:
            return "cancelled";
        case work_state::parked:
            return "parked";
        case work_state::failed:
            return "failed";
        case work_state::stopped:
            return "stopped";
        case work_state::lost:
        case work_state::unknown:
            return "unknown";
    }
    return "unknown";
}

nlohmann::json to_json(const job_reply& job) {
    nlohmann::json result = {{"job", job.job.get()},
                             {"state", std::string(get_state_name(job.state))},
                             {"generation", job.generation},
                             {"upstream", job.upstream.get()},
                             {"run", std::string(get_name(job.run))},
                             {"reason", job.reason},
                             {"evictions", job.evictions},
                             {"failures", job.failures}};
    if (job.answer) {
        result["answer"] = {{"status", job.answer->status},
                            {"content_type", job.answer->content_type},
                            {"body", job.answer->body}};
    }
    return result;
}

std::string dump(const nlohmann::json& json) {
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

http_response make_job_response(int status, const absl::StatusOr<job_reply>& job, const request_id& request) {
    if (!job.ok()) {
        return make_error_response(job.status(), request);
    }
    return make_json_response(status, dump(to_json(*job)), std::string(get_name(job->run)), request);
}

}  // namespace

caller_handler::caller_handler(process_id self, request_service& requests, job_service& jobs,
                               caller_limits limits, std::size_t max_in_progress,
                               std::function<readiness()> get_readiness)
    : self_(std::move(self)),
      requests_(requests),
      jobs_(jobs),
      limits_(limits),
      max_in_progress_(max_in_progress),
      get_readiness_(std::move(get_readiness)) {}

awaitable<http_response> caller_handler::handle(http_request message) {
    const auto request = make_request_id();
    if (++in_progress_ > max_in_progress_) {
        --in_progress_;
        co_return make_error_response(
            make_error(error_kind::overloaded, "the process has reached its limit of " +
                                                   std::to_string(max_in_progress_) +
                                                   " requests in progress"),
            request);
    }
    auto response = co_await route(message, request);
    --in_progress_;
    co_return response;
}

awaitable<http_response> caller_handler::route(const http_request& message, const request_id& request) {
    const auto path = message.get_path();
    if (path == "/healthz") {
        co_return make_json_response(200, "{\"alive\": true}\n", "not-run", request);
    }
    if (path == "/readyz") {
        co_return show_readiness(request);
    }
    if (get_readiness_() == readiness::not_ready) {
        co_return make_error_response(
            make_error(error_kind::not_ready, "the process has no fleet configuration or no upstreams yet"),
            request);
    }
    if (path == "/v1/requests" && message.method == "POST") {
        co_return co_await run_urgent(message, request);
    }
    if (path == "/v1/jobs" && message.method == "POST") {
        co_return co_await submit_job(message, request);
    }
    if (path == "/v1/jobs" && message.method == "GET") {
        co_return co_await list_jobs(message, request);
    }
    if (path.starts_with(jobs_prefix) && (message.method == "GET" || message.method == "DELETE")) {
        co_return co_await use_job(message, request);
    }
    co_return make_error_response(
        make_error(error_kind::not_found, "there is no " + message.method + " " + std::string(path)),
        request);
}

awaitable<http_response> caller_handler::run_urgent(const http_request& message, const request_id& request) {
    const auto now = std::chrono::steady_clock::now();
    auto parsed = parse_caller_request(message, task_class::urgent, request, now, limits_);
    if (!parsed.ok()) {
        co_return make_error_response(parsed.status(), request);
    }
    const auto result = co_await requests_.handle(std::move(*parsed));
    co_return result.ok() ? make_task_response(*result, request)
                          : make_error_response(result.status(), request);
}

awaitable<http_response> caller_handler::submit_job(const http_request& message, const request_id& request) {
    const auto now = std::chrono::steady_clock::now();
    auto parsed = parse_caller_request(message, task_class::batch, request, now, limits_);
    if (!parsed.ok()) {
        co_return make_error_response(parsed.status(), request);
    }
    const auto accepted = co_await jobs_.submit(std::move(*parsed));
    co_return make_job_response(202, accepted, request);
}

awaitable<http_response> caller_handler::use_job(const http_request& message, const request_id& request) {
    const job_id job(std::string(message.get_path().substr(jobs_prefix.size())));
    const team_id team(std::string(message.get_header("X-Team")));
    if (team.is_empty()) {
        co_return make_error_response(make_error(error_kind::bad_request, "header X-Team is missing"),
                                      request);
    }
    const auto deadline = std::chrono::steady_clock::now() + query_timeout;
    if (message.method == "GET") {
        const auto found = co_await jobs_.query(job, team, deadline);
        co_return make_job_response(200, found, request);
    }
    const auto cancelled = co_await jobs_.cancel(job, team, deadline);
    co_return make_job_response(200, cancelled, request);
}

awaitable<http_response> caller_handler::list_jobs(const http_request& message, const request_id& request) {
    const team_id team(std::string(message.get_header("X-Team")));
    if (team.is_empty()) {
        co_return make_error_response(make_error(error_kind::bad_request, "header X-Team is missing"),
                                      request);
    }
    const auto jobs = co_await jobs_.list(team, std::chrono::steady_clock::now() + query_timeout);
    if (!jobs.ok()) {
        co_return make_error_response(jobs.status(), request);
    }
    auto json = nlohmann::json::array();
    for (const auto& job : *jobs) {
        json.push_back(to_json(job));
    }
    co_return make_json_response(200, dump(json), "not-run", request);
}

http_response caller_handler::show_readiness(const request_id& request) const {
    switch (get_readiness_()) {
        case readiness::ready:
            return make_json_response(200, "{\"ready\": true}\n", "not-run", request);
        case readiness::not_ready:
            return make_json_response(503, "{\"ready\": false, \"reason\": \"not_ready\"}\n", "not-run",
                                      request);
        case readiness::shutting_down:
            break;
    }
    return make_json_response(503, "{\"ready\": false, \"reason\": \"shutting_down\"}\n", "not-run", request);
}

request_id caller_handler::make_request_id() {
    return request_id("r-" + self_.vm.get() + "-" + std::to_string(self_.incarnation) + "-" +
                      std::to_string(++next_request_));
}

}  // namespace jacinthvane
