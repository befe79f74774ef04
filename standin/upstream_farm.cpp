#include "standin/upstream_farm.hpp"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <utility>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "connection/async_signal.hpp"
#include "process/error_kind.hpp"
#include "standin/run_server.hpp"

namespace jacinthvane {

namespace {

using nlohmann::json;

// How long a call without a response is held open; longer than the timeout of any caller.
constexpr std::chrono::minutes unanswered_hold{10};
constexpr std::size_t max_body_bytes = 64U << 20U;

http_response make_json_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

http_response make_error_response(const absl::Status& status) {
    const auto kind = get_error_kind(status);
    int http_status = get_error_mapping(kind).http_status;
    if (kind == error_kind::upstream_too_late) {
        http_status = 409;
    } else if (kind == error_kind::upstream_failed) {
        http_status = 500;
    }
    return make_json_response(http_status, json{{"kind", get_error_mapping(kind).name},
                                                {"message", std::string(status.message())},
                                                {"run", get_name(get_run_knowledge(status))}}
                                               .dump());
}

http_response set_task_header(http_response response, const task_id& task) {
    response.headers["X-Task"] = task.get();
    return response;
}

// Percent-decodes a part of a path with the decoder for query parameters.
std::string decode_path_part(std::string_view text) {
    http_request query_request;
    query_request.target = "/?part=" + std::string(text);
    return query_request.get_query("part");
}

awaitable<http_response> hold_unanswered() {
    co_await wait_until(std::chrono::steady_clock::now() + unanswered_hold);
    co_return make_json_response(500, "{}");
}

// Handles the requests to one upstream.
class upstream_handler {
public:
    upstream_handler(std::shared_ptr<memory_fleet> fleet, std::shared_ptr<memory_upstream> upstream)
        : fleet_(std::move(fleet)), upstream_(std::move(upstream)) {}

    awaitable<http_response> handle(http_request request) const {
        const std::string path(request.get_path());
        if (path == "/v1/tasks" && request.method == "GET") {
            co_return co_await list();
        }
        if (path == "/v1/tasks" && request.method == "POST") {
            co_return co_await start(std::move(request));
        }
        if (path == "/v1/usage" && request.method == "GET") {
            co_return co_await read_usage();
        }
        constexpr std::string_view prefix = "/v1/tasks/";
        const auto last = path.rfind('/');
        if (path.starts_with(prefix) && last >= prefix.size() && request.method == "POST") {
            const task_id task(
                decode_path_part(std::string_view(path).substr(prefix.size(), last - prefix.size())));
            auto response = co_await call_task(task, path.substr(last + 1), std::move(request.body));
            co_return set_task_header(std::move(response), task);
        }
        co_return make_json_response(404, "{}");
    }

private:
    awaitable<http_response> list() const {
        const auto reply = co_await upstream_->list();
        if (!reply) {
            co_return co_await hold_unanswered();
        }
        co_return reply->ok() ? make_json_response(200, encode_list(**reply))
                              : make_error_response(reply->status());
    }

    awaitable<http_response> start(http_request request) const {
        auto call = decode_start(request.body);
        if (!call.ok()) {
            co_return make_error_response(call.status());
        }
        const auto task = call->task;
        std::function<void(const task_id&)> advance_to_now = [fleet = fleet_](const task_id& id) {
            fleet->advance_to_now(id);
        };
        auto reply = co_await upstream_->start(*std::move(call), std::move(advance_to_now));
        if (!reply) {
            co_return co_await hold_unanswered();
        }
        if (!reply->ok()) {
            co_return set_task_header(make_error_response(reply->status()), task);
        }
        if (std::holds_alternative<start_accepted>(**reply)) {
            co_return set_task_header(make_json_response(202, "{}"), task);
        }
        auto& result = std::get<task_response>(**reply);
        auto response = make_json_response(result.status, std::move(result.body));
        response.headers["Content-Type"] = result.content_type;
        co_return set_task_header(std::move(response), task);
    }

    awaitable<http_response> read_usage() const {
        const auto reply = co_await upstream_->get_usage();
        if (!reply) {
            co_return co_await hold_unanswered();
        }
        co_return reply->ok() ? make_json_response(200, encode_usage(**reply))
                              : make_error_response(reply->status());
    }

    awaitable<http_response> call_task(task_id task, std::string action, std::string body) const {
        const auto call = decode_task_call(body);
        if (!call.ok()) {
            co_return make_error_response(call.status());
        }
        task_call_response result{.task = task, .state = std::nullopt, .checkpoint = std::nullopt};
        absl::Status status;
        bool has_reply = true;
        if (action == "checkpoint") {
            auto reply = co_await upstream_->checkpoint(task, call->generation);
            has_reply = reply.has_value();
            if (has_reply && reply->ok()) {
                result.checkpoint = **reply;
                result.state = task_state::checkpointed;
            }
            status = has_reply ? reply->status() : status;
        } else if (action == "stop") {
            auto reply = co_await upstream_->stop(task, call->generation);
            has_reply = reply.has_value();
            if (has_reply && reply->ok()) {
                result.state = (*reply)->final_state;
                result.checkpoint = (*reply)->checkpoint;
            }
            status = has_reply ? reply->status() : status;
        } else if (action == "renew" || action == "throttle") {
            auto pending_call = action == "renew"
                                    ? upstream_->renew(task, call->generation, call->lease_deadline_ms)
                                    : upstream_->throttle(task, call->generation, call->percent);
            auto reply = co_await std::move(pending_call);
            has_reply = reply.has_value();
            if (has_reply && reply->ok()) {
                result.state = **reply;
            }
            status = has_reply ? reply->status() : status;
        } else {
            status = make_error(error_kind::not_found, "there is no action \"" + action + "\"");
        }
        if (!has_reply) {
            co_return co_await hold_unanswered();
        }
        co_return status.ok() ? make_json_response(200, encode_task_call_response(result))
                              : make_error_response(status);
    }

    std::shared_ptr<memory_fleet> fleet_;
    std::shared_ptr<memory_upstream> upstream_;
};

using fault_change = void (*)(upstream_faults&, std::int64_t);

const std::map<std::string, fault_change>& get_fault_changes() {
    static const std::map<std::string, fault_change> changes{
        {"fail", [](upstream_faults& faults, std::int64_t) { faults.fails_every_start = true; }},
        {"heal", [](upstream_faults& faults, std::int64_t) { faults.fails_every_start = false; }},
        {"leave", [](upstream_faults& faults, std::int64_t) { faults.is_leaving = true; }},
        {"stay", [](upstream_faults& faults, std::int64_t) { faults.is_leaving = false; }},
        {"pause", [](upstream_faults& faults, std::int64_t) { faults.is_paused = true; }},
        {"resume", [](upstream_faults& faults, std::int64_t) { faults.is_paused = false; }},
        {"die", [](upstream_faults& faults, std::int64_t) { faults.is_dead = true; }},
        {"revive", [](upstream_faults& faults, std::int64_t) { faults.is_dead = false; }},
        {"lose_answers",
         [](upstream_faults& faults, std::int64_t count) { faults.responses_to_lose = count; }},
        {"ignore_calls", [](upstream_faults& faults, std::int64_t count) { faults.calls_to_ignore = count; }},
    };
    return changes;
}

http_response set_faults(const memory_fleet& fleet, const http_request& request) {
    const auto change = get_fault_changes().find(request.get_query("fault"));
    const auto name = request.get_query("upstream");
    const auto count_text = request.get_query("count");
    const auto count = count_text.empty() ? 1 : std::atoll(count_text.c_str());
    if (change == get_fault_changes().end() || count < 0) {
        return make_error_response(
            make_error(error_kind::bad_request, "the fault \"" + request.get_query("fault") +
                                                    "\" is unknown, or the count " + std::to_string(count) +
                                                    " is negative"));
    }
    auto targets = fleet.get_all();
    if (name != "*") {
        const auto found = fleet.find(upstream_id(name));
        if (!found) {
            return make_error_response(
                make_error(error_kind::not_found, "there is no upstream \"" + name + "\""));
        }
        targets = {found};
    }
    for (const auto& target : targets) {
        auto faults = target->get_faults();
        change->second(faults, count);
        target->set_faults(faults);
    }
    return make_json_response(200, json{{"upstreams", targets.size()}}.dump());
}

http_response set_slowdowns(const memory_fleet& fleet, const http_request& request) {
    const auto parsed = json::parse(request.body, nullptr, false);
    if (!parsed.is_array()) {
        return make_error_response(make_error(error_kind::bad_request, "the slowdowns are not a JSON array"));
    }
    auto table = std::make_shared<slowdown_table>();
    for (const auto& entry : parsed) {
        const bool is_entry = entry.is_object() && entry.contains("kind") && entry["kind"].is_string() &&
                              entry.contains("beside") && entry["beside"].is_string() &&
                              entry.contains("slowdown_permille") &&
                              entry["slowdown_permille"].is_number_integer() &&
                              entry["slowdown_permille"].get<std::int64_t>() > 0;
        if (!is_entry) {
            return make_error_response(make_error(
                error_kind::bad_request, "a slowdown needs kind, beside and a positive slowdown_permille"));
        }
        table->insert_or_assign(
            {task_kind(entry["kind"].get<std::string>()), task_kind(entry["beside"].get<std::string>())},
            entry["slowdown_permille"].get<std::int64_t>());
    }
    for (const auto& upstream : fleet.get_all()) {
        upstream->set_slowdowns(table);
    }
    return make_json_response(200, json{{"pairs", table->size()}}.dump());
}

json encode_size(const resource_vector& size) {
    return {{"processors_milli", size.get_processors_milli()},
            {"memory_mb", size.get_memory_mb()},
            {"accelerators", size.get_accelerators()},
            {"slots", size.get_slots()}};
}

http_response read_ledger(const memory_fleet& fleet) {
    const auto log = fleet.read_log();
    auto starts = json::array();
    for (const auto& start : log.starts) {
        starts.push_back({{"upstream", start.upstream.get()},
                          {"task", start.task.get()},
                          {"generation", start.generation},
                          {"key", start.key},
                          {"at_ms", start.at_ms}});
    }
    auto upstreams = json::object();
    for (const auto& [id, upstream] : log.upstreams) {
        upstreams[id.get()] = {{"size", encode_size(upstream.size)},
                               {"most_committed", encode_size(upstream.most_committed)},
                               {"overcommitted_starts", upstream.overcommitted_starts}};
    }
    auto concurrent = json::array();
    for (const auto& task : log.concurrent_tasks) {
        concurrent.push_back(task.get());
    }
    return make_json_response(200, json{{"starts", std::move(starts)},
                                        {"upstreams", std::move(upstreams)},
                                        {"overcommitted_starts", log.overcommitted_starts},
                                        {"concurrent_tasks", std::move(concurrent)}}
                                       .dump(-1, ' ', false, json::error_handler_t::replace));
}

}  // namespace

upstream_farm::upstream_farm(asio::io_context& context, const farm_settings& settings)
    : context_(context),
      settings_(settings),
      fleet_(std::make_shared<memory_fleet>()),
      state_(std::make_shared<handler_state>()) {
    state_->fleet = fleet_;
}

absl::Status upstream_farm::listen() {
    http_limits limits;
    limits.max_body_bytes = max_body_bytes;
    const auto get_address = [&](std::size_t offset) {
        const auto port = settings_.first_port == 0 ? 0 : settings_.first_port + offset;
        return settings_.ip + ":" + std::to_string(port);
    };
    for (std::size_t n = 0; n < settings_.upstreams; ++n) {
        const upstream_id id(settings_.name_prefix + std::to_string(n));
        // Each upstream has a different clock offset, as VMs do.
        fleet_->add({.upstream = id,
                     .size = settings_.size,
                     .clock_offset_ms = static_cast<std::int64_t>(n + 1) * 1000003,
                     .usage_lag = std::chrono::milliseconds(settings_.usage_lag_ms)});
        const auto handler = std::make_shared<upstream_handler>(fleet_, fleet_->find(id));
        auto server = std::make_unique<http_server>(context_, limits, [handler](http_request request) {
            return handler->handle(std::move(request));
        });
        auto status = server->listen(get_address(n + 1));
        if (!status.ok()) {
            return status;
        }
        state_->vms.push_back(
            {.vm = vm_id(id.get()),
             .failure_domain = failure_domain_id(settings_.failure_domain),
             .rack = rack_id(settings_.rack_prefix + std::to_string(n / settings_.upstreams_per_rack)),
             .role = vm_role::upstream,
             .is_leaving = false,
             .address = server->get_address(),
             .size = settings_.size,
             .connections = settings_.connections});
        servers_.push_back(std::move(server));
    }
    admin_server_ = std::make_unique<http_server>(
        context_, limits, [state = state_](http_request request) -> awaitable<http_response> {
            const auto path = request.get_path();
            if (path == "/admin/faults" && request.method == "POST") {
                co_return set_faults(*state->fleet, request);
            }
            if (path == "/admin/slowdowns" && request.method == "POST") {
                co_return set_slowdowns(*state->fleet, request);
            }
            if (path == "/admin/ledger" && request.method == "GET") {
                co_return read_ledger(*state->fleet);
            }
            if (path == "/admin/vms" && request.method == "GET") {
                co_return make_json_response(200, encode_vm_list(state->vms));
            }
            co_return make_json_response(404, "{}");
        });
    return admin_server_->listen(get_address(0));
}

std::vector<vm_record> upstream_farm::get_vms() const {
    return state_->vms;
}

int run_upstream_command(const std::vector<std::string>& arguments) {
    cxxopts::Options options("upstream", "stand-in for upstreams");
    options.add_options()("ip", "IP address", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "admin port; the upstreams take the ports after it",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "count", "number of upstreams", cxxopts::value<std::uint16_t>()->default_value("1"))(
        "prefix", "start of the upstreams' names", cxxopts::value<std::string>()->default_value("upstream-"))(
        "failure-domain", "name for the VM list", cxxopts::value<std::string>()->default_value("domain-a"))(
        "per-rack", "upstreams in a rack", cxxopts::value<std::uint16_t>()->default_value("11"))(
        "processors", "processors of each", cxxopts::value<std::uint32_t>()->default_value("16"))(
        "memory-mb", "memory of each in MB", cxxopts::value<std::uint32_t>()->default_value("62000"))(
        "accelerators", "accelerators of each", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "slots", "slots of each", cxxopts::value<std::uint32_t>()->default_value("8"))(
        "usage-lag-ms", "lag of usage reports in ms", cxxopts::value<std::uint32_t>()->default_value("3000"))(
        "threads", "worker threads", cxxopts::value<unsigned>()->default_value("2"));
    std::vector<const char*> pointers{"upstream"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    farm_settings settings;
    unsigned threads = 0;
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        settings.ip = parsed["ip"].as<std::string>();
        settings.first_port = parsed["port"].as<std::uint16_t>();
        settings.upstreams = std::max<std::size_t>(1, parsed["count"].as<std::uint16_t>());
        settings.name_prefix = parsed["prefix"].as<std::string>();
        settings.failure_domain = parsed["failure-domain"].as<std::string>();
        settings.upstreams_per_rack = std::max<std::size_t>(1, parsed["per-rack"].as<std::uint16_t>());
        settings.size = {std::int64_t{1000} * parsed["processors"].as<std::uint32_t>(),
                         parsed["memory-mb"].as<std::uint32_t>(), parsed["accelerators"].as<std::uint32_t>(),
                         parsed["slots"].as<std::uint32_t>()};
        settings.usage_lag_ms = parsed["usage-lag-ms"].as<std::uint32_t>();
        threads = std::clamp(parsed["threads"].as<unsigned>(), 1U, 64U);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << options.help() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    asio::io_context context;
    upstream_farm farm(context, settings);
    const auto listening = farm.listen();
    if (!listening.ok()) {
        std::cerr << listening.message() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    std::cout << "event=listening role=upstream admin=" << farm.get_admin_address()
              << " upstreams=" << settings.upstreams << std::endl;
    run_until_signal(context, threads);
    return 0;
}

}  // namespace jacinthvane
