#include "request/config_change.hpp"

#include <atomic>
#include <mutex>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "connection/fleet_config_codec.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;
using outcome = config_change_result::outcome;

namespace {

time_point after(std::chrono::milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

config_change make_change(const std::string& mark, std::int64_t shards) {
    return {.author = "operator-" + mark,
            .reason = "reason of " + mark,
            .at = {100},
            .mark = mark,
            .operations = {set_default{std::string(setting_key::shards), shards}}};
}

config_change make_drain(const std::string& name) {
    auto change = make_change(name, 1);
    change.operations = {put_drain{{rack_id(name), "switch", "amel", {1}}}};
    return change;
}

struct store_fixture {
    std::shared_ptr<memory_store> memory = std::make_shared<memory_store>(machine_clock{});
    store_client client{memory};
    asio::io_context context;

    config_change_result run(awaitable<config_change_result> call) {
        std::optional<config_change_result> result;
        spawn_task(context, "test", store_result(std::move(call), result));
        context.restart();
        context.run();
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    jacinthvane::fleet_config read() {
        const auto stored = memory->get(config_path);
        BOOST_REQUIRE(stored.ok());
        return *std::get<fleet_config_ptr>(decode_fleet_config(stored->bytes));
    }

    static awaitable<void> store_result(awaitable<config_change_result> call,
                                        std::optional<config_change_result>& result) {
        result = co_await std::move(call);
    }
};

// The fault that the store applies to one write of the client.
enum class write_fault { none, lost_response, lost_request, late, unavailable };

// A store that applies the listed faults to the first writes and handles the rest without a fault. A late
// write takes effect directly before the next writing call.
config_store make_faulty_store(const std::shared_ptr<memory_store>& memory, std::vector<write_fault> faults,
                               bool is_last_repeated = false) {
    struct shared {
        std::size_t calls = 0;
        std::function<void()> late;
    };
    auto state = std::make_shared<shared>();
    config_store store;
    store.get = [memory](std::string path, time_point) -> awaitable<absl::StatusOr<stored_value>> {
        co_return memory->get(path);
    };
    store.compare_and_swap = [=](std::string path, std::uint64_t revision, std::string bytes,
                                 time_point) -> awaitable<absl::StatusOr<std::uint64_t>> {
        if (state->late) {
            state->late();
            state->late = nullptr;
        }
        auto fault = state->calls < faults.size() ? faults[state->calls] : write_fault::none;
        if (is_last_repeated && state->calls >= faults.size()) {
            fault = faults.back();
        }
        ++state->calls;
        if (fault == write_fault::unavailable) {
            co_return make_error(error_kind::store_unavailable, "down");
        }
        if (fault == write_fault::late) {
            state->late = [=] { (void)memory->compare_and_swap(path, revision, bytes); };
        }
        if (fault == write_fault::lost_response) {
            (void)memory->compare_and_swap(path, revision, bytes);
        }
        if (fault != write_fault::none) {
            co_return make_error(error_kind::store_outcome_unknown, "no response");
        }
        co_return memory->compare_and_swap(path, revision, bytes);
    };
    return store;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_change, store_fixture)

// Guards against two operators who are both told that their change against the same version took effect.
BOOST_AUTO_TEST_CASE(one_of_many_racing_changes_wins_and_the_others_see_it) {
    std::mutex mutex;
    std::vector<std::pair<std::string, config_change_result>> results;
    const auto call = [&](std::string mark) -> awaitable<void> {
        auto change = make_change(mark, 3);
        const auto store = make_config_store(client);
        auto result = co_await jacinthvane::change_config(store, change, 0, after(std::chrono::seconds(20)));
        std::lock_guard lock(mutex);
        results.emplace_back(mark, std::move(result));
    };
    for (int i = 0; i < 24; ++i) {
        spawn_task(context, "test", call("m" + std::to_string(i)));
    }
    std::vector<std::thread> pool;
    pool.reserve(4);
    for (int i = 0; i < 4; ++i) {
        pool.emplace_back([&] { context.run(); });
    }
    for (auto& thread : pool) {
        thread.join();
    }
    const auto stored = read();
    BOOST_TEST(stored.version == 1U);
    BOOST_REQUIRE(results.size() == 24U);
    int applied = 0;
    for (const auto& [mark, result] : results) {
        if (result.result == outcome::applied) {
            ++applied;
            BOOST_TEST(stored.changes.at(0).mark == mark);
            continue;
        }
        BOOST_TEST((result.result == outcome::conflict));
        BOOST_REQUIRE(result.others.size() == 1U);
        BOOST_TEST((result.others[0] == stored.changes.at(0)));
    }
    BOOST_TEST(applied == 1);
}

// Guards against drains that get lost when several operators drain at the same time.
BOOST_AUTO_TEST_CASE(changes_without_an_expected_version_all_take_effect) {
    std::atomic<int> applied = 0;
    const auto call = [&](std::string name) -> awaitable<void> {
        auto change = make_drain(name);
        const auto store = make_config_store(client);
        const auto result =
            co_await jacinthvane::change_config(store, change, std::nullopt, after(std::chrono::seconds(60)));
        applied += result.result == outcome::applied ? 1 : 0;
    };
    for (int i = 0; i < 10; ++i) {
        spawn_task(context, "test", call("r" + std::to_string(i)));
    }
    std::vector<std::thread> pool;
    pool.reserve(4);
    for (int i = 0; i < 4; ++i) {
        pool.emplace_back([&] { context.run(); });
    }
    for (auto& thread : pool) {
        thread.join();
    }
    BOOST_TEST(applied == 10);
    BOOST_TEST(read().drained.size() == 10U);
    BOOST_TEST(read().version == 10U);
}

// Guards against a change that is made twice, or reported incorrectly, after its response was lost.
BOOST_AUTO_TEST_CASE(a_lost_response_is_resolved_by_reading_back) {
    for (const auto fault : {write_fault::lost_response, write_fault::lost_request, write_fault::late}) {
        for (const bool has_expected : {true, false}) {
            memory = std::make_shared<memory_store>(machine_clock{});
            const auto expected = has_expected ? std::optional<std::uint64_t>(0) : std::nullopt;
            const auto store = make_faulty_store(memory, {fault, fault});
            const auto result = run(jacinthvane::change_config(store, make_change("mine", 3), expected,
                                                               after(std::chrono::seconds(20))));
            BOOST_TEST((result.result == outcome::applied));
            BOOST_TEST(result.applied_version == 1U);
            BOOST_TEST(read().version == 1U);
            BOOST_TEST(read().changes.size() == 1U);
        }
    }
}

// Guards against a repeated request of the operator's client being reported as a conflict with its own
// change.
BOOST_AUTO_TEST_CASE(the_same_mark_sent_again_is_reported_as_applied) {
    const auto store = make_config_store(client);
    const auto deadline = after(std::chrono::seconds(20));
    (void)run(jacinthvane::change_config(store, make_change("mine", 3), 0, deadline));
    (void)run(jacinthvane::change_config(store, make_change("other", 4), 1, deadline));
    const auto repeat = run(jacinthvane::change_config(store, make_change("mine", 3), 0, deadline));
    BOOST_TEST((repeat.result == outcome::applied));
    BOOST_TEST(repeat.applied_version == 1U);
    BOOST_TEST(read().version == 2U);
    const auto late = run(jacinthvane::change_config(store, make_change("third", 3), 0, deadline));
    BOOST_TEST((late.result == outcome::conflict));
    BOOST_TEST(late.others.size() == 2U);
}

// Guards against "not made" being reported while a write may still take effect, and against "unknown" when it
// is certain that nothing was written.
BOOST_AUTO_TEST_CASE(a_store_that_stays_down_gives_an_accurate_result) {
    const auto short_deadline = [] { return after(std::chrono::milliseconds(200)); };
    const auto down = make_faulty_store(memory, {write_fault::unavailable}, true);
    const auto refused = run(jacinthvane::change_config(down, make_change("a", 3), 0, short_deadline()));
    BOOST_TEST((refused.result == outcome::store_unavailable));
    const auto unresponsive =
        make_faulty_store(memory, {write_fault::lost_request, write_fault::unavailable}, true);
    const auto unknown =
        run(jacinthvane::change_config(unresponsive, make_change("b", 3), 0, short_deadline()));
    BOOST_TEST((unknown.result == outcome::unknown));
    BOOST_TEST(!memory->get(config_path).ok());
}

// Guards against a write of unknown outcome being reported as a conflict when the history no longer shows
// whether it took effect.
BOOST_AUTO_TEST_CASE(a_history_that_is_too_short_leaves_the_outcome_unknown) {
    const auto deadline = after(std::chrono::seconds(20));
    auto store = make_faulty_store(memory, {write_fault::lost_response});
    const auto write = store.compare_and_swap;
    store.compare_and_swap = [&, write](std::string path, std::uint64_t revision, std::string bytes,
                                        time_point limit) -> awaitable<absl::StatusOr<std::uint64_t>> {
        auto written = co_await write(path, revision, std::move(bytes), limit);
        auto config = std::make_shared<const jacinthvane::fleet_config>(read());
        for (int i = 0; i < 51; ++i) {
            config = std::get<fleet_config_ptr>(
                apply_change(*config, make_change("other" + std::to_string(i), 1 + i)));
        }
        const auto current = memory->get(path)->revision;
        (void)memory->compare_and_swap(path, current, encode_fleet_config(*config));
        co_return written;
    };
    const auto result = run(jacinthvane::change_config(store, make_change("mine", 3), 0, deadline));
    BOOST_TEST((result.result == outcome::unknown));
}

// Guards against a rollback that rewrites history instead of adding to it.
BOOST_AUTO_TEST_CASE(a_rollback_is_a_new_version) {
    const auto store = make_config_store(client);
    const auto deadline = after(std::chrono::seconds(20));
    for (int i = 0; i < 5; ++i) {
        const auto change = make_change("m" + std::to_string(i), 10 + i);
        (void)run(jacinthvane::change_config(store, change, static_cast<std::uint64_t>(i), deadline));
    }
    const auto back = run(roll_back_config(store, make_change("back", 0), 2, 5, deadline));
    BOOST_TEST((back.result == outcome::applied));
    BOOST_TEST(read().version == 6U);
    BOOST_TEST(get_number(read(), setting_key::shards) == 11);
    const auto stale = run(roll_back_config(store, make_change("stale", 0), 1, 5, deadline));
    BOOST_TEST((stale.result == outcome::conflict));
}

// Guards against a value over the store's limit: old undo operations are dropped first.
BOOST_AUTO_TEST_CASE(large_histories_stay_within_the_limit_of_the_store) {
    const auto store = make_config_store(client);
    const auto deadline = after(std::chrono::seconds(60));
    for (std::uint64_t i = 0; i < 12; ++i) {
        auto change = make_change("m" + std::to_string(i), 3);
        runbook book{.name = "b", .description = "", .team = team_id("t"), .steps = {}};
        for (std::size_t step = 0; step < max_runbook_steps; ++step) {
            runbook_step made;
            made.name = "s" + std::to_string(step);
            made.command = std::to_string(i) + std::string(1000, 'c');
            made.arguments = {std::string(1000, 'x'), std::string(1000, 'y')};
            made.kind = task_kind("k");
            made.timeout_ms = 1;
            book.steps.push_back(made);
        }
        change.operations = {put_runbook{book}};
        BOOST_TEST((run(jacinthvane::change_config(store, change, i, deadline)).result == outcome::applied));
    }
    BOOST_TEST(memory->get(config_path)->bytes.size() <= max_config_bytes);
    BOOST_TEST(read().changes.size() == 12U);
    BOOST_TEST(!read().changes.front().has_undo);
    BOOST_TEST(read().changes.back().has_undo);
}

BOOST_AUTO_TEST_SUITE_END()
