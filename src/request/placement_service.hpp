#pragma once

#include <map>
#include <optional>
#include <span>
#include <utility>

#include "absl/status/status.h"
#include "process/clock.hpp"
#include "process/ejection_table.hpp"
#include "process/interference_model.hpp"
#include "process/ledger.hpp"
#include "process/ordered_mutex.hpp"
#include "process/random_source.hpp"
#include "request/capacity_types.hpp"
#include "request/placement.hpp"

namespace jacinthvane {

// Chooses upstreams by the learned interference between kinds of tasks, and ejects upstreams on which tasks
// fail. Thread-safe.
class placement_service {
public:
    // Number of upstreams with room that one decision considers.
    static constexpr std::size_t candidate_count = 12;

    explicit placement_service(std::uint64_t seed) : random_(seed) {}

    std::optional<upstream_id> choose(const task_start& start,
                                      std::span<const placement_candidate> candidates);

    // Records the outcome of a task that this service placed. An OK status is a success.
    void note_end(const task_id& task, std::uint64_t generation, const absl::Status& status);
    // Records the measured slowdown of a task.
    void note_usage(const usage_report& report);

    void set_weights(const placement_weights& weights);

    // Returns the number of placed tasks whose end has not been recorded.
    std::size_t get_running_count() const;
    const ejection_table& get_ejections() const { return ejections_; }

private:
    struct placed_task {
        upstream_id upstream;
        time_point started_at;
    };
    using attempt = std::pair<task_id, std::uint64_t>;

    candidate describe(const placement_candidate& source);

    mutable ordered_mutex mutex_{lock_rank::quota};
    random_source random_;
    interference_aware_placement policy_;
    std::map<attempt, placed_task> placed_;
    interference_model model_;
    ejection_table ejections_;
};

}  // namespace jacinthvane
