// The cases of the review that run as scripts.

#pragma once

#include <string>

namespace review {

struct case_options {
    std::string program;
    std::string folder;
    std::string record;
    bool has_trouble = true;
};

int run_late(const case_options& options);
int run_advice(const case_options& options);
int run_gang(const case_options& options);
int run_kind(const case_options& options);
int run_takeover(const case_options& options);

}  // namespace review
