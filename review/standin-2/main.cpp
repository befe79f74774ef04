// Runs one case of the review: review-standin CASE PROGRAM FOLDER RECORD. TROUBLE=0 in the environment leaves
// the disruption out. Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if it couldn't
// run.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

#include "cases.hpp"

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    const std::map<std::string, int (*)(const review::case_options&)> cases = {
        {"late", review::run_late},
        {"takeover", review::run_takeover},
        {"advice", review::run_advice},
        {"gang", review::run_gang},
        {"kind", review::run_kind}};
    if (argc != 5 || cases.count(argv[1]) == 0) {
        std::fprintf(stderr, "review-standin CASE PROGRAM FOLDER RECORD\n");
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    review::case_options options;
    options.program = argv[2];
    options.folder = argv[3];
    options.record = argv[4];
    options.has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    return cases.at(argv[1])(options);
}
