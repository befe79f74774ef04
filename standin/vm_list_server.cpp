#include "standin/vm_list_server.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <utility>

#include <cxxopts.hpp>

#include "process/error_kind.hpp"
#include "process/ordered_mutex.hpp"
#include "standin/run_server.hpp"

namespace jacinthvane {

struct vm_list_server::shared_state {
    struct version {
        time_point visible_at;
        std::vector<vm_record> vms;
    };

    ordered_mutex mutex{lock_rank::standin};
    std::chrono::milliseconds lag{0};
    bool is_available = true;
    // Versions of the list, oldest first; the last one contains all changes.
    std::deque<version> versions{version{time_point{}, {}}};
};

namespace {

http_response make_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

}  // namespace

vm_list_server::vm_list_server(asio::io_context& context, std::chrono::milliseconds lag,
                               const std::vector<vm_record>& initial_vms)
    : state_(std::make_shared<shared_state>()),
      server_(context, http_limits{.max_body_bytes = 64U << 20U},
              [state = state_](http_request request) -> awaitable<http_response> {
                  co_return handle(*state, request);
              }) {
    state_->lag = lag;
    state_->versions.front().vms = initial_vms;
}

http_response vm_list_server::handle(shared_state& state, const http_request& request) {
    const auto path = request.get_path();
    const auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(state.mutex);
    if (path == "/v1/vms" && request.method == "GET") {
        if (!state.is_available) {
            return make_response(503, "{}");
        }
        while (state.versions.size() > 1 && state.versions[1].visible_at <= now) {
            state.versions.pop_front();
        }
        return make_response(200, encode_vm_list(state.versions.front().vms));
    }
    if (request.method != "POST") {
        return make_response(404, "{}");
    }
    if (path == "/admin/available") {
        state.is_available = request.get_query("value") == "1";
        return make_response(200, "{}");
    }
    if (path == "/admin/lag") {
        state.lag = std::chrono::milliseconds(
            std::clamp(std::atoll(request.get_query("ms").c_str()), 0LL, 3600000LL));
        return make_response(200, "{}");
    }
    auto vms = state.versions.back().vms;
    const vm_id requested_vm(request.get_query("vm"));
    const auto find = [&](const vm_id& vm) {
        return std::find_if(vms.begin(), vms.end(), [&](const auto& entry) { return entry.vm == vm; });
    };
    if (path == "/admin/vms") {
        auto added = decode_vm_list(request.body);
        if (!added.ok()) {
            return make_response(400, "{}");
        }
        for (auto& vm : *added) {
            const auto present = find(vm.vm);
            if (present == vms.end()) {
                vms.push_back(std::move(vm));
            } else {
                *present = std::move(vm);
            }
        }
    } else if (path == "/admin/state" || path == "/admin/remove") {
        const auto present = find(requested_vm);
        if (present == vms.end()) {
            return make_response(404, "{}");
        }
        if (path == "/admin/remove") {
            vms.erase(present);
        } else {
            present->is_leaving = request.get_query("state") == "leaving";
        }
    } else {
        return make_response(404, "{}");
    }
    // Keeps changes in order if the lag has been shortened since the previous change.
    const auto visible_at = std::max(now + state.lag, state.versions.back().visible_at);
    state.versions.push_back({visible_at, std::move(vms)});
    return make_response(200, "{}");
}

int run_list_command(const std::vector<std::string>& arguments) {
    cxxopts::Options options("list", "stand-in for the platform's VM list");
    options.add_options()("listen", "IP address and port",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "lag-ms", "time until a change is visible, in ms",
        cxxopts::value<std::uint32_t>()->default_value("1000"))(
        "file", "file with the initial entries", cxxopts::value<std::string>()->default_value(""));
    std::vector<const char*> pointers{"list"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    std::string address;
    std::string file_name;
    std::chrono::milliseconds lag{0};
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        address = parsed["listen"].as<std::string>();
        file_name = parsed["file"].as<std::string>();
        lag = std::chrono::milliseconds(parsed["lag-ms"].as<std::uint32_t>());
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << options.help() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    std::vector<vm_record> initial_vms;
    if (!file_name.empty()) {
        std::ifstream file(file_name);
        const std::string bytes(std::istreambuf_iterator<char>(file), {});
        auto decoded = decode_vm_list(bytes);
        if (!decoded.ok()) {
            std::cerr << file_name << ": " << decoded.status().message() << "\n";
            return get_error_mapping(error_kind::bad_configuration).exit_code;
        }
        initial_vms = *std::move(decoded);
    }
    asio::io_context context;
    vm_list_server server(context, lag, initial_vms);
    const auto listening = server.listen(address);
    if (!listening.ok()) {
        std::cerr << listening.message() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    std::cout << "event=listening role=list address=" << server.get_address() << std::endl;
    run_until_signal(context, 1);
    return 0;
}

}  // namespace jacinthvane
