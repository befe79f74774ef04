#include "version/fleet_config.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace jacinthvane {

namespace {

constexpr std::size_t max_author_bytes = 128;
constexpr std::size_t max_mark_bytes = 64;
constexpr std::size_t max_summary_bytes = 512;
constexpr std::int64_t max_quota = 1'000'000;
constexpr std::int64_t max_share = 10'000;

template <typename... Visitors>
struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

unsigned get_scope_bit(const config_scope& scope) {
    return 1U << scope.index();
}

std::string name_scope(const config_scope& scope) {
    return std::string(get_scope_type(scope)) + " " + get_scope_name(scope);
}

std::string name_target(const drain_target& target) {
    return std::string(get_scope_type(target)) + " " + get_scope_name(target);
}

auto find_exception(std::vector<config_exception>& exceptions, const config_scope& scope,
                    std::string_view key) {
    return std::find_if(exceptions.begin(), exceptions.end(),
                        [&](const auto& item) { return item.scope == scope && item.key == key; });
}

auto find_drain_by_target(std::vector<drain_record>& drained, const drain_target& target) {
    return std::find_if(drained.begin(), drained.end(),
                        [&](const auto& drain) { return drain.target == target; });
}

void check_reason(const std::string& reason, const std::string& key, config_errors& errors) {
    if (reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        errors.push_back({key, "a reason is required"});
    } else if (reason.size() > max_reason_bytes) {
        errors.push_back({key, "has " + std::to_string(reason.size()) + " bytes; the limit is " +
                                   std::to_string(max_reason_bytes)});
    }
}

void check_value(const std::string& key, const config_value& value, const std::string& where,
                 config_errors& errors) {
    const auto* schema = find_setting(key);
    if (schema == nullptr) {
        errors.push_back({where, "there is no setting \"" + key + "\""});
        return;
    }
    if (auto error_text = schema->check(value); !error_text.empty()) {
        errors.push_back({where, error_text});
    }
}

// Applies single operations to a copy of a configuration. Collects all errors and the operations that undo
// the change.
class operation_applier {
public:
    operation_applier(fleet_config& config, config_errors& errors) : config_(config), errors_(errors) {}

    void set_key_prefix(std::string prefix) { key_prefix_ = std::move(prefix); }

    std::vector<config_operation> take_undo() {
        std::reverse(undo_.begin(), undo_.end());
        return std::move(undo_);
    }

    void operator()(const set_default& operation) {
        check_value(operation.key, operation.value, key_prefix_ + "." + operation.key, errors_);
        const auto old = config_.defaults.find(operation.key);
        if (old == config_.defaults.end()) {
            undo_.emplace_back(clear_default{operation.key});
        } else {
            undo_.emplace_back(set_default{operation.key, old->second});
        }
        config_.defaults[operation.key] = operation.value;
    }

    void operator()(const clear_default& operation) {
        const auto old = config_.defaults.find(operation.key);
        if (old == config_.defaults.end()) {
            errors_.push_back(
                {key_prefix_ + "." + operation.key, "the fleet configuration sets no default for this key"});
            return;
        }
        undo_.emplace_back(set_default{operation.key, old->second});
        config_.defaults.erase(old);
    }

    void operator()(const put_exception& operation) {
        const auto& exception = operation.exception;
        check_exception(exception);
        const auto old = find_exception(config_.exceptions, exception.scope, exception.key);
        if (old == config_.exceptions.end()) {
            undo_.emplace_back(remove_exception{exception.scope, exception.key});
            config_.exceptions.push_back(exception);
        } else {
            undo_.emplace_back(put_exception{*old});
            *old = exception;
        }
    }

    void operator()(const remove_exception& operation) {
        const auto old = find_exception(config_.exceptions, operation.scope, operation.key);
        if (old == config_.exceptions.end()) {
            errors_.push_back({key_prefix_, "there is no exception for " + name_scope(operation.scope) +
                                                " and " + operation.key});
            return;
        }
        undo_.emplace_back(put_exception{*old});
        config_.exceptions.erase(old);
    }

    void operator()(const put_team& operation) {
        const auto& team = operation.team;
        if (!is_valid_name(team.team.get())) {
            errors_.push_back(
                {key_prefix_ + ".team", "\"" + team.team.get() + "\" is not a valid team name"});
        }
        check_number(team.quota_slots, 0, max_quota, "quota_slots");
        check_number(team.quota_accelerators, 0, max_quota, "quota_accelerators");
        check_number(team.share, 1, max_share, "share");
        const auto old = config_.teams.find(team.team);
        if (old == config_.teams.end()) {
            undo_.emplace_back(remove_team{team.team});
        } else {
            undo_.emplace_back(put_team{old->second});
        }
        config_.teams[team.team] = team;
    }

    void operator()(const remove_team& operation) {
        const auto old = config_.teams.find(operation.team);
        if (old == config_.teams.end()) {
            errors_.push_back({key_prefix_, "there is no team \"" + operation.team.get() + "\""});
            return;
        }
        undo_.emplace_back(put_team{old->second});
        config_.teams.erase(old);
    }

    void operator()(const put_drain& operation) {
        const auto& drain = operation.place;
        if (!is_valid_name(get_scope_name(drain.target))) {
            errors_.push_back(
                {key_prefix_ + ".name", "\"" + get_scope_name(drain.target) + "\" is not a valid name"});
        }
        check_reason(drain.reason, key_prefix_ + ".reason", errors_);
        const auto old = find_drain_by_target(config_.drained, drain.target);
        if (old == config_.drained.end()) {
            undo_.emplace_back(remove_drain{drain.target});
            config_.drained.push_back(drain);
        } else {
            undo_.emplace_back(put_drain{*old});
            *old = drain;
        }
    }

    void operator()(const remove_drain& operation) {
        const auto old = find_drain_by_target(config_.drained, operation.target);
        if (old == config_.drained.end()) {
            errors_.push_back({key_prefix_, name_target(operation.target) + " is not drained"});
            return;
        }
        undo_.emplace_back(put_drain{*old});
        config_.drained.erase(old);
    }

    void operator()(const put_runbook& operation) {
        const auto runbook_errors = check_runbook(operation.book, key_prefix_);
        errors_.insert(errors_.end(), runbook_errors.begin(), runbook_errors.end());
        const auto old = config_.runbooks.find(operation.book.name);
        if (old == config_.runbooks.end()) {
            undo_.emplace_back(remove_runbook{operation.book.name});
        } else {
            undo_.emplace_back(put_runbook{old->second});
        }
        config_.runbooks[operation.book.name] = operation.book;
    }

    void operator()(const remove_runbook& operation) {
        const auto old = config_.runbooks.find(operation.name);
        if (old == config_.runbooks.end()) {
            errors_.push_back({key_prefix_, "there is no runbook \"" + operation.name + "\""});
            return;
        }
        undo_.emplace_back(put_runbook{old->second});
        config_.runbooks.erase(old);
    }

private:
    void check_exception(const config_exception& exception) {
        if (!is_valid_name(get_scope_name(exception.scope))) {
            errors_.push_back(
                {key_prefix_ + ".name", "\"" + get_scope_name(exception.scope) + "\" is not a valid name"});
        }
        check_reason(exception.reason, key_prefix_ + ".reason", errors_);
        check_value(exception.key, exception.value, key_prefix_ + ".value", errors_);
        const auto* schema = find_setting(exception.key);
        if (schema != nullptr && (schema->scopes & get_scope_bit(exception.scope)) == 0) {
            errors_.push_back({key_prefix_ + ".scope", exception.key + " allows no exception for a " +
                                                           std::string(get_scope_type(exception.scope))});
        }
    }

    void check_number(std::int64_t value, std::int64_t min, std::int64_t max, const std::string& field) {
        if (value < min || value > max) {
            errors_.push_back({key_prefix_ + "." + field, "must be between " + std::to_string(min) + " and " +
                                                              std::to_string(max) + ", not " +
                                                              std::to_string(value)});
        }
    }

    fleet_config& config_;
    config_errors& errors_;
    std::string key_prefix_;
    std::vector<config_operation> undo_;
};

void check_limits(const fleet_config& config, config_errors& errors) {
    const auto check = [&](std::size_t count, std::size_t limit, const std::string& section) {
        if (count > limit) {
            errors.push_back({section, std::to_string(count) + " entries; at most " + std::to_string(limit) +
                                           " are allowed"});
        }
    };
    check(config.exceptions.size(), max_config_exceptions, "exceptions");
    check(config.teams.size(), max_config_teams, "teams");
    check(config.drained.size(), max_config_drains, "drained");
    check(config.runbooks.size(), max_config_runbooks, "runbooks");
}

std::string summarize(const std::vector<config_operation>& operations) {
    std::string text;
    for (std::size_t i = 0; i < operations.size(); ++i) {
        const auto part = describe(operations[i]);
        // 40 bytes are reserved for the note about the omitted operations.
        if (text.size() + part.size() + 40 > max_summary_bytes) {
            return text + (text.empty() ? "" : "; ") + std::to_string(operations.size() - i) +
                   " more operations";
        }
        text += (text.empty() ? "" : "; ") + part;
    }
    return text;
}

bool is_same_drain(const drain_record& left, const drain_record& right) {
    return left.target == right.target && left.reason == right.reason;
}

bool is_same_exception(const config_exception& left, const config_exception& right) {
    return left.value == right.value && left.reason == right.reason && left.until == right.until;
}

void diff_defaults(const fleet_config& current, const std::map<std::string, config_value>& wanted,
                   std::vector<config_operation>& operations) {
    for (const auto& [key, value] : wanted) {
        const auto old = current.defaults.find(key);
        if (old == current.defaults.end() || old->second != value) {
            operations.emplace_back(set_default{key, value});
        }
    }
    for (const auto& [key, value] : current.defaults) {
        if (!wanted.contains(key)) {
            operations.emplace_back(clear_default{key});
        }
    }
}

void diff_exceptions(const fleet_config& current, const std::vector<config_exception>& wanted,
                     std::vector<config_operation>& operations) {
    auto old = current.exceptions;
    for (const auto& exception : wanted) {
        const auto found = find_exception(old, exception.scope, exception.key);
        const bool is_same = found != old.end() && is_same_exception(*found, exception);
        if (found != old.end()) {
            old.erase(found);
        }
        if (!is_same) {
            operations.emplace_back(put_exception{exception});
        }
    }
    for (const auto& exception : old) {
        operations.emplace_back(remove_exception{exception.scope, exception.key});
    }
}

void diff_teams(const fleet_config& current, const std::vector<team_config>& wanted,
                std::vector<config_operation>& operations) {
    std::set<team_id> kept;
    for (const auto& team : wanted) {
        kept.insert(team.team);
        const auto old = current.teams.find(team.team);
        if (old == current.teams.end() || old->second != team) {
            operations.emplace_back(put_team{team});
        }
    }
    for (const auto& [id, team] : current.teams) {
        if (!kept.contains(id)) {
            operations.emplace_back(remove_team{id});
        }
    }
}

void diff_drained(const fleet_config& current, const std::vector<drain_record>& wanted,
                  std::vector<config_operation>& operations) {
    auto old = current.drained;
    for (const auto& drain : wanted) {
        const auto found = find_drain_by_target(old, drain.target);
        const bool is_same = found != old.end() && is_same_drain(*found, drain);
        if (found != old.end()) {
            old.erase(found);
        }
        if (!is_same) {
            operations.emplace_back(put_drain{drain});
        }
    }
    for (const auto& drain : old) {
        operations.emplace_back(remove_drain{drain.target});
    }
}

void diff_runbooks(const fleet_config& current, const std::vector<runbook>& wanted,
                   std::vector<config_operation>& operations) {
    std::set<std::string> kept;
    for (const auto& book : wanted) {
        kept.insert(book.name);
        const auto old = current.runbooks.find(book.name);
        if (old == current.runbooks.end() || old->second != book) {
            operations.emplace_back(put_runbook{book});
        }
    }
    for (const auto& [name, book] : current.runbooks) {
        if (!kept.contains(name)) {
            operations.emplace_back(remove_runbook{name});
        }
    }
}

// Returns a higher number for a more specific scope, or 0 if the exception does not apply to the subject.
int get_specificity(const config_scope& scope, const config_subject& subject) {
    const auto rank = [](const auto& wanted, const auto& actual, int value) {
        return !actual.is_empty() && wanted == actual ? value : 0;
    };
    return std::visit(
        overloaded{[&](const team_id& id) { return rank(id, subject.team, 1); },
                   [&](const task_kind& kind) { return rank(kind, subject.kind, 2); },
                   [&](const failure_domain_id& id) { return rank(id, subject.failure_domain, 3); },
                   [&](const rack_id& id) { return rank(id, subject.rack, 4); },
                   [&](const upstream_id& id) { return rank(id, subject.upstream, 5); }},
        scope);
}

}  // namespace

std::string_view get_scope_type(const config_scope& scope) {
    return std::visit(overloaded{[](const team_id&) { return std::string_view("team"); },
                                 [](const task_kind&) { return std::string_view("task_kind"); },
                                 [](const upstream_id&) { return std::string_view("upstream"); },
                                 [](const rack_id&) { return std::string_view("rack"); },
                                 [](const failure_domain_id&) { return std::string_view("failure_domain"); }},
                      scope);
}

std::string_view get_scope_type(const drain_target& target) {
    return std::visit([](const auto& id) { return get_scope_type(config_scope(id)); }, target);
}

const std::string& get_scope_name(const config_scope& scope) {
    return std::visit([](const auto& id) -> const std::string& { return id.get(); }, scope);
}

const std::string& get_scope_name(const drain_target& target) {
    return std::visit([](const auto& id) -> const std::string& { return id.get(); }, target);
}

std::optional<config_scope> make_scope(std::string_view type, std::string_view name) {
    const std::string id(name);
    if (type == "team") {
        return team_id(id);
    }
    if (type == "task_kind") {
        return task_kind(id);
    }
    if (type == "upstream") {
        return upstream_id(id);
    }
    if (type == "rack") {
        return rack_id(id);
    }
    if (type == "failure_domain") {
        return failure_domain_id(id);
    }
    return std::nullopt;
}

std::optional<drain_target> make_drain_target(std::string_view type, std::string_view name) {
    const std::string id(name);
    if (type == "upstream") {
        return upstream_id(id);
    }
    if (type == "rack") {
        return rack_id(id);
    }
    if (type == "failure_domain") {
        return failure_domain_id(id);
    }
    return std::nullopt;
}

std::string describe(const config_operation& operation) {
    return std::visit(
        overloaded{[](const set_default& o) { return "set " + o.key + " = " + format_value(o.value); },
                   [](const clear_default& o) { return "clear " + o.key; },
                   [](const put_exception& o) {
                       return "except " + name_scope(o.exception.scope) + ": " + o.exception.key + " = " +
                              format_value(o.exception.value);
                   },
                   [](const remove_exception& o) {
                       return "remove exception " + name_scope(o.scope) + ": " + o.key;
                   },
                   [](const put_team& o) {
                       return "team " + o.team.team.get() + ": slots " + std::to_string(o.team.quota_slots) +
                              ", accelerators " + std::to_string(o.team.quota_accelerators) + ", share " +
                              std::to_string(o.team.share);
                   },
                   [](const remove_team& o) { return "remove team " + o.team.get(); },
                   [](const put_drain& o) { return "drain " + name_target(o.place.target); },
                   [](const remove_drain& o) { return "undrain " + name_target(o.target); },
                   [](const put_runbook& o) {
                       return "runbook " + o.book.name + " with " + std::to_string(o.book.steps.size()) +
                              " steps";
                   },
                   [](const remove_runbook& o) { return "remove runbook " + o.name; }},
        operation);
}

std::variant<fleet_config_ptr, config_errors> apply_change(const fleet_config& current,
                                                           const config_change& change) {
    config_errors errors;
    check_reason(change.reason, "reason", errors);
    if (change.author.empty() || change.author.size() > max_author_bytes) {
        errors.push_back({"author", "an author of 1 to 128 bytes is required, not " +
                                        std::to_string(change.author.size()) + " bytes"});
    }
    if (change.mark.empty() || change.mark.size() > max_mark_bytes) {
        errors.push_back({"mark", "a unique mark of 1 to 64 bytes is required, not " +
                                      std::to_string(change.mark.size()) + " bytes"});
    }
    if (change.operations.empty() || change.operations.size() > max_change_operations) {
        errors.push_back({"operations", "a change has 1 to " + std::to_string(max_change_operations) +
                                            " operations, not " + std::to_string(change.operations.size())});
        return errors;
    }
    auto next = std::make_shared<fleet_config>(current);
    operation_applier applier(*next, errors);
    for (std::size_t i = 0; i < change.operations.size(); ++i) {
        applier.set_key_prefix("operations[" + std::to_string(i) + "]");
        std::visit(applier, change.operations[i]);
    }
    check_limits(*next, errors);
    if (!errors.empty()) {
        return errors;
    }
    next->version = current.version + 1;
    next->changes.push_back(config_change_record{.version = next->version,
                                                 .author = change.author,
                                                 .reason = change.reason,
                                                 .summary = summarize(change.operations),
                                                 .at = change.at,
                                                 .mark = change.mark,
                                                 .undo = applier.take_undo(),
                                                 .has_undo = true});
    if (next->changes.size() > max_config_changes) {
        next->changes.erase(next->changes.begin());
    }
    return fleet_config_ptr(next);
}

std::vector<config_operation> diff_config(const fleet_config& current, const config_document& wanted) {
    std::vector<config_operation> operations;
    if (wanted.defaults) {
        diff_defaults(current, *wanted.defaults, operations);
    }
    if (wanted.exceptions) {
        diff_exceptions(current, *wanted.exceptions, operations);
    }
    if (wanted.teams) {
        diff_teams(current, *wanted.teams, operations);
    }
    if (wanted.drained) {
        diff_drained(current, *wanted.drained, operations);
    }
    if (wanted.runbooks) {
        diff_runbooks(current, *wanted.runbooks, operations);
    }
    return operations;
}

std::variant<std::vector<config_operation>, config_errors> make_rollback(const fleet_config& current,
                                                                         std::uint64_t version) {
    if (version >= current.version) {
        return config_errors{{"version", "version " + std::to_string(version) +
                                             " is not older than the current version " +
                                             std::to_string(current.version)}};
    }
    std::vector<config_operation> operations;
    auto reached = current.version;
    for (auto change = current.changes.rbegin(); change != current.changes.rend() && reached > version;
         ++change) {
        if (!change->has_undo) {
            break;
        }
        operations.insert(operations.end(), change->undo.begin(), change->undo.end());
        reached = change->version - 1;
    }
    if (reached > version) {
        return config_errors{
            {"version", "the history reaches back to version " + std::to_string(reached) + " only"}};
    }
    return operations;
}

fleet_config_ptr drop_oldest_undo(const fleet_config& config) {
    auto next = std::make_shared<fleet_config>(config);
    for (auto& change : next->changes) {
        if (change.has_undo) {
            change.undo.clear();
            change.has_undo = false;
            return next;
        }
    }
    return nullptr;
}

std::optional<resolved_value> resolve(const fleet_config& config, std::string_view key,
                                      const config_subject& subject, utc_time now) {
    const auto* schema = find_setting(key);
    if (schema == nullptr) {
        return std::nullopt;
    }
    const config_exception* best = nullptr;
    int best_specificity = 0;
    for (const auto& exception : config.exceptions) {
        const bool has_ended = exception.until && *exception.until <= now;
        const int specificity = get_specificity(exception.scope, subject);
        if (exception.key == key && !has_ended && specificity > best_specificity) {
            best = &exception;
            best_specificity = specificity;
        }
    }
    if (best != nullptr) {
        auto why = "exception for " + name_scope(best->scope) + " by " + best->author + ": " + best->reason;
        if (best->until) {
            why += " (until " + format_utc(*best->until) + ")";
        }
        return resolved_value{best->value, std::move(why), *best};
    }
    if (const auto found = config.defaults.find(std::string(key)); found != config.defaults.end()) {
        return resolved_value{
            found->second, "default of the fleet in version " + std::to_string(config.version), std::nullopt};
    }
    return resolved_value{schema->get_default(), "built-in default", std::nullopt};
}

std::int64_t get_number(const fleet_config& config, std::string_view key, const config_subject& subject,
                        utc_time now) {
    const auto found = resolve(config, key, subject, now);
    const auto* number = found ? std::get_if<std::int64_t>(&found->value) : nullptr;
    return number != nullptr ? *number : 0;
}

std::string get_choice(const fleet_config& config, std::string_view key, const config_subject& subject,
                       utc_time now) {
    const auto found = resolve(config, key, subject, now);
    return found ? format_value(found->value) : std::string();
}

std::int64_t get_number(const fleet_config& config, std::string_view key) {
    return get_number(config, key, config_subject{}, utc_time{});
}

team_config get_team(const fleet_config& config, const team_id& team) {
    if (const auto found = config.teams.find(team); found != config.teams.end()) {
        return found->second;
    }
    return {.team = team,
            .quota_slots = get_number(config, setting_key::team_quota_slots),
            .quota_accelerators = get_number(config, setting_key::team_quota_accelerators),
            .share = get_number(config, setting_key::team_share)};
}

const drain_record* find_drain(const fleet_config& config, const upstream_id& upstream, const rack_id& rack,
                               const failure_domain_id& failure_domain) {
    const auto covers = overloaded{[&](const upstream_id& id) { return id == upstream; },
                                   [&](const rack_id& id) { return id == rack; },
                                   [&](const failure_domain_id& id) { return id == failure_domain; }};
    const auto found = std::find_if(config.drained.begin(), config.drained.end(),
                                    [&](const auto& drain) { return std::visit(covers, drain.target); });
    return found == config.drained.end() ? nullptr : &*found;
}

std::string_view get_name(config_change_result::outcome result) {
    switch (result) {
        case config_change_result::outcome::applied:
            return "applied";
        case config_change_result::outcome::unchanged:
            return "unchanged";
        case config_change_result::outcome::conflict:
            return "conflict";
        case config_change_result::outcome::invalid:
            return "invalid";
        case config_change_result::outcome::store_unavailable:
            return "store_unavailable";
        case config_change_result::outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace jacinthvane
