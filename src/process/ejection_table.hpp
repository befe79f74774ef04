#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

struct ejection_settings {
    // Share of failures and number of starts from which an upstream is ejected.
    std::int64_t failure_permille = 500;
    std::int64_t least_starts = 10;
    // The share is that of about the last so many starts, so that 14 failures in a row eject an upstream
    // however long it worked before.
    std::int64_t remembered_starts = 20;
    // Older outcomes also fade with time, by half in each of these.
    std::chrono::milliseconds half_life{120000};
    std::chrono::milliseconds first_probe_after{5000};
    std::chrono::milliseconds longest_probe_after{120000};
    // A probe without an outcome for this long counts as lost, and another one may be sent.
    std::chrono::milliseconds probe_timeout{30000};
    // Ejecting more of a failure domain would overload the rest of it.
    std::int64_t ejected_permille = 300;

    bool operator==(const ejection_settings&) const = default;
};

// What a start on an upstream says of the upstream. A bad request and a cancellation are the caller's doing.
enum class start_outcome { succeeded, failed, caller_fault };

// closed: takes work; open: takes none; probing: takes one task, whose outcome decides.
enum class ejection_state { closed, open, probing };

// Keeps work away from upstreams that fail what they start. Thread-safe.
class ejection_table {
public:
    explicit ejection_table(ejection_settings settings = {});

    // Upstreams must be added before their outcomes count, so that the size of each failure domain is known.
    void add(const upstream_id& upstream, const failure_domain_id& failure_domain);
    void remove(const upstream_id& upstream);

    // Returns true if the state of the upstream changed. Tasks started before the ejection, or before the
    // probe, say nothing of the upstream as it is now.
    bool record_outcome(const upstream_id& upstream, start_outcome outcome, time_point started_at,
                        time_point now);

    // Returns true if the upstream may take a task now. When a probe is due, the first caller gets it.
    bool try_admit(const upstream_id& upstream, time_point now);

    ejection_state get_state(const upstream_id& upstream) const;
    std::size_t get_ejected_count(const failure_domain_id& failure_domain) const;

private:
    struct entry {
        failure_domain_id failure_domain;
        ejection_state state = ejection_state::closed;
        double starts = 0;
        double failures = 0;
        time_point counted_at;
        time_point probed_at;
        time_point next_probe_at;
        std::chrono::milliseconds probe_after{0};
    };

    struct domain_count {
        std::size_t upstreams = 0;
        std::size_t ejected = 0;
    };

    bool record_closed(entry& one, bool is_failure, time_point now);
    void close(entry& one);

    ejection_settings settings_;
    mutable ordered_mutex mutex_{lock_rank::ejection};
    std::unordered_map<upstream_id, entry> entries_;
    std::unordered_map<failure_domain_id, domain_count> domains_;
};

}  // namespace jacinthvane
