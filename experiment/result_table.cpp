#include "experiment/result_table.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace jacinthvane::experiment {

namespace {

struct spread {
    double median = 0;
    double lowest = 0;
    double highest = 0;
};

// The values of runs that differ only in their seed.
struct series {
    std::string site;
    std::string variant;
    double load_factor = 0;
    std::map<std::string, std::vector<double>> values;

    spread get(const std::string& name) const {
        auto sorted = values.at(name);
        std::sort(sorted.begin(), sorted.end());
        return {.median = sorted[sorted.size() / 2], .lowest = sorted.front(), .highest = sorted.back()};
    }
};

std::vector<series> group_rows(const std::vector<result_row>& rows) {
    std::vector<series> groups;
    for (const auto& row : rows) {
        auto found = std::find_if(groups.begin(), groups.end(), [&](const series& entry) {
            return entry.site == row.site && entry.variant == row.variant &&
                   entry.load_factor == row.load_factor;
        });
        if (found == groups.end()) {
            groups.push_back(
                {.site = row.site, .variant = row.variant, .load_factor = row.load_factor, .values = {}});
            found = std::prev(groups.end());
        }
        for (const auto& [name, value] : row.values) {
            found->values[name].push_back(value);
        }
    }
    return groups;
}

std::string format_number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, value < 10 ? "%.3f" : "%.0f", value);
    return text;
}

std::string format_spread(const spread& entry) {
    return format_number(entry.median) + " (" + format_number(entry.lowest) + " to " +
           format_number(entry.highest) + ")";
}

const std::vector<std::pair<std::string, std::string>>& get_columns() {
    static const std::vector<std::pair<std::string, std::string>> columns = {
        {"urgent_p50_ms", "p50 ms"},
        {"urgent_p99_ms", "p99 ms"},
        {"urgent_p999_ms", "p99.9 ms"},
        {"started_in_6.9s", "started in 6.9 s"},
        {"batch_finished", "batch finished"},
        {"evictions", "evictions"},
        {"memory_stops", "of these for memory"},
        {"mean_load", "slots in use"}};
    return columns;
}

std::vector<std::string> get_sites(const std::vector<series>& groups) {
    std::vector<std::string> sites;
    for (const auto& entry : groups) {
        if (std::find(sites.begin(), sites.end(), entry.site) == sites.end()) {
            sites.push_back(entry.site);
        }
    }
    return sites;
}

// Returns one Markdown table for each site.
std::string make_tables(const std::vector<series>& groups) {
    std::ostringstream out;
    for (const auto& name : get_sites(groups)) {
        out << "\n### " << name << "\n\n| policy |";
        for (const auto& [value, title] : get_columns()) {
            out << " " << title << " |";
        }
        out << "\n|---|";
        for (std::size_t column = 0; column < get_columns().size(); ++column) {
            out << "---|";
        }
        out << "\n";
        for (const auto& entry : groups) {
            if (entry.site != name || entry.load_factor > 0) {
                continue;
            }
            out << "| " << entry.variant << " |";
            for (const auto& [value, title] : get_columns()) {
                out << " " << format_spread(entry.get(value)) << " |";
            }
            out << "\n";
        }
        bool is_first = true;
        for (const auto& entry : groups) {
            if (entry.site != name || entry.load_factor == 0) {
                continue;
            }
            if (is_first) {
                out << "\n| overload | times capacity | answered in time per s | urgent p99 ms "
                       "|\n|---|---|---|---|\n";
                is_first = false;
            }
            out << "| " << entry.variant << " | " << entry.load_factor << " | "
                << format_spread(entry.get("goodput_per_s")) << " | "
                << format_spread(entry.get("urgent_p99_ms")) << " |\n";
        }
    }
    return out.str();
}

// Returns an SVG plot with a horizontal bar up to the median and a line from the lowest to the highest value
// for each variant.
std::string make_plot(const std::vector<series>& groups, const std::string& site, const std::string& value,
                      const std::string& title) {
    constexpr int row_height = 22;
    constexpr int label_width = 230;
    constexpr int bar_width = 420;
    std::vector<const series*> shown;
    double largest = 0;
    for (const auto& entry : groups) {
        if (entry.site == site && entry.load_factor == 0) {
            shown.push_back(&entry);
            largest = std::max(largest, entry.get(value).highest);
        }
    }
    const double scale = largest > 0 ? bar_width / largest : 0;
    std::ostringstream out;
    const int height = 40 + row_height * static_cast<int>(shown.size());
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << label_width + bar_width + 80
        << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"20\" font-size=\"14\">" << site << ": " << title << "</text>\n";
    int top = 32;
    for (const auto* entry : shown) {
        const auto values = entry->get(value);
        const double middle = top + row_height / 2.0 - 2;
        out << "<text x=\"8\" y=\"" << top + 14 << "\">" << entry->variant << "</text>\n"
            << "<rect x=\"" << label_width << "\" y=\"" << top + 2 << "\" width=\"" << values.median * scale
            << "\" height=\"" << row_height - 8 << "\" fill=\""
            << (entry->variant == "product" ? "#2a7" : "#89a") << "\"/>\n"
            << "<line x1=\"" << label_width + values.lowest * scale << "\" x2=\""
            << label_width + values.highest * scale << "\" y1=\"" << middle << "\" y2=\"" << middle
            << "\" stroke=\"black\"/>\n"
            << "<text x=\"" << label_width + values.highest * scale + 6 << "\" y=\"" << top + 14 << "\">"
            << format_number(values.median) << "</text>\n";
        top += row_height;
    }
    out << "</svg>\n";
    return out.str();
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
}

}  // namespace

void result_table::add(result_row row) {
    rows_.push_back(std::move(row));
}

void result_table::print() const {
    std::fputs(make_tables(group_rows(rows_)).c_str(), stdout);
}

void result_table::write(const std::string& folder, const std::string& name) const {
    std::filesystem::create_directories(folder);
    std::ostringstream lines;
    for (const auto& row : rows_) {
        lines << "{\"site\":\"" << row.site << "\",\"variant\":\"" << row.variant
              << "\",\"seed\":" << row.seed << ",\"load_factor\":" << row.load_factor;
        for (const auto& [name, value] : row.values) {
            lines << ",\"" << name << "\":" << value;
        }
        lines << "}\n";
    }
    const std::filesystem::path folder_path = folder;
    write_file((folder_path / (name + ".jsonl")).string(), lines.str());
    const auto groups = group_rows(rows_);
    write_file(
        folder + "/policy-tables.md",
        "# Figures of the placement policies\n\nMedian over the seeds, lowest and highest value in brackets. "
        "Written by `scripts/bench`; the rules are in `policy.md`.\n" +
            make_tables(groups));
    for (const auto& site : get_sites(groups)) {
        const auto get_path = [&](const char* value) {
            return (folder_path / ("policy-" + site).append("-").append(value).append(".svg")).string();
        };
        write_file(get_path("p99"), make_plot(groups, site, "urgent_p99_ms", "urgent 99th percentile, ms"));
        write_file(get_path("batch"), make_plot(groups, site, "batch_finished", "batch tasks finished"));
        write_file(get_path("evictions"), make_plot(groups, site, "evictions", "evictions"));
    }
}

}  // namespace jacinthvane::experiment
