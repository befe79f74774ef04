#include "connection/admin_api.hpp"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/document_reader.hpp"
#include "connection/fleet_config_codec.hpp"
#include "connection/runbook_codec.hpp"
#include "process/error_kind.hpp"
#include "process/random_id.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::seconds call_timeout{8};
constexpr std::size_t max_audit_records = 500;
constexpr std::size_t max_body_bytes = 16U << 10U;
constexpr std::size_t max_config_body_bytes = 768U << 10U;
constexpr std::size_t max_listed_jobs = 1000;
constexpr std::size_t max_path_segments = 6;
constexpr std::string_view path_prefix = "/v1/admin/";
// Unauthenticated calls share one rate limit, kept under a name that is not a valid token name.
constexpr const char* unknown_token = "?";

http_response make_response(const nlohmann::json& body) {
    http_response response;
    response.headers["Content-Type"] = "application/json";
    response.headers["X-Run"] = std::string(get_name(run_knowledge::ran));
    response.body = write_json(body) + "\n";
    return response;
}

http_response make_error_response(const absl::Status& status,
                                  nlohmann::json extra = nlohmann::json::object()) {
    const auto& mapping = get_error_mapping(get_error_kind(status));
    const auto run = get_name(get_run_knowledge(status));
    extra["kind"] = mapping.name;
    extra["message"] = std::string(status.message());
    extra["run"] = run;
    extra["retry_after_ms"] = mapping.retry_after_ms;
    auto response = make_response(extra);
    response.status = mapping.http_status;
    response.headers["X-Run"] = std::string(run);
    return response;
}

http_response make_error_response(error_kind kind, std::string_view message) {
    return make_error_response(make_error(kind, message));
}

http_response make_fault_response(error_kind kind, const config_errors& errors) {
    auto list = nlohmann::json::array();
    for (const auto& error : errors) {
        list.push_back({{"line", error.line}, {"key", error.key}, {"message", error.message}});
    }
    return make_error_response(make_error(kind, format_errors(errors)), {{"errors", std::move(list)}});
}

std::string get_outcome_name(const absl::Status& status) {
    return status.ok() ? "ok" : std::string(get_error_mapping(get_error_kind(status)).name);
}

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> segments;
    if (!path.starts_with(path_prefix)) {
        return segments;
    }
    path.remove_prefix(path_prefix.size());
    while (segments.size() <= max_path_segments) {
        const auto end = std::min(path.find('/'), path.size());
        segments.emplace_back(path.substr(0, end));
        if (end == path.size()) {
            break;
        }
        path.remove_prefix(end + 1);
    }
    return segments;
}

std::optional<std::string_view> read_bearer(const http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const auto header = request.get_header("Authorization");
    if (!header.starts_with(scheme) || header.size() > scheme.size() + max_token_bytes) {
        return std::nullopt;
    }
    return header.substr(scheme.size());
}

// The fields that every change has.
struct change_fields {
    std::string reason;
    std::string mark;
    utc_time at;
};

change_fields read_change_fields(object_reader& reader, fault_collector& faults) {
    change_fields fields;
    fields.reason = reader.require_text("reason");
    if (fields.reason.find_first_not_of(" \t\r\n") == std::string::npos ||
        fields.reason.size() > max_reason_bytes) {
        faults.add("reason", "must have 1 to " + std::to_string(max_reason_bytes) + " bytes");
    }
    fields.mark = reader.get_text("mark", "");
    if (fields.mark.empty()) {
        fields.mark = make_random_id();
    } else if (!is_valid_name(fields.mark)) {
        faults.add("mark", "is not a valid mark");
    }
    const auto at = reader.get_text("at", "");
    const auto time = at.empty() ? get_utc_now() : parse_utc(at);
    if (!time) {
        faults.add("at", "must be a time such as 2026-03-12T08:00:00Z");
    }
    fields.at = time.value_or(utc_time{});
    return fields;
}

// A parsed body, or the error response to a body that cannot be parsed.
struct parsed_body {
    text_document document;
    std::optional<http_response> refusal;
};

parsed_body parse_body(const http_request& request) {
    auto read = read_json(request.body, max_config_body_bytes);
    if (const auto* errors = std::get_if<config_errors>(&read)) {
        return {{}, make_fault_response(error_kind::bad_request, *errors)};
    }
    return {std::move(std::get<text_document>(read)), std::nullopt};
}

// Sets the author of an operation that names none to the owner of the token that sends it.
struct author_default {
    const std::string& author;
    utc_time at;

    void operator()(put_exception& operation) const {
        if (operation.exception.author.empty()) {
            operation.exception.author = author;
        }
    }
    void operator()(put_drain& operation) const {
        if (operation.place.author.empty()) {
            operation.place.author = author;
            operation.place.since = at;
        }
    }
    template <typename Other>
    void operator()(Other&) const {}
};

config_change make_change(const access_token& token, const change_fields& fields,
                          std::vector<config_operation> operations) {
    for (auto& operation : operations) {
        std::visit(author_default{token.name, fields.at}, operation);
    }
    return {.author = token.name,
            .reason = fields.reason,
            .at = fields.at,
            .mark = fields.mark,
            .operations = std::move(operations)};
}

http_response make_change_response(const config_change_result& result,
                                   std::optional<std::uint64_t> expected_version) {
    using outcome = config_change_result::outcome;
    const auto current = result.config ? result.config->version : 0;
    switch (result.result) {
        case outcome::applied:
        case outcome::unchanged: {
            std::string summary;
            for (const auto& change : result.config->changes) {
                if (change.version == result.applied_version) {
                    summary = change.summary;
                }
            }
            const auto version = result.result == outcome::applied ? result.applied_version : current;
            return make_response({{"outcome", get_name(result.result)},
                                  {"version", version},
                                  {"current_version", current},
                                  {"summary", summary}});
        }
        case outcome::conflict: {
            std::string message = "version " + std::to_string(expected_version.value_or(0)) +
                                  " is no longer current; version " + std::to_string(current) + " is";
            auto others = nlohmann::json::array();
            for (const auto& other : result.others) {
                others.push_back(encode_change_record(other, false));
                message += "\nversion " + std::to_string(other.version) + " by " + other.author + " at " +
                           format_utc(other.at) + ": " + other.reason + " (" + other.summary + ")";
            }
            return make_error_response(make_error(error_kind::version_conflict, message),
                                       {{"others", std::move(others)}, {"current_version", current}});
        }
        case outcome::invalid:
            return make_fault_response(error_kind::bad_configuration, result.errors);
        case outcome::store_unavailable:
            return make_error_response(error_kind::store_unavailable,
                                       "the store did not accept the change; it was not applied");
        case outcome::unknown:
            break;
    }
    return make_error_response(
        error_kind::store_outcome_unknown,
        "the store did not confirm whether the change was applied; send it again with the "
        "same mark");
}

nlohmann::json encode_job(const job_summary& job) {
    return {{"job", job.job.get()}, {"team", job.team.get()},       {"kind", job.kind.get()},
            {"state", job.state},   {"generation", job.generation}, {"upstream", job.upstream.get()},
            {"why", job.why},       {"evictions", job.evictions},   {"failures", job.failures}};
}

bool can_access(const access_token& token, const team_id& team) {
    return token.team.is_empty() || token.team == team;
}

std::optional<std::int64_t> read_query_number(const http_request& request, std::string_view name,
                                              std::int64_t fallback, std::int64_t max) {
    const auto text = request.get_query(name);
    if (text.empty()) {
        return fallback;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 1 || value > max) {
        return std::nullopt;
    }
    return value;
}

http_response make_not_ready() {
    return make_error_response(error_kind::not_ready, "this process does not support the operation yet");
}

http_response make_run_response(const absl::StatusOr<runbook_run_record>& run) {
    return run.ok() ? make_response(encode_runbook_run(*run)) : make_error_response(run.status());
}

// Quotes a text for a log line in key=value form.
std::string quote_log(const std::string& text) {
    return write_json(nlohmann::json(text));
}

}  // namespace

admin_api::admin_api(admin_operations operations, std::shared_ptr<key_file> keys, clock_source clock,
                     admin_rate rate)
    : operations_(std::move(operations)), keys_(std::move(keys)), clock_(std::move(clock)), limits_(rate) {}

const std::vector<admin_api::admin_route>& admin_api::get_routes() {
    constexpr auto viewer = access_role::viewer;
    constexpr auto operators = access_role::operator_role;
    constexpr auto admin = access_role::admin;
    static const std::vector<admin_route> routes = {
        {"GET", {"config"}, viewer, true, &admin_api::show_config},
        {"POST", {"config"}, operators, true, &admin_api::apply_config},
        {"POST", {"config", "diff"}, viewer, true, &admin_api::diff_config_file},
        {"POST", {"config", "rollback"}, operators, true, &admin_api::roll_back},
        {"GET", {"config", "history"}, viewer, true, &admin_api::show_history},
        {"GET", {"config", "explain"}, viewer, false, &admin_api::explain},
        {"GET", {"runbooks"}, viewer, false, &admin_api::list_runbooks},
        {"GET", {"runbooks", "*"}, viewer, false, &admin_api::show_runbook},
        {"POST", {"runbooks", "*", "runs"}, operators, false, &admin_api::start_run},
        {"GET", {"runs"}, viewer, false, &admin_api::list_runs},
        {"GET", {"runs", "*"}, viewer, false, &admin_api::show_run},
        {"POST", {"runs", "*", "resume"}, operators, false, &admin_api::resume_run},
        {"POST", {"runs", "*", "cancel"}, operators, false, &admin_api::cancel_run},
        {"GET", {"jobs"}, viewer, false, &admin_api::list_jobs},
        {"GET", {"jobs", "*"}, viewer, false, &admin_api::show_job},
        {"POST", {"jobs", "*", "cancel"}, operators, false, &admin_api::cancel_job},
        {"GET", {"drain"}, viewer, true, &admin_api::show_drain},
        {"POST", {"drain"}, operators, true, &admin_api::drain},
        {"POST", {"undrain"}, operators, true, &admin_api::undrain},
        {"GET", {"quotas"}, viewer, false, &admin_api::show_quotas},
        {"POST", {"quotas"}, admin, true, &admin_api::set_quota},
        {"GET", {"state"}, operators, true, &admin_api::dump_state},
        {"GET", {"members"}, viewer, false, &admin_api::list_members},
        {"GET", {"audit"}, admin, true, &admin_api::show_audit},
        {"POST", {"keys", "reload"}, admin, true, &admin_api::reload_keys},
    };
    return routes;
}

awaitable<http_response> admin_api::handle(http_request request) {
    const auto now = get_now(clock_);
    const auto keys = keys_->get();
    const auto bearer = read_bearer(request);
    const auto* token = bearer ? find_token(*keys, *bearer) : nullptr;
    const std::string name = token == nullptr ? unknown_token : token->name;
    if (!limits_.start(name, now)) {
        co_return make_error_response(
            error_kind::overloaded,
            "the token exceeds its limit of calls per second or of calls in progress");
    }
    struct finisher {
        admin_limits& limits;
        const std::string& name;
        ~finisher() { limits.finish(name); }
    };
    const finisher finish{limits_, name};
    if (token == nullptr) {
        co_return make_error_response(error_kind::unauthorized, "the bearer token is missing or unknown");
    }
    auto call = std::make_shared<admin_call>();
    call->path = split_path(request.get_path());
    call->request = std::move(request);
    call->token = *token;
    call->deadline = std::chrono::steady_clock::now() + call_timeout;
    auto response = co_await route(call);
    co_return response;
}

awaitable<http_response> admin_api::route(std::shared_ptr<const admin_call> call) {
    const auto matches = [&](const admin_route& route) {
        return std::equal(route.path.begin(), route.path.end(), call->path.begin(), call->path.end(),
                          [](std::string_view wanted, const std::string& actual) {
                              return wanted == "*" ? is_valid_name(actual) : wanted == actual;
                          });
    };
    const admin_route* found = nullptr;
    bool is_path_known = false;
    for (const auto& candidate : get_routes()) {
        if (matches(candidate)) {
            is_path_known = true;
            found = candidate.method == call->request.method ? &candidate : found;
        }
    }
    if (found == nullptr && is_path_known) {
        co_return make_error_response(error_kind::bad_request, "the path does not support this method");
    }
    if (found == nullptr) {
        co_return make_error_response(error_kind::not_found, "the admin interface has no such path");
    }
    const bool is_change = call->request.method != "GET";
    if (call->token.role < found->role || (found->is_fleet_only && !call->token.team.is_empty())) {
        if (is_change) {
            audit(*call, "", "forbidden");
        }
        const std::string scope = found->is_fleet_only ? " in a token for the whole fleet" : "";
        co_return make_error_response(
            error_kind::forbidden, "this call needs the role " + std::string(get_name(found->role)) + scope);
    }
    const auto limit = call->path[0] == "config" ? max_config_body_bytes : max_body_bytes;
    if (call->request.body.size() > limit) {
        co_return make_error_response(error_kind::body_too_large,
                                      "the body has " + std::to_string(call->request.body.size()) +
                                          " bytes; at most " + std::to_string(limit) + " are allowed");
    }
    auto response = co_await (this->*found->handle)(call);
    co_return response;
}

void admin_api::audit(const admin_call& call, const std::string& reason, const std::string& outcome) {
    std::string target;
    for (const auto& segment : call.path) {
        target += (target.empty() ? "" : "/") + segment.substr(0, 64);
    }
    audit_record record{.at = get_utc_now(),
                        .who = call.token.name,
                        .role = std::string(get_name(call.token.role)),
                        .action = call.request.method,
                        .target = std::move(target),
                        .reason = reason.substr(0, max_reason_bytes),
                        .outcome = outcome};
    LOG(INFO) << "event=admin_change who=" << record.who << " role=" << record.role
              << " target=" << quote_log(record.target) << " reason=" << quote_log(record.reason)
              << " outcome=" << record.outcome;
    if (operations_.write_audit) {
        operations_.write_audit(record);
    }
    std::lock_guard lock(audit_mutex_);
    if (audit_.size() >= max_audit_records) {
        audit_.pop_back();
    }
    audit_.push_front(std::move(record));
}

std::vector<audit_record> admin_api::list_audit() const {
    std::lock_guard lock(audit_mutex_);
    return {audit_.begin(), audit_.end()};
}

awaitable<http_response> admin_api::show_config(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    if (call->request.get_query("format") == "toml") {
        http_response response;
        response.headers["Content-Type"] = "application/toml";
        response.body = write_config_toml(*config);
        co_return response;
    }
    auto shown = *config;
    shown.changes.clear();
    co_return make_response(nlohmann::json::parse(encode_fleet_config(shown)));
}

awaitable<http_response> admin_api::diff_config_file(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto toml = reader.require_text("toml");
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const auto parsed = parse_config_toml(toml);
    if (const auto* errors = std::get_if<config_errors>(&parsed)) {
        co_return make_fault_response(error_kind::bad_configuration, *errors);
    }
    auto lines = nlohmann::json::array();
    for (const auto& operation : diff_config(*config, std::get<config_document>(parsed))) {
        lines.push_back(describe(operation));
    }
    co_return make_response({{"version", config->version}, {"changes", std::move(lines)}});
}

awaitable<http_response> admin_api::send_change(std::shared_ptr<const admin_call> call, config_change change,
                                                std::optional<std::uint64_t> expected_version) {
    if (!operations_.change_config) {
        co_return make_not_ready();
    }
    const auto reason = change.reason;
    const auto result =
        co_await operations_.change_config(std::move(change), expected_version, call->deadline);
    audit(*call, reason, std::string(get_name(result.result)));
    co_return make_change_response(result, expected_version);
}

awaitable<http_response> admin_api::apply_config(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    const auto expected = reader.require_number("expected_version");
    std::vector<config_operation> operations;
    const bool has_file = reader.has("toml");
    const auto toml = reader.get_text("toml", "");
    if (const auto* list = reader.find("operations")) {
        operations = decode_operations(*list, "operations", faults);
    }
    reader.finish();
    if (has_file == reader.has("operations")) {
        faults.add("", "needs either toml or operations");
    }
    if (expected < 0) {
        faults.add("expected_version", "must not be negative");
    }
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const auto version = static_cast<std::uint64_t>(expected);
    if (has_file) {
        const auto parsed = parse_config_toml(toml);
        if (const auto* errors = std::get_if<config_errors>(&parsed)) {
            audit(*call, fields.reason, "invalid");
            co_return make_fault_response(error_kind::bad_configuration, *errors);
        }
        if (!operations_.load_config) {
            co_return make_not_ready();
        }
        // The file is compared with the version in the store, since this process may still use an older one.
        const auto current = co_await operations_.load_config(call->deadline);
        if (!current.ok()) {
            audit(*call, fields.reason, get_outcome_name(current.status()));
            co_return make_error_response(current.status());
        }
        // If the store holds another version, the change either repeats one that was applied already or
        // conflicts with it.
        const bool is_expected = (*current)->version == version;
        if (is_expected) {
            operations = diff_config(**current, std::get<config_document>(parsed));
        }
        if (is_expected && operations.empty()) {
            audit(*call, fields.reason, "unchanged");
            co_return make_change_response({.result = config_change_result::outcome::unchanged,
                                            .applied_version = 0,
                                            .config = *current,
                                            .others = {},
                                            .errors = {}},
                                           version);
        }
    }
    auto change = make_change(call->token, fields, std::move(operations));
    auto response = co_await send_change(call, std::move(change), version);
    co_return response;
}

awaitable<http_response> admin_api::roll_back(std::shared_ptr<const admin_call> call) {
    if (!operations_.roll_back_config) {
        co_return make_not_ready();
    }
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    const auto target = reader.require_number("version");
    const auto expected = reader.require_number("expected_version");
    reader.finish();
    if (target < 0 || expected < 0) {
        faults.add("version", "must not be negative");
    }
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    auto change = make_change(call->token, fields, {});
    const auto result =
        co_await operations_.roll_back_config(std::move(change), static_cast<std::uint64_t>(target),
                                              static_cast<std::uint64_t>(expected), call->deadline);
    audit(*call, fields.reason, std::string(get_name(result.result)));
    co_return make_change_response(result, static_cast<std::uint64_t>(expected));
}

awaitable<http_response> admin_api::show_history(std::shared_ptr<const admin_call> /*call*/) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    auto changes = nlohmann::json::array();
    for (auto change = config->changes.rbegin(); change != config->changes.rend(); ++change) {
        changes.push_back(encode_change_record(*change, false));
    }
    co_return make_response({{"version", config->version}, {"changes", std::move(changes)}});
}

awaitable<http_response> admin_api::explain(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    const auto& request = call->request;
    const auto key = request.get_query("key");
    config_subject subject{.team = team_id(request.get_query("team")),
                           .kind = task_kind(request.get_query("kind")),
                           .upstream = upstream_id(request.get_query("upstream")),
                           .rack = rack_id(request.get_query("rack")),
                           .failure_domain = failure_domain_id(request.get_query("failure_domain"))};
    if (subject.team.is_empty()) {
        subject.team = call->token.team;
    }
    if (!can_access(call->token, subject.team)) {
        co_return make_error_response(error_kind::forbidden, "the token is for another team");
    }
    const auto found = resolve(*config, key, subject, get_utc_now());
    if (!found) {
        co_return make_error_response(error_kind::not_found, "there is no setting \"" + key + "\"");
    }
    const auto* schema = find_setting(key);
    const auto value = std::visit([](const auto& part) { return nlohmann::json(part); }, found->value);
    co_return make_response({{"key", key},
                             {"value", value},
                             {"unit", schema->unit},
                             {"text", schema->text},
                             {"why", found->why},
                             {"version", config->version}});
}

awaitable<http_response> admin_api::list_runbooks(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    auto list = nlohmann::json::array();
    for (const auto& [name, book] : config->runbooks) {
        if (can_access(call->token, book.team)) {
            list.push_back(encode_runbook(book));
        }
    }
    co_return make_response({{"runbooks", std::move(list)}});
}

awaitable<http_response> admin_api::show_runbook(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    const auto found = config->runbooks.find(call->path[1]);
    if (found == config->runbooks.end() || !can_access(call->token, found->second.team)) {
        co_return make_error_response(error_kind::not_found, "there is no runbook \"" + call->path[1] + "\"");
    }
    co_return make_response(encode_runbook(found->second));
}

awaitable<http_response> admin_api::start_run(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config || !operations_.start_run) {
        co_return make_not_ready();
    }
    const auto found = config->runbooks.find(call->path[1]);
    if (found == config->runbooks.end() || !can_access(call->token, found->second.team)) {
        co_return make_error_response(error_kind::not_found, "there is no runbook \"" + call->path[1] + "\"");
    }
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    // The mark is the id of the run, so a retry after a lost response finds the same run.
    runbook_run_record record;
    record.run_id = fields.mark;
    record.book = found->second;
    record.steps.resize(record.book.steps.size());
    record.started_by = call->token.name;
    record.reason = fields.reason;
    record.started_at = fields.at;
    const auto run = co_await operations_.start_run(std::move(record), call->deadline);
    audit(*call, fields.reason, get_outcome_name(run.status()));
    co_return make_run_response(run);
}

awaitable<http_response> admin_api::list_runs(std::shared_ptr<const admin_call> call) {
    if (!operations_.list_runs) {
        co_return make_not_ready();
    }
    const auto runs = co_await operations_.list_runs(call->deadline);
    if (!runs.ok()) {
        co_return make_error_response(runs.status());
    }
    auto list = nlohmann::json::array();
    for (const auto& run : *runs) {
        if (can_access(call->token, run.book.team)) {
            list.push_back(encode_runbook_run(run));
        }
    }
    co_return make_response({{"runs", std::move(list)}});
}

awaitable<absl::StatusOr<runbook_run_record>> admin_api::load_visible_run(
    std::shared_ptr<const admin_call> call) {
    if (!operations_.load_run) {
        co_return make_error(error_kind::not_ready, "this process does not support the operation yet");
    }
    auto run = co_await operations_.load_run(call->path[1], call->deadline);
    if (run.ok() && !can_access(call->token, run->book.team)) {
        co_return make_error(error_kind::not_found, "there is no run " + call->path[1]);
    }
    co_return run;
}

awaitable<http_response> admin_api::show_run(std::shared_ptr<const admin_call> call) {
    const auto run = co_await load_visible_run(call);
    co_return make_run_response(run);
}

awaitable<http_response> admin_api::resume_run(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    const auto decision_name = reader.require_text("decision");
    reader.finish();
    std::optional<run_decision> decision;
    for (const auto known :
         {run_decision::it_ran, run_decision::it_failed, run_decision::did_not_run, run_decision::repeat}) {
        if (get_name(known) == decision_name) {
            decision = known;
        }
    }
    if (!decision) {
        faults.add("decision", "must be it-ran, it-failed, did-not-run or repeat");
    }
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const auto loaded = co_await load_visible_run(call);
    if (!loaded.ok()) {
        co_return make_error_response(loaded.status());
    }
    if (!operations_.resume_run) {
        co_return make_not_ready();
    }
    const auto run = co_await operations_.resume_run(call->path[1], *decision, call->token.name,
                                                     fields.reason, fields.at, call->deadline);
    audit(*call, fields.reason, get_outcome_name(run.status()));
    co_return make_run_response(run);
}

awaitable<http_response> admin_api::cancel_run(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    // The command sends a decision with cancel requests too; it is accepted and ignored.
    (void)reader.get_text("decision", "cancel");
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const auto loaded = co_await load_visible_run(call);
    if (!loaded.ok()) {
        co_return make_error_response(loaded.status());
    }
    if (!operations_.cancel_run) {
        co_return make_not_ready();
    }
    const auto run = co_await operations_.cancel_run(call->path[1], call->token.name, fields.reason,
                                                     fields.at, call->deadline);
    audit(*call, fields.reason, get_outcome_name(run.status()));
    co_return make_run_response(run);
}

awaitable<http_response> admin_api::list_jobs(std::shared_ptr<const admin_call> call) {
    if (!operations_.list_jobs) {
        co_return make_not_ready();
    }
    const auto& request = call->request;
    const auto limit = read_query_number(request, "limit", 100, max_listed_jobs);
    if (!limit) {
        co_return make_error_response(error_kind::bad_request,
                                      "limit must be between 1 and " + std::to_string(max_listed_jobs));
    }
    job_filter filter{.team = team_id(request.get_query("team")),
                      .kind = task_kind(request.get_query("kind")),
                      .state = request.get_query("state"),
                      .limit = static_cast<std::size_t>(*limit)};
    if (filter.team.is_empty()) {
        filter.team = call->token.team;
    }
    if (!can_access(call->token, filter.team)) {
        co_return make_error_response(error_kind::forbidden, "the token is for another team");
    }
    const auto jobs = co_await operations_.list_jobs(filter, call->deadline);
    if (!jobs.ok()) {
        co_return make_error_response(jobs.status());
    }
    auto list = nlohmann::json::array();
    for (const auto& job : *jobs) {
        if (can_access(call->token, job.team) && list.size() < filter.limit) {
            list.push_back(encode_job(job));
        }
    }
    co_return make_response({{"jobs", std::move(list)}});
}

awaitable<http_response> admin_api::show_job(std::shared_ptr<const admin_call> call) {
    if (!operations_.show_job) {
        co_return make_not_ready();
    }
    const job_id id(call->path[1]);
    const auto job = co_await operations_.show_job(id, call->deadline);
    if (!job.ok()) {
        co_return make_error_response(job.status());
    }
    // Jobs of other teams are reported as not found, so that a token cannot probe for job ids.
    if (!can_access(call->token, job->team)) {
        co_return make_error_response(error_kind::not_found, "there is no job " + call->path[1]);
    }
    co_return make_response(encode_job(*job));
}

awaitable<http_response> admin_api::cancel_job(std::shared_ptr<const admin_call> call) {
    if (!operations_.show_job || !operations_.cancel_job) {
        co_return make_not_ready();
    }
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const job_id id(call->path[1]);
    const auto job = co_await operations_.show_job(id, call->deadline);
    if (!job.ok()) {
        co_return make_error_response(job.status());
    }
    if (!can_access(call->token, job->team)) {
        audit(*call, fields.reason, "forbidden");
        co_return make_error_response(error_kind::not_found, "there is no job " + call->path[1]);
    }
    const auto status = co_await operations_.cancel_job(id, call->token.name, fields.reason, call->deadline);
    audit(*call, fields.reason, get_outcome_name(status));
    if (!status.ok()) {
        co_return make_error_response(status);
    }
    co_return make_response({{"job", id.get()}, {"outcome", "cancelled"}});
}

awaitable<http_response> admin_api::drain(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    const auto target = make_drain_target(reader.require_text("scope"), reader.require_text("name"));
    reader.finish();
    if (!target) {
        faults.add("scope", "must be upstream, rack or failure_domain");
    }
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    drain_record record{
        .target = *target, .reason = fields.reason, .author = call->token.name, .since = fields.at};
    std::vector<config_operation> operations;
    operations.emplace_back(put_drain{std::move(record)});
    auto change = make_change(call->token, fields, std::move(operations));
    auto response = co_await send_change(call, std::move(change), std::nullopt);
    co_return response;
}

awaitable<http_response> admin_api::undrain(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    const auto target = make_drain_target(reader.require_text("scope"), reader.require_text("name"));
    reader.finish();
    if (!target) {
        faults.add("scope", "must be upstream, rack or failure_domain");
    }
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    std::vector<config_operation> operations;
    operations.emplace_back(remove_drain{*target});
    auto change = make_change(call->token, fields, std::move(operations));
    auto response = co_await send_change(call, std::move(change), std::nullopt);
    co_return response;
}

awaitable<http_response> admin_api::show_drain(std::shared_ptr<const admin_call> call) {
    if (!operations_.get_drain_progress) {
        co_return make_not_ready();
    }
    const auto target = make_drain_target(call->request.get_query("scope"), call->request.get_query("name"));
    if (!target) {
        co_return make_error_response(error_kind::bad_request,
                                      "scope must be upstream, rack or failure_domain");
    }
    const auto progress = co_await operations_.get_drain_progress(*target, call->deadline);
    if (!progress.ok()) {
        co_return make_error_response(progress.status());
    }
    co_return make_response({{"upstreams", progress->upstreams},
                             {"tasks", progress->tasks},
                             {"is_complete", progress->is_complete}});
}

awaitable<http_response> admin_api::show_quotas(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config || !operations_.list_team_usage) {
        co_return make_not_ready();
    }
    std::map<team_id, team_usage> usage;
    for (const auto& [id, team] : config->teams) {
        usage[id].team = id;
    }
    for (auto& used : operations_.list_team_usage()) {
        usage[used.team] = used;
    }
    auto list = nlohmann::json::array();
    for (const auto& [id, used] : usage) {
        if (!can_access(call->token, id)) {
            continue;
        }
        const auto team = get_team(*config, id);
        list.push_back({{"team", id.get()},
                        {"quota_slots", team.quota_slots},
                        {"quota_accelerators", team.quota_accelerators},
                        {"share", team.share},
                        {"slots_used", used.slots_used},
                        {"accelerators_used", used.accelerators_used},
                        {"urgent_running", used.urgent_running},
                        {"batch_running", used.batch_running},
                        {"queued", used.queued},
                        {"refused", used.refused}});
    }
    co_return make_response({{"teams", std::move(list)}});
}

awaitable<http_response> admin_api::set_quota(std::shared_ptr<const admin_call> call) {
    const auto config = operations_.get_config ? operations_.get_config() : nullptr;
    if (!config) {
        co_return make_not_ready();
    }
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    auto team = get_team(*config, team_id(reader.require_text("team")));
    team.quota_slots = reader.get_number("quota_slots", team.quota_slots);
    team.quota_accelerators = reader.get_number("quota_accelerators", team.quota_accelerators);
    team.share = reader.get_number("share", team.share);
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    std::vector<config_operation> operations;
    operations.emplace_back(put_team{std::move(team)});
    // Omitted fields keep their values from the version that this process uses, so the change is refused
    // unless that version is current.
    auto change = make_change(call->token, fields, std::move(operations));
    auto response = co_await send_change(call, std::move(change), config->version);
    co_return response;
}

awaitable<http_response> admin_api::dump_state(std::shared_ptr<const admin_call> call) {
    if (!operations_.dump_state) {
        co_return make_not_ready();
    }
    auto text = co_await operations_.dump_state(call->deadline);
    if (!text.ok()) {
        co_return make_error_response(text.status());
    }
    http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(*text);
    co_return response;
}

awaitable<http_response> admin_api::list_members(std::shared_ptr<const admin_call> /*call*/) {
    if (!operations_.list_members) {
        co_return make_not_ready();
    }
    auto list = nlohmann::json::array();
    for (const auto& member : operations_.list_members()) {
        list.push_back({{"process", member.process},
                        {"failure_domain", member.failure_domain.get()},
                        {"state", member.state},
                        {"config_version", member.config_version},
                        {"address", member.address}});
    }
    co_return make_response({{"members", std::move(list)}});
}

awaitable<http_response> admin_api::show_audit(std::shared_ptr<const admin_call> /*call*/) {
    auto list = nlohmann::json::array();
    for (const auto& record : list_audit()) {
        list.push_back({{"at", format_utc(record.at)},
                        {"who", record.who},
                        {"role", record.role},
                        {"action", record.action},
                        {"target", record.target},
                        {"reason", record.reason},
                        {"outcome", record.outcome}});
    }
    co_return make_response({{"records", std::move(list)}});
}

awaitable<http_response> admin_api::reload_keys(std::shared_ptr<const admin_call> call) {
    const auto body = parse_body(call->request);
    if (body.refusal) {
        co_return *body.refusal;
    }
    fault_collector faults(body.document, true);
    object_reader reader(body.document.root, "", faults);
    const auto fields = read_change_fields(reader, faults);
    reader.finish();
    if (!faults.is_empty()) {
        co_return make_fault_response(error_kind::bad_request, faults.take());
    }
    const auto errors = keys_->reload();
    audit(*call, fields.reason, errors.empty() ? "ok" : "bad_configuration");
    if (!errors.empty()) {
        co_return make_fault_response(error_kind::bad_configuration, errors);
    }
    co_return make_response({{"tokens", keys_->get()->tokens.size()}});
}

}  // namespace jacinthvane
