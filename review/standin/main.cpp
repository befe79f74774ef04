#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "cases.hpp"
#include "fleet.hpp"
#include "record.hpp"
#include "worker.hpp"

namespace {

constexpr std::chrono::seconds time_limit{112};

void end_with_parent() {
    const auto parent = ::getppid();
    std::thread([parent] {
        while (::getppid() == parent) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        review::fleet::kill_all_processes();
        std::_Exit(review::could_not_run);
    }).detach();
}

}  // namespace

// review_standin worker ID PORT STORE_PORT KIND RECORD
// review_standin CASE FOLDER PROGRAM TROUBLE
int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    end_with_parent();
    if (words.size() == 6 && words[0] == "worker") {
        review::worker_settings settings;
        settings.id = words[1];
        settings.port = std::stoi(words[2]);
        settings.store_port = std::stoi(words[3]);
        settings.kind = words[4];
        settings.rack = "r1";
        review::open_record(words[5]);
        review::run_worker(settings);
    }
    if (words.size() != 4) {
        std::fputs("review_standin CASE FOLDER PROGRAM TROUBLE\n", stderr);
        return review::could_not_run;
    }
    std::thread([] {
        std::this_thread::sleep_for(time_limit);
        review::fleet::kill_all_processes();
        std::_Exit(review::could_not_run);
    }).detach();
    review::open_record(words[1] + "/record.txt");
    const review::case_options options{words[1], words[2], words[3] != "0"};
    for (const auto& [name, run] : review::get_cases()) {
        if (name == words[0]) {
            const int result = run(options);
            review::record("result " + std::to_string(result));
            std::printf("%s: %d\n", name.c_str(), result);
            std::fflush(stdout);
            std::_Exit(result);
        }
    }
    return review::could_not_run;
}
