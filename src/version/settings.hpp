#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "process/ids.hpp"

namespace jacinthvane {

struct listen_settings {
    std::string callers;
    std::string admin;
    std::string metrics;
    std::string peers;
    std::string membership;

    bool operator==(const listen_settings&) const = default;
};

// Addresses at which other processes reach this one, if they differ from the listen addresses.
struct advertise_settings {
    std::string callers;
    std::string peers;
    std::string membership;

    bool operator==(const advertise_settings&) const = default;
};

struct limit_settings {
    std::int64_t caller_connections = 0;
    std::int64_t requests_in_progress = 0;
    std::int64_t queued_requests = 0;
    std::int64_t queued_jobs = 0;
    std::int64_t body_bytes = 0;
    std::int64_t connections_per_upstream = 0;
    std::int64_t peer_calls_in_progress = 0;
    std::int64_t store_calls = 0;
    std::int64_t region_link_bytes_per_second = 0;

    bool operator==(const limit_settings&) const = default;
};

struct timeout_settings {
    std::chrono::milliseconds default_deadline{0};
    std::chrono::milliseconds max_deadline{0};
    std::chrono::milliseconds caller_io{0};
    std::chrono::milliseconds caller_idle{0};
    std::chrono::milliseconds store_call{0};
    std::chrono::milliseconds store_watch{0};
    std::chrono::milliseconds vm_list_interval{0};
    std::chrono::milliseconds term_lease{0};
    std::chrono::milliseconds term_renewal{0};
    std::chrono::milliseconds task_lease{0};
    std::chrono::milliseconds upstream_call{0};
    std::chrono::milliseconds peer_connect{0};
    std::chrono::milliseconds balancer_grace{0};
    std::chrono::milliseconds drain{0};

    bool operator==(const timeout_settings&) const = default;
};

// The settings that one process reads at startup. They never change while the process runs; everything that
// operators change during operation is in the fleet configuration.
struct settings {
    vm_id vm;
    location place;
    region_id store_region;
    listen_settings listen;
    advertise_settings advertise;
    std::vector<std::string> seeds;
    std::string store_address;
    std::string vm_list_address;
    std::string key_file;
    std::string admin_token_file;
    std::int64_t threads = 0;
    limit_settings limits;
    timeout_settings timeouts;

    bool operator==(const settings&) const = default;

    // The addresses that this process announces to other members.
    const std::string& get_caller_address() const;
    const std::string& get_peer_address() const;
    const std::string& get_membership_address() const;
};

// The kind of value that a setting accepts.
enum class setting_type { name, address, address_list, path, count, bytes, duration };

// One row of the schema. The bounds are counts, bytes or milliseconds, depending on the type. For an address
// list the maximum is its number of addresses. Other types have no bounds.
struct setting_field {
    std::string_view key;
    setting_type type = setting_type::name;
    std::string_view unit;
    // The default in the notation of the settings file; empty if there is none.
    std::string_view default_text;
    bool is_required = false;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string_view text;
};

// Returns the schema of all settings, in the order in which documentation lists them.
std::span<const setting_field> get_settings_schema();

const setting_field* find_setting_field(std::string_view key);

// Describes the values that the field accepts, for example: a duration from 100ms to 1m, such as "2s".
std::string describe_accepted(const setting_field& field);

// The source of a value.
struct setting_origin {
    // The path of a file, "environment", "flags" or "defaults".
    std::string source;
    // 0 if the source has no line numbers.
    std::int64_t line = 0;

    auto operator<=>(const setting_origin&) const = default;
};

// A value of a type that no setting accepts, for example a table or a date.
struct other_value {
    std::string type_name;

    bool operator==(const other_value&) const = default;
};

// An unvalidated value. Text from the environment and from flags is parsed according to the type of the
// field.
using setting_value = std::variant<std::string, std::int64_t, std::vector<std::string>, other_value>;

struct raw_setting {
    std::string key;
    setting_value value;
    setting_origin origin;
    // True for unquoted text from the environment, flags or the schema's defaults, where 8 and "8" are the
    // same.
    bool is_plain_text = false;

    bool operator==(const raw_setting&) const = default;
};

struct settings_problem {
    setting_origin origin;
    std::string key;
    std::string message;
    // The accepted values, or a similar key; empty if there is no suggestion.
    std::string accepted;

    auto operator<=>(const settings_problem&) const = default;

    std::string to_string() const;
};

// Either the settings or all problems.
using settings_result = std::variant<settings, std::vector<settings_problem>>;

// Validates the values and combines them into settings. Later values of a key replace earlier ones.
settings_result make_settings(std::span<const raw_setting> values);

// Parses durations such as "250ms", "2s", "5m" or "1h". A unit is required.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

// Parses sizes such as "100", "64B", "16KB" or "8MB". A KB is 1,024 bytes.
std::optional<std::int64_t> parse_bytes(std::string_view text);

}  // namespace jacinthvane
