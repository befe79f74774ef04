#include "process/ejection_table.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace jacinthvane {

ejection_table::ejection_table(ejection_settings settings) : settings_(settings) {}

void ejection_table::add(const upstream_id& upstream, const failure_domain_id& failure_domain) {
    std::lock_guard lock(mutex_);
    const auto [found, is_new] = entries_.try_emplace(upstream);
    if (is_new) {
        found->second.failure_domain = failure_domain;
        ++domains_[failure_domain].upstreams;
    }
}

void ejection_table::remove(const upstream_id& upstream) {
    std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return;
    }
    auto& domain = domains_[found->second.failure_domain];
    --domain.upstreams;
    if (found->second.state != ejection_state::closed) {
        --domain.ejected;
    }
    entries_.erase(found);
}

void ejection_table::close(entry& one) {
    one.state = ejection_state::closed;
    one.runs = 0;
    one.failures = 0;
    one.probe_delay = std::chrono::milliseconds(0);
    --domains_[one.failure_domain].ejected;
}

bool ejection_table::record_while_closed(entry& one, bool is_failure, time_point now) {
    const double age = std::chrono::duration<double>(now - one.counted_at) / settings_.half_life;
    const double kept = static_cast<double>(settings_.run_window - 1) /
                        std::max(static_cast<double>(settings_.run_window - 1), one.runs);
    const double decay = std::exp2(-std::max(0.0, age)) * kept;
    one.runs = one.runs * decay + 1;
    one.failures = one.failures * decay + (is_failure ? 1 : 0);
    one.counted_at = now;
    // Allows a slack of half a run, since outcomes of the last seconds have decayed slightly.
    const bool is_counted = one.runs >= static_cast<double>(settings_.min_runs) - 0.5;
    const bool is_failing = one.failures * 1000 >= one.runs * static_cast<double>(settings_.failure_permille);
    if (!is_failure || !is_counted || !is_failing) {
        return false;
    }
    auto& domain = domains_[one.failure_domain];
    if ((domain.ejected + 1) * 1000 >
        domain.upstreams * static_cast<std::size_t>(settings_.ejected_permille)) {
        return false;
    }
    ++domain.ejected;
    one.state = ejection_state::open;
    one.probe_delay = settings_.first_probe_delay;
    one.next_probe_at = now + one.probe_delay;
    return true;
}

bool ejection_table::record_outcome(const upstream_id& upstream, run_outcome outcome, time_point started_at,
                                    time_point now) {
    if (outcome == run_outcome::caller_fault) {
        return false;
    }
    std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    if (found == entries_.end()) {
        return false;
    }
    entry& one = found->second;
    const bool is_failure = outcome == run_outcome::failed;
    switch (one.state) {
        case ejection_state::closed:
            return record_while_closed(one, is_failure, now);
        case ejection_state::open:
            return false;
        case ejection_state::probing:
            break;
    }
    if (started_at < one.probed_at) {
        return false;
    }
    if (!is_failure) {
        close(one);
        return true;
    }
    one.state = ejection_state::open;
    one.probe_delay = std::min(one.probe_delay * 2, settings_.max_probe_delay);
    one.next_probe_at = now + one.probe_delay;
    return true;
}

bool ejection_table::try_admit(const upstream_id& upstream, time_point now) {
    std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    if (found == entries_.end() || found->second.state == ejection_state::closed) {
        return true;
    }
    entry& one = found->second;
    if (now < one.next_probe_at) {
        return false;
    }
    one.state = ejection_state::probing;
    one.probed_at = now;
    one.next_probe_at = now + settings_.probe_timeout;
    return true;
}

ejection_state ejection_table::get_state(const upstream_id& upstream) const {
    std::lock_guard lock(mutex_);
    const auto found = entries_.find(upstream);
    return found == entries_.end() ? ejection_state::closed : found->second.state;
}

std::size_t ejection_table::get_ejected_count(const failure_domain_id& failure_domain) const {
    std::lock_guard lock(mutex_);
    const auto found = domains_.find(failure_domain);
    return found == domains_.end() ? 0 : found->second.ejected;
}

}  // namespace jacinthvane
