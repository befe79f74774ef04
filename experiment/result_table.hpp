#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace jacinthvane::experiment {

// The measured values of one run.
struct result_row {
    std::string site;
    std::string variant;
    std::uint64_t seed = 0;
    // Urgent load as a multiple of the capacity in overload runs, and 0 in other runs.
    double load_factor = 0;
    std::vector<std::pair<std::string, double>> values;
};

// Collects runs and reports the median, lowest and highest value over the seeds.
class result_table {
public:
    void add(result_row row);

    // Prints the table to the terminal.
    void print() const;

    // Writes NAME.jsonl, policy-tables.md and policy-SITE-VALUE.svg for each site and value into the folder.
    void write(const std::string& folder, const std::string& name) const;

private:
    std::vector<result_row> rows_;
};

}  // namespace jacinthvane::experiment
