#include "command/text_table.hpp"

#include <algorithm>

namespace jacinthvane {

void text_table::print(std::ostream& out) const {
    std::vector<std::size_t> widths;
    for (const auto& row : rows_) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            // Control characters in text from other users must not reach the terminal.
            auto cell = row[i];
            std::replace_if(
                cell.begin(), cell.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
            line += cell;
            if (i + 1 < row.size()) {
                line += std::string(widths[i] - cell.size() + 2, ' ');
            }
        }
        out << line << "\n";
    }
}

}  // namespace jacinthvane
