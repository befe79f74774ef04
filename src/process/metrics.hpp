#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "process/error_kind.hpp"
#include "process/rejection_log.hpp"
#include "process/task_types.hpp"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace jacinthvane {

// Decisions with a counter each.
enum class decision {
    placed,
    retried,
    hedged,
    ejected,
    probed,
    readmitted,
    evicted,
    resumed,
    parked,
    job_accepted,
    job_finished,
    job_cancelled,
    key_claimed,
    key_repeated,
    unknown_outcome,
    takeover,
    takeover_unproved,
    handover,
    term_lapsed,
    late_start_refused,
    journal_batch,
    journal_conflict,
    snapshot,
    link_replaced,
    datagram_refused,
    config_change,
    config_conflict,
    admin_refused,
    runbook_step,
    task_exception,
    reservation_created,
    reservation_used,
    reservation_cancelled,
};

enum class store_call_kind { get, compare_and_swap, remove, grant_lease, renew_lease, release_lease, watch };
enum class store_result { ok, absent, conflict, refused, unavailable, unknown };
enum class link_direction { sent, received };

// Durations that are recorded as histograms, in seconds.
enum class measured_time {
    urgent_start,
    urgent_answer,
    batch_wait,
    placement,
    store_call,
    config_spread,
    takeover
};

// All metrics of the process. Label values come from closed lists only, so the number of time series is
// fixed. Safe to call from any thread.
class metrics {
public:
    metrics();
    ~metrics();

    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(decision what, std::uint64_t amount = 1);
    // Counts a request that received an error response, by error kind.
    void count_refused(error_kind kind);
    // Counts a remote side that was rejected because of a limit.
    void count_rejected(rejection kind);
    void count_store_call(store_call_kind call, store_result result);
    void count_link_bytes(link_direction direction, task_class work_class, std::uint64_t bytes);
    void count_journal_records(std::uint64_t records, std::uint64_t bytes);
    // Counts the time for which room was held by reservations that have ended.
    void count_reservation_held(double seconds);
    void observe(measured_time what, double seconds);
    void set_config_version(std::uint64_t version);
    // States outside the list joining, live, suspect, leaving and gone count as "other".
    void set_members(std::string_view state, std::uint64_t members);
    void set_queued(task_class work_class, std::uint64_t requests);
    void set_running(task_class work_class, std::uint64_t tasks);
    void set_ready(bool is_ready);
    // Whether this process owns a cell and cannot start the tasks of further jobs in time.
    void set_overloaded(bool is_overloaded);
    // Failure domains in which this process, as the owner of a cell, starts nothing at an operator's request.
    void set_evacuated_domains(std::uint64_t domains);
    // Jobs that can end no more before their objective.
    void set_late_jobs(std::uint64_t jobs);
    // What the connections of clients, and the responses that are being read, hold at present.
    void set_connection_usage(std::size_t connections, std::size_t request_bytes, std::size_t response_bytes);
    // Counts migrations of best-effort tasks, and how much earlier they are expected to end.
    void count_migrations(std::uint64_t migrations, std::chrono::milliseconds expected_gain);

    // Return the values of counters, for the state dump and for tests.
    std::uint64_t get_count(decision what) const;
    std::uint64_t get_refused(error_kind kind) const;

    // Returns all metrics in the text exposition format of Prometheus.
    std::string write_text() const;

private:
    static constexpr std::size_t decisions = static_cast<std::size_t>(decision::reservation_cancelled) + 1;
    static constexpr std::size_t error_kinds = static_cast<std::size_t>(error_kind::internal) + 1;
    static constexpr std::size_t store_calls = static_cast<std::size_t>(store_call_kind::watch) + 1;
    static constexpr std::size_t store_results = static_cast<std::size_t>(store_result::unknown) + 1;
    static constexpr std::size_t times = static_cast<std::size_t>(measured_time::takeover) + 1;

    void add_counters();
    void add_gauges();
    void add_histograms();

    std::shared_ptr<prometheus::Registry> registry_;
    std::array<prometheus::Counter*, decisions> decisions_{};
    std::array<prometheus::Counter*, error_kinds> refused_{};
    std::array<prometheus::Counter*, rejection_kinds> rejected_{};
    std::array<std::array<prometheus::Counter*, store_results>, store_calls> store_calls_{};
    // Indexed by direction, then by task class.
    std::array<std::array<prometheus::Counter*, 2>, 2> link_bytes_{};
    prometheus::Counter* journal_records_ = nullptr;
    prometheus::Counter* journal_bytes_ = nullptr;
    prometheus::Counter* reservation_held_ = nullptr;
    std::array<prometheus::Histogram*, times> times_{};
    prometheus::Gauge* config_version_ = nullptr;
    prometheus::Gauge* ready_ = nullptr;
    prometheus::Gauge* overloaded_ = nullptr;
    prometheus::Gauge* evacuated_domains_ = nullptr;
    prometheus::Gauge* late_jobs_ = nullptr;
    prometheus::Gauge* connections_ = nullptr;
    prometheus::Gauge* request_bytes_ = nullptr;
    prometheus::Gauge* response_bytes_ = nullptr;
    prometheus::Counter* migrations_ = nullptr;
    prometheus::Counter* migration_gain_ = nullptr;
    std::map<std::string, prometheus::Gauge*, std::less<>> members_;
    std::array<prometheus::Gauge*, 2> queued_{};
    std::array<prometheus::Gauge*, 2> running_{};
};

std::string_view get_name(decision what);

}  // namespace jacinthvane
