#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace jacinthvane {

using config_value = std::variant<std::int64_t, std::string>;

std::string format_value(const config_value& value);

// The scopes that an exception can have, as bits of setting_schema::scopes.
enum scope_bit : unsigned {
    scope_team = 1U,
    scope_task_kind = 2U,
    scope_upstream = 4U,
    scope_rack = 8U,
    scope_failure_domain = 16U,
    scope_locations = scope_upstream | scope_rack | scope_failure_domain,
};

// The schema of one fleet setting. A setting with choices takes one of those words, any other takes an
// integer.
struct setting_schema {
    std::string_view key;
    std::string_view unit;
    std::int64_t default_number;
    std::int64_t min;
    std::int64_t max;
    std::string_view default_word;
    // The allowed words, separated by '|'.
    std::string_view choices;
    unsigned scopes;
    std::string_view text;

    config_value get_default() const;
    // Returns an empty string if the value is valid, and an error message otherwise.
    std::string check(const config_value& value) const;
};

std::span<const setting_schema> get_setting_schemas();

// Returns nullptr for an unknown key.
const setting_schema* find_setting(std::string_view key);

// The keys of the schema, as constants so that a misspelled key does not compile.
namespace setting_key {
inline constexpr std::string_view weight_tail_latency = "weight_tail_latency";
inline constexpr std::string_view weight_evictions = "weight_evictions";
inline constexpr std::string_view weight_throughput = "weight_throughput";
inline constexpr std::string_view placement_policy = "placement_policy";
inline constexpr std::string_view placement_candidates = "placement_candidates";
inline constexpr std::string_view exploration_permille = "exploration_permille";
inline constexpr std::string_view lapsed_share_permille = "lapsed_share_permille";
inline constexpr std::string_view extended_tenure_ms = "extended_tenure_ms";
inline constexpr std::string_view shards = "shards";
inline constexpr std::string_view task_lease_ms = "task_lease_ms";
inline constexpr std::string_view urgent_queue_limit = "urgent_queue_limit";
inline constexpr std::string_view batch_queue_limit = "batch_queue_limit";
inline constexpr std::string_view default_deadline_ms = "default_deadline_ms";
inline constexpr std::string_view retry_budget_permille = "retry_budget_permille";
inline constexpr std::string_view hedge_after_ms = "hedge_after_ms";
inline constexpr std::string_view team_quota_slots = "team_quota_slots";
inline constexpr std::string_view team_quota_accelerators = "team_quota_accelerators";
inline constexpr std::string_view team_share = "team_share";
inline constexpr std::string_view link_budget_kbit = "link_budget_kbit";
inline constexpr std::string_view max_evictions = "max_evictions";
inline constexpr std::string_view max_job_failures = "max_job_failures";
inline constexpr std::string_view journal_writes_per_second = "journal_writes_per_second";
inline constexpr std::string_view eject_failures_permille = "eject_failures_permille";
inline constexpr std::string_view eject_min_starts = "eject_min_starts";
inline constexpr std::string_view eject_probe_ms = "eject_probe_ms";
inline constexpr std::string_view max_ejected_permille = "max_ejected_permille";
inline constexpr std::string_view drain_grace_ms = "drain_grace_ms";
inline constexpr std::string_view drain_timeout_ms = "drain_timeout_ms";
inline constexpr std::string_view drain_evictions_per_second = "drain_evictions_per_second";
inline constexpr std::string_view stop_calls_in_flight = "stop_calls_in_flight";
}  // namespace setting_key

}  // namespace jacinthvane
