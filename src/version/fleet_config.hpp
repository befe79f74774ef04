#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "process/ids.hpp"
#include "process/utc_time.hpp"
#include "version/config_error.hpp"
#include "version/runbook.hpp"
#include "version/setting_schema.hpp"

namespace jacinthvane {

constexpr std::size_t max_config_exceptions = 100;
constexpr std::size_t max_config_teams = 512;
constexpr std::size_t max_config_drains = 1024;
constexpr std::size_t max_config_runbooks = 64;
constexpr std::size_t max_config_changes = 50;
constexpr std::size_t max_change_operations = 2048;
constexpr std::size_t max_reason_bytes = 512;

using config_scope = std::variant<team_id, task_kind, upstream_id, rack_id, failure_domain_id>;
using drain_target = std::variant<upstream_id, rack_id, failure_domain_id>;

// Returns "team", "task_kind", "upstream", "rack" or "failure_domain".
std::string_view get_scope_type(const config_scope& scope);
std::string_view get_scope_type(const drain_target& target);
const std::string& get_scope_name(const config_scope& scope);
const std::string& get_scope_name(const drain_target& target);
std::optional<config_scope> make_scope(std::string_view type, std::string_view name);
std::optional<drain_target> make_drain_target(std::string_view type, std::string_view name);

// Overrides the fleet's default of one setting for one scope. A reason is required.
struct config_exception {
    config_scope scope;
    std::string key;
    config_value value;
    std::string reason;
    std::string author;
    std::optional<utc_time> until;

    bool operator==(const config_exception&) const = default;
};

struct team_config {
    team_id team;
    std::int64_t quota_slots = 0;
    std::int64_t quota_accelerators = 0;
    std::int64_t share = 100;

    bool operator==(const team_config&) const = default;
};

// An upstream, rack or failure domain that receives no new work until an operator ends the drain.
struct drain_record {
    drain_target target;
    std::string reason;
    std::string author;
    utc_time since;

    bool operator==(const drain_record&) const = default;
};

// The operations of a change. A put operation replaces an existing entry.
struct set_default {
    std::string key;
    config_value value;
    bool operator==(const set_default&) const = default;
};
struct clear_default {
    std::string key;
    bool operator==(const clear_default&) const = default;
};
struct put_exception {
    config_exception exception;
    bool operator==(const put_exception&) const = default;
};
struct remove_exception {
    config_scope scope;
    std::string key;
    bool operator==(const remove_exception&) const = default;
};
struct put_team {
    team_config team;
    bool operator==(const put_team&) const = default;
};
struct remove_team {
    team_id team;
    bool operator==(const remove_team&) const = default;
};
struct put_drain {
    drain_record place;
    bool operator==(const put_drain&) const = default;
};
struct remove_drain {
    drain_target target;
    bool operator==(const remove_drain&) const = default;
};
struct put_runbook {
    runbook book;
    bool operator==(const put_runbook&) const = default;
};
struct remove_runbook {
    std::string name;
    bool operator==(const remove_runbook&) const = default;
};

using config_operation = std::variant<set_default, clear_default, put_exception, remove_exception, put_team,
                                      remove_team, put_drain, remove_drain, put_runbook, remove_runbook>;

// Describes the operation in one line for operators, for example "set shards = 16".
std::string describe(const config_operation& operation);

// One entry of the history.
struct config_change_record {
    std::uint64_t version = 0;
    std::string author;
    std::string reason;
    std::string summary;
    // Read from the clock of the operator's client.
    utc_time at;
    // Unique to the change, so that reading it back shows whether a write whose response was lost took
    // effect.
    std::string mark;
    // Operations that restore the previous version, in the order in which they are applied.
    std::vector<config_operation> undo;
    // False if the undo operations were dropped to keep the value within the store's size limit.
    bool has_undo = true;

    bool operator==(const config_change_record&) const = default;
};

// The configuration that operators set for the whole fleet. Instances are immutable: a change creates the
// next version.
struct fleet_config {
    std::uint64_t version = 0;
    // Defaults that differ from the schema table.
    std::map<std::string, config_value> defaults;
    std::vector<config_exception> exceptions;
    std::map<team_id, team_config> teams;
    std::vector<drain_record> drained;
    std::map<std::string, runbook> runbooks;
    // Oldest first.
    std::vector<config_change_record> changes;

    bool operator==(const fleet_config&) const = default;
};

using fleet_config_ptr = std::shared_ptr<const fleet_config>;

struct config_change {
    std::string author;
    std::string reason;
    utc_time at;
    std::string mark;
    std::vector<config_operation> operations;

    bool operator==(const config_change&) const = default;
};

// Returns the next version, or all errors of the change.
std::variant<fleet_config_ptr, config_errors> apply_change(const fleet_config& current,
                                                           const config_change& change);

// The sections of a configuration file. A section that the file omits remains unchanged.
struct config_document {
    std::optional<std::map<std::string, config_value>> defaults;
    std::optional<std::vector<config_exception>> exceptions;
    std::optional<std::vector<team_config>> teams;
    std::optional<std::vector<drain_record>> drained;
    std::optional<std::vector<runbook>> runbooks;

    bool operator==(const config_document&) const = default;
};

// Returns the operations that make the configuration match the document. Entries that differ only in author
// or start time are left unchanged.
std::vector<config_operation> diff_config(const fleet_config& current, const config_document& wanted);

// Returns the operations that restore an older version, or an error if the history no longer covers it.
std::variant<std::vector<config_operation>, config_errors> make_rollback(const fleet_config& current,
                                                                         std::uint64_t version);

// Returns a copy without the undo operations of the oldest change that has any, or nullptr if no change has
// any.
fleet_config_ptr drop_oldest_undo(const fleet_config& config);

// The subject for which a setting is resolved. Unknown fields are empty.
struct config_subject {
    team_id team;
    task_kind kind;
    upstream_id upstream;
    rack_id rack;
    failure_domain_id failure_domain;

    bool operator==(const config_subject&) const = default;
};

// The effective value of a setting and its origin.
struct resolved_value {
    config_value value;
    std::string why;
    // The exception that provides the value, if any.
    std::optional<config_exception> exception;

    bool operator==(const resolved_value&) const = default;
};

// Resolves a setting. The most specific exception takes precedence, in the order upstream, rack, failure
// domain, task kind, team; then the fleet's default, then the schema's default. Expired exceptions are
// ignored. Returns nullopt for an unknown key.
std::optional<resolved_value> resolve(const fleet_config& config, std::string_view key,
                                      const config_subject& subject, utc_time now);

// Shorthands that return only the value. The key must be one of setting_key.
std::int64_t get_number(const fleet_config& config, std::string_view key, const config_subject& subject,
                        utc_time now);
std::string get_choice(const fleet_config& config, std::string_view key, const config_subject& subject,
                       utc_time now);
// Returns the fleet's value of a key that allows no exceptions.
std::int64_t get_number(const fleet_config& config, std::string_view key);

// Returns the configuration of the team, or the fleet's defaults if it has none.
team_config get_team(const fleet_config& config, const team_id& team);

// Returns the drain that covers the upstream, or nullptr.
const drain_record* find_drain(const fleet_config& config, const upstream_id& upstream, const rack_id& rack,
                               const failure_domain_id& failure_domain);

// The result of a change that was sent to the store.
struct config_change_result {
    enum class outcome { applied, unchanged, conflict, invalid, store_unavailable, unknown };

    outcome result = outcome::unknown;
    // The version that the change created; 0 unless it was applied.
    std::uint64_t applied_version = 0;
    // The newest version that was read; nullptr if the store could not be read.
    fleet_config_ptr config;
    // For a conflict: the changes that others made after the version that the operator's change is based on.
    std::vector<config_change_record> others;
    config_errors errors;

    bool operator==(const config_change_result&) const = default;
};

std::string_view get_name(config_change_result::outcome result);

}  // namespace jacinthvane
