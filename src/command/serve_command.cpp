#include "command/serve_command.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <glog/logging.h>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "command/admin_operations.hpp"
#include "command/entry_process.hpp"
#include "connection/admin_api.hpp"
#include "connection/key_file.hpp"
#include "connection/settings_file.hpp"
#include "connection/spawn_task.hpp"
#include "process/digest.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::string_view examples = R"(
Examples:
  jacinthvane serve --settings /etc/jacinthvane/entry.toml
  jacinthvane serve --settings entry.toml --set listen.callers=127.0.0.1:8080
)";

// Uses the milliseconds since 1970, so that each restart of the process on a VM gets a higher incarnation.
std::uint64_t make_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

process_dependencies make_dependencies(asio::io_context& context, const settings& given,
                                       const key_ring& keys) {
    process_dependencies dependencies;
    dependencies.store = std::make_shared<http_store>(context, given.store_address);
    dependencies.vm_list = std::make_shared<http_vm_list>(context, given.vm_list_address);
    dependencies.upstreams = std::make_shared<http_upstream>(context, upstream_connections{});
    dependencies.keys = keys;
    dependencies.incarnation = make_incarnation();
    dependencies.seed = make_hash(given.vm.get() + std::to_string(dependencies.incarnation));
    return dependencies;
}

void print_state(const entry_process& process) {
    const auto state = process.dump_state();
    std::fwrite(state.data(), 1, state.size(), stdout);
    std::fflush(stdout);
}

// Prints the state on each SIGUSR1. Stops the process gracefully on SIGTERM or SIGINT.
awaitable<void> follow_signals(asio::io_context& context, asio::signal_set& signals, entry_process& process,
                               std::chrono::milliseconds drain, int& exit_code) {
    while (true) {
        boost::system::error_code error;
        const int signal = co_await signals.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (signal != SIGUSR1) {
            break;
        }
        print_state(process);
    }
    const bool is_clean = co_await process.stop_gracefully(std::chrono::steady_clock::now() + drain);
    exit_code = is_clean ? 0 : get_error_mapping(error_kind::deadline_exceeded).exit_code;
    context.stop();
}

int run_process(const settings& given, const key_ring& keys) {
    asio::io_context context(static_cast<int>(given.threads));
    entry_process process(context, given, make_dependencies(context, given, keys));
    if (const auto status = process.start(); !status.ok()) {
        std::fprintf(stderr, "jacinthvane: %s\n", std::string(status.message()).c_str());
        return get_error_mapping(get_error_kind(status)).exit_code;
    }
    // The admin interface has a separate listener, so that it stays responsive while the client listener is
    // overloaded.
    const auto tokens = std::make_shared<key_file>(given.admin_token_file);
    std::optional<admin_api> admin;
    std::optional<http_server> admin_server;
    if (!given.admin_token_file.empty()) {
        if (const auto errors = tokens->reload(); !errors.empty()) {
            std::fprintf(stderr, "jacinthvane: %s: %s\n", given.admin_token_file.c_str(),
                         format_errors(errors).c_str());
            return get_error_mapping(error_kind::bad_configuration).exit_code;
        }
        admin.emplace(make_admin_operations(process), tokens, machine_clock{});
        admin_server.emplace(context, http_limits{}, admin->make_handler());
        if (const auto status = admin_server->listen(given.listen.admin); !status.ok()) {
            std::fprintf(stderr, "jacinthvane: %s\n", std::string(status.message()).c_str());
            return get_error_mapping(get_error_kind(status)).exit_code;
        }
    }
    int exit_code = 0;
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGUSR1);
    spawn_task(context, "follow_signals",
               follow_signals(context, signals, process, given.timeouts.drain, exit_code));
    std::vector<std::thread> threads;
    for (std::int64_t i = 1; i < given.threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto& thread : threads) {
        thread.join();
    }
    return exit_code;
}

}  // namespace

int run_serve(const std::vector<std::string>& arguments) {
    cxxopts::Options options("jacinthvane serve", "Runs one entry process until SIGTERM.");
    options.add_options()("settings", "settings file (TOML)", cxxopts::value<std::string>())(
        "set", "KEY=VALUE that overrides the file and the environment; may be repeated",
        cxxopts::value<std::vector<std::string>>())("h,help", "show this help");
    const int bad_usage = get_error_mapping(error_kind::bad_request).exit_code;
    std::vector<const char*> argv = {"jacinthvane serve"};
    for (const auto& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    std::string path;
    std::vector<std::string> overrides;
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") != 0) {
            std::printf("%s%s", options.help().c_str(), std::string(examples).c_str());
            return 0;
        }
        path = parsed.count("settings") != 0 ? parsed["settings"].as<std::string>() : std::string();
        overrides = parsed.count("set") != 0 ? parsed["set"].as<std::vector<std::string>>() : overrides;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jacinthvane serve: %s; see jacinthvane serve --help\n", error.what());
        return bad_usage;
    }
    auto environment = read_environment();
    // These variables belong to the commands that call a process; they are not settings of the process.
    std::erase_if(environment, [](const environment_variable& variable) {
        return variable.name == "JACINTHVANE_ADDRESS" || variable.name == "JACINTHVANE_TOKEN_FILE";
    });
    const auto result = read_settings(path, environment, overrides);
    if (const auto* problems = std::get_if<std::vector<settings_problem>>(&result)) {
        for (const auto& problem : *problems) {
            std::fprintf(stderr, "%s\n", problem.to_string().c_str());
        }
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    const auto& given = std::get<settings>(result);
    const auto keys = key_ring::read_file(given.key_file);
    if (!keys.ok()) {
        std::fprintf(stderr, "jacinthvane: %s\n", std::string(keys.status().message()).c_str());
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    FLAGS_logtostderr = true;
    return run_process(given, *keys);
}

}  // namespace jacinthvane
