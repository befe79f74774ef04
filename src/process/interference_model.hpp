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
    // How long it is remembered what ran beside what; later reports are dropped.
    std::chrono::milliseconds history{60000};
    std::size_t history_limit = 256;
    // Kinds beyond this share one entry for each class. Memory grows with the square.
    std::size_t kind_limit = 128;
    std::size_t upstream_limit = 16384;
    // Time after which a report counts half.
    std::chrono::milliseconds half_life{120000};
    // Reports that a prior counts for.
    double prior_weight = 1;
    // Reports that the declared time of a kind counts for. It is larger, since a kind that never runs alone
    // shows its own part and its neighbours' parts only together.
    double declared_weight = 100;
    // Bounds how slowly a well-known pair follows a change.
    double weight_limit = 30;
    // Slowdown that one neighbour of a class is assumed to cause until reports say otherwise.
    double urgent_prior = 1.0;
    double batch_prior = 1.2;
    std::chrono::milliseconds snapshot_interval{250};

    bool operator==(const interference_settings&) const = default;
};

// What an upstream or a caller reported of one task. slowdown is the measured time over the time declared
// for the same work; a wrong declaration is learnt as a property of the kind.
struct slowdown_report {
    upstream_id upstream;
    task_id task;
    // The time that the report speaks of, on this machine's clock.
    time_point at;
    double slowdown = 1;

    bool operator==(const slowdown_report&) const = default;
};

// Learns from late reports how kinds of tasks slow each other down. The logarithm of a slowdown is taken as
// the sum of a part for the kind and a part for each neighbour; each report corrects the parts it involves,
// the least known ones most. Thread-safe; decisions read the snapshot and take no lock while they use it.
class interference_model {
public:
    explicit interference_model(interference_settings settings = {});

    // Returns the position of the kind. A class has its own position, since its prior differs.
    kind_index get_kind_index(const task_kind& kind, task_class work_class);

    void record_start(const upstream_id& upstream, const task_id& task, kind_index kind, time_point now);
    void record_end(const upstream_id& upstream, const task_id& task, time_point now);
    void remove_upstream(const upstream_id& upstream);

    // Returns false if the task was not known to run on the upstream at the time of the report.
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

    // A learnt part: its value, the number of reports behind it and the time of the last one.
    struct estimate {
        double value = 0;
        double weight = 0;
        time_point updated_at;
    };

    double get_prior(kind_index neighbour) const;
    void fade(estimate& one, time_point now) const;
    void forget_old(upstream_history& history, time_point now) const;
    void learn(kind_index kind, const std::vector<std::pair<kind_index, double>>& neighbours, double measured,
               time_point now);
    void publish(time_point now);

    interference_settings settings_;
    mutable ordered_mutex mutex_{lock_rank::interference};
    std::map<std::pair<task_kind, task_class>, kind_index> kinds_;
    std::vector<task_class> classes_;
    // Row by row, kind_limit entries each.
    std::vector<estimate> pairs_;
    std::vector<estimate> bases_;
    std::unordered_map<upstream_id, upstream_history> histories_;
    std::shared_ptr<const interference_snapshot> snapshot_;
    time_point published_at_;
    std::uint64_t unmatched_ = 0;
};

}  // namespace jacinthvane
