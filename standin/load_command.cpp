#include "standin/load_command.hpp"

#include <chrono>
#include <cstdio>
#include <map>
#include <utility>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "connection/http_server.hpp"
#include "connection/spawn_task.hpp"
#include "standin/invariant_check.hpp"
#include "standin/link_relay.hpp"
#include "standin/load_client.hpp"
#include "standin/run_server.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds ledger_timeout{10};

std::vector<const char*> to_pointers(const char* name, const std::vector<std::string>& arguments) {
    std::vector<const char*> result{name};
    for (const auto& argument : arguments) {
        result.push_back(argument.c_str());
    }
    return result;
}

resource_vector read_size(const nlohmann::json& json) {
    return {json.value("processors_milli", std::int64_t{0}), json.value("memory_mb", std::int64_t{0}),
            json.value("accelerators", std::int64_t{0}), json.value("slots", std::int64_t{0})};
}

void add_ledger(const nlohmann::json& json, start_log::snapshot& ledger) {
    for (const auto& start : json.at("starts")) {
        ledger.starts.push_back({.upstream = upstream_id(start.at("upstream").get<std::string>()),
                                 .task = task_id(start.at("task").get<std::string>()),
                                 .generation = start.at("generation").get<std::uint64_t>(),
                                 .key = start.at("key").get<std::string>(),
                                 .at_ms = start.at("at_ms").get<std::int64_t>()});
    }
    for (const auto& [name, upstream] : json.at("upstreams").items()) {
        ledger.upstreams[upstream_id(name)] = {
            .size = read_size(upstream.at("size")),
            .most_committed = read_size(upstream.at("most_committed")),
            .overcommitted_starts = upstream.value("overcommitted_starts", 0U)};
    }
    ledger.overcommitted_starts += json.value("overcommitted_starts", std::size_t{0});
    for (const auto& task : json.at("concurrent_tasks")) {
        ledger.concurrent_tasks.emplace_back(task.get<std::string>());
    }
}

awaitable<bool> fetch_ledger(http_client& client, std::string address, start_log::snapshot& ledger) {
    http_request request;
    request.target = "/admin/ledger";
    const auto deadline = std::chrono::steady_clock::now() + ledger_timeout;
    const auto response = co_await client.fetch(address, request, deadline);
    if (!response.ok() || response->status != 200) {
        std::fprintf(stderr, "cannot read the ledger of %s\n", address.c_str());
        co_return false;
    }
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object()) {
        co_return false;
    }
    add_ledger(json, ledger);
    co_return true;
}

struct load_options {
    load_plan plan;
    std::vector<std::string> farms;
    std::chrono::seconds wait_for_jobs{30};
};

awaitable<void> run_load(asio::io_context& context, load_options options, int& exit_code) {
    load_client client(context, options.plan);
    co_await client.run();
    co_await client.wait_for_jobs(std::chrono::steady_clock::now() + options.wait_for_jobs);
    std::printf("%s\n", client.format_outcomes().c_str());
    std::map<std::string, std::size_t> states;
    for (const auto& job : client.get_jobs()) {
        ++states[job.final_state.empty() ? "unknown" : job.final_state];
    }
    for (const auto& [state, count] : states) {
        std::printf("jobs %-10s %zu\n", state.c_str(), count);
    }
    start_log::snapshot ledger;
    http_client ledger_client(context, 1);
    bool is_complete = true;
    for (const auto& farm : options.farms) {
        const bool is_read = co_await fetch_ledger(ledger_client, farm, ledger);
        is_complete = is_complete && is_read;
    }
    std::vector<client_outcome> outcomes;
    for (const auto& request : client.get_completed_requests()) {
        outcomes.push_back(request.outcome);
    }
    const auto results = check_invariants(outcomes, client.get_jobs(), ledger);
    std::printf("\n%s", format_results(results).c_str());
    exit_code = is_complete && is_clean(results) ? 0 : 1;
    context.stop();
}

}  // namespace

int run_load_command(const std::vector<std::string>& arguments) {
    cxxopts::Options options("jacinthvane_standin load",
                             "Sends a mix of requests and checks the invariants.");
    const load_plan defaults;
    options.add_options()("address", "entry processes, separated by commas",
                          cxxopts::value<std::vector<std::string>>())(
        "farm", "admin addresses of upstream farms, separated by commas",
        cxxopts::value<std::vector<std::string>>())("rate", "requests a second",
                                                    cxxopts::value<std::int64_t>()->default_value("100"))(
        "seconds", "seconds during which requests are sent",
        cxxopts::value<std::int64_t>()->default_value("5"))(
        "deadline-ms", "deadline of each request in ms",
        cxxopts::value<std::int64_t>()->default_value("8000"))(
        "merge-permille", "share of non-idempotent requests",
        cxxopts::value<std::int64_t>()->default_value("200"))(
        "job-permille", "share of batch jobs", cxxopts::value<std::int64_t>()->default_value("50"))(
        "job-run-ms", "run time of a job in ms", cxxopts::value<std::int64_t>()->default_value("1000"))(
        "wait-jobs", "seconds to wait for jobs", cxxopts::value<std::int64_t>()->default_value("30"))(
        "seed", "seed of the mix", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "threads", "threads", cxxopts::value<unsigned>()->default_value("1"))("h,help", "show this help");
    load_options given;
    unsigned threads = 1;
    try {
        const auto pointers = to_pointers("load", arguments);
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") != 0 || parsed.count("address") == 0) {
            std::fputs(options.help().c_str(), stdout);
            return parsed.count("help") != 0 ? 0 : 2;
        }
        given.plan.addresses = parsed["address"].as<std::vector<std::string>>();
        if (parsed.count("farm") != 0) {
            given.farms = parsed["farm"].as<std::vector<std::string>>();
        }
        given.plan.requests_per_second = parsed["rate"].as<std::int64_t>();
        given.plan.duration = std::chrono::seconds(parsed["seconds"].as<std::int64_t>());
        given.plan.request_deadline = std::chrono::milliseconds(parsed["deadline-ms"].as<std::int64_t>());
        given.plan.merge_permille = parsed["merge-permille"].as<std::int64_t>();
        given.plan.job_permille = parsed["job-permille"].as<std::int64_t>();
        given.plan.job_run_ms = parsed["job-run-ms"].as<std::int64_t>();
        given.wait_for_jobs = std::chrono::seconds(parsed["wait-jobs"].as<std::int64_t>());
        given.plan.seed = parsed["seed"].as<std::uint64_t>();
        threads = parsed["threads"].as<unsigned>();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n%s", error.what(), options.help().c_str());
        return 2;
    }
    asio::io_context context;
    int exit_code = 1;
    spawn_task(context, "load", run_load(context, given, exit_code));
    run_until_signal(context, threads);
    return exit_code;
}

int run_link_command(const std::vector<std::string>& arguments) {
    cxxopts::Options options("jacinthvane_standin link", "Relays TCP and UDP with faults.");
    options.add_options()("to", "target address", cxxopts::value<std::string>())(
        "tcp", "TCP address to listen on", cxxopts::value<std::string>()->default_value(""))(
        "udp", "UDP address to listen on", cxxopts::value<std::string>()->default_value(""))(
        "admin", "admin address", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "h,help", "show this help");
    try {
        const auto pointers = to_pointers("link", arguments);
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") != 0 || parsed.count("to") == 0) {
            std::fputs(options.help().c_str(), stdout);
            return parsed.count("help") != 0 ? 0 : 2;
        }
        asio::io_context context;
        link_relay relay(context, parsed["to"].as<std::string>());
        http_server admin(context, http_limits{},
                          [&relay](http_request request) { return relay.handle_admin(std::move(request)); });
        absl::Status status = admin.listen(parsed["admin"].as<std::string>());
        if (status.ok() && !parsed["tcp"].as<std::string>().empty()) {
            status = relay.listen_tcp(parsed["tcp"].as<std::string>());
        }
        if (status.ok() && !parsed["udp"].as<std::string>().empty()) {
            status = relay.listen_udp(parsed["udp"].as<std::string>());
        }
        if (!status.ok()) {
            std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
            return 2;
        }
        std::printf("relay %s admin %s\n", relay.get_tcp_address().c_str(), admin.get_address().c_str());
        std::fflush(stdout);
        run_until_signal(context, 1);
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}

}  // namespace jacinthvane
