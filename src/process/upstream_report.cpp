#include "process/upstream_report.hpp"

namespace jacinthvane {

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
