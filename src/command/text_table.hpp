#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace jacinthvane {

// Prints rows in columns; the widest cell determines the width of a column.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

    void add_row(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

}  // namespace jacinthvane
