#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace review {

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

struct case_options {
    std::string folder;
    // Path of the program under review.
    std::string program;
    bool has_trouble = true;
};

using case_function = std::function<int(const case_options&)>;

// All cases with their names. Each returns rule_held, rule_broken or could_not_run.
const std::vector<std::pair<std::string, case_function>>& get_cases();

}  // namespace review
