#include "version/setting_schema.hpp"

#include <algorithm>
#include <array>

namespace jacinthvane {

namespace {

constexpr unsigned no_scope = 0;

// Defaults that docs/design.md specifies have the values given there.
constexpr std::array schemas = {
    setting_schema{setting_key::weight_tail_latency, "permille", 400, 0, 1000, "", "",
                   scope_team | scope_task_kind, "weight of tail latency in placement decisions"},
    setting_schema{setting_key::weight_evictions, "permille", 300, 0, 1000, "", "",
                   scope_team | scope_task_kind, "weight of evictions in placement decisions"},
    setting_schema{setting_key::weight_throughput, "permille", 300, 0, 1000, "", "",
                   scope_team | scope_task_kind, "weight of batch throughput in placement decisions"},
    setting_schema{setting_key::placement_policy, "", 0, 0, 0, "interference_aware",
                   "random|least_committed|power_of_two|interference_aware",
                   scope_team | scope_task_kind | scope_failure_domain,
                   "policy that selects the upstream of a task"},
    setting_schema{setting_key::placement_candidates, "upstreams", 8, 1, 64, "", "",
                   scope_task_kind | scope_failure_domain,
                   "candidate upstreams that are scored for each placement"},
    setting_schema{setting_key::exploration_permille, "permille", 20, 0, 200, "", "",
                   scope_task_kind | scope_failure_domain,
                   "share of batch placements that explore a pair of task kinds with few measurements"},
    setting_schema{setting_key::lapsed_share_permille, "permille", 750, 0, 1000, "", "", no_scope,
                   "share of each upstream that an owner may commit after its term has expired"},
    setting_schema{setting_key::extended_tenure_ms, "ms", 7'200'000, 0, 86'400'000, "", "", no_scope,
                   "time after its term has expired during which an owner may still start tasks"},
    setting_schema{setting_key::shards, "shards", 8, 1, 256, "", "", no_scope,
                   "number of shards that keys and jobs are divided into"},
    setting_schema{setting_key::task_lease_ms, "ms", 30'000, 5'000, 600'000, "", "", scope_task_kind,
                   "lease under which an upstream runs a task"},
    setting_schema{setting_key::urgent_queue_limit, "requests", 2'000, 1, 100'000, "", "", scope_team,
                   "urgent requests that wait in one entry process"},
    setting_schema{setting_key::batch_queue_limit, "jobs", 100'000, 1, 1'000'000, "", "", scope_team,
                   "batch jobs that wait in one shard"},
    setting_schema{setting_key::default_deadline_ms, "ms", 6'900, 10, 600'000, "", "",
                   scope_team | scope_task_kind, "deadline of a request that does not specify one"},
    setting_schema{setting_key::retry_budget_permille, "permille", 100, 0, 500, "", "", scope_task_kind,
                   "maximum number of retries as a share of requests"},
    setting_schema{setting_key::hedge_after_ms, "ms", 0, 0, 60'000, "", "", scope_team | scope_task_kind,
                   "wait before an idempotent request is sent to a second upstream; 0 turns hedging off"},
    setting_schema{setting_key::team_quota_slots, "slots", 200, 0, 1'000'000, "", "", no_scope,
                   "slots that a team without its own quota may use at once"},
    setting_schema{setting_key::team_quota_accelerators, "accelerators", 0, 0, 1'000'000, "", "", no_scope,
                   "accelerators that a team without its own quota may use at once"},
    setting_schema{setting_key::team_share, "", 100, 1, 10'000, "", "", no_scope,
                   "weight in the queue of a team without its own share"},
    setting_schema{setting_key::link_budget_kbit, "kbit/s", 30'000, 0, 10'000'000, "", "",
                   scope_failure_domain,
                   "traffic between regions in one direction, for all processes together"},
    setting_schema{setting_key::max_evictions, "evictions", 3, 0, 100, "", "", scope_team | scope_task_kind,
                   "evictions after which a job is not evicted again"},
    setting_schema{setting_key::max_job_failures, "failures", 5, 1, 100, "", "", scope_team | scope_task_kind,
                   "failures or overruns after which a job is parked"},
    setting_schema{setting_key::journal_writes_per_second, "writes/s", 150, 1, 10'000, "", "", no_scope,
                   "store writes that the journals of the whole fleet may use"},
    setting_schema{setting_key::eject_failures_permille, "permille", 500, 1, 1000, "", "",
                   scope_locations | scope_task_kind,
                   "share of failed starts at which an upstream is ejected"},
    setting_schema{setting_key::eject_min_starts, "starts", 10, 1, 10'000, "", "", scope_locations,
                   "starts needed before an upstream can be ejected"},
    setting_schema{setting_key::eject_probe_ms, "ms", 5'000, 100, 600'000, "", "", scope_locations,
                   "time until an ejected upstream is probed"},
    setting_schema{setting_key::max_ejected_permille, "permille", 300, 0, 1000, "", "", scope_failure_domain,
                   "maximum share of a failure domain that is ejected at once"},
    setting_schema{setting_key::drain_grace_ms, "ms", 5'000, 0, 600'000, "", "", no_scope,
                   "time that a leaving process waits for the load balancer to remove it"},
    setting_schema{setting_key::drain_timeout_ms, "ms", 600'000, 1'000, 86'400'000, "", "",
                   scope_locations | scope_task_kind,
                   "time that tasks on a drained upstream get before they are evicted"},
    setting_schema{setting_key::drain_evictions_per_second, "evictions/s", 20, 1, 1'000, "", "",
                   scope_failure_domain, "rate at which tasks are evicted from drained upstreams"},
    setting_schema{setting_key::stop_calls_in_flight, "calls", 200, 1, 2'000, "", "", no_scope,
                   "stop calls to upstreams in flight at once"},
};

bool is_choice(std::string_view choices, std::string_view word) {
    while (!choices.empty()) {
        const auto choice = choices.substr(0, choices.find('|'));
        if (choice == word) {
            return true;
        }
        choices.remove_prefix(std::min(choices.size(), choice.size() + 1));
    }
    return false;
}

}  // namespace

std::string format_value(const config_value& value) {
    struct visitor {
        std::string operator()(std::int64_t number) const { return std::to_string(number); }
        std::string operator()(const std::string& word) const { return word; }
    };
    return std::visit(visitor{}, value);
}

config_value setting_schema::get_default() const {
    if (choices.empty()) {
        return default_number;
    }
    return std::string(default_word);
}

std::string setting_schema::check(const config_value& value) const {
    if (choices.empty()) {
        const auto* number = std::get_if<std::int64_t>(&value);
        if (number == nullptr) {
            return "must be a whole number, not \"" + format_value(value) + "\"";
        }
        if (*number < min || *number > max) {
            return "must be between " + std::to_string(min) + " and " + std::to_string(max) + ", not " +
                   std::to_string(*number);
        }
        return {};
    }
    const auto* word = std::get_if<std::string>(&value);
    if (word == nullptr || !is_choice(choices, *word)) {
        return "must be one of " + std::string(choices) + ", not \"" + format_value(value) + "\"";
    }
    return {};
}

std::span<const setting_schema> get_setting_schemas() {
    return schemas;
}

const setting_schema* find_setting(std::string_view key) {
    const auto* found =
        std::find_if(schemas.begin(), schemas.end(), [&](const auto& schema) { return schema.key == key; });
    return found == schemas.end() ? nullptr : found;
}

}  // namespace jacinthvane
