#include "version/settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t minute_ms = 60 * second_ms;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t kilobyte = 1024;
constexpr std::int64_t megabyte = 1024 * kilobyte;

constexpr std::array schema = {
    setting_field{"vm", setting_type::name, "", "", true, 0, 0,
                  "Id of this VM, unique in the fleet and the same after a restart."},
    setting_field{"region", setting_type::name, "", "", true, 0, 0, "Region of this VM."},
    setting_field{"failure_domain", setting_type::name, "", "", true, 0, 0, "Failure domain of this VM."},
    setting_field{"store_region", setting_type::name, "", "", true, 0, 0,
                  "Region of the store. Its members are preferred as owners of shards."},
    setting_field{"key_file", setting_type::path, "", "", true, 0, 0,
                  "File with one or two hexadecimal keys, shared by the fleet. The first one signs."},
    setting_field{"threads", setting_type::count, "", "2", false, 1, 64, "Threads of the pool."},
    setting_field{"listen.callers", setting_type::address, "", "", true, 0, 0,
                  "TCP address for callers' HTTP."},
    setting_field{"listen.admin", setting_type::address, "", "", true, 0, 0,
                  "TCP address for operators' HTTP."},
    setting_field{"listen.metrics", setting_type::address, "", "", true, 0, 0,
                  "TCP address for metrics, /healthz and /readyz."},
    setting_field{"listen.peers", setting_type::address, "", "", true, 0, 0,
                  "TCP address for other entry processes."},
    setting_field{"listen.membership", setting_type::address, "", "", true, 0, 0,
                  "UDP address for membership datagrams."},
    setting_field{"advertise.callers", setting_type::address, "", "", false, 0, 0,
                  "Address that members gossip instead of listen.callers."},
    setting_field{"advertise.peers", setting_type::address, "", "", false, 0, 0,
                  "Address that members gossip instead of listen.peers."},
    setting_field{"advertise.membership", setting_type::address, "", "", false, 0, 0,
                  "Address that members gossip instead of listen.membership."},
    setting_field{"membership.seeds", setting_type::address_list, "", "", false, 0, 64,
                  "UDP addresses of members to contact first. This process's own address is skipped."},
    setting_field{"store.address", setting_type::address, "", "", true, 0, 0,
                  "TCP address of the platform's store."},
    setting_field{"vm_list.address", setting_type::address, "", "", true, 0, 0,
                  "TCP address of the platform's VM list."},
    setting_field{
        "admin.token_file", setting_type::path, "", "", false, 0, 0,
        "File with the operators' bearer tokens. Without it the admin listener refuses all changes."},
    setting_field{"limits.caller_connections", setting_type::count, "", "4096", false, 1, 65536,
                  "Open connections of callers."},
    setting_field{"limits.requests_in_progress", setting_type::count, "", "2048", false, 1, 65536,
                  "Requests of callers that are processed concurrently."},
    setting_field{"limits.queued_requests", setting_type::count, "", "4096", false, 1, 1'000'000,
                  "Urgent requests that wait for capacity."},
    setting_field{"limits.queued_jobs", setting_type::count, "", "100000", false, 1, 1'000'000,
                  "Accepted jobs that wait in this process."},
    setting_field{"limits.body", setting_type::bytes, "B, KB, MB", "8MB", false, kilobyte, 10 * megabyte,
                  "Maximum size of the body of a request or response."},
    setting_field{
        "limits.connections_per_upstream", setting_type::count, "", "16", false, 1, 64,
        "Connections to each upstream. An upstream accepts 64 connections from all processes together."},
    setting_field{"limits.peer_calls_in_progress", setting_type::count, "", "1024", false, 1, 65536,
                  "Calls from other entry processes that are processed concurrently."},
    setting_field{"limits.store_calls", setting_type::count, "", "16", false, 1, 1024,
                  "Calls to the store that are in flight concurrently."},
    setting_field{"limits.region_link", setting_type::bytes, "B, KB, MB per second", "3750000", false,
                  10 * kilobyte, 1024 * megabyte,
                  "Bytes per second that all processes of a region together may send to another region."},
    setting_field{"timeouts.default_deadline", setting_type::duration, "ms, s, m, h", "30s", false, 1,
                  hour_ms, "Deadline of a request that does not specify one."},
    setting_field{"timeouts.max_deadline", setting_type::duration, "ms, s, m, h", "10m", false, 1,
                  24 * hour_ms, "Maximum deadline that a request may specify."},
    setting_field{"timeouts.caller_io", setting_type::duration, "ms, s, m, h", "15s", false, 100, hour_ms,
                  "Time for a caller to send a request or to read a response."},
    setting_field{"timeouts.caller_idle", setting_type::duration, "ms, s, m, h", "1m", false, 100, hour_ms,
                  "Time after which an idle connection of a caller is closed."},
    setting_field{"timeouts.store_call", setting_type::duration, "ms, s, m, h", "2s", false, 10, minute_ms,
                  "Time for one call to the store, except watches."},
    setting_field{"timeouts.store_watch", setting_type::duration, "ms, s, m, h", "30s", false, second_ms,
                  10 * minute_ms, "Maximum time that one watch call waits for changes."},
    setting_field{"timeouts.vm_list_interval", setting_type::duration, "ms, s, m, h", "2s", false, 100,
                  minute_ms, "Time between two reads of the VM list."},
    setting_field{"timeouts.term_lease", setting_type::duration, "ms, s, m, h", "10s", false, second_ms,
                  minute_ms, "Lease in the store under which this process owns its slices."},
    setting_field{"timeouts.term_renewal", setting_type::duration, "ms, s, m, h", "3s", false, 100, minute_ms,
                  "Time between two renewals of that lease."},
    setting_field{"timeouts.task_lease", setting_type::duration, "ms, s, m, h", "30s", false, 5 * second_ms,
                  10 * minute_ms, "Lease of a running task on its upstream."},
    setting_field{"timeouts.upstream_call", setting_type::duration, "ms, s, m, h", "2s", false, 10, minute_ms,
                  "Time for one call to an upstream that does not wait for a task."},
    setting_field{"timeouts.peer_connect", setting_type::duration, "ms, s, m, h", "2s", false, 10, minute_ms,
                  "Time to open a link to another entry process."},
    setting_field{"timeouts.balancer_grace", setting_type::duration, "ms, s, m, h", "5s", false, 0,
                  5 * minute_ms, "Time between reporting not ready and refusing requests at a planned stop."},
    setting_field{"timeouts.drain", setting_type::duration, "ms, s, m, h", "1m", false, 0, 24 * hour_ms,
                  "Time for requests in flight to finish at a planned stop."},
};

std::string format_duration(std::int64_t value) {
    if (value > 0 && value % hour_ms == 0) {
        return std::to_string(value / hour_ms) + "h";
    }
    if (value > 0 && value % minute_ms == 0) {
        return std::to_string(value / minute_ms) + "m";
    }
    if (value > 0 && value % second_ms == 0) {
        return std::to_string(value / second_ms) + "s";
    }
    return std::to_string(value) + "ms";
}

std::string format_bytes(std::int64_t value) {
    if (value > 0 && value % megabyte == 0) {
        return std::to_string(value / megabyte) + "MB";
    }
    if (value > 0 && value % kilobyte == 0) {
        return std::to_string(value / kilobyte) + "KB";
    }
    return std::to_string(value);
}

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

struct unit_size {
    std::string_view name;
    std::int64_t size;
};

// Longer unit names must come first, so that "ms" is not parsed as "s".
std::optional<std::int64_t> parse_with_unit(std::string_view text, std::span<const unit_size> units) {
    for (const auto& unit : units) {
        if (!text.ends_with(unit.name)) {
            continue;
        }
        const auto number = parse_number(text.substr(0, text.size() - unit.name.size()));
        // Rejects negative numbers, and numbers whose product with the unit could overflow.
        if (!number || *number < 0 || *number > 1'000'000'000'000) {
            return std::nullopt;
        }
        return *number * unit.size;
    }
    return std::nullopt;
}

bool is_name(std::string_view text) {
    // Names are used in store paths and in JSON, so only characters that need no escaping are allowed.
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    });
}

bool is_ipv4(std::string_view text) {
    int parts = 0;
    while (true) {
        const auto dot = text.find('.');
        const auto part = parse_number(text.substr(0, dot));
        if (!part || *part < 0 || *part > 255 || text.substr(0, dot).size() > 3) {
            return false;
        }
        ++parts;
        if (dot == std::string_view::npos) {
            return parts == 4;
        }
        text.remove_prefix(dot + 1);
    }
}

bool is_ipv6(std::string_view text) {
    return text.size() >= 2 && text.find(':') != std::string_view::npos &&
           text.find_first_not_of("0123456789abcdefABCDEF:.") == std::string_view::npos;
}

bool is_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port = parse_number(text.substr(colon + 1));
    if (!port || *port < 1 || *port > 65535) {
        return false;
    }
    const auto host = text.substr(0, colon);
    return is_ipv4(host) || is_ipv6(host);
}

bool is_any_address(std::string_view address) {
    return address.starts_with("0.0.0.0:") || address.starts_with(":::");
}

std::vector<std::string> split_list(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        auto part = text.substr(0, comma);
        part.remove_prefix(std::min(part.size(), part.find_first_not_of(' ')));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

std::string get_type_name(const setting_value& value) {
    struct visitor {
        std::string operator()(const std::string&) const { return "text"; }
        std::string operator()(std::int64_t) const { return "a whole number"; }
        std::string operator()(const std::vector<std::string>&) const { return "a list of strings"; }
        std::string operator()(const other_value& other) const { return other.type_name; }
    };
    return std::visit(visitor{}, value);
}

// A value that has been validated against its field.
using checked_value = std::variant<std::string, std::int64_t, std::vector<std::string>>;

struct value_check {
    std::optional<checked_value> value;
    std::string message;
};

value_check check_range(const setting_field& field, std::optional<std::int64_t> number,
                        const std::string& shown) {
    if (!number) {
        return {std::nullopt, "\"" + shown + "\" is not " +
                                  (field.type == setting_type::duration ? "a duration with a unit"
                                   : field.type == setting_type::bytes  ? "a number of bytes"
                                                                        : "a whole number")};
    }
    if (*number < field.minimum || *number > field.maximum) {
        return {std::nullopt, shown + " is out of range"};
    }
    return {*number, {}};
}

value_check check_text(const setting_field& field, const std::string& text, bool is_plain_text) {
    switch (field.type) {
        case setting_type::name:
            return is_name(text) ? value_check{text, {}}
                                 : value_check{std::nullopt, "\"" + text + "\" is not a valid name"};
        case setting_type::address:
            return is_address(text)
                       ? value_check{text, {}}
                       : value_check{std::nullopt, "\"" + text + "\" is not an IP address and port"};
        case setting_type::path:
            return text.empty() ? value_check{std::nullopt, "the path is empty"} : value_check{text, {}};
        case setting_type::duration: {
            const auto duration = parse_duration(text);
            return check_range(field, duration ? std::optional(duration->count()) : std::nullopt, text);
        }
        case setting_type::bytes:
            return check_range(field, parse_bytes(text), text);
        case setting_type::count:
            if (is_plain_text) {
                return check_range(field, parse_number(text), text);
            }
            break;
        case setting_type::address_list:
            break;
    }
    return {std::nullopt, "the value is text"};
}

value_check check_list(const setting_field& field, const std::vector<std::string>& list) {
    if (static_cast<std::int64_t>(list.size()) > field.maximum) {
        return {std::nullopt, "the list has " + std::to_string(list.size()) + " addresses"};
    }
    for (const auto& address : list) {
        if (!is_address(address)) {
            return {std::nullopt, "\"" + address + "\" is not an IP address and port"};
        }
    }
    return {list, {}};
}

value_check check_value(const setting_field& field, const raw_setting& raw) {
    if (const auto* text = std::get_if<std::string>(&raw.value)) {
        if (field.type == setting_type::address_list && raw.is_plain_text) {
            return check_list(field, split_list(*text));
        }
        return check_text(field, *text, raw.is_plain_text);
    }
    if (const auto* number = std::get_if<std::int64_t>(&raw.value)) {
        if (field.type == setting_type::count || field.type == setting_type::bytes) {
            return check_range(field, *number, std::to_string(*number));
        }
        if (field.type == setting_type::duration) {
            return {std::nullopt, "the duration " + std::to_string(*number) + " has no unit"};
        }
    }
    if (const auto* list = std::get_if<std::vector<std::string>>(&raw.value)) {
        if (field.type == setting_type::address_list) {
            return check_list(field, *list);
        }
    }
    return {std::nullopt, "the value is " + get_type_name(raw.value)};
}

// The validated values by key. add_defaults adds the schema's defaults for the keys that are not set.
class value_table {
public:
    void set(const std::string& key, checked_value value, const setting_origin& origin) {
        values_.insert_or_assign(key, std::move(value));
        origins_.insert_or_assign(key, origin);
    }

    bool has(const std::string& key) const { return values_.contains(key); }

    std::string get_text(const std::string& key) const { return get<std::string>(key); }
    std::int64_t get_number(const std::string& key) const { return get<std::int64_t>(key); }
    milliseconds get_duration(const std::string& key) const { return milliseconds(get_number(key)); }
    std::vector<std::string> get_list(const std::string& key) const {
        return get<std::vector<std::string>>(key);
    }

    setting_origin get_origin(const std::string& key) const {
        const auto found = origins_.find(key);
        return found == origins_.end() ? setting_origin{"defaults", 0} : found->second;
    }

private:
    template <class T>
    T get(const std::string& key) const {
        const auto found = values_.find(key);
        if (found == values_.end()) {
            return T();
        }
        const auto* value = std::get_if<T>(&found->second);
        return value == nullptr ? T() : *value;
    }

    std::map<std::string, checked_value> values_;
    std::map<std::string, setting_origin> origins_;
};

void add_defaults(value_table& table) {
    for (const auto& field : schema) {
        const std::string key(field.key);
        if (field.default_text.empty() || table.has(key)) {
            continue;
        }
        const raw_setting raw{.key = key,
                              .value = std::string(field.default_text),
                              .origin = {"defaults", 0},
                              .is_plain_text = true};
        auto checked = check_value(field, raw);
        if (checked.value) {
            table.set(key, std::move(*checked.value), raw.origin);
        }
    }
}

std::string find_similar_key(std::string_view key) {
    // The most common mistake is the right last part in the wrong table.
    const auto last_part = key.substr(key.rfind('.') + 1);
    for (const auto& field : schema) {
        if (field.key.substr(field.key.rfind('.') + 1) == last_part) {
            return std::string(field.key);
        }
    }
    return {};
}

// Checks the settings against each other.
class consistency_checker {
public:
    consistency_checker(const value_table& table, std::vector<settings_problem>& problems)
        : table_(table), problems_(problems) {}

    void check_all() {
        find_equal_addresses();
        require_less("timeouts.term_renewal", "timeouts.term_lease", 2,
                     "the term must survive one failed renewal");
        require_less("timeouts.default_deadline", "timeouts.max_deadline", 1,
                     "a request without a deadline would exceed the maximum");
        require_less("timeouts.store_call", "timeouts.term_lease", 1,
                     "a renewal must complete within the lease");
        require_less("timeouts.term_lease", "timeouts.task_lease", 1,
                     "the lease of a task must outlast a change of its owner");
        require_advertised("callers");
        require_advertised("peers");
        require_advertised("membership");
    }

private:
    void report(const std::string& key, std::string message, std::string accepted) {
        problems_.push_back(
            settings_problem{table_.get_origin(key), key, std::move(message), std::move(accepted)});
    }

    void find_equal_addresses() {
        // Membership uses UDP, so it may share its port with a TCP listener.
        std::map<std::string, std::string> seen;
        for (const char* name : {"callers", "admin", "metrics", "peers"}) {
            const std::string key = std::string("listen.") + name;
            const auto address = table_.get_text(key);
            if (address.empty()) {
                continue;
            }
            const auto [entry, is_new] = seen.emplace(address, key);
            if (!is_new) {
                report(key, address + " is also the address of " + entry->second,
                       "an address that no other listener uses");
            }
        }
        std::set<std::string> seeds;
        for (const auto& seed : table_.get_list("membership.seeds")) {
            if (!seeds.insert(seed).second) {
                report("membership.seeds", seed + " is listed twice", "each address at most once");
            }
        }
    }

    // Requires that factor times the smaller setting does not exceed the larger one.
    void require_less(const std::string& smaller, const std::string& larger, std::int64_t factor,
                      const std::string& reason) {
        const auto low = table_.get_number(smaller);
        const auto high = table_.get_number(larger);
        if (!table_.has(smaller) || !table_.has(larger) || low * factor <= high) {
            return;
        }
        report(smaller,
               format_duration(low) + " is too long for " + larger + " = " + format_duration(high) + ": " +
                   reason,
               "at most " + format_duration(high / factor) + ", or a longer " + larger);
    }

    void require_advertised(const std::string& name) {
        const auto listen_key = "listen." + name;
        const auto advertise_key = "advertise." + name;
        if (is_any_address(table_.get_text(listen_key)) && !table_.has(advertise_key)) {
            report(listen_key, "other processes cannot reach " + table_.get_text(listen_key),
                   "one address of this VM, or " + advertise_key + " as well");
        }
        if (is_any_address(table_.get_text(advertise_key))) {
            report(advertise_key, "other processes cannot reach " + table_.get_text(advertise_key),
                   "one address of this VM");
        }
    }

    const value_table& table_;
    std::vector<settings_problem>& problems_;
};

settings read_table(const value_table& table) {
    const limit_settings limits{
        .caller_connections = table.get_number("limits.caller_connections"),
        .requests_in_progress = table.get_number("limits.requests_in_progress"),
        .queued_requests = table.get_number("limits.queued_requests"),
        .queued_jobs = table.get_number("limits.queued_jobs"),
        .body_bytes = table.get_number("limits.body"),
        .connections_per_upstream = table.get_number("limits.connections_per_upstream"),
        .peer_calls_in_progress = table.get_number("limits.peer_calls_in_progress"),
        .store_calls = table.get_number("limits.store_calls"),
        .region_link_bytes_per_second = table.get_number("limits.region_link")};
    const timeout_settings timeouts{.default_deadline = table.get_duration("timeouts.default_deadline"),
                                    .max_deadline = table.get_duration("timeouts.max_deadline"),
                                    .caller_io = table.get_duration("timeouts.caller_io"),
                                    .caller_idle = table.get_duration("timeouts.caller_idle"),
                                    .store_call = table.get_duration("timeouts.store_call"),
                                    .store_watch = table.get_duration("timeouts.store_watch"),
                                    .vm_list_interval = table.get_duration("timeouts.vm_list_interval"),
                                    .term_lease = table.get_duration("timeouts.term_lease"),
                                    .term_renewal = table.get_duration("timeouts.term_renewal"),
                                    .task_lease = table.get_duration("timeouts.task_lease"),
                                    .upstream_call = table.get_duration("timeouts.upstream_call"),
                                    .peer_connect = table.get_duration("timeouts.peer_connect"),
                                    .balancer_grace = table.get_duration("timeouts.balancer_grace"),
                                    .drain = table.get_duration("timeouts.drain")};
    return settings{.vm = vm_id(table.get_text("vm")),
                    .place = {.region = region_id(table.get_text("region")),
                              .failure_domain = failure_domain_id(table.get_text("failure_domain"))},
                    .store_region = region_id(table.get_text("store_region")),
                    .listen = {.callers = table.get_text("listen.callers"),
                               .admin = table.get_text("listen.admin"),
                               .metrics = table.get_text("listen.metrics"),
                               .peers = table.get_text("listen.peers"),
                               .membership = table.get_text("listen.membership")},
                    .advertise = {.callers = table.get_text("advertise.callers"),
                                  .peers = table.get_text("advertise.peers"),
                                  .membership = table.get_text("advertise.membership")},
                    .seeds = table.get_list("membership.seeds"),
                    .store_address = table.get_text("store.address"),
                    .vm_list_address = table.get_text("vm_list.address"),
                    .key_file = table.get_text("key_file"),
                    .admin_token_file = table.get_text("admin.token_file"),
                    .threads = table.get_number("threads"),
                    .limits = limits,
                    .timeouts = timeouts};
}

}  // namespace

const std::string& settings::get_caller_address() const {
    return advertise.callers.empty() ? listen.callers : advertise.callers;
}

const std::string& settings::get_peer_address() const {
    return advertise.peers.empty() ? listen.peers : advertise.peers;
}

const std::string& settings::get_membership_address() const {
    return advertise.membership.empty() ? listen.membership : advertise.membership;
}

std::span<const setting_field> get_settings_schema() {
    return schema;
}

const setting_field* find_setting_field(std::string_view key) {
    const auto* const found =
        std::find_if(schema.begin(), schema.end(), [&](const auto& field) { return field.key == key; });
    return found == schema.end() ? nullptr : found;
}

std::string describe_accepted(const setting_field& field) {
    switch (field.type) {
        case setting_type::name:
            return "a name of 1 to 64 letters, digits, '-', '_' or '.'";
        case setting_type::address:
            return "an IP address and port, such as \"10.0.0.7:7400\"";
        case setting_type::address_list:
            return "a list of at most " + std::to_string(field.maximum) +
                   " IP addresses with ports, such as [\"10.0.0.7:7400\"]";
        case setting_type::path:
            return "the path of a file";
        case setting_type::count:
            return "a whole number from " + std::to_string(field.minimum) + " to " +
                   std::to_string(field.maximum);
        case setting_type::bytes:
            return "a number of bytes from " + format_bytes(field.minimum) + " to " +
                   format_bytes(field.maximum) + ", such as \"16KB\" or \"8MB\"";
        case setting_type::duration:
            return "a duration from " + format_duration(field.minimum) + " to " +
                   format_duration(field.maximum) + ", such as \"250ms\" or \"2s\"";
    }
    return {};
}

std::string settings_problem::to_string() const {
    std::string text = origin.source;
    if (origin.line > 0) {
        text += ":" + std::to_string(origin.line);
    }
    text += ": ";
    if (!key.empty()) {
        text += key + ": ";
    }
    text += message;
    return accepted.empty() ? text : text + "; accepted: " + accepted;
}

settings_result make_settings(std::span<const raw_setting> values) {
    value_table table;
    std::vector<settings_problem> problems;
    std::set<std::string> wrong_keys;
    for (const auto& raw : values) {
        const auto* field = find_setting_field(raw.key);
        if (field == nullptr) {
            const auto similar = find_similar_key(raw.key);
            problems.push_back(settings_problem{raw.origin, raw.key, "there is no such setting", similar});
            continue;
        }
        auto checked = check_value(*field, raw);
        if (!checked.value) {
            problems.push_back(
                settings_problem{raw.origin, raw.key, checked.message, describe_accepted(*field)});
            wrong_keys.insert(raw.key);
            continue;
        }
        table.set(raw.key, std::move(*checked.value), raw.origin);
    }
    for (const auto& field : schema) {
        const std::string key(field.key);
        if (field.is_required && !table.has(key) && !wrong_keys.contains(key)) {
            const auto source = values.empty() ? std::string("settings") : values.front().origin.source;
            problems.push_back(settings_problem{setting_origin{source, 0}, key, "the setting is missing",
                                                describe_accepted(field)});
        }
    }
    add_defaults(table);
    consistency_checker(table, problems).check_all();
    if (!problems.empty()) {
        return problems;
    }
    return read_table(table);
}

std::optional<milliseconds> parse_duration(std::string_view text) {
    constexpr std::array<unit_size, 4> units = {
        {{"ms", 1}, {"s", second_ms}, {"m", minute_ms}, {"h", hour_ms}}};
    const auto value = parse_with_unit(text, units);
    return value ? std::optional(milliseconds(*value)) : std::nullopt;
}

std::optional<std::int64_t> parse_bytes(std::string_view text) {
    constexpr std::array<unit_size, 4> units = {{{"KB", kilobyte}, {"MB", megabyte}, {"B", 1}, {"", 1}}};
    return parse_with_unit(text, units);
}

}  // namespace jacinthvane
