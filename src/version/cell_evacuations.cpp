// Evacuations of failure domains; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <string>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds waiting_log_interval{10};
// Bounds the work of one decision, since each of these jobs may be compared with all upstreams.
constexpr std::size_t max_examined_jobs = 100;

}  // namespace

std::size_t cell_scheduler::apply_evacuations(const evacuation_changes& changes, bool is_listing,
                                              time_point complete_until, time_point now) {
    const auto delta = is_listing ? evacuations_.apply_listing(changes, complete_until)
                                  : evacuations_.apply_changes(changes, complete_until);
    for (const auto& domain : delta.begun) {
        log_evacuation("evacuation_begun", domain);
        begin_evacuation(domain);
    }
    for (const auto& domain : delta.ended) {
        log_evacuation("evacuation_ended", domain);
        end_evacuation(domain, now);
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
        drop_tickets(id);
    }
}

void cell_scheduler::end_evacuation(const failure_domain_id& domain, time_point now) {
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.entry.failure_domain == domain) {
            upstream.returning.begin(now);
            mark_changed(upstream);
        }
    }
}

void cell_scheduler::observe_return(upstream_ledger& upstream, const task_ref& ref, run_record& run,
                                    std::int32_t percent, time_point now) const {
    const bool may_count = upstream.returning.is_active(now) && !run.is_long_running &&
                           !run.is_speed_counted && run.accepted_clock_ms > 0;
    const auto job = may_count ? jobs_.find(ref.job) : jobs_.end();
    if (job == jobs_.end()) {
        return;
    }
    // A run that has ended did so at some time after the last report that listed it.
    const auto elapsed_ms = run.seen_clock_ms - run.accepted_clock_ms;
    if (!is_at_estimated_speed(percent, elapsed_ms, job->second.job->spec.steps[ref.step].estimated_ms)) {
        return;
    }
    run.is_speed_counted = true;
    upstream.returning.record_run_at_speed();
    if (!upstream.returning.is_active(now)) {
        LOG(INFO) << "event=upstream_returned upstream=" << upstream.entry.id.get()
                  << " runs=" << upstream.runs.size() << " token=" << token_;
    }
}

bool cell_scheduler::waits_for_evacuation(const job_record& job, const step_state& state,
                                          const step_spec& spec) const {
    if (!state.is_released || state.get_waiting_tasks() == 0) {
        return false;
    }
    const auto service = get_service(job);
    bool may_run_there = false;
    for (const auto& [id, upstream] : upstreams_) {
        const auto& entry = upstream.entry;
        const bool may_run = upstream.is_listed && !entry.is_leaving &&
                             entry.is_suitable(service, spec.required_label) &&
                             spec.get_reserved_size().is_within(entry.capacity);
        if (may_run && !is_evacuated(upstream)) {
            return false;
        }
        may_run_there = may_run_there || may_run;
    }
    return may_run_there;
}

bool cell_scheduler::waits_for_evacuation(const job_record& job) const {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (waits_for_evacuation(job, occurrence.steps[i], job.job->spec.steps[i])) {
                return true;
            }
        }
    }
    return false;
}

void cell_scheduler::log_waiting_for_evacuation(time_point now) {
    if (evacuations_.get_domains().empty() || now < next_evacuation_log_) {
        return;
    }
    next_evacuation_log_ = now + waiting_log_interval;
    std::size_t examined = 0;
    std::size_t waiting = 0;
    std::string first;
    for (const auto& id : waiting_jobs_) {
        if (examined == max_examined_jobs) {
            break;
        }
        ++examined;
        const auto* job = find_job(id);
        if (job == nullptr || !waits_for_evacuation(*job)) {
            continue;
        }
        first = waiting == 0 ? id.get() : first;
        ++waiting;
    }
    if (waiting > 0) {
        LOG(INFO) << "event=jobs_wait_for_evacuation jobs=" << waiting << " examined=" << examined
                  << " first=" << first << " domains=" << evacuations_.get_domains().size()
                  << " token=" << token_;
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
        LOG(WARNING) << "event=evacuation_domain_unknown domain=" << domain.get()
                     << " revision=" << evacuations_.get_revision() << " token=" << token_;
    }
}

}  // namespace jacinthvane
