#include "process/upstream_report.hpp"

namespace jacinthvane {

namespace {

// Status line, headers, names of fields, and the acknowledgements and headers of the transport.
constexpr std::size_t report_overhead_bytes = 350;
// Task, numbers and punctuation of a row without its checkpoint.
constexpr std::size_t row_bytes = 50;

template <typename row>
std::size_t estimate_row_bytes(const std::vector<row>& rows) {
    std::size_t bytes = 0;
    for (const auto& entry : rows) {
        bytes += row_bytes + entry.checkpoint.size();
    }
    return bytes;
}

}  // namespace

std::size_t estimate_bytes(const upstream_report& report) {
    return report_overhead_bytes + estimate_row_bytes(report.running) + estimate_row_bytes(report.ended);
}

std::string_view get_name(run_end how) {
    switch (how) {
        case run_end::done:
            return "done";
        case run_end::failed:
            return "failed";
        case run_end::stopped:
            return "stopped";
        case run_end::lapsed:
            return "lapsed";
        case run_end::broken:
            return "broken";
        case run_end::alone:
            return "alone";
    }
    return "unknown";
}

}  // namespace jacinthvane
