#include "connection/upstream_client.hpp"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/http_client.hpp"
#include "connection/upstream_codec.hpp"
#include "connection/vm_list_client.hpp"
#include "process/error_kind.hpp"
#include "standin/upstream_farm.hpp"
#include "standin/vm_list_server.hpp"
#include "tests/upstream_fixture.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;
using std::chrono::milliseconds;

constexpr std::int64_t one_hour_ms = 3600 * 1000;
const std::string long_body = R"({"run_ms": 3600000})";

// One upstream and a client that reaches it through one of its backends.
struct contract_setup {
    upstream_client client;
    upstream_record record;
    memory_fleet& fleet;
    test_pool& pool;

    std::shared_ptr<memory_upstream> get_upstream() const { return fleet.find(record.upstream); }

    static time_point get_deadline_in(int ms) { return std::chrono::steady_clock::now() + milliseconds(ms); }

    upstream_list list() {
        const auto response = pool.run(client.list(record, get_test_deadline()));
        BOOST_REQUIRE(response.ok());
        return *response;
    }

    start_call make_call(const std::string& id, const std::string& body, bool is_waiting) {
        const auto now_ms = list().now_ms;
        return {.task = task_id(id),
                .generation = 1,
                .kind = task_kind("import"),
                .size = resource_vector(1000, 100, 0, 1),
                .owner = "entry/1",
                .start_by_ms = now_ms + one_hour_ms,
                .lease_deadline_ms = now_ms + one_hour_ms,
                .resume_from = std::nullopt,
                .is_waiting = is_waiting,
                .body = body};
    }

    absl::StatusOr<start_result> start(const start_call& call, time_point deadline = get_test_deadline()) {
        return pool.run(client.start(record, call, deadline, time_point::max()));
    }

    void change_faults(const std::function<void(upstream_faults&)>& change) {
        auto faults = get_upstream()->get_faults();
        change(faults);
        get_upstream()->set_faults(faults);
    }

    const listed_task* find_in(const upstream_list& response, const std::string& id) const {
        for (const auto& task : response.tasks) {
            if (task.task.get() == id) {
                return &task;
            }
        }
        return nullptr;
    }

    // Polls the list until the task is in the state. Returns false after the test deadline.
    bool reaches(const std::string& id, task_state state) {
        const auto deadline = get_test_deadline();
        while (std::chrono::steady_clock::now() < deadline) {
            const auto response = list();
            const auto* task = find_in(response, id);
            if (task != nullptr && task->state == state) {
                return true;
            }
            pool.run([]() -> awaitable<int> {
                co_await wait_until(contract_setup::get_deadline_in(2));
                co_return 0;
            }());
        }
        return false;
    }
};

struct contract_case {
    const char* name;
    // The failure that the case guards against.
    const char* guards_against;
    std::function<void(contract_setup&)> check;
};

void check_kind(const absl::Status& status, kind expected, run_knowledge run) {
    BOOST_TEST(get_error_mapping(get_error_kind(status)).name == get_error_mapping(expected).name);
    BOOST_TEST(get_name(get_run_knowledge(status)) == get_name(run));
}

const std::vector<contract_case> contract{
    {"a waiting start returns the response of its task",
     "responses that are truncated, mixed up or re-encoded (I4)",
     [](contract_setup& setup) {
         const auto result = setup.start(
             setup.make_call("t", R"({"run_ms": 1, "answer": "x", "answer_bytes": 100000})", true));
         BOOST_REQUIRE(result.ok());
         const auto& response = std::get<task_response>(*result);
         BOOST_TEST(response.task.get() == "t");
         BOOST_TEST(response.body.size() == 100000U);
         BOOST_TEST(response.body.substr(0, 2) == "x ");
     }},
    {"a batch start is accepted and finishes", "a batch start that waits for its task",
     [](contract_setup& setup) {
         const auto result = setup.start(setup.make_call("t", R"({"run_ms": 1})", false));
         BOOST_REQUIRE(result.ok());
         BOOST_TEST(std::holds_alternative<start_accepted>(*result));
         BOOST_TEST(setup.reaches("t", task_state::finished));
     }},
    {"a body of any bytes arrives", "bodies that break the framing of the start",
     [](contract_setup& setup) {
         std::string body = "\n{\"run_ms\": 1}\xff\xfe\r\n\r\n";
         body += std::string(3, '\0');
         BOOST_TEST(setup.start(setup.make_call("t/with space%", body, true)).ok());
     }},
    {"a late start is refused", "work of an owner whose ownership has expired (I1, I5)",
     [](contract_setup& setup) {
         auto call = setup.make_call("t", "{}", true);
         call.start_by_ms = setup.list().now_ms - 1;
         check_kind(setup.start(call).status(), kind::upstream_too_late, run_knowledge::not_run);
         BOOST_TEST(setup.fleet.read_log().starts.empty());
     }},
    {"a leaving upstream refuses", "new work on an upstream that is leaving (I7)",
     [](contract_setup& setup) {
         setup.change_faults([](auto& faults) { faults.is_leaving = true; });
         BOOST_TEST(setup.list().is_leaving);
         check_kind(setup.start(setup.make_call("t", "{}", true)).status(), kind::upstream_leaving,
                    run_knowledge::not_run);
         BOOST_TEST(setup.fleet.read_log().starts.empty());
     }},
    {"an invalid request is reported as the caller's error", "an ejection caused by a caller's bad request",
     [](contract_setup& setup) {
         check_kind(setup.start(setup.make_call("t", R"({"bad": true})", true)).status(), kind::bad_request,
                    run_knowledge::not_run);
         BOOST_TEST(setup.fleet.read_log().starts.empty());
     }},
    {"a failed task is reported as having run", "a failed task that is reported as not run (I6)",
     [](contract_setup& setup) {
         check_kind(setup.start(setup.make_call("t", R"({"run_ms": 1, "fail": true})", true)).status(),
                    kind::upstream_failed, run_knowledge::ran);
         setup.change_faults([](auto& faults) { faults.fails_every_start = true; });
         check_kind(setup.start(setup.make_call("u", "{}", true)).status(), kind::upstream_failed,
                    run_knowledge::ran);
         const auto accepted = setup.start(setup.make_call("v", "{}", false));
         BOOST_TEST(accepted.ok());
         BOOST_TEST(setup.reaches("v", task_state::failed));
     }},
    {"a start whose response is lost may have run", "a lost response that is reported as not run (I5)",
     [](contract_setup& setup) {
         const auto call = setup.make_call("t", long_body, false);
         setup.change_faults([](auto& faults) { faults.responses_to_lose = 1; });
         check_kind(setup.start(call, contract_setup::get_deadline_in(200)).status(), kind::upstream_lost,
                    run_knowledge::may_have_run);
         BOOST_TEST(setup.reaches("t", task_state::running));
     }},
    {"a call without a response does not affect later calls", "reuse of an unresponsive connection",
     [](contract_setup& setup) {
         const auto call = setup.make_call("t", long_body, false);
         setup.change_faults([](auto& faults) { faults.calls_to_ignore = 1; });
         check_kind(setup.start(call, contract_setup::get_deadline_in(200)).status(), kind::upstream_lost,
                    run_knowledge::may_have_run);
         BOOST_TEST(setup.start(call).ok());
         BOOST_TEST(setup.fleet.read_log().starts.size() == 1U);
     }},
    {"nothing is sent at or after write_before",
     "a start order that an owner sends late because it was paused before the write",
     [](contract_setup& setup) {
         const auto call = setup.make_call("t", "{}", true);
         const auto past = std::chrono::steady_clock::now();
         check_kind(
             setup.pool.run(setup.client.start(setup.record, call, get_test_deadline(), past)).status(),
             kind::call_delayed, run_knowledge::not_run);
         BOOST_TEST(setup.fleet.read_log().starts.empty());
     }},
    {"a lease expires unless it is renewed", "tasks that continue to run without an owner (I2)",
     [](contract_setup& setup) {
         auto call = setup.make_call("lapses", long_body, false);
         call.lease_deadline_ms = setup.list().now_ms + 1;
         auto kept = setup.make_call("kept", long_body, false);
         kept.lease_deadline_ms = setup.list().now_ms + one_hour_ms / 2;
         BOOST_REQUIRE(setup.start(call).ok());
         BOOST_REQUIRE(setup.start(kept).ok());
         BOOST_TEST(setup.reaches("lapses", task_state::stopped));
         const auto new_deadline_ms = setup.list().now_ms + one_hour_ms;
         BOOST_REQUIRE(setup.pool
                           .run(setup.client.renew(setup.record, {task_id("kept"), 1}, new_deadline_ms,
                                                   get_test_deadline()))
                           .ok());
         const auto response = setup.list();
         BOOST_REQUIRE(setup.find_in(response, "kept") != nullptr);
         BOOST_TEST(setup.find_in(response, "kept")->lease_deadline_ms == new_deadline_ms);
         check_kind(setup.pool
                        .run(setup.client.renew(setup.record, {task_id("kept"), 2}, new_deadline_ms,
                                                get_test_deadline()))
                        .status(),
                    kind::not_found, run_knowledge::not_run);
     }},
    {"checkpoint, stop and resume", "an evicted task that loses its work (I3)",
     [](contract_setup& setup) {
         BOOST_REQUIRE(setup.start(setup.make_call("t", long_body, false)).ok());
         const task_attempt attempt{task_id("t"), 1};
         const auto checkpoint =
             setup.pool.run(setup.client.checkpoint(setup.record, attempt, get_test_deadline()));
         BOOST_REQUIRE(checkpoint.ok());
         BOOST_TEST(setup.reaches("t", task_state::checkpointed));
         const auto stopped = setup.pool.run(setup.client.stop(setup.record, attempt, get_test_deadline()));
         BOOST_REQUIRE(stopped.ok());
         BOOST_TEST((stopped->final_state == task_state::stopped));
         BOOST_TEST((stopped->checkpoint == *checkpoint));
         auto again = setup.make_call("t", R"({"run_ms": 5})", true);
         again.generation = 2;
         again.resume_from = R"({"done_ms": 5})";
         BOOST_TEST(setup.start(again).ok());
     }},
    {"a stop returns how the task ended", "a finished task that is reported as stopped",
     [](contract_setup& setup) {
         BOOST_REQUIRE(setup.start(setup.make_call("t", R"({"run_ms": 1})", true)).ok());
         const auto ended =
             setup.pool.run(setup.client.stop(setup.record, {task_id("t"), 1}, get_test_deadline()));
         BOOST_REQUIRE(ended.ok());
         BOOST_TEST((ended->final_state == task_state::finished));
         const auto unknown =
             setup.pool.run(setup.client.stop(setup.record, {task_id("none"), 1}, get_test_deadline()));
         BOOST_REQUIRE(unknown.ok());
         BOOST_TEST(!unknown->final_state.has_value());
     }},
    {"a stop ends the call of a waiting start", "a caller that waits for a task that was stopped",
     [](contract_setup& setup) {
         auto waiting = asio::co_spawn(asio::make_strand(setup.pool.get_context()),
                                       setup.client.start(setup.record, setup.make_call("t", long_body, true),
                                                          get_test_deadline(), time_point::max()),
                                       asio::use_future);
         BOOST_REQUIRE(setup.reaches("t", task_state::running));
         BOOST_TEST(
             setup.pool.run(setup.client.stop(setup.record, {task_id("t"), 1}, get_test_deadline())).ok());
         check_kind(waiting.get().status(), kind::upstream_failed, run_knowledge::ran);
     }},
    {"throttle succeeds for existing tasks only", "a throttle that reports success for an unknown task",
     [](contract_setup& setup) {
         BOOST_REQUIRE(setup.start(setup.make_call("t", long_body, false)).ok());
         BOOST_TEST(
             setup.pool.run(setup.client.throttle(setup.record, {task_id("t"), 1}, 50, get_test_deadline()))
                 .ok());
         check_kind(
             setup.pool
                 .run(setup.client.throttle(setup.record, {task_id("none"), 1}, 50, get_test_deadline()))
                 .status(),
             kind::not_found, run_knowledge::not_run);
     }},
    {"usage arrives late and reports interference", "usage reports without the slowdown",
     [](contract_setup& setup) {
         auto table = std::make_shared<slowdown_table>();
         (*table)[{task_kind("import"), task_kind("import")}] = 3000;
         setup.get_upstream()->set_slowdowns(table);
         BOOST_REQUIRE(setup.start(setup.make_call("beside", long_body, false)).ok());
         BOOST_REQUIRE(setup.start(setup.make_call("t", R"({"run_ms": 5})", true)).ok());
         const auto deadline = get_test_deadline();
         std::int64_t slowdown = 0;
         while (slowdown == 0 && std::chrono::steady_clock::now() < deadline) {
             const auto usage = setup.pool.run(setup.client.get_usage(setup.record, deadline));
             BOOST_REQUIRE(usage.ok());
             for (const auto& sample : usage->samples) {
                 BOOST_TEST(sample.at_ms <= usage->now_ms);
                 slowdown = sample.task.get() == "t" ? sample.slowdown_permille : slowdown;
             }
         }
         BOOST_TEST(slowdown >= 2900);
     }},
    {"a paused upstream executes calls when it resumes",
     "calls that are lost because their upstream was paused",
     [](contract_setup& setup) {
         const auto call = setup.make_call("t", long_body, false);
         setup.change_faults([](auto& faults) { faults.is_paused = true; });
         check_kind(setup.start(call, contract_setup::get_deadline_in(100)).status(), kind::upstream_lost,
                    run_knowledge::may_have_run);
         setup.change_faults([](auto& faults) { faults.is_paused = false; });
         BOOST_TEST(setup.reaches("t", task_state::running));
     }},
    {"a dead upstream has lost its tasks", "tasks that reappear after their VM has failed",
     [](contract_setup& setup) {
         BOOST_REQUIRE(setup.start(setup.make_call("t", long_body, false)).ok());
         setup.change_faults([](auto& faults) { faults.is_dead = true; });
         check_kind(
             setup.pool.run(setup.client.list(setup.record, contract_setup::get_deadline_in(100))).status(),
             kind::upstream_lost, run_knowledge::may_have_run);
         setup.change_faults([](auto& faults) { faults.is_dead = false; });
         BOOST_TEST(setup.list().tasks.empty());
     }},
    {"the log records overcommitment and concurrent runs",
     "a log that misses an overcommitted upstream or a concurrent run",
     [](contract_setup& setup) {
         auto call = setup.make_call("t", long_body, false);
         call.size = resource_vector(9000, 100, 0, 1);
         BOOST_REQUIRE(setup.start(call).ok());
         BOOST_TEST(setup.fleet.read_log().overcommitted_starts == 0U);
         BOOST_TEST(setup.fleet.read_log().concurrent_tasks.empty());
         call.generation = 2;
         BOOST_REQUIRE(setup.start(call).ok());
         BOOST_TEST(setup.fleet.read_log().overcommitted_starts == 1U);
         BOOST_TEST(setup.fleet.read_log().concurrent_tasks.size() == 1U);
     }},
};

const resource_vector contract_size(16000, 62000, 0, 8);

http_response fetch(test_pool& pool, http_client& client, const std::string& address,
                    const std::string& method, const std::string& target, const std::string& body = "") {
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    const auto fetched = pool.run(client.fetch(address, request, get_test_deadline()));
    BOOST_REQUIRE(fetched.ok());
    return *fetched;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream)

// Guards against an in-memory upstream that violates the contract of the interface; each case names the
// failure that it guards against.
BOOST_AUTO_TEST_CASE(contract_in_memory) {
    for (const auto& test : contract) {
        BOOST_TEST_CONTEXT(test.name << " guards against " << test.guards_against) {
            test_pool pool;
            const auto fleet = std::make_shared<memory_fleet>();
            fleet->add({.upstream = upstream_id("upstream-0"),
                        .size = contract_size,
                        .clock_offset_ms = 5000,
                        .usage_lag = milliseconds(10)});
            upstream_record record;
            record.upstream = upstream_id("upstream-0");
            contract_setup setup{
                upstream_client(std::make_shared<memory_transport>(pool.get_context(), fleet)), record,
                *fleet, pool};
            test.check(setup);
            pool.stop();
        }
    }
}

// Guards against the same failures over sockets, with the upstream stand-in.
BOOST_AUTO_TEST_CASE(contract_over_sockets) {
    for (const auto& test : contract) {
        BOOST_TEST_CONTEXT(test.name << " guards against " << test.guards_against) {
            test_pool pool;
            farm_settings settings;
            settings.size = contract_size;
            settings.usage_lag_ms = 10;
            upstream_farm farm(pool.get_context(), settings);
            BOOST_REQUIRE(farm.listen().ok());
            upstream_record record;
            record.upstream = upstream_id("upstream-0");
            record.address = farm.get_vms().at(0).address;
            contract_setup setup{
                upstream_client(std::make_shared<http_upstream>(pool.get_context(), upstream_connections{})),
                record, farm.get_fleet(), pool};
            test.check(setup);
            pool.stop();
        }
    }
}

// Guards against a response for another task that reaches the caller, and against reuse of such a connection
// (I4).
BOOST_AUTO_TEST_CASE(a_response_for_another_task_is_discarded) {
    test_pool pool;
    http_server server(pool.get_context(), http_limits{}, [](http_request) -> awaitable<http_response> {
        http_response response;
        response.headers["X-Task"] = "other";
        response.body = "not yours";
        co_return response;
    });
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    upstream_client client(std::make_shared<http_upstream>(pool.get_context(), upstream_connections{}));
    upstream_record record;
    record.address = server.get_address();
    start_call call;
    call.task = task_id("mine");
    call.is_waiting = true;
    const auto result = pool.run(client.start(record, call, get_test_deadline(), time_point::max()));
    check_kind(result.status(), kind::upstream_lost, run_knowledge::may_have_run);
    pool.stop();
}

// Guards against lists and stops that are blocked when starts occupy all of their connections.
BOOST_AUTO_TEST_CASE(lists_are_not_blocked_while_starts_wait) {
    test_pool pool;
    farm_settings settings;
    upstream_farm farm(pool.get_context(), settings);
    BOOST_REQUIRE(farm.listen().ok());
    upstream_record record;
    record.upstream = upstream_id("upstream-0");
    record.address = farm.get_vms().at(0).address;
    contract_setup setup{
        upstream_client(std::make_shared<http_upstream>(pool.get_context(), upstream_connections{2, 1})),
        record, farm.get_fleet(), pool};
    std::vector<std::future<absl::StatusOr<start_result>>> waiting;
    for (int n = 0; n < 4; ++n) {
        auto call = setup.make_call("t" + std::to_string(n), long_body, true);
        waiting.push_back(asio::co_spawn(
            asio::make_strand(pool.get_context()),
            setup.client.start(record, call, get_test_deadline(), time_point::max()), asio::use_future));
    }
    const auto count_running = [&] {
        const auto response = setup.list();
        return std::count_if(response.tasks.begin(), response.tasks.end(),
                             [](const auto& task) { return is_occupying(task.state); });
    };
    for (int stopped = 0; stopped < 4; ++stopped) {
        const auto deadline = get_test_deadline();
        while (count_running() == 0 && std::chrono::steady_clock::now() < deadline) {
        }
        const auto response = setup.list();
        BOOST_TEST(count_running() <= 2);
        for (const auto& task : response.tasks) {
            if (is_occupying(task.state)) {
                BOOST_REQUIRE(
                    setup.pool.run(setup.client.stop(record, {task.task, 1}, get_test_deadline())).ok());
                break;
            }
        }
    }
    for (auto& start : waiting) {
        check_kind(start.get().status(), kind::upstream_failed, run_knowledge::ran);
    }
    pool.stop();
}

// Guards against encodings that lose a field or accept an invalid one.
BOOST_AUTO_TEST_CASE(encodings_keep_every_field) {
    const start_call call{.task = task_id("t"),
                          .generation = 7,
                          .kind = task_kind("k"),
                          .size = resource_vector(1, 2, 3, 4),
                          .owner = "o",
                          .start_by_ms = -5,
                          .lease_deadline_ms = 6,
                          .resume_from = "{}",
                          .is_waiting = true,
                          .body = "a\nb"};
    BOOST_TEST((*decode_start(encode_start(call)) == call));
    const upstream_list list{.now_ms = 3,
                             .is_leaving = true,
                             .tasks = {{.task = task_id("t"),
                                        .generation = 2,
                                        .kind = task_kind("k"),
                                        .size = resource_vector(1, 2, 3, 4),
                                        .state = task_state::checkpointed,
                                        .lease_deadline_ms = 9,
                                        .owner = "o",
                                        .checkpoint = "c"}}};
    BOOST_TEST((*decode_list(encode_list(list)) == list));
    const std::vector<vm_record> vms{{.vm = vm_id("v"),
                                      .failure_domain = failure_domain_id("d"),
                                      .rack = rack_id("r"),
                                      .role = vm_role::entry,
                                      .is_leaving = true,
                                      .address = "127.0.0.1:1",
                                      .size = resource_vector(16000, 2, 3, 4),
                                      .connections = 5}};
    BOOST_TEST((*decode_vm_list(encode_vm_list(vms)) == vms));
    const auto good = encode_list(list);
    for (const auto* name : {"now_ms", "leaving", "tasks", "task", "generation", "kind", "resources", "state",
                             "lease_deadline_ms", "owner", "processors_milli", "slots"}) {
        auto damaged = good;
        const auto position = damaged.find("\"" + std::string(name) + "\"");
        BOOST_REQUIRE(position != std::string::npos);
        damaged.insert(position + 1, "x");
        BOOST_TEST(!decode_list(damaged).ok(), "a list without " << name << " was accepted");
    }
    BOOST_TEST(!decode_start("{}").ok());
    BOOST_TEST(!decode_vm_list("{}").ok());
    BOOST_TEST(!decode_usage(R"({"now_ms": "x", "reports": []})").ok());
    BOOST_TEST(!decode_task_call(R"({"generation": -1, "lease_deadline_ms": 0, "percent": 50})").ok());
}

// Guards against faults of the stand-in that cannot be set while it runs, and a ledger that misses starts.
BOOST_AUTO_TEST_CASE(the_farm_takes_faults_and_shows_its_ledger) {
    test_pool pool;
    farm_settings settings;
    settings.upstreams = 3;
    upstream_farm farm(pool.get_context(), settings);
    BOOST_REQUIRE(farm.listen().ok());
    http_client client(pool.get_context(), 4);
    const auto admin = farm.get_admin_address();
    BOOST_TEST(fetch(pool, client, admin, "POST", "/admin/faults?upstream=*&fault=leave").status == 200);
    for (const auto& upstream : farm.get_fleet().get_all()) {
        BOOST_TEST(upstream->get_faults().is_leaving);
    }
    fetch(pool, client, admin, "POST", "/admin/faults?upstream=*&fault=stay");
    BOOST_TEST(fetch(pool, client, admin, "POST", "/admin/faults?upstream=none&fault=leave").status == 404);
    BOOST_TEST(fetch(pool, client, admin, "POST", "/admin/faults?upstream=*&fault=none").status == 400);
    BOOST_TEST(fetch(pool, client, admin, "POST", "/admin/slowdowns",
                     R"([{"kind": "a", "beside": "b", "slowdown_permille": 1500}])")
                   .status == 200);
    BOOST_TEST(fetch(pool, client, admin, "POST", "/admin/slowdowns", R"([{"kind": 1}])").status == 400);
    upstream_record record;
    record.upstream = upstream_id("upstream-1");
    record.address = farm.get_vms().at(1).address;
    contract_setup setup{
        upstream_client(std::make_shared<http_upstream>(pool.get_context(), upstream_connections{})), record,
        farm.get_fleet(), pool};
    BOOST_REQUIRE(setup.start(setup.make_call("t", R"({"run_ms": 1, "key": "k-1"})", true)).ok());
    const auto ledger = fetch(pool, client, admin, "GET", "/admin/ledger");
    BOOST_TEST(ledger.body.find(R"("key":"k-1")") != std::string::npos);
    BOOST_TEST(ledger.body.find(R"("overcommitted_starts":0)") != std::string::npos);
    const auto vms = decode_vm_list(fetch(pool, client, admin, "GET", "/admin/vms").body);
    BOOST_REQUIRE(vms.ok());
    BOOST_TEST(vms->size() == 3U);
    pool.stop();
}

// Guards against a VM list that shows changes at once, out of order, or not at all.
BOOST_AUTO_TEST_CASE(the_vm_list_lags) {
    test_pool pool;
    vm_list_server server(pool.get_context(), std::chrono::hours(1));
    BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
    http_client client(pool.get_context(), 2);
    vm_list_client list(std::make_shared<http_vm_list>(pool.get_context(), server.get_address()));
    const auto read = [&] { return pool.run(list.get(get_test_deadline())); };
    const auto post = [&](const std::string& target, const std::string& body = "") {
        return fetch(pool, client, server.get_address(), "POST", target, body).status;
    };
    const std::vector<vm_record> one{{.vm = vm_id("a"),
                                      .failure_domain = failure_domain_id("d"),
                                      .rack = rack_id("r"),
                                      .role = vm_role::upstream,
                                      .is_leaving = false,
                                      .address = "127.0.0.1:1",
                                      .size = resource_vector(1000, 2, 3, 4),
                                      .connections = 5}};
    BOOST_TEST(post("/admin/lag?ms=0") == 200);
    BOOST_TEST(post("/admin/vms", encode_vm_list(one)) == 200);
    BOOST_TEST((*read() == one));
    BOOST_TEST(post("/admin/lag?ms=3600000") == 200);
    BOOST_TEST(post("/admin/state?vm=a&state=leaving") == 200);
    BOOST_TEST((*read() == one));
    BOOST_TEST(post("/admin/lag?ms=0") == 200);
    BOOST_TEST(post("/admin/remove?vm=a") == 200);
    BOOST_TEST((*read() == one));
    BOOST_TEST(post("/admin/remove?vm=a") == 404);
    BOOST_TEST(post("/admin/available?value=0") == 200);
    BOOST_TEST((get_error_kind(read().status()) == kind::store_unavailable));
    BOOST_TEST(post("/admin/available?value=1") == 200);
    BOOST_TEST(read().ok());
    pool.stop();
}

BOOST_AUTO_TEST_SUITE_END()
