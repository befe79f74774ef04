#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "connection/memory_upstreams.hpp"
#include "request/cell_member.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string queue = "watches";
const job_id lasting("00000000000000aa");

time_point after(milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

queue_rules make_rules() {
    queue_rules rules;
    rules.queue = queue;
    rules.service = "tree";
    rules.max_attempts = 3;
    return rules;
}

std::vector<upstream_entry> make_upstreams() {
    std::vector<upstream_entry> entries;
    for (int i = 0; i < 3; ++i) {
        upstream_entry entry;
        entry.id = upstream_id("u" + std::to_string(i));
        entry.address = entry.id.get();
        entry.service = "tree";
        entry.capacity = resource_vector(16000, 64000, 0, 0);
        entry.boot_unix_ms = 1;
        entries.push_back(entry);
    }
    return entries;
}

std::shared_ptr<const dispatch_config> make_config() {
    auto config = std::make_shared<dispatch_config>();
    config->version = 1;
    queue_settings settings;
    settings.rules = make_rules();
    config->queues.push_back(settings);
    return config;
}

// One process with a server for the queries of other processes, and a store and upstreams of its own unless
// it is given others.
struct entry_parts {
    explicit entry_parts(const std::string& process, bool has_config = true)
        : server(context, http_limits{},
                 [this](http_request request) { return respond_to_query(std::move(request), member); }) {
        BOOST_REQUIRE(server.listen("127.0.0.1:0").ok());
        if (has_config) {
            registry->set_config(make_config());
        }
        for (const auto& entry : make_upstreams()) {
            upstreams->add(entry);
            registry->set_upstream(entry);
        }
        entry_settings settings;
        settings.processors_milli = 1000;
        settings.vm = vm_id(process.substr(0, process.find('/')));
        settings.peer_address = server.get_address();
        const cell_ports ports{cell_store(store), registry_port(registry), upstream_port(upstreams)};
        member = std::make_shared<cell_member>(context, ports, settings, process, counters);
    }

    asio::io_context context;
    metrics counters;
    std::shared_ptr<memory_cell_store> store = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry = std::make_shared<memory_registry>();
    std::shared_ptr<memory_upstreams> upstreams =
        std::make_shared<memory_upstreams>(machine_clock{}, [](const task_ref&) {
            return simulated_task{{1000, 1000, 0, 0}, 200, 0, true, false};
        });
    std::shared_ptr<cell_member> member;
    http_server server;
};

accepted_job make_long_running_job() {
    accepted_job job;
    job.rules = make_rules();
    job.spec.payload = "payload";
    step_spec step;
    step.size = resource_vector(1000, 1000, 0, 0);
    step.is_long_running = true;
    job.spec.steps = {step};
    return job;
}

// Writes what an owner leaves that has recorded these runs of a long-running task.
void write_earlier_owner(memory_cell_store& store, const cell_row& row, const run_locations& locations,
                         const takeover_notes& notes = {true, {}, 1, {}}) {
    const auto job = make_long_running_job();
    job_progress progress;
    progress.queue = queue;
    progress.state = job_phase::running;
    store_transaction transaction;
    transaction.writes = {{make_cell_key(), encode_record(row), 0},
                          {make_job_key(lasting), encode_record(job), 0},
                          {make_progress_key(lasting), encode_record(progress), 0},
                          {make_location_key(lasting), encode_record(locations), 0},
                          {make_upstreams_key(), encode_record(known_upstreams{make_upstreams()}), 0},
                          {make_notes_key(), encode_record(notes, std::chrono::steady_clock::now()), 0}};
    store.apply(transaction);
}

awaitable<process_report> query_process(entry_parts& parts, std::uint64_t token) {
    http_client client(parts.context, 1);
    const auto query = make_process_query(token);
    const auto response = co_await client.fetch(parts.server.get_address(), query, after(seconds(2)));
    BOOST_REQUIRE(response.ok());
    const auto report = read_process_response(*response);
    BOOST_REQUIRE(report.ok());
    co_return *report;
}

awaitable<void> wait_for_owner(cell_member& member) {
    const auto deadline = after(seconds(5));
    while (std::chrono::steady_clock::now() < deadline) {
        const auto owner = member.get_owner();
        if (owner != nullptr && owner->is_loaded()) {
            co_return;
        }
        co_await wait_until(after(milliseconds(10)));
    }
    BOOST_ERROR("the process did not take the cell");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(earlier_owner)

// Guards against an owner that goes on for its proof window beside the next one, although that one reaches
// it.
BOOST_AUTO_TEST_CASE(an_owner_ends_when_the_next_one_asks) {
    entry_parts parts("a/1");
    parts.member->start();
    run_coroutine(parts.context, [&]() -> awaitable<void> {
        co_await wait_for_owner(*parts.member);
        const auto before = co_await query_process(parts, 1);
        BOOST_TEST(before.process == "a/1");
        BOOST_TEST(before.acting_token == 1U);
        const auto after_takeover = co_await query_process(parts, 2);
        BOOST_TEST(after_takeover.acting_token == 0U);
        BOOST_TEST(parts.member->get_owner()->is_over());
    });
}

// Guards against tasks that wait for the proof window of an owner whose process has been restarted: its VM
// can tell that it acts no more.
BOOST_AUTO_TEST_CASE(a_restarted_process_of_the_earlier_owner_shortens_the_wait) {
    entry_parts restarted("a/2", false);
    entry_parts next("b/1");
    const upstream_id silent("u1");
    const run_locations locations{{{0, 0, 0, silent, 1}}};
    write_earlier_owner(*next.store, {1, "a/1", restarted.server.get_address()}, locations);
    next.upstreams->set_partitioned(silent, true);
    restarted.member->start();
    next.member->start();
    std::thread server_thread([&] { restarted.context.run(); });
    run_coroutine(next.context, [&]() -> awaitable<void> {
        co_await wait_for_owner(*next.member);
        // The longest lease, and time for the start.
        const auto deadline = after(cell_limits().max_lease + milliseconds(1500));
        while (next.upstreams->get_start_count() == 0 && std::chrono::steady_clock::now() < deadline) {
            co_await wait_until(after(milliseconds(20)));
        }
        BOOST_TEST(next.upstreams->get_start_count() == 1U);
    });
    restarted.context.stop();
    server_thread.join();
}

// Guards against a task that starts while an earlier owner, which does not respond, may still grant leases
// for it.
BOOST_AUTO_TEST_CASE(an_earlier_owner_that_does_not_respond_may_act_for_its_proof_window) {
    entry_parts next("b/1");
    const upstream_id silent("u1");
    const run_locations locations{{{0, 0, 0, silent, 1}}};
    write_earlier_owner(*next.store, {1, "a/1", "127.0.0.1:1"}, locations);
    next.upstreams->set_partitioned(silent, true);
    next.member->start();
    run_coroutine(next.context, [&]() -> awaitable<void> {
        co_await wait_for_owner(*next.member);
        const auto limits = cell_limits();
        co_await wait_until(after(limits.proof_window + limits.max_lease - milliseconds(300)));
        BOOST_TEST(next.upstreams->get_start_count() == 0U);
    });
}

// Guards against an owner that waits for the leases of one before the last, although the last one had found
// out when they end: its own process has seen neither of them.
BOOST_AUTO_TEST_CASE(the_notes_of_the_last_owner_shorten_the_wait_for_the_leases_of_the_one_before) {
    entry_parts next("c/1");
    const upstream_id silent("u1");
    const run_locations locations{{{0, 0, 0, silent, 1}}};
    const auto leases_end = after(milliseconds(1500));
    const takeover_notes notes{true, {{silent, 1}}, 1, {{1, leases_end}}};
    write_earlier_owner(*next.store, {2, "b/1", "127.0.0.1:1"}, locations, notes);
    next.upstreams->set_partitioned(silent, true);
    next.member->start();
    run_coroutine(next.context, [&]() -> awaitable<void> {
        co_await wait_for_owner(*next.member);
        co_await wait_until(leases_end - milliseconds(300));
        BOOST_TEST(next.upstreams->get_start_count() == 0U);
        const auto deadline = leases_end + seconds(3);
        while (next.upstreams->get_start_count() == 0 && std::chrono::steady_clock::now() < deadline) {
            co_await wait_until(after(milliseconds(20)));
        }
        BOOST_TEST(next.upstreams->get_start_count() == 1U);
    });
}

// Guards against a task that runs twice after an upgrade: an owner of an earlier version, which records no
// locations, has started it since the last record.
BOOST_AUTO_TEST_CASE(records_before_an_owner_that_keeps_none_are_not_used) {
    for (const bool has_earlier_version : {false, true}) {
        entry_parts next("b/1");
        const upstream_id silent("u1");
        write_earlier_owner(*next.store, {1, "a/1", "127.0.0.1:1"}, run_locations());
        if (has_earlier_version) {
            store_transaction list;
            list.writes = {{make_upstreams_key(), encode_record(known_upstreams{make_upstreams()}), 0}};
            next.store->apply(list);
        }
        next.upstreams->set_partitioned(silent, true);
        next.member->start();
        run_coroutine(next.context, [&]() -> awaitable<void> {
            co_await wait_for_owner(*next.member);
            co_await wait_until(after(seconds(1)));
            BOOST_TEST(next.upstreams->get_start_count() == (has_earlier_version ? 0U : 1U));
        });
    }
}

// Guards against records of locations that stay in the store after their job has ended.
BOOST_AUTO_TEST_CASE(the_record_of_locations_is_removed_with_its_job) {
    entry_parts parts("a/1");
    parts.member->start();
    run_coroutine(parts.context, [&]() -> awaitable<void> {
        co_await wait_for_owner(*parts.member);
        store_transaction transaction;
        transaction.writes = {{make_job_key(lasting), encode_record(make_long_running_job()), 0}};
        parts.store->apply(transaction);
        co_await wait_until(after(seconds(1)));
        BOOST_TEST(parts.upstreams->get_start_count() == 1U);
        const auto key = make_location_key(lasting);
        const auto present = co_await parts.store->get(key, after(seconds(1)));
        BOOST_REQUIRE(present.ok());
        const auto locations = decode_run_locations(present->value);
        BOOST_REQUIRE(locations.ok());
        BOOST_TEST(locations->tasks.size() == 1U);
        transaction.writes = {{make_cancel_key(lasting), std::string(), 0}};
        parts.store->apply(transaction);
        co_await wait_until(after(seconds(1)));
        const auto removed = co_await parts.store->get(key, after(seconds(1)));
        BOOST_TEST((removed.ok() && removed->revision == 0));
    });
}

BOOST_AUTO_TEST_SUITE_END()
