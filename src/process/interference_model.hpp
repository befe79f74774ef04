#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"
#include "process/interference_snapshot.hpp"
#include "process/ordered_mutex.hpp"
#include "process/task_types.hpp"

namespace jacinthvane {

struct interference_settings {
    // How long the model keeps which tasks ran on the same upstream. Older reports are dropped.
    std::chrono::milliseconds history{60000};
    std::size_t history_limit = 256;
    // Kinds beyond this number share one entry for each class. Memory use grows with the square of it.
    std::size_t kind_limit = 128;
    std::size_t upstream_limit = 16384;
    // The time after which the weight of a report has halved.
    std::chrono::milliseconds half_life{120000};
    // The number of reports that the prior of a pair is worth.
    double prior_weight = 1;
    // The number of reports that the declared run time of a kind is worth. It is larger, since the part of a
    // kind that never runs alone cannot be told apart from the parts of its neighbors.
    double declared_weight = 100;
    // Caps the weight of an estimate, so that a pair with many reports still follows a change.
    double weight_limit = 30;
    // The slowdown factor that one neighbor of the class is assumed to cause until there are reports.
    double urgent_prior = 1.0;
    double batch_prior = 1.2;
    std::chrono::milliseconds snapshot_interval{250};

    bool operator==(const interference_settings&) const = default;
};

// A report of an upstream or a caller on one task. slowdown is the measured run time divided by the declared
// run time of the same work; the model attributes a wrong declaration to the kind.
struct slowdown_report {
    upstream_id upstream;
    task_id task;
    // The time to which the report refers, on this machine's clock.
    time_point at;
    double slowdown = 1;

    bool operator==(const slowdown_report&) const = default;
};

// Estimates from delayed reports how kinds of tasks slow each other down. The logarithm of a slowdown is
// modeled as the sum of a part for the kind and a part for each neighbor. Each report corrects the parts that
// it involves, most of all those with the fewest reports. Thread-safe; decisions read the snapshot and hold
// no lock while they use it.
class interference_model {
public:
    explicit interference_model(interference_settings settings = {});

    // Returns the index of the kind, and adds the kind if it is new. The same kind has an index for each
    // class, since the priors of the classes differ.
    kind_index get_kind_index(const task_kind& kind, task_class work_class);

    void record_start(const upstream_id& upstream, const task_id& task, kind_index kind, time_point now);
    void record_end(const upstream_id& upstream, const task_id& task, time_point now);
    void remove_upstream(const upstream_id& upstream);

    // Returns false and drops the report if the task is not recorded as running on the upstream at the
    // reported time.
    bool record_report(const slowdown_report& report, time_point now);

    std::shared_ptr<const interference_snapshot> get_snapshot() const;

    std::uint64_t get_unmatched_count() const;

private:
    struct run_record {
        task_id task;
        kind_index kind = 0;
        time_point started_at;
        std::optional<time_point> ended_at;

        bool is_running_at(time_point at) const { return started_at <= at && (!ended_at || at < *ended_at); }
    };

    using upstream_history = std::vector<run_record>;

    // A learned part: its value, the decayed number of reports behind it and the time of the last one.
    struct estimate {
        double value = 0;
        double weight = 0;
        time_point updated_at;
    };

    double get_prior(kind_index neighbor) const;
    void decay_weight(estimate& one, time_point now) const;
    void prune_history(upstream_history& history, time_point now) const;
    void update_estimates(kind_index kind, const std::vector<std::pair<kind_index, double>>& neighbors,
                          double measured, time_point now);
    void publish(time_point now);

    interference_settings settings_;
    mutable ordered_mutex mutex_{lock_rank::interference};
    std::map<std::pair<task_kind, task_class>, kind_index> kinds_;
    std::vector<task_class> classes_;
    // A matrix in row-major order with kind_limit entries in each row.
    std::vector<estimate> pairs_;
    std::vector<estimate> bases_;
    std::unordered_map<upstream_id, upstream_history> histories_;
    std::shared_ptr<const interference_snapshot> snapshot_;
    time_point published_at_;
    std::uint64_t unmatched_ = 0;
};

}  // namespace jacinthvane
