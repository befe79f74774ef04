#include "process/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jacinthvane {

namespace {

constexpr std::array decision_names = {
    "placed",
    "retried",
    "hedged",
    "ejected",
    "probed",
    "readmitted",
    "evicted",
    "resumed",
    "parked",
    "job_accepted",
    "job_finished",
    "job_cancelled",
    "key_claimed",
    "key_repeated",
    "unknown_outcome",
    "takeover",
    "takeover_unproved",
    "handover",
    "term_lapsed",
    "late_start_refused",
    "journal_batch",
    "journal_conflict",
    "snapshot",
    "link_replaced",
    "datagram_refused",
    "config_change",
    "config_conflict",
    "admin_refused",
    "runbook_step",
    "task_exception",
    "reservation_created",
    "reservation_used",
    "reservation_cancelled",
};
constexpr std::array store_call_names = {"get",         "compare_and_swap", "remove", "grant_lease",
                                         "renew_lease", "release_lease",    "watch"};
constexpr std::array store_result_names = {"ok", "absent", "conflict", "refused", "unavailable", "unknown"};
constexpr std::array direction_names = {"sent", "received"};
constexpr std::array class_names = {"urgent", "batch"};
constexpr std::array time_names = {"urgent_start", "urgent_answer", "batch_wait", "placement",
                                   "store_call",   "config_spread", "takeover"};
constexpr std::array member_state_names = {"joining", "live", "suspect", "leaving", "gone", "other"};

// Bucket boundaries in seconds, from 1 us, since a placement takes microseconds, to 1 h, since batch jobs may
// wait that long. The target of 6.9 s for the start of urgent requests is a boundary, so that the share of
// requests that meet it can be read.
const prometheus::Histogram::BucketBoundaries time_buckets = {
    1e-6, 1e-5, 1e-4, 0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 6.9, 15, 60, 600, 3600};

static_assert(decision_names.size() == static_cast<std::size_t>(decision::reservation_cancelled) + 1);
static_assert(store_call_names.size() == static_cast<std::size_t>(store_call_kind::watch) + 1);
static_assert(store_result_names.size() == static_cast<std::size_t>(store_result::unknown) + 1);
static_assert(time_names.size() == static_cast<std::size_t>(measured_time::takeover) + 1);

template <typename Enum>
std::size_t index_of(Enum value) {
    return static_cast<std::size_t>(value);
}

}  // namespace

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {
    add_counters();
    add_gauges();
    add_histograms();
}

metrics::~metrics() = default;

void metrics::add_counters() {
    auto& decision_counters = prometheus::BuildCounter()
                                  .Name("jacinthvane_decisions_total")
                                  .Help("Decisions of this process by kind")
                                  .Register(*registry_);
    for (std::size_t i = 0; i < decisions_.size(); ++i) {
        decisions_[i] = &decision_counters.Add({{"decision", decision_names[i]}});
    }
    auto& refused = prometheus::BuildCounter()
                        .Name("jacinthvane_refused_total")
                        .Help("Requests answered with an error, by error kind")
                        .Register(*registry_);
    for (const auto& mapping : get_all_error_mappings()) {
        refused_.at(index_of(mapping.kind)) = &refused.Add({{"kind", std::string(mapping.name)}});
    }
    auto& rejected = prometheus::BuildCounter()
                         .Name("jacinthvane_remote_sides_rejected_total")
                         .Help("Connections, requests and responses rejected because of a limit, by limit")
                         .Register(*registry_);
    for (std::size_t i = 0; i < rejected_.size(); ++i) {
        rejected_[i] = &rejected.Add({{"kind", std::string(get_name(static_cast<rejection>(i)))}});
    }
    auto& calls = prometheus::BuildCounter()
                      .Name("jacinthvane_store_calls_total")
                      .Help("Calls to the platform's store by kind and result")
                      .Register(*registry_);
    for (std::size_t call = 0; call < store_calls_.size(); ++call) {
        for (std::size_t result = 0; result < store_results; ++result) {
            store_calls_[call][result] =
                &calls.Add({{"call", store_call_names[call]}, {"result", store_result_names[result]}});
        }
    }
    auto& bytes = prometheus::BuildCounter()
                      .Name("jacinthvane_link_bytes_total")
                      .Help("Bytes over the link between regions by direction and class")
                      .Register(*registry_);
    for (std::size_t direction = 0; direction < link_bytes_.size(); ++direction) {
        for (std::size_t work_class = 0; work_class < class_names.size(); ++work_class) {
            link_bytes_[direction][work_class] =
                &bytes.Add({{"direction", direction_names[direction]}, {"class", class_names[work_class]}});
        }
    }
    journal_records_ = &prometheus::BuildCounter()
                            .Name("jacinthvane_journal_records_total")
                            .Help("Records appended to journals")
                            .Register(*registry_)
                            .Add({});
    journal_bytes_ = &prometheus::BuildCounter()
                          .Name("jacinthvane_journal_bytes_total")
                          .Help("Bytes appended to journals")
                          .Register(*registry_)
                          .Add({});
    reservation_held_ =
        &prometheus::BuildCounter()
             .Name("jacinthvane_reservation_held_seconds_total")
             .Help("Time for which room was held for large tasks by reservations that have ended")
             .Register(*registry_)
             .Add({});
}

void metrics::add_gauges() {
    config_version_ = &prometheus::BuildGauge()
                           .Name("jacinthvane_config_version")
                           .Help("Version of the fleet configuration in force")
                           .Register(*registry_)
                           .Add({});
    ready_ = &prometheus::BuildGauge()
                  .Name("jacinthvane_ready")
                  .Help("1 if the process takes requests")
                  .Register(*registry_)
                  .Add({});
    overloaded_ = &prometheus::BuildGauge()
                       .Name("jacinthvane_owner_overloaded")
                       .Help("1 if the process owns a cell and cannot start further jobs in time")
                       .Register(*registry_)
                       .Add({});
    late_jobs_ = &prometheus::BuildGauge()
                      .Name("jacinthvane_late_jobs")
                      .Help("Jobs of the cell that can end no more before their objective.")
                      .Register(*registry_)
                      .Add({});
    evacuated_domains_ = &prometheus::BuildGauge()
                              .Name("jacinthvane_evacuated_failure_domains")
                              .Help("Failure domains in which the owner of a cell starts nothing on request")
                              .Register(*registry_)
                              .Add({});
    connections_ = &prometheus::BuildGauge()
                        .Name("jacinthvane_connections")
                        .Help("Open connections of clients on all ports")
                        .Register(*registry_)
                        .Add({});
    auto& held = prometheus::BuildGauge()
                     .Name("jacinthvane_connection_bytes")
                     .Help("Memory of the connections of clients and of the responses that are being read")
                     .Register(*registry_);
    request_bytes_ = &held.Add({{"side", "clients"}});
    response_bytes_ = &held.Add({{"side", "responses"}});
    migrations_ = &prometheus::BuildCounter()
                       .Name("jacinthvane_migrations_total")
                       .Help("Best-effort tasks that were stopped to run on another upstream")
                       .Register(*registry_)
                       .Add({});
    migration_gain_ = &prometheus::BuildCounter()
                           .Name("jacinthvane_migration_gain_seconds_total")
                           .Help("How much earlier migrated tasks were expected to end, in total")
                           .Register(*registry_)
                           .Add({});
    auto& members = prometheus::BuildGauge()
                        .Name("jacinthvane_members")
                        .Help("Members known to this process by state")
                        .Register(*registry_);
    for (const auto* state : member_state_names) {
        members_[state] = &members.Add({{"state", state}});
    }
    auto& queued = prometheus::BuildGauge()
                       .Name("jacinthvane_queued")
                       .Help("Requests and jobs that wait, by class")
                       .Register(*registry_);
    auto& running = prometheus::BuildGauge()
                        .Name("jacinthvane_running_tasks")
                        .Help("Tasks that run under leases of this process, by class")
                        .Register(*registry_);
    for (std::size_t i = 0; i < class_names.size(); ++i) {
        queued_[i] = &queued.Add({{"class", class_names[i]}});
        running_[i] = &running.Add({{"class", class_names[i]}});
    }
}

void metrics::add_histograms() {
    auto& measured = prometheus::BuildHistogram()
                         .Name("jacinthvane_time_seconds")
                         .Help("Times of requests and decisions by kind")
                         .Register(*registry_);
    for (std::size_t i = 0; i < times_.size(); ++i) {
        times_[i] = &measured.Add({{"what", time_names[i]}}, time_buckets);
    }
}

void metrics::count(decision what, std::uint64_t amount) {
    decisions_.at(index_of(what))->Increment(static_cast<double>(amount));
}

void metrics::count_refused(error_kind kind) {
    refused_.at(index_of(kind))->Increment();
}

void metrics::count_rejected(rejection kind) {
    rejected_.at(index_of(kind))->Increment();
}

void metrics::count_store_call(store_call_kind call, store_result result) {
    store_calls_.at(index_of(call)).at(index_of(result))->Increment();
}

void metrics::count_link_bytes(link_direction direction, task_class work_class, std::uint64_t bytes) {
    link_bytes_.at(index_of(direction)).at(index_of(work_class))->Increment(static_cast<double>(bytes));
}

void metrics::count_journal_records(std::uint64_t records, std::uint64_t bytes) {
    journal_records_->Increment(static_cast<double>(records));
    journal_bytes_->Increment(static_cast<double>(bytes));
}

void metrics::count_reservation_held(double seconds) {
    reservation_held_->Increment(seconds);
}

void metrics::observe(measured_time what, double seconds) {
    times_.at(index_of(what))->Observe(seconds);
}

void metrics::set_config_version(std::uint64_t version) {
    config_version_->Set(static_cast<double>(version));
}

void metrics::set_members(std::string_view state, std::uint64_t members) {
    const auto found = members_.find(state);
    const auto used = found == members_.end() ? members_.find("other") : found;
    used->second->Set(static_cast<double>(members));
}

void metrics::set_queued(task_class work_class, std::uint64_t requests) {
    queued_.at(index_of(work_class))->Set(static_cast<double>(requests));
}

void metrics::set_running(task_class work_class, std::uint64_t tasks) {
    running_.at(index_of(work_class))->Set(static_cast<double>(tasks));
}

void metrics::set_ready(bool is_ready) {
    ready_->Set(is_ready ? 1 : 0);
}

void metrics::set_overloaded(bool is_overloaded) {
    overloaded_->Set(is_overloaded ? 1 : 0);
}

void metrics::set_late_jobs(std::uint64_t jobs) {
    late_jobs_->Set(static_cast<double>(jobs));
}

void metrics::set_evacuated_domains(std::uint64_t domains) {
    evacuated_domains_->Set(static_cast<double>(domains));
}

void metrics::set_connection_usage(std::size_t connections, std::size_t request_bytes,
                                   std::size_t response_bytes) {
    connections_->Set(static_cast<double>(connections));
    request_bytes_->Set(static_cast<double>(request_bytes));
    response_bytes_->Set(static_cast<double>(response_bytes));
}

void metrics::count_migrations(std::uint64_t migrations, std::chrono::milliseconds expected_gain) {
    migrations_->Increment(static_cast<double>(migrations));
    migration_gain_->Increment(std::chrono::duration<double>(expected_gain).count());
}

std::uint64_t metrics::get_count(decision what) const {
    return static_cast<std::uint64_t>(decisions_.at(index_of(what))->Value());
}

std::uint64_t metrics::get_refused(error_kind kind) const {
    return static_cast<std::uint64_t>(refused_.at(index_of(kind))->Value());
}

std::string metrics::write_text() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

std::string_view get_name(decision what) {
    return decision_names.at(index_of(what));
}

}  // namespace jacinthvane
