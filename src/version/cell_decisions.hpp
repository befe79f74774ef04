#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/job_progress.hpp"
#include "process/run_locations.hpp"
#include "process/task_ref.hpp"
#include "process/upstream_order.hpp"

namespace jacinthvane {

// One reading of both clocks: deadlines use the monotonic one, schedules the time of day.
struct clock_reading {
    time_point now;
    std::int64_t unix_ms = 0;

    bool operator==(const clock_reading&) const = default;
};

// Progress to be written, and the ends that may be acknowledged once it is durable.
struct progress_commit {
    struct job_entry {
        job_id job;
        job_progress progress;
        // Set for a long-running job that has not ended.
        std::optional<run_locations> locations;
        // The store may have a record of its locations.
        bool has_stored_locations = false;

        // Entries that it takes in a transaction: the progress and the locations, or the progress and the
        // removal of the job, of its cancellation and of its locations.
        std::size_t count_entries() const {
            const bool is_cancelled = progress.state == job_phase::cancelled;
            return 1 + (is_final(progress.state) ? 1 : 0) + (is_cancelled ? 1 : 0) +
                   (locations || has_stored_locations ? 1 : 0);
        }

        bool operator==(const job_entry&) const = default;
    };

    // All ends of one incarnation of an upstream up to a number.
    struct end_mark {
        std::int64_t boot_unix_ms = 0;
        std::uint64_t number = 0;

        bool operator==(const end_mark&) const = default;
    };

    std::vector<job_entry> jobs;
    std::map<upstream_id, end_mark> ends;

    bool operator==(const progress_commit&) const = default;
    bool is_empty() const { return jobs.empty() && ends.empty(); }
};

// Requests tickets for a step that may start only on upstreams for which the advice service issues one.
struct advice_request {
    step_ref step;
    std::vector<upstream_id> upstreams;
    // When the answer is expected, by the times that the configuration gives for the queue.
    time_point expected_at;
    // Until when the tickets of an answer that comes as expected are valid.
    time_point useful_until;

    bool operator==(const advice_request&) const = default;
};

// How the owner learned that an upstream has restarted:
// - report: the new incarnation has responded to a poll, so it has received the fencing token of this owner.
// - listing: the platform lists the new incarnation.
// - refusal: another upstream has responded at its address.
enum class incarnation_source { report, listing, refusal };

// Messages that the owner sends as the result of one decision.
struct cell_decisions {
    std::vector<upstream_order> orders;
    std::vector<advice_request> advice;

    bool operator==(const cell_decisions&) const = default;
};

// State of a queue as it is reported to other processes.
struct queue_status {
    std::string queue;
    // Accepted jobs of which no task has started.
    std::uint64_t pending = 0;

    bool operator==(const queue_status&) const = default;
};

}  // namespace jacinthvane
