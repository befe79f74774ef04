#include "connection/fleet_config_codec.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "connection/runbook_codec.hpp"

namespace jacinthvane {

namespace {

nlohmann::json encode_value(const config_value& value) {
    return std::visit([](const auto& part) { return nlohmann::json(part); }, value);
}

config_value decode_value(const nlohmann::json* value, const std::string& path, fault_collector& faults) {
    if (value != nullptr && value->is_string()) {
        return value->get<std::string>();
    }
    const bool is_too_large = value != nullptr && value->is_number_unsigned() &&
                              value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    if (value != nullptr && value->is_number_integer() && !is_too_large) {
        return value->get<std::int64_t>();
    }
    faults.add(path, value == nullptr ? "is missing" : "must be a whole number or a string");
    return std::int64_t{0};
}

// Validates a setting of an operator's file, so that the error includes its line. Values from the store are
// not validated, since they may contain settings of a newer release.
void check_setting(const std::string& key, const config_value& value, const std::string& key_path,
                   const std::string& value_path, fault_collector& faults) {
    if (!faults.is_strict()) {
        return;
    }
    const auto* schema = find_setting(key);
    if (schema == nullptr) {
        faults.add(key_path, "there is no setting \"" + key + "\"");
        return;
    }
    if (auto fault = schema->check(value); !fault.empty()) {
        faults.add(value_path, std::move(fault));
    }
}

config_scope decode_scope(object_reader& reader, fault_collector& faults) {
    const auto type = reader.require_text("scope");
    const auto name = reader.require_text("name");
    auto scope = make_scope(type, name);
    if (!scope) {
        faults.add(reader.get_path("scope"),
                   "must be team, task_kind, upstream, rack or failure_domain, not \"" + type + "\"");
        return team_id(name);
    }
    return *scope;
}

drain_target decode_target(object_reader& reader, fault_collector& faults) {
    const auto type = reader.require_text("scope");
    const auto name = reader.require_text("name");
    auto target = make_drain_target(type, name);
    if (!target) {
        faults.add(reader.get_path("scope"),
                   "must be upstream, rack or failure_domain, not \"" + type + "\"");
        return upstream_id(name);
    }
    return *target;
}

std::optional<utc_time> decode_time(object_reader& reader, std::string_view key, fault_collector& faults) {
    if (!reader.has(key)) {
        return std::nullopt;
    }
    const auto time = parse_utc(reader.require_text(key));
    if (!time) {
        faults.add(reader.get_path(key), "must be a time such as 2026-03-12T08:00:00Z");
    }
    return time;
}

config_exception decode_exception(const nlohmann::json& value, const std::string& path,
                                  fault_collector& faults) {
    object_reader reader(value, path, faults);
    config_exception exception;
    exception.scope = decode_scope(reader, faults);
    exception.key = reader.require_text("key");
    exception.value = decode_value(reader.find("value"), reader.get_path("value"), faults);
    check_setting(exception.key, exception.value, reader.get_path("key"), reader.get_path("value"), faults);
    exception.reason = reader.require_text("reason");
    exception.author = reader.get_text("author", "");
    exception.until = decode_time(reader, "until", faults);
    reader.finish();
    return exception;
}

nlohmann::json encode_team(const team_config& team) {
    return {{"team", team.team.get()},
            {"quota_slots", team.quota_slots},
            {"quota_accelerators", team.quota_accelerators},
            {"share", team.share}};
}

team_config decode_team(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    team_config team;
    team.team = team_id(reader.require_text("team"));
    team.quota_slots = reader.require_number("quota_slots");
    team.quota_accelerators = reader.get_number("quota_accelerators", 0);
    team.share = reader.get_number("share", 100);
    reader.finish();
    return team;
}

nlohmann::json encode_drain(const drain_record& drain) {
    return {{"scope", get_scope_type(drain.target)},
            {"name", get_scope_name(drain.target)},
            {"reason", drain.reason},
            {"author", drain.author},
            {"since", format_utc(drain.since)}};
}

drain_record decode_drain(const nlohmann::json& value, const std::string& path, fault_collector& faults) {
    object_reader reader(value, path, faults);
    drain_record drain;
    drain.target = decode_target(reader, faults);
    drain.reason = reader.require_text("reason");
    drain.author = reader.get_text("author", "");
    drain.since = decode_time(reader, "since", faults).value_or(utc_time{});
    reader.finish();
    return drain;
}

struct operation_encoder {
    nlohmann::json operator()(const set_default& o) const {
        return {{"op", "set_default"}, {"key", o.key}, {"value", encode_value(o.value)}};
    }
    nlohmann::json operator()(const clear_default& o) const {
        return {{"op", "clear_default"}, {"key", o.key}};
    }
    nlohmann::json operator()(const put_exception& o) const {
        return {{"op", "put_exception"}, {"exception", encode_exception(o.exception)}};
    }
    nlohmann::json operator()(const remove_exception& o) const {
        return {{"op", "remove_exception"},
                {"scope", get_scope_type(o.scope)},
                {"name", get_scope_name(o.scope)},
                {"key", o.key}};
    }
    nlohmann::json operator()(const put_team& o) const {
        return {{"op", "put_team"}, {"team", encode_team(o.team)}};
    }
    nlohmann::json operator()(const remove_team& o) const {
        return {{"op", "remove_team"}, {"team", o.team.get()}};
    }
    nlohmann::json operator()(const put_drain& o) const {
        return {{"op", "put_drain"}, {"place", encode_drain(o.place)}};
    }
    nlohmann::json operator()(const remove_drain& o) const {
        return {
            {"op", "remove_drain"}, {"scope", get_scope_type(o.target)}, {"name", get_scope_name(o.target)}};
    }
    nlohmann::json operator()(const put_runbook& o) const {
        return {{"op", "put_runbook"}, {"runbook", encode_runbook(o.book)}};
    }
    nlohmann::json operator()(const remove_runbook& o) const {
        return {{"op", "remove_runbook"}, {"name", o.name}};
    }
};

std::optional<config_operation> decode_operation(const nlohmann::json& value, const std::string& path,
                                                 fault_collector& faults) {
    object_reader reader(value, path, faults);
    const auto name = reader.require_text("op");
    const auto nested = [&](std::string_view key) -> const nlohmann::json& {
        static const nlohmann::json none = nlohmann::json::object();
        const auto* field = reader.find(key);
        return field == nullptr ? none : *field;
    };
    std::optional<config_operation> operation;
    if (name == "set_default") {
        operation = set_default{reader.require_text("key"),
                                decode_value(reader.find("value"), reader.get_path("value"), faults)};
    } else if (name == "clear_default") {
        operation = clear_default{reader.require_text("key")};
    } else if (name == "put_exception") {
        operation =
            put_exception{decode_exception(nested("exception"), reader.get_path("exception"), faults)};
    } else if (name == "remove_exception") {
        auto scope = decode_scope(reader, faults);
        operation = remove_exception{std::move(scope), reader.require_text("key")};
    } else if (name == "put_team") {
        operation = put_team{decode_team(nested("team"), reader.get_path("team"), faults)};
    } else if (name == "remove_team") {
        operation = remove_team{team_id(reader.require_text("team"))};
    } else if (name == "put_drain") {
        operation = put_drain{decode_drain(nested("place"), reader.get_path("place"), faults)};
    } else if (name == "remove_drain") {
        operation = remove_drain{decode_target(reader, faults)};
    } else if (name == "put_runbook") {
        operation = put_runbook{decode_runbook(nested("runbook"), reader.get_path("runbook"), faults)};
    } else if (name == "remove_runbook") {
        operation = remove_runbook{reader.require_text("name")};
    } else {
        faults.add(reader.get_path("op"), "\"" + name + "\" is not a known operation");
        return std::nullopt;
    }
    reader.finish();
    return operation;
}

config_change_record decode_change_record(const nlohmann::json& value, const std::string& path,
                                          fault_collector& faults) {
    object_reader reader(value, path, faults);
    config_change_record record;
    record.version = static_cast<std::uint64_t>(reader.require_number("version"));
    record.author = reader.get_text("author", "");
    record.reason = reader.get_text("reason", "");
    record.summary = reader.get_text("summary", "");
    record.at = decode_time(reader, "at", faults).value_or(utc_time{});
    record.mark = reader.require_text("mark");
    const auto* undo = reader.find_array("undo");
    record.has_undo = undo != nullptr;
    if (undo != nullptr) {
        record.undo = decode_operations(*undo, reader.get_path("undo"), faults);
    }
    return record;
}

template <typename Value, typename Decode>
std::optional<std::vector<Value>> decode_list(object_reader& reader, std::string_view key, std::size_t limit,
                                              fault_collector& faults, const Decode& decode) {
    const auto* array = reader.find_array(key);
    if (array == nullptr) {
        return std::nullopt;
    }
    std::vector<Value> values;
    const auto path = reader.get_path(key);
    if (array->size() > limit) {
        faults.add(path, std::to_string(array->size()) + " entries; at most " + std::to_string(limit) +
                             " are allowed");
        return values;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        values.push_back(decode((*array)[i], path + "[" + std::to_string(i) + "]", faults));
    }
    return values;
}

// Reads the sections that occur both in files and in the store's value.
config_document decode_document(object_reader& reader, fault_collector& faults) {
    config_document document;
    if (const auto* defaults = reader.find("defaults")) {
        const auto path = reader.get_path("defaults");
        document.defaults.emplace();
        if (!defaults->is_object()) {
            faults.add(path, "must be a table of fields");
        } else {
            for (const auto& [key, field] : defaults->items()) {
                const auto key_path = absl::StrCat(path, ".", key);
                auto value = decode_value(&field, key_path, faults);
                check_setting(key, value, key_path, key_path, faults);
                document.defaults->emplace(key, std::move(value));
            }
        }
    }
    document.exceptions =
        decode_list<config_exception>(reader, "exceptions", max_config_exceptions, faults, decode_exception);
    document.teams = decode_list<team_config>(reader, "teams", max_config_teams, faults, decode_team);
    document.drained = decode_list<drain_record>(reader, "drained", max_config_drains, faults, decode_drain);
    document.runbooks = decode_list<runbook>(reader, "runbooks", max_config_runbooks, faults, decode_runbook);
    return document;
}

// Validates the content of the sections and reports the errors with the lines of the file.
void check_document(const config_document& document, fault_collector& faults) {
    std::vector<std::pair<config_scope, std::string>> seen;
    for (std::size_t i = 0; document.exceptions && i < document.exceptions->size(); ++i) {
        const auto& exception = (*document.exceptions)[i];
        const auto path = "exceptions[" + std::to_string(i) + "]";
        if (exception.reason.find_first_not_of(" \t\r\n") == std::string::npos) {
            faults.add(path + ".reason", "a reason is required");
        }
        const std::pair entry(exception.scope, exception.key);
        if (std::find(seen.begin(), seen.end(), entry) != seen.end()) {
            faults.add(path, "there is another exception for the same scope and key");
        }
        seen.push_back(entry);
    }
    for (std::size_t i = 0; document.drained && i < document.drained->size(); ++i) {
        if ((*document.drained)[i].reason.find_first_not_of(" \t\r\n") == std::string::npos) {
            faults.add("drained[" + std::to_string(i) + "].reason", "a reason is required");
        }
    }
    for (std::size_t i = 0; document.runbooks && i < document.runbooks->size(); ++i) {
        for (const auto& error :
             check_runbook((*document.runbooks)[i], "runbooks[" + std::to_string(i) + "]")) {
            faults.add(error.key, error.message);
        }
    }
}

}  // namespace

nlohmann::json encode_exception(const config_exception& exception) {
    nlohmann::json value = {{"scope", get_scope_type(exception.scope)},
                            {"name", get_scope_name(exception.scope)},
                            {"key", exception.key},
                            {"value", encode_value(exception.value)},
                            {"reason", exception.reason},
                            {"author", exception.author}};
    if (exception.until) {
        value["until"] = format_utc(*exception.until);
    }
    return value;
}

nlohmann::json encode_operation(const config_operation& operation) {
    return std::visit(operation_encoder{}, operation);
}

std::vector<config_operation> decode_operations(const nlohmann::json& value, const std::string& path,
                                                fault_collector& faults) {
    std::vector<config_operation> operations;
    if (!value.is_array() || value.size() > max_change_operations) {
        faults.add(path,
                   "must be a list of at most " + std::to_string(max_change_operations) + " operations");
        return operations;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        if (auto operation = decode_operation(value[i], path + "[" + std::to_string(i) + "]", faults)) {
            operations.push_back(std::move(*operation));
        }
    }
    return operations;
}

nlohmann::json encode_change_record(const config_change_record& record, bool with_undo) {
    nlohmann::json value = {{"version", record.version},   {"author", record.author},
                            {"reason", record.reason},     {"summary", record.summary},
                            {"at", format_utc(record.at)}, {"mark", record.mark}};
    if (with_undo && record.has_undo) {
        value["undo"] = nlohmann::json::array();
        for (const auto& operation : record.undo) {
            value["undo"].push_back(encode_operation(operation));
        }
    }
    return value;
}

std::string encode_fleet_config(const fleet_config& config) {
    nlohmann::json value = {{"version", config.version},
                            {"defaults", nlohmann::json::object()},
                            {"exceptions", nlohmann::json::array()},
                            {"teams", nlohmann::json::array()},
                            {"drained", nlohmann::json::array()},
                            {"runbooks", nlohmann::json::array()},
                            {"changes", nlohmann::json::array()}};
    for (const auto& [key, setting] : config.defaults) {
        value["defaults"][key] = encode_value(setting);
    }
    for (const auto& exception : config.exceptions) {
        value["exceptions"].push_back(encode_exception(exception));
    }
    for (const auto& [id, team] : config.teams) {
        value["teams"].push_back(encode_team(team));
    }
    for (const auto& drain : config.drained) {
        value["drained"].push_back(encode_drain(drain));
    }
    for (const auto& [name, book] : config.runbooks) {
        value["runbooks"].push_back(encode_runbook(book));
    }
    for (const auto& change : config.changes) {
        value["changes"].push_back(encode_change_record(change, true));
    }
    return write_json(value);
}

std::variant<fleet_config_ptr, config_errors> decode_fleet_config(std::string_view text) {
    auto read = read_json(text, max_config_bytes);
    if (auto* errors = std::get_if<config_errors>(&read)) {
        return std::move(*errors);
    }
    const auto& document = std::get<text_document>(read);
    fault_collector faults(document, false);
    object_reader reader(document.root, "", faults);
    auto config = std::make_shared<fleet_config>();
    const auto version = reader.require_number("version");
    if (version < 0) {
        faults.add("version", "must not be negative");
    }
    config->version = static_cast<std::uint64_t>(version);
    auto sections = decode_document(reader, faults);
    config->defaults = std::move(sections.defaults).value_or(std::map<std::string, config_value>{});
    config->exceptions = std::move(sections.exceptions).value_or(std::vector<config_exception>{});
    config->drained = std::move(sections.drained).value_or(std::vector<drain_record>{});
    if (sections.teams) {
        for (const auto& team : *sections.teams) {
            config->teams[team.team] = team;
        }
    }
    if (sections.runbooks) {
        for (const auto& book : *sections.runbooks) {
            config->runbooks[book.name] = book;
        }
    }
    config->changes =
        decode_list<config_change_record>(reader, "changes", max_config_changes, faults, decode_change_record)
            .value_or(std::vector<config_change_record>{});
    if (!faults.is_empty()) {
        return faults.take();
    }
    return fleet_config_ptr(config);
}

std::variant<config_document, config_errors> parse_config_toml(std::string_view text) {
    auto read = read_toml(text, max_config_file_bytes);
    if (auto* errors = std::get_if<config_errors>(&read)) {
        return std::move(*errors);
    }
    const auto& document = std::get<text_document>(read);
    fault_collector faults(document, true);
    object_reader reader(document.root, "", faults);
    auto sections = decode_document(reader, faults);
    reader.finish();
    if (faults.is_empty()) {
        check_document(sections, faults);
    }
    if (!faults.is_empty()) {
        return faults.take();
    }
    return sections;
}

std::string write_config_toml(const fleet_config& config) {
    const auto write_value = [](const config_value& value) {
        const auto* string_value = std::get_if<std::string>(&value);
        return string_value != nullptr ? quote_toml(*string_value) : format_value(value);
    };
    std::string text = "# Version " + std::to_string(config.version) + "\n\n[defaults]\n";
    for (const auto& [key, value] : config.defaults) {
        const bool is_bare = is_valid_name(key) && key.find('.') == std::string::npos;
        text += (is_bare ? key : quote_toml(key)) + " = " + write_value(value) + "\n";
    }
    // An empty list removes all entries, whereas a missing section would keep the existing ones.
    for (const auto& [name, is_empty] :
         {std::pair{"exceptions", config.exceptions.empty()}, std::pair{"teams", config.teams.empty()}}) {
        if (is_empty) {
            text.insert(text.find("[defaults]"), std::string(name) + " = []\n\n");
        }
    }
    for (const auto& exception : config.exceptions) {
        text += "\n[[exceptions]]\nscope = " + quote_toml(get_scope_type(exception.scope)) +
                "\nname = " + quote_toml(get_scope_name(exception.scope)) +
                "\nkey = " + quote_toml(exception.key) + "\nvalue = " + write_value(exception.value) +
                "\nreason = " + quote_toml(exception.reason) + "\nauthor = " + quote_toml(exception.author) +
                "\n";
        if (exception.until) {
            text += "until = " + format_utc(*exception.until) + "\n";
        }
    }
    for (const auto& [id, team] : config.teams) {
        text += "\n[[teams]]\nteam = " + quote_toml(id.get()) +
                "\nquota_slots = " + std::to_string(team.quota_slots) +
                "\nquota_accelerators = " + std::to_string(team.quota_accelerators) +
                "\nshare = " + std::to_string(team.share) + "\n";
    }
    for (const auto& drain : config.drained) {
        text += "\n[[drained]]\nscope = " + quote_toml(get_scope_type(drain.target)) +
                "\nname = " + quote_toml(get_scope_name(drain.target)) +
                "\nreason = " + quote_toml(drain.reason) + "\nauthor = " + quote_toml(drain.author) +
                "\nsince = " + format_utc(drain.since) + "\n";
    }
    for (const auto& [name, book] : config.runbooks) {
        text += "\n[[runbooks]]\n" + write_runbook_toml(runbook{book.name, book.description, book.team, {}}) +
                write_steps_toml(book, "runbooks.steps");
    }
    return text;
}

}  // namespace jacinthvane
