#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <glog/logging.h>

#include "standin/load_command.hpp"
#include "standin/store_server.hpp"
#include "standin/upstream_farm.hpp"
#include "standin/vm_list_server.hpp"

namespace {

constexpr const char* usage =
    "jacinthvane_standin COMMAND [OPTIONS]\n"
    "\n"
    "Development stand-ins for the systems that jacinthvane connects to. Each command has --help.\n"
    "\n"
    "  store      the platform's key-value service\n"
    "  list       the platform's list of VMs, which shows changes after a lag\n"
    "  upstream   a farm of upstreams\n"
    "  link       a relay with delay, byte rate, cuts and unresponsive connections\n"
    "  load       clients that send a mix of requests and check the invariants\n";

}  // namespace

int main(int argc, char** argv) {
    const std::string_view command = argc > 1 ? argv[1] : "";
    const std::vector<std::string> arguments(argv + std::min(argc, 2), argv + argc);
    google::InitGoogleLogging("jacinthvane_standin");
    FLAGS_logtostderr = true;
    if (command == "store") {
        return jacinthvane::run_store_command(arguments);
    }
    if (command == "list") {
        return jacinthvane::run_list_command(arguments);
    }
    if (command == "upstream") {
        return jacinthvane::run_upstream_command(arguments);
    }
    if (command == "link") {
        return jacinthvane::run_link_command(arguments);
    }
    if (command == "load") {
        return jacinthvane::run_load_command(arguments);
    }
    const bool is_help = command == "--help" || command == "-h";
    std::fputs(usage, is_help ? stdout : stderr);
    return is_help ? 0 : 2;
}
