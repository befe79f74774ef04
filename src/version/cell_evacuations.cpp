// Evacuations of failure domains; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

std::size_t cell_scheduler::apply_evacuations(const evacuation_changes& changes, bool is_listing,
                                              time_point complete_until) {
    const auto delta = is_listing ? evacuations_.apply_listing(changes, complete_until)
                                  : evacuations_.apply_changes(changes, complete_until);
    for (const auto& domain : delta.begun) {
        log_evacuation("evacuation_begun", domain);
        begin_evacuation(domain);
    }
    for (const auto& domain : delta.ended) {
        log_evacuation("evacuation_ended", domain);
        end_evacuation(domain);
    }
    return delta.begun.size() + delta.ended.size();
}

bool cell_scheduler::is_evacuated(const upstream_ledger& upstream) const {
    return evacuations_.is_evacuated(upstream.entry.failure_domain);
}

std::chrono::milliseconds cell_scheduler::get_longest_start_delay(time_point now) const {
    if (!evacuations_.is_enabled()) {
        return std::chrono::milliseconds::max();
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(evacuations_.get_effect_limit() - now);
    const auto on_slow_clock = left * (1000 - limits_.clock_drift_permille) / 1000;
    return std::max(on_slow_clock, std::chrono::milliseconds(0));
}

void cell_scheduler::begin_evacuation(const failure_domain_id& domain) {
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.entry.failure_domain != domain) {
            continue;
        }
        mark_changed(upstream);
        // Starts that were decided and not sent yet are withdrawn.
        expect_orders(upstream);
        // A step that holds tickets for other upstreams too uses those. Without any, it requests others.
        for (auto& [step, tickets] : tickets_) {
            tickets.tickets.erase(id);
            tickets.requested.erase(id);
        }
    }
}

void cell_scheduler::end_evacuation(const failure_domain_id& domain) {
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.entry.failure_domain == domain) {
            mark_changed(upstream);
        }
    }
}

void cell_scheduler::log_evacuation(const char* event, const failure_domain_id& domain) const {
    std::size_t upstreams = 0;
    std::size_t runs = 0;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.entry.failure_domain == domain) {
            ++upstreams;
            runs += upstream.runs.size();
        }
    }
    LOG(INFO) << "event=" << event << " domain=" << domain.get()
              << " revision=" << evacuations_.get_revision() << " upstreams=" << upstreams << " runs=" << runs
              << " token=" << token_;
    if (upstreams == 0) {
        // Kept, since upstreams of the domain may be added.
        LOG(WARNING) << "event=evacuation_domain_unknown key=" << evacuation_prefix << domain.get()
                     << " revision=" << evacuations_.get_revision() << " token=" << token_;
    }
}

}  // namespace jacinthvane
