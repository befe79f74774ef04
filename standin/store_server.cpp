#include "standin/store_server.hpp"

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "connection/store_http_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using nlohmann::json;

constexpr std::string_view value_prefix = "/v1/kv/";
constexpr std::string_view lease_prefix = "/v1/leases";
constexpr std::uint64_t max_wait_ms = 600'000;
// Requests carry no deadline of their own, but the calls to the store need one.
constexpr std::chrono::hours default_call_timeout{24};

time_point make_default_deadline() {
    return std::chrono::steady_clock::now() + default_call_timeout;
}

http_response make_response(int status, std::string body = {}) {
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

http_response make_json_response(const json& body) {
    auto response = make_response(200, body.dump() + "\n");
    response.headers["Content-Type"] = "application/json";
    return response;
}

http_response make_failure(const absl::Status& status) {
    switch (get_error_kind(status)) {
        case error_kind::not_found:
            return make_response(404);
        case error_kind::version_conflict:
            return make_response(412);
        case error_kind::overloaded:
            return make_response(429);
        case error_kind::store_outcome_unknown:
            return make_response(dropped_response_status);
        default:
            return make_response(503, std::string(status.message()) + "\n");
    }
}

http_response make_value_response(stored_value value) {
    auto response = make_response(200, std::move(value.bytes));
    response.headers["X-Revision"] = std::to_string(value.revision);
    response.headers["Content-Type"] = "application/octet-stream";
    return response;
}

awaitable<http_response> watch_value(std::shared_ptr<faulty_store> store, std::string path,
                                     http_request request) {
    const auto seen = parse_number(request.get_query("watch"));
    const auto wait_ms = parse_number(request.get_query("wait_ms"));
    if (!seen || !wait_ms || *wait_ms > max_wait_ms) {
        co_return make_response(400, "watch and wait_ms must be numbers, and wait_ms at most " +
                                         std::to_string(max_wait_ms) + "\n");
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait_ms);
    auto value = co_await store->watch(path, *seen, deadline);
    if (!value.ok()) {
        co_return make_failure(value.status());
    }
    if (value->revision == 0) {
        co_return make_response(404);
    }
    co_return make_value_response(std::move(*value));
}

awaitable<http_response> serve_value(std::shared_ptr<faulty_store> store, http_request request) {
    const auto path = decode_store_path(request.get_path().substr(value_prefix.size()));
    if (!path || path->empty()) {
        co_return make_response(400, "the path is malformed\n");
    }
    const auto deadline = make_default_deadline();
    if (request.method == "GET" && !request.get_query("watch").empty()) {
        co_return co_await watch_value(store, *path, request);
    }
    if (request.method == "GET") {
        auto value = co_await store->get(*path, deadline);
        co_return value.ok() ? make_value_response(std::move(*value)) : make_failure(value.status());
    }
    const auto expected = parse_number(request.get_header("If-Match"));
    if (!expected) {
        co_return make_response(400, "If-Match must be a revision\n");
    }
    if (request.method == "DELETE") {
        const auto removed = co_await store->remove(*path, *expected, deadline);
        co_return removed.ok() ? make_response(204) : make_failure(removed);
    }
    if (request.method != "PUT") {
        co_return make_response(405);
    }
    const auto lease_text = request.get_query("lease");
    const auto lease_id = lease_text.empty() ? std::uint64_t{0} : parse_number(lease_text).value_or(0);
    if (!lease_text.empty() && lease_id == 0) {
        co_return make_response(400, "the query parameter lease must be a positive number\n");
    }
    const store_lease lease{lease_id};
    const auto written =
        co_await store->compare_and_swap(*path, *expected, std::move(request.body), lease, deadline);
    if (!written.ok()) {
        co_return make_failure(written.status());
    }
    auto response = make_response(200);
    response.headers["X-Revision"] = std::to_string(*written);
    co_return response;
}

awaitable<http_response> serve_lease(std::shared_ptr<faulty_store> store, http_request request) {
    const auto deadline = make_default_deadline();
    const auto rest = request.get_path().substr(lease_prefix.size());
    if (request.method == "POST" && rest.empty()) {
        const auto time_to_live = parse_number(request.get_query("ttl_ms"));
        if (!time_to_live || *time_to_live > max_wait_ms) {
            co_return make_response(
                400, "ttl_ms must be a number of at most " + std::to_string(max_wait_ms) + "\n");
        }
        const std::chrono::milliseconds span(*time_to_live);
        const auto lease = co_await store->grant_lease(span, deadline);
        co_return lease.ok() ? make_json_response(json{{"lease", lease->id}}) : make_failure(lease.status());
    }
    const auto id = rest.empty() ? std::nullopt : parse_number(rest.substr(1));
    if (!id) {
        co_return make_response(400, "the lease in the path must be a number\n");
    }
    const store_lease lease{*id};
    if (request.method == "PUT") {
        const auto renewed = co_await store->renew_lease(lease, deadline);
        co_return renewed.ok() ? make_response(204) : make_failure(renewed);
    }
    if (request.method == "DELETE") {
        const auto released = co_await store->release_lease(lease, deadline);
        co_return released.ok() ? make_response(204) : make_failure(released);
    }
    co_return make_response(405);
}

json encode_faults(const store_faults& faults) {
    return {{"lose_answers", faults.lose_responses},
            {"lose_requests", faults.lose_requests},
            {"defer_writes", faults.defer_writes},
            {"delay_ms", faults.delay.count()},
            {"down", faults.is_down},
            {"max_writes_per_second", faults.max_writes_per_second},
            {"max_reads_per_second", faults.max_reads_per_second}};
}

json encode_ledger(const store_ledger& ledger) {
    json calls = json::object();
    for (std::size_t i = 0; i < store_call_kinds; ++i) {
        calls[std::string(get_name(static_cast<store_call>(i)))] = ledger.calls.sent.at(i);
    }
    return {{"calls", calls},
            {"effective_writes", ledger.effective_writes},
            {"bytes_written", ledger.bytes_written},
            {"bytes_read", ledger.bytes_read}};
}

http_response replace_faults(faulty_store& store, const std::string& text) {
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return make_response(400, "the faults must be a JSON object\n");
    }
    const auto known = encode_faults(store_faults{});
    for (const auto& [name, value] : body.items()) {
        const bool is_valid =
            known.contains(name) && (name == "down" ? value.is_boolean() : value.is_number_unsigned());
        if (!is_valid) {
            return make_response(400, "fault \"" + name + "\" is unknown or has the wrong type\n");
        }
    }
    store_faults faults;
    faults.lose_responses = body.value("lose_answers", faults.lose_responses);
    faults.lose_requests = body.value("lose_requests", faults.lose_requests);
    faults.defer_writes = body.value("defer_writes", faults.defer_writes);
    faults.delay = std::chrono::milliseconds(body.value("delay_ms", std::int64_t{0}));
    faults.is_down = body.value("down", false);
    faults.max_writes_per_second = body.value("max_writes_per_second", faults.max_writes_per_second);
    faults.max_reads_per_second = body.value("max_reads_per_second", faults.max_reads_per_second);
    store.set_faults(faults);
    return make_json_response(encode_faults(faults));
}

http_response serve_admin(faulty_store& store, const http_request& request) {
    const auto path = request.get_path();
    if (path == "/admin/faults" && request.method == "GET") {
        return make_json_response(encode_faults(store.get_faults()));
    }
    if (path == "/admin/faults" && request.method == "PUT") {
        return replace_faults(store, request.body);
    }
    if (path == "/admin/deferred" && request.method == "POST") {
        return make_json_response({{"effective_writes", store.apply_deferred()}});
    }
    if (path == "/admin/ledger" && request.method == "GET") {
        return make_json_response(encode_ledger(store.get_ledger()));
    }
    return make_response(404);
}

awaitable<http_response> serve(std::shared_ptr<faulty_store> store, http_request request) {
    const auto path = std::string(request.get_path());
    if (path.starts_with(value_prefix)) {
        co_return co_await serve_value(store, request);
    }
    if (path.starts_with(lease_prefix)) {
        co_return co_await serve_lease(store, request);
    }
    co_return serve_admin(*store, request);
}

}  // namespace

store_server::store_server(asio::io_context& context, std::shared_ptr<faulty_store> store)
    : server_(context, http_limits{},
              [store](http_request request) { return serve(store, std::move(request)); }) {}

int run_store_command(const std::vector<std::string>& arguments) {
    cxxopts::Options options("store", "stand-in for the platform's store");
    options.add_options()("listen", "IP address and port", cxxopts::value<std::string>())(
        "threads", "worker threads", cxxopts::value<unsigned>()->default_value("2"));
    std::vector<const char*> pointers{"store"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    std::string address;
    unsigned threads = 0;
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        address = parsed["listen"].as<std::string>();
        threads = std::clamp(parsed["threads"].as<unsigned>(), 1U, 64U);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << options.help() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    asio::io_context context;
    store_server server(context, std::make_shared<faulty_store>(machine_clock{}));
    const auto listening = server.listen(address);
    if (!listening.ok()) {
        std::cerr << listening.message() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    std::cout << "event=listening role=store address=" << server.get_address() << std::endl;
    std::vector<std::thread> workers;
    for (unsigned i = 1; i < threads; ++i) {
        workers.emplace_back([&] { context.run(); });
    }
    context.run();
    for (auto& worker : workers) {
        worker.join();
    }
    return 0;
}

}  // namespace jacinthvane
