#include "request/peer_queries.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/config_records.hpp"
#include "connection/json_reader.hpp"
#include "connection/json_response.hpp"
#include "process/error_kind.hpp"
#include "request/cell_member.hpp"

namespace jacinthvane {

namespace {

using nlohmann::json;

constexpr std::string_view job_path = "/v1/cell/jobs";
constexpr std::string_view status_path = "/v1/cell/queues";
constexpr std::string_view dump_path = "/v1/cell/state";
constexpr std::string_view config_path = "/v1/cell/config";
constexpr std::string_view process_path = "/v1/cell/process";
constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int not_owner_status = 421;
constexpr std::size_t max_text_bytes = 4096;
// About 30 years.
constexpr std::int64_t max_uptime_ms = 1'000'000'000'000;

std::optional<job_phase> parse_state(std::string_view name) {
    for (const auto state :
         {job_phase::queued, job_phase::running, job_phase::done, job_phase::failed, job_phase::cancelled}) {
        if (name == get_name(state)) {
            return state;
        }
    }
    return std::nullopt;
}

// Returns the body of a successful response. The sender and the content are named in errors.
absl::StatusOr<json> read_body(const http_response& response, const std::string& sender,
                               const std::string& content) {
    if (response.status != ok_status) {
        return make_error(error_kind::peer_unreachable,
                          sender + " responded with status " + std::to_string(response.status));
    }
    return parse_json_object(response.body, content);
}

json make_queue_json(const queue_status& status) {
    return {{"queue", status.queue}, {"pending", status.pending}};
}

std::uint64_t read_number(const http_request& request, std::string_view name) {
    const auto text = request.get_query(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

config_query read_config_query(const http_request& request) {
    const auto wait_ms = std::min<std::uint64_t>(read_number(request, "wait_ms"), INT32_MAX);
    return {read_number(request, "version"), read_number(request, "confirmation"),
            static_cast<std::int64_t>(wait_ms)};
}

http_response respond_as_owner(const http_request& request, const cell_owner& owner) {
    if (request.get_path() == job_path) {
        const auto state = owner.get_state(job_id(request.get_query("job")), request.get_query("queue"));
        if (!state) {
            return make_json_response(not_found_status, {{"message", "no such job"}});
        }
        return make_json_response(ok_status, {{"state", get_name(*state)}});
    }
    if (request.get_path() == status_path) {
        json queues = json::array();
        for (const auto& status : owner.get_queue_statuses()) {
            queues.push_back(make_queue_json(status));
        }
        return make_json_response(ok_status, {{"queues", std::move(queues)}});
    }
    if (request.get_path() == dump_path) {
        http_response response;
        response.headers["Content-Type"] = "text/plain";
        response.body = owner.dump_state();
        return response;
    }
    return make_json_response(not_found_status, {{"message", "there is no such query"}});
}

}  // namespace

http_request make_state_query(const std::string& queue, const job_id& id) {
    http_request request;
    request.target = std::string(job_path) + "?queue=" + queue + "&job=" + id.get();
    return request;
}

http_request make_status_query() {
    http_request request;
    request.target = std::string(status_path);
    return request;
}

http_request make_config_query(const config_query& query) {
    http_request request;
    request.target = std::string(config_path) + "?version=" + std::to_string(query.version) +
                     "&confirmation=" + std::to_string(query.confirmation) +
                     "&wait_ms=" + std::to_string(query.wait_ms);
    return request;
}

http_request make_process_query(std::uint64_t token) {
    http_request request;
    request.target = std::string(process_path) + "?token=" + std::to_string(token);
    return request;
}

absl::StatusOr<process_report> read_process_response(const http_response& response) {
    const auto body = read_body(response, "the process", "the report of a process");
    if (!body.ok()) {
        return body.status();
    }
    json_reader reader(*body, "the report of a process");
    process_report report;
    report.process = reader.read_text("process", max_text_bytes);
    report.uptime_ms = reader.read_integer("uptime_ms", 0, max_uptime_ms);
    report.acting_token = static_cast<std::uint64_t>(reader.read_integer("acting_token", 0, INT64_MAX));
    if (!reader.get_status().ok()) {
        return reader.get_status();
    }
    return report;
}

absl::StatusOr<config_report> read_config_response(const http_response& response) {
    if (response.status != ok_status) {
        return make_error(error_kind::peer_unreachable,
                          "the relay responded with status " + std::to_string(response.status));
    }
    return decode_config_report(response.body);
}

absl::StatusOr<job_phase> read_state_response(const http_response& response) {
    if (response.status == not_found_status) {
        return make_error(error_kind::not_found, "the owner does not have the job");
    }
    const auto body = read_body(response, "the owner", "the owner's response");
    if (!body.ok()) {
        return body.status();
    }
    json_reader reader(*body, "the owner's response");
    const auto state = parse_state(reader.read_text("state", max_text_bytes));
    if (!state) {
        return make_error(error_kind::bad_request, "the owner's response contains an unknown job state");
    }
    return *state;
}

absl::StatusOr<std::vector<queue_status>> read_status_response(const http_response& response) {
    const auto body = read_body(response, "the owner", "the owner's queues");
    if (!body.ok()) {
        return body.status();
    }
    json_reader reader(*body, "the owner's queues");
    std::vector<queue_status> statuses;
    for (const auto& object : reader.read_array("queues")) {
        json_reader row(object, "a queue of the owner");
        queue_status status;
        status.queue = row.read_text("queue", max_text_bytes);
        status.pending = static_cast<std::uint64_t>(row.read_integer("pending", 0, INT64_MAX));
        if (!row.get_status().ok()) {
            return row.get_status();
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

awaitable<http_response> respond_to_query(http_request request, std::shared_ptr<cell_member> member) {
    if (request.get_path() == config_path) {
        const auto query = read_config_query(request);
        const auto report = co_await member->get_configs().get_report(query);
        http_response response;
        response.headers["Content-Type"] = "application/octet-stream";
        response.body = encode_record(report);
        co_return response;
    }
    if (request.get_path() == process_path) {
        const auto report = member->report_process(read_number(request, "token"));
        co_return make_json_response(ok_status, {{"process", report.process},
                                                 {"uptime_ms", report.uptime_ms},
                                                 {"acting_token", report.acting_token}});
    }
    const auto owner = member->get_owner();
    if (owner == nullptr || !owner->is_loaded()) {
        co_return make_json_response(not_owner_status, {{"message", "this process does not own the cell"}});
    }
    auto response = respond_as_owner(request, *owner);
    owner->record_query(response.body.size());
    co_return response;
}

}  // namespace jacinthvane
