#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

struct ejection_settings {
    // An upstream is ejected when at least this share of at least so many runs failed.
    std::int64_t failure_permille = 500;
    std::int64_t min_runs = 10;
    // The share of failures covers about the last so many runs, so that 14 consecutive failures eject an
    // upstream regardless of how long it worked before.
    std::int64_t run_window = 20;
    // The weight of older outcomes also decays with time, with this half-life.
    std::chrono::milliseconds half_life{120000};
    std::chrono::milliseconds first_probe_delay{5000};
    std::chrono::milliseconds max_probe_delay{120000};
    // A probe without an outcome after this time counts as lost, and another one may be sent.
    std::chrono::milliseconds probe_timeout{30000};
    // The largest share of a failure domain that may be ejected. Ejecting more would overload the rest.
    std::int64_t ejected_permille = 300;

    bool operator==(const ejection_settings&) const = default;
};

// The outcome of a run as evidence about the upstream. Bad requests and cancellations are caused by the
// caller.
enum class run_outcome { succeeded, failed, caller_fault };

// The states of a circuit breaker. closed: the upstream takes work; open: it takes none; probing: it takes
// one task, whose outcome decides the next state.
enum class ejection_state { closed, open, probing };

// Ejects upstreams on which too many runs fail, so that they get no more work until a probe succeeds.
// Thread-safe.
class ejection_table {
public:
    explicit ejection_table(ejection_settings settings = {});

    // Outcomes count only for upstreams that were added, since the size of each failure domain must be known.
    void add(const upstream_id& upstream, const failure_domain_id& failure_domain);
    void remove(const upstream_id& upstream);

    // Returns true if the state of the upstream changed. Ignores the outcomes of tasks that were started
    // before the ejection or the probe, since they say nothing about the present state of the upstream.
    bool record_outcome(const upstream_id& upstream, run_outcome outcome, time_point started_at,
                        time_point now);

    // Returns true if the upstream may take a task now. If a probe is due, the first caller's task is the
    // probe.
    bool try_admit(const upstream_id& upstream, time_point now);

    ejection_state get_state(const upstream_id& upstream) const;
    std::size_t get_ejected_count(const failure_domain_id& failure_domain) const;

private:
    struct entry {
        failure_domain_id failure_domain;
        ejection_state state = ejection_state::closed;
        double runs = 0;
        double failures = 0;
        time_point counted_at;
        time_point probed_at;
        time_point next_probe_at;
        std::chrono::milliseconds probe_delay{0};
    };

    struct domain_count {
        std::size_t upstreams = 0;
        std::size_t ejected = 0;
    };

    bool record_while_closed(entry& one, bool is_failure, time_point now);
    void close(entry& one);

    ejection_settings settings_;
    mutable ordered_mutex mutex_{lock_rank::ejection};
    std::unordered_map<upstream_id, entry> entries_;
    std::unordered_map<failure_domain_id, domain_count> domains_;
};

}  // namespace jacinthvane
