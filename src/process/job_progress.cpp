#include "process/job_progress.hpp"

namespace jacinthvane {

std::string_view get_name(job_phase state) {
    switch (state) {
        case job_phase::queued:
            return "queued";
        case job_phase::running:
            return "running";
        case job_phase::done:
            return "done";
        case job_phase::failed:
            return "failed";
        case job_phase::cancelled:
            return "cancelled";
    }
    return "unknown";
}

}  // namespace jacinthvane
