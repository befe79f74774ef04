#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "connection/faulty_store.hpp"
#include "connection/http_client.hpp"
#include "connection/spawn_task.hpp"
#include "connection/store_budget.hpp"
#include "connection/store_client.hpp"
#include "connection/store_http_codec.hpp"
#include "process/backoff.hpp"
#include "process/error_kind.hpp"
#include "standin/store_server.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;

const store_lease no_lease;

time_point after(std::chrono::milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

// A deadline that no call reaches.
time_point get_call_deadline() {
    return after(std::chrono::minutes(2));
}

// The subject of a contract case: a client of one backend, and the fault injection if the backend has it.
struct fixture {
    store_client client;
    std::shared_ptr<manual_clock> clock;
    std::function<void(const store_faults&)> set_faults;
    std::shared_ptr<faulty_store> engine;
};

struct contract_case {
    const char* name;
    bool needs_faults;
    awaitable<void> (*run)(fixture& store);
};

bool has_kind(const absl::Status& status, kind expected) {
    return !status.ok() && get_error_kind(status) == expected;
}

// Guards against two writers that both believe they created or replaced a value.
awaitable<void> check_compare_and_swap(fixture& store) {
    const std::string path = "journal/3/a b%/ü";
    const std::string first("one\0\n", 5);
    const auto missing = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(missing.status(), kind::not_found));
    const auto created =
        co_await store.client.compare_and_swap(path, 0, first, no_lease, get_call_deadline());
    BOOST_REQUIRE(created.ok());
    const auto second = co_await store.client.compare_and_swap(path, 0, first, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(second.status(), kind::version_conflict));
    const auto value = co_await store.client.get(path, get_call_deadline());
    BOOST_REQUIRE(value.ok());
    BOOST_TEST((*value == stored_value{*created, first}));
    const std::string empty;
    const auto replaced =
        co_await store.client.compare_and_swap(path, *created, empty, no_lease, get_call_deadline());
    BOOST_REQUIRE(replaced.ok());
    BOOST_TEST(*replaced > *created);
    const auto stale = co_await store.client.remove(path, *created, get_call_deadline());
    BOOST_TEST(has_kind(stale, kind::version_conflict));
    const auto removed = co_await store.client.remove(path, *replaced, get_call_deadline());
    BOOST_TEST(removed.ok());
    const auto again = co_await store.client.remove(path, *replaced, get_call_deadline());
    BOOST_TEST(has_kind(again, kind::not_found));
}

// Guards against values that remain in the store after the lease of their owner has expired.
awaitable<void> check_leases(fixture& store) {
    const std::string path = "ownership/a";
    const std::chrono::seconds time_to_live(10);
    const auto lease = co_await store.client.grant_lease(time_to_live, get_call_deadline());
    BOOST_REQUIRE(lease.ok());
    const auto written = co_await store.client.compare_and_swap(path, 0, path, *lease, get_call_deadline());
    BOOST_TEST(written.ok());
    store.clock->advance(std::chrono::seconds(9));
    const auto renewed = co_await store.client.renew_lease(*lease, get_call_deadline());
    BOOST_TEST(renewed.ok());
    store.clock->advance(std::chrono::seconds(9));
    const auto kept = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(kept.ok());
    store.clock->advance(std::chrono::seconds(2));
    const auto expired = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(expired.status(), kind::not_found));
    const auto late = co_await store.client.renew_lease(*lease, get_call_deadline());
    BOOST_TEST(has_kind(late, kind::not_found));
    const auto refused = co_await store.client.compare_and_swap(path, 0, path, *lease, get_call_deadline());
    BOOST_TEST(has_kind(refused.status(), kind::not_found));
    const auto other = co_await store.client.grant_lease(time_to_live, get_call_deadline());
    BOOST_REQUIRE(other.ok());
    const auto held = co_await store.client.compare_and_swap(path, 0, path, *other, get_call_deadline());
    BOOST_TEST(held.ok());
    const auto released = co_await store.client.release_lease(*other, get_call_deadline());
    BOOST_TEST(released.ok());
    const auto after_removal = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(after_removal.status(), kind::not_found));
}

// Guards against a watch that misses a change made before it began, or that does not end at its deadline.
awaitable<void> check_watch(fixture& store) {
    const std::string path = "config/fleet";
    const auto created = co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_REQUIRE(created.ok());
    const auto seen = co_await store.client.watch(path, 0, get_call_deadline());
    BOOST_REQUIRE(seen.ok());
    BOOST_TEST((*seen == stored_value{*created, path}));
    const auto unchanged = co_await store.client.watch(path, *created, after(std::chrono::milliseconds(30)));
    BOOST_REQUIRE(unchanged.ok());
    BOOST_TEST(unchanged->revision == *created);
    const std::string absent = "config/none";
    const auto none = co_await store.client.watch(absent, 0, after(std::chrono::milliseconds(30)));
    BOOST_REQUIRE(none.ok());
    BOOST_TEST(none->revision == 0U);
}

// Guards against a write that took effect being reported as one that did not.
awaitable<void> check_lost_response(fixture& store) {
    const std::string path = "journal/1/1";
    store.set_faults({.lose_responses = 1});
    const auto lost = co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(lost.status(), kind::store_outcome_unknown));
    BOOST_TEST((get_run_knowledge(lost.status()) == run_knowledge::may_have_run));
    const auto value = co_await store.client.get(path, get_call_deadline());
    BOOST_REQUIRE(value.ok());
    store.set_faults({.lose_responses = 1});
    const auto removed = co_await store.client.remove(path, value->revision, get_call_deadline());
    BOOST_TEST(has_kind(removed, kind::store_outcome_unknown));
    const auto after_removal = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(after_removal.status(), kind::not_found));
    store.set_faults({.lose_requests = 1});
    const auto dropped = co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(dropped.status(), kind::store_outcome_unknown));
    const auto absent = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(absent.status(), kind::not_found));
}

// Guards against fault injection that drops a delayed write instead of applying it later.
awaitable<void> check_deferred_write(fixture& store) {
    const std::string path = "journal/1/2";
    store.set_faults({.defer_writes = 1});
    const auto lost = co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(lost.status(), kind::store_outcome_unknown));
    const auto absent = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(absent.status(), kind::not_found));
    BOOST_TEST(store.engine->apply_deferred() == 1U);
    const auto value = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(value.ok());
}

// Guards against an outage being reported as a missing value, or as a write with an unknown outcome.
awaitable<void> check_outage_and_rates(fixture& store) {
    const std::string path = "journal/1/3";
    store.set_faults({.is_down = true});
    const auto down_read = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(down_read.status(), kind::store_unavailable));
    const auto down_write =
        co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(down_write.status(), kind::store_unavailable));
    BOOST_TEST((get_run_knowledge(down_write.status()) == run_knowledge::not_run));
    store.clock->advance(std::chrono::seconds(2));
    store.set_faults({.max_writes_per_second = 1, .max_reads_per_second = 1});
    const auto first = co_await store.client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(first.ok());
    const std::string other = "journal/1/4";
    const auto refused_write =
        co_await store.client.compare_and_swap(other, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(has_kind(refused_write.status(), kind::overloaded));
    BOOST_TEST((get_run_knowledge(refused_write.status()) == run_knowledge::not_run));
    const auto read = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(read.ok());
    const auto refused_read = co_await store.client.get(path, get_call_deadline());
    BOOST_TEST(has_kind(refused_read.status(), kind::overloaded));
    store.clock->advance(std::chrono::seconds(1));
    const auto next = co_await store.client.compare_and_swap(other, 0, path, no_lease, get_call_deadline());
    BOOST_TEST(next.ok());
}

// Guards against wrong errors when a slow store exceeds the deadline: a read had no effect, but a write may
// have had one.
awaitable<void> check_slow_store(fixture& store) {
    const std::string path = "journal/1/5";
    store.set_faults({.delay = std::chrono::minutes(10)});
    const auto read = co_await store.client.get(path, after(std::chrono::milliseconds(30)));
    BOOST_TEST(has_kind(read.status(), kind::store_unavailable));
    const auto write =
        co_await store.client.compare_and_swap(path, 0, path, no_lease, after(std::chrono::milliseconds(30)));
    BOOST_TEST(has_kind(write.status(), kind::store_outcome_unknown));
}

const std::vector<contract_case> contract = {
    {"compare_and_swap", false, check_compare_and_swap},
    {"leases", false, check_leases},
    {"watch", false, check_watch},
    {"lost response", true, check_lost_response},
    {"deferred write", true, check_deferred_write},
    {"outage and rates", true, check_outage_and_rates},
    {"slow store", true, check_slow_store},
};

void run_contract_in_memory(bool with_faults) {
    for (const auto& item : contract) {
        if (item.needs_faults && !with_faults) {
            continue;
        }
        BOOST_TEST_CONTEXT(item.name) {
            asio::io_context context;
            const auto clock = std::make_shared<manual_clock>();
            const auto plain = std::make_shared<memory_store>(clock);
            const auto engine = std::make_shared<faulty_store>(clock);
            const auto backend = with_faults ? store_client::backend(engine) : store_client::backend(plain);
            fixture store{store_client(backend), clock,
                          [&](const store_faults& faults) { engine->set_faults(faults); }, engine};
            run_coroutine(context, [&] { return item.run(store); });
        }
    }
}

// A store stand-in with its own thread.
class running_standin {
public:
    running_standin() : engine_(std::make_shared<faulty_store>(clock_)), server_(context_, engine_) {
        BOOST_REQUIRE(server_.listen("127.0.0.1:0").ok());
        thread_ = std::thread([this] { context_.run(); });
    }

    ~running_standin() {
        context_.stop();
        thread_.join();
    }

    running_standin(const running_standin&) = delete;
    running_standin& operator=(const running_standin&) = delete;

    std::string get_address() const { return server_.get_address(); }
    std::shared_ptr<faulty_store> get_engine() const { return engine_; }
    std::shared_ptr<manual_clock> get_clock() const { return clock_; }

private:
    std::shared_ptr<manual_clock> clock_ = std::make_shared<manual_clock>();
    asio::io_context context_;
    std::shared_ptr<faulty_store> engine_;
    store_server server_;
    std::thread thread_;
};

awaitable<nlohmann::json> call_admin(http_client& client, std::string address, std::string method,
                                     std::string target, std::string body, int expected_status) {
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    const auto response = co_await client.fetch(address, request, get_call_deadline());
    BOOST_REQUIRE(response.ok());
    BOOST_TEST(response->status == expected_status);
    co_return nlohmann::json::parse(response->body, nullptr, false);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(memory_store_keeps_the_contract) {
    run_contract_in_memory(false);
}

BOOST_AUTO_TEST_CASE(faulty_store_keeps_the_contract) {
    run_contract_in_memory(true);
}

// Guards against differences between the in-memory stores that tests use and the store over HTTP.
BOOST_AUTO_TEST_CASE(standin_keeps_the_contract_over_sockets) {
    for (const auto& item : contract) {
        BOOST_TEST_CONTEXT(item.name) {
            const running_standin standin;
            asio::io_context context;
            const auto backend = std::make_shared<http_store>(context, standin.get_address());
            fixture store{store_client(backend), standin.get_clock(),
                          [&](const store_faults& faults) { standin.get_engine()->set_faults(faults); },
                          standin.get_engine()};
            run_coroutine(context, [&] { return item.run(store); });
        }
    }
}

// Guards against a store that cannot be reached being reported as a write with an unknown outcome.
BOOST_AUTO_TEST_CASE(unreachable_store_had_no_effect) {
    asio::io_context context;
    std::string closed_address;
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        closed_address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }
    store_client client(std::make_shared<http_store>(context, closed_address));
    run_coroutine(context, [&]() -> awaitable<void> {
        const std::string path = "a";
        const auto written = co_await client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
        BOOST_TEST(has_kind(written.status(), kind::store_unavailable));
    });
}

// Guards against faults that cannot be changed while the stand-in runs, and against a ledger that miscounts.
BOOST_AUTO_TEST_CASE(faults_and_ledger_are_served_over_http) {
    const running_standin standin;
    asio::io_context context;
    http_client admin(context, 2);
    store_client client(std::make_shared<http_store>(context, standin.get_address()));
    run_coroutine(context, [&]() -> awaitable<void> {
        const auto address = standin.get_address();
        const std::string put = "PUT";
        const std::string get = "GET";
        const std::string faults = "/admin/faults";
        const std::string none;
        const std::string lose_one = R"({"lose_answers": 1})";
        const std::string misspelled = R"({"lose_answer": 1})";
        co_await call_admin(admin, address, put, faults, lose_one, 200);
        co_await call_admin(admin, address, put, faults, misspelled, 400);
        const std::string path = "a";
        const auto lost = co_await client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
        BOOST_TEST(has_kind(lost.status(), kind::store_outcome_unknown));
        const auto conflict = co_await client.compare_and_swap(path, 0, path, no_lease, get_call_deadline());
        BOOST_TEST(has_kind(conflict.status(), kind::version_conflict));
        const auto remaining = co_await call_admin(admin, address, get, faults, none, 200);
        BOOST_TEST(remaining["lose_answers"] == 0);
        const std::string ledger_target = "/admin/ledger";
        const auto ledger = co_await call_admin(admin, address, get, ledger_target, none, 200);
        BOOST_TEST(ledger["calls"]["compare_and_swap"] == 2);
        BOOST_TEST(ledger["effective_writes"] == 1);
    });
}

// Guards against a process that exceeds its share of the store's rate, or that loses its ownership because
// other calls delay its lease calls.
BOOST_AUTO_TEST_CASE(budget_spreads_calls_and_lets_leases_through) {
    const time_point start(std::chrono::hours(1));
    const auto deadline = start + std::chrono::milliseconds(25);
    store_budget budget(100, 2);
    BOOST_TEST((budget.reserve(store_call::get, start, deadline) == start));
    BOOST_TEST((budget.reserve(store_call::get, start, deadline) == start));
    BOOST_TEST((budget.reserve(store_call::get, start, deadline) == start + std::chrono::milliseconds(10)));
    BOOST_TEST(
        (budget.reserve(store_call::remove, start, deadline) == start + std::chrono::milliseconds(20)));
    BOOST_TEST((budget.reserve(store_call::get, start, deadline) == std::nullopt));
    BOOST_TEST((budget.reserve(store_call::renew_lease, start, deadline) == start));
    const auto counts = budget.get_counts();
    BOOST_TEST(counts.sent[static_cast<std::size_t>(store_call::get)] == 3U);
    BOOST_TEST(counts.sent[static_cast<std::size_t>(store_call::renew_lease)] == 1U);
    BOOST_TEST(counts.delayed == 2U);
    BOOST_TEST(counts.refused == 1U);
}

// Guards against retries that are too frequent, whose delays grow without limit, or that all processes send
// at the same time.
BOOST_AUTO_TEST_CASE(backoff_doubles_up_to_its_limit_with_jitter) {
    const backoff_limits limits{std::chrono::milliseconds(10), std::chrono::milliseconds(100)};
    backoff_policy policy(limits, 1);
    backoff_policy same(limits, 1);
    backoff_policy other(limits, 2);
    bool differs = false;
    for (int failure = 0; failure < 100; ++failure) {
        const auto span = std::min<std::int64_t>(100, std::int64_t{10} << std::min(failure, 10));
        const auto delay = policy.get_next_delay();
        BOOST_TEST(delay.count() >= span / 2);
        BOOST_TEST(delay.count() <= span);
        BOOST_TEST((delay == same.get_next_delay()));
        differs = differs || delay != other.get_next_delay();
    }
    BOOST_TEST(differs);
    policy.reset();
    BOOST_TEST(policy.get_next_delay().count() <= 10);
}

// Guards against paths that are not restored when they are decoded from a URL.
BOOST_AUTO_TEST_CASE(paths_survive_the_url) {
    std::string all;
    for (int c = 1; c < 256; ++c) {
        all.push_back(static_cast<char>(c));
    }
    const auto encoded = encode_store_path(all);
    BOOST_TEST(encoded.find_first_of(" ?#&+") == std::string::npos);
    BOOST_TEST((decode_store_path(encoded) == all));
    BOOST_TEST(!decode_store_path("a%2").has_value());
    BOOST_TEST(!decode_store_path("a%zz").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
