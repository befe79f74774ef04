#include <iostream>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "command/command_line.hpp"
#include "platform/entry_command.hpp"

int main(int argc, char** argv) {
    if (argc > 1 && std::string(argv[1]) == "entry") {
        google::InitGoogleLogging(argv[0]);
        return jacinthvane::platform::run_entry(std::vector<std::string>(argv + 2, argv + argc));
    }
    // The VMs have no disks, so log lines are written to standard error only.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return jacinthvane::run_command_line(arguments, std::cout, std::cerr);
}
