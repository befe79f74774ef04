#include "connection/admin_api.hpp"

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "connection/fleet_config_codec.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

const std::string viewer_token = "fake-viewer-token-0000000000";
const std::string imports_token = "fake-imports-token-000000000";
const std::string archives_token = "fake-archives-token-00000000";
const std::string operator_token = "fake-operator-token-00000000";
const std::string admin_token = "fake-admin-token-00000000000";

std::string make_key_text() {
    std::string text;
    const auto add = [&](const char* name, const std::string& token, const char* role, const char* team) {
        text += std::string("[[tokens]]\nname = \"") + name + "\"\ntoken = \"" + token + "\"\nrole = \"" +
                role + "\"\nteam = \"" + team + "\"\n";
    };
    add("vera", viewer_token, "viewer", "*");
    add("imene", imports_token, "operator", "imports");
    add("adel", archives_token, "operator", "archives");
    add("omar", operator_token, "operator", "*");
    add("ada", admin_token, "admin", "*");
    return text;
}

struct api_fixture {
    std::shared_ptr<key_file> keys = std::make_shared<key_file>("/nonexistent");
    std::shared_ptr<manual_clock> clock = std::make_shared<manual_clock>();
    fleet_config_ptr config = std::make_shared<const jacinthvane::fleet_config>();
    std::map<std::string, job_summary> jobs;
    std::vector<std::string> cancelled;
    std::vector<audit_record> written;
    std::vector<config_change> changes;
    std::unique_ptr<admin_api> api;

    api_fixture() {
        keys->replace(std::get<key_set_ptr>(parse_key_file(make_key_text())));
        for (const auto& [id, team] : {std::pair{"1-1", "imports"}, std::pair{"1-2", "archives"}}) {
            job_summary job;
            job.job = job_id(id);
            job.team = team_id(team);
            job.state = "waiting";
            jobs[id] = job;
        }
        runbook_step step;
        step.name = "copy";
        step.command = "/opt/old/copy";
        step.kind = task_kind("import");
        step.timeout_ms = 10;
        const runbook book{.name = "visit", .description = "", .team = team_id("imports"), .steps = {step}};
        config = std::get<fleet_config_ptr>(apply_change(*config, {.author = "ada",
                                                                   .reason = "first",
                                                                   .at = {1},
                                                                   .mark = "first",
                                                                   .operations = {put_runbook{book}}}));
        make_api({.calls_per_second = 1, .burst = 10'000, .calls_in_progress = 8});
    }

    void make_api(admin_rate rate) {
        admin_operations operations;
        operations.get_config = [this] { return config; };
        operations.load_config = [this](time_point) -> awaitable<absl::StatusOr<fleet_config_ptr>> {
            co_return config;
        };
        operations.change_config = [this](config_change change, std::optional<std::uint64_t> expected,
                                          time_point) -> awaitable<config_change_result> {
            config_change_result result;
            result.config = config;
            changes.push_back(change);
            if (expected && *expected != config->version) {
                result.result = config_change_result::outcome::conflict;
                result.others = config->changes;
                co_return result;
            }
            auto applied = apply_change(*config, change);
            if (auto* errors = std::get_if<config_errors>(&applied)) {
                result.result = config_change_result::outcome::invalid;
                result.errors = *errors;
                co_return result;
            }
            config = std::get<fleet_config_ptr>(applied);
            result.result = config_change_result::outcome::applied;
            result.applied_version = config->version;
            result.config = config;
            co_return result;
        };
        operations.roll_back_config = [this](config_change, std::uint64_t, std::uint64_t,
                                             time_point) -> awaitable<config_change_result> {
            config_change_result result;
            result.config = config;
            result.result = config_change_result::outcome::invalid;
            co_return result;
        };
        operations.list_jobs = [this](job_filter,
                                      time_point) -> awaitable<absl::StatusOr<std::vector<job_summary>>> {
            // Ignores the filter, so that the test shows whether the interface itself separates the teams.
            std::vector<job_summary> list;
            for (const auto& [id, job] : jobs) {
                list.push_back(job);
            }
            co_return list;
        };
        operations.show_job = [this](job_id id, time_point) -> awaitable<absl::StatusOr<job_summary>> {
            const auto found = jobs.find(id.get());
            if (found == jobs.end()) {
                co_return make_error(error_kind::not_found, "there is no job " + id.get());
            }
            co_return found->second;
        };
        operations.cancel_job = [this](job_id id, std::string, std::string,
                                       time_point) -> awaitable<absl::Status> {
            cancelled.push_back(id.get());
            co_return absl::OkStatus();
        };
        operations.list_team_usage = [] { return std::vector<team_usage>{}; };
        operations.list_members = [] { return std::vector<member_summary>{}; };
        operations.start_run = [](runbook_run_record record,
                                  time_point) -> awaitable<absl::StatusOr<runbook_run_record>> {
            co_return record;
        };
        operations.write_audit = [this](const audit_record& record) { written.push_back(record); };
        api = std::make_unique<admin_api>(operations, keys, clock, rate);
    }

    http_response call(const std::string& token, const std::string& method, const std::string& target,
                       const std::string& body = {}) {
        http_request request;
        request.method = method;
        request.target = "/v1/admin/" + target;
        request.headers["Authorization"] = "Bearer " + token;
        request.body = body;
        return call(request);
    }

    http_response call(const http_request& request) {
        asio::io_context context;
        std::optional<http_response> response;
        spawn_task(context, "test", store_response(*api, request, response));
        context.run();
        BOOST_REQUIRE(response.has_value());
        return *response;
    }

    static awaitable<void> store_response(admin_api& api, http_request request,
                                          std::optional<http_response>& response) {
        response = co_await api.handle(std::move(request));
    }
};

const std::string reason_body = R"({"reason": "wrong archive"})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admin_api, api_fixture)

// Guards against changes with a token whose role does not permit them.
BOOST_AUTO_TEST_CASE(roles_limit_what_a_token_may_do) {
    const std::string drain = R"({"scope": "rack", "name": "r1", "reason": "switch"})";
    const std::string quota = R"({"team": "imports", "quota_slots": 5, "reason": "visit"})";
    struct expectation {
        std::string token;
        std::string method;
        std::string target;
        std::string body;
        int status;
    };
    const std::vector<expectation> expectations = {
        {"", "GET", "config", "", 401},
        {"wrong", "GET", "config", "", 401},
        {viewer_token, "GET", "config", "", 200},
        {imports_token, "GET", "config", "", 403},
        {imports_token, "GET", "state", "", 403},
        {viewer_token, "POST", "drain", drain, 403},
        {imports_token, "POST", "drain", drain, 403},
        {operator_token, "POST", "drain", drain, 200},
        {operator_token, "POST", "quotas", quota, 403},
        {admin_token, "POST", "quotas", quota, 200},
        {operator_token, "GET", "audit", "", 403},
        {admin_token, "GET", "audit", "", 200},
        {viewer_token, "POST", "jobs/1-1/cancel", reason_body, 403},
        {admin_token, "GET", "nothing", "", 404},
        {admin_token, "PUT", "drain", drain, 400},
        {admin_token, "GET", "state", "", 503},
    };
    for (const auto& expected : expectations) {
        const auto response = call(expected.token, expected.method, expected.target, expected.body);
        BOOST_TEST(response.status == expected.status,
                   expected.method << " " << expected.target << " gave " << response.status);
    }
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(changes[0].author == "omar");
}

// Guards against a team that reads or cancels jobs, runbooks or settings of another team.
BOOST_AUTO_TEST_CASE(a_team_reaches_only_its_own_work) {
    const auto listed = nlohmann::json::parse(call(imports_token, "GET", "jobs").body);
    BOOST_REQUIRE(listed.at("jobs").size() == 1U);
    BOOST_TEST(listed.at("jobs")[0].at("team") == "imports");
    BOOST_TEST(call(imports_token, "GET", "jobs?team=archives").status == 403);
    BOOST_TEST(call(imports_token, "GET", "jobs/1-2").status == 404);
    BOOST_TEST(call(imports_token, "POST", "jobs/1-2/cancel", reason_body).status == 404);
    BOOST_TEST(cancelled.empty());
    BOOST_TEST(call(imports_token, "POST", "jobs/1-1/cancel", reason_body).status == 200);
    BOOST_TEST(cancelled == std::vector<std::string>{"1-1"}, boost::test_tools::per_element());
    BOOST_TEST(call(imports_token, "GET", "runbooks/visit").status == 200);
    BOOST_TEST(call(archives_token, "GET", "runbooks/visit").status == 404);
    BOOST_TEST(call(archives_token, "POST", "runbooks/visit/runs", reason_body).status == 404);
    BOOST_TEST(call(imports_token, "POST", "runbooks/visit/runs", reason_body).status == 200);
    BOOST_TEST(call(archives_token, "GET", "config/explain?key=max_evictions&team=imports").status == 403);
    BOOST_TEST(call(archives_token, "GET", "config/explain?key=max_evictions").status == 200);
    BOOST_TEST(nlohmann::json::parse(call(operator_token, "GET", "jobs").body).at("jobs").size() == 2U);
}

// Guards against changes without an audit record, including refused and failed ones.
BOOST_AUTO_TEST_CASE(every_change_leaves_a_record_with_who_and_why) {
    BOOST_TEST(call(operator_token, "POST", "jobs/1-1/cancel", "{}").status == 400);
    BOOST_TEST(call(operator_token, "POST", "jobs/1-1/cancel", R"({"reason": "  "})").status == 400);
    BOOST_TEST(cancelled.empty());
    BOOST_TEST(call(operator_token, "POST", "jobs/1-1/cancel", reason_body).status == 200);
    BOOST_TEST(call(viewer_token, "POST", "jobs/1-1/cancel", reason_body).status == 403);
    BOOST_TEST(call(operator_token, "POST", "undrain", R"({"scope": "rack", "name": "r9", "reason": "typo"})")
                   .status == 422);
    BOOST_REQUIRE(written.size() == 3U);
    BOOST_TEST(written[0].who == "omar");
    BOOST_TEST(written[0].reason == "wrong archive");
    BOOST_TEST(written[0].target == "jobs/1-1/cancel");
    BOOST_TEST(written[0].outcome == "ok");
    BOOST_TEST(written[1].who == "vera");
    BOOST_TEST(written[1].outcome == "forbidden");
    BOOST_TEST(written[2].outcome == "invalid");
    BOOST_TEST(api->list_audit().size() == 3U);
}

// Guards against a client that overloads the process with calls.
BOOST_AUTO_TEST_CASE(each_token_has_its_own_limit) {
    make_api({.calls_per_second = 10, .burst = 5, .calls_in_progress = 8});
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        refused += call(viewer_token, "GET", "members").status == 503 ? 1 : 0;
    }
    BOOST_TEST(refused == 15);
    BOOST_TEST(call(operator_token, "GET", "members").status == 200);
    clock->advance(std::chrono::milliseconds(200));
    BOOST_TEST(call(viewer_token, "GET", "members").status == 200);
    // Calls with unknown tokens share one limit, whatever the token is.
    int unauthorized = 0;
    for (int i = 0; i < 20; ++i) {
        unauthorized += call("guess-" + std::to_string(i), "GET", "members").status == 401 ? 1 : 0;
    }
    BOOST_TEST(unauthorized == 5);
    BOOST_TEST(call(admin_token, "GET", "members").status == 200);
}

// Guards against calls of one token that accumulate while the store is slow.
BOOST_AUTO_TEST_CASE(calls_in_progress_are_limited) {
    admin_limits limits({.calls_per_second = 1000, .burst = 1000, .calls_in_progress = 2});
    const auto now = clock->get_now();
    BOOST_TEST(limits.start("a", now));
    BOOST_TEST(limits.start("a", now));
    BOOST_TEST(!limits.start("a", now));
    BOOST_TEST(limits.start("b", now));
    limits.finish("a");
    BOOST_TEST(limits.start("a", now));
}

// Guards against a token that is accepted after it was rotated out, and against an invalid key file that
// revokes all tokens.
BOOST_AUTO_TEST_CASE(keys_are_replaced_while_the_process_runs) {
    BOOST_TEST(call(admin_token, "GET", "audit").status == 200);
    BOOST_TEST(call(admin_token, "POST", "keys/reload", reason_body).status == 422);
    BOOST_TEST(call(admin_token, "POST", "keys/reload", "{}").status == 400);
    BOOST_TEST(call(admin_token, "GET", "audit").status == 200);
    auto text = make_key_text();
    text.replace(text.find(admin_token), admin_token.size(), "fake-admin-token-11111111111");
    keys->replace(std::get<key_set_ptr>(parse_key_file(text)));
    BOOST_TEST(call(admin_token, "GET", "audit").status == 401);
    BOOST_TEST(call("fake-admin-token-11111111111", "GET", "audit").status == 200);
}

// Guards against key files that grant more access than intended, and against error messages with secrets.
BOOST_AUTO_TEST_CASE(faults_of_a_key_file_are_found_and_show_no_secret) {
    const auto parsed = parse_key_file(
        "[[tokens]]\nname = \"a\"\ntoken = \"secret\"\nrole = \"root\"\n\n[[tokens]]\nname = \"a\"\n"
        "token_sha256 = \"zz\"\nrole = \"admin\"\nteam = \"*\"\n\n[[peer_keys]]\nid = \"k\"\nkey = "
        "\"secre7\"\n");
    BOOST_REQUIRE(std::holds_alternative<config_errors>(parsed));
    const auto text = format_errors(std::get<config_errors>(parsed));
    for (const auto* part :
         {"line 3: tokens[0].token", "line 4: tokens[0].role", "line 1: tokens[0].team",
          "line 7: tokens[1].name", "line 8: tokens[1].token_sha256", "line 14: peer_keys[0].key"}) {
        BOOST_TEST(text.find(part) != std::string::npos, part << " is missing in:\n" << text);
    }
    BOOST_TEST(text.find("secre") == std::string::npos);
}

// Guards against an apply that overwrites a concurrent change of another operator.
BOOST_AUTO_TEST_CASE(a_file_is_applied_against_the_version_that_the_operator_saw) {
    const auto apply = [&](std::uint64_t expected, const std::string& toml) {
        return call(
            operator_token, "POST", "config",
            nlohmann::json{{"toml", toml}, {"expected_version", expected}, {"reason", "visit"}}.dump());
    };
    const auto applied = apply(1, "[defaults]\nshards = 16\n");
    BOOST_TEST(applied.status == 200);
    BOOST_TEST(nlohmann::json::parse(applied.body).at("version") == 2);
    const auto same = apply(2, "[defaults]\nshards = 16\n");
    BOOST_TEST(nlohmann::json::parse(same.body).at("outcome") == "unchanged");
    const auto conflict = apply(1, "[defaults]\nshards = 32\n");
    BOOST_TEST(conflict.status == 409);
    const auto body = nlohmann::json::parse(conflict.body);
    BOOST_TEST(body.at("kind") == "version_conflict");
    BOOST_TEST(body.at("run") == "not-run");
    BOOST_TEST(body.at("message").get<std::string>().find("by omar") != std::string::npos);
    const auto wrong = apply(2, "[defaults]\nshards = 1600\n");
    BOOST_TEST(wrong.status == 422);
    BOOST_TEST(nlohmann::json::parse(wrong.body).at("errors")[0].at("line") == 2);
    BOOST_TEST(get_number(*config, setting_key::shards) == 16);
    BOOST_TEST(config->runbooks.contains("visit"));
}

// Guards against invalid input that stops the process, gets a 5xx response, or changes the state.
BOOST_AUTO_TEST_CASE(broken_input_is_refused) {
    std::mt19937 random(20260314);
    const std::vector<std::string> targets = {"config",          "config/diff",   "config/rollback",
                                              "drain",           "undrain",       "quotas",
                                              "jobs/1-1/cancel", "runs/x/resume", "runbooks/visit/runs"};
    const std::vector<std::string> bodies = {
        "",
        "[]",
        "null",
        "{",
        "{\"reason\": 3}",
        "\xff\xfe",
        R"({"reason": "r", "unknown": 1})",
        R"({"operations": [{"op": "put_drain", "place": 3}], "expected_version": 1, "reason": "r"})",
        std::string(40, '['),
        R"({"reason": "r", "at": "yesterday"})",
        R"({"reason": "r", "mark": "../x"})"};
    const auto before = *config;
    for (int i = 0; i < 3000; ++i) {
        auto body = bodies[random() % bodies.size()];
        for (auto mutations = random() % 4; mutations > 0 && !body.empty(); --mutations) {
            body[random() % body.size()] = static_cast<char>(random() % 256);
        }
        const auto& target = targets[random() % targets.size()];
        const auto response = call(admin_token, "POST", target, body);
        BOOST_TEST((response.status >= 400 && response.status < 500) == true,
                   target << " gave " << response.status << " to " << body);
    }
    BOOST_TEST((*config == before));
    BOOST_TEST(cancelled.empty());
    BOOST_TEST(call(admin_token, "POST", "drain", std::string(17U << 10U, ' ')).status == 413);
    for (const auto* target : {"", "/", "jobs/..%2f", "jobs/a/b/c/d/e/f/g/h", "jobs?limit=0",
                               "jobs?limit=99999999999999999999", "config/explain?key=%zz"}) {
        const auto status = call(admin_token, "GET", target).status;
        BOOST_TEST((status >= 400 && status < 500) == true, target << " gave " << status);
    }
}

BOOST_AUTO_TEST_SUITE_END()
