#include "request/shard_service.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/faulty_store.hpp"
#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;

const team_id team("racines");
const std::string digest("d1");

time_point after(std::chrono::milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

// Returns a deadline so far in the future that no call reaches it.
time_point get_long_deadline() {
    return after(std::chrono::minutes(4));
}

// Returns a deadline that passes while store calls are blocked.
time_point get_short_deadline() {
    return after(std::chrono::milliseconds(30));
}

process_id make_process(const std::string& name) {
    return {vm_id(name), 1};
}

struct fixture {
    asio::io_context context;
    std::shared_ptr<manual_clock> store_clock = std::make_shared<manual_clock>();
    std::shared_ptr<faulty_store> store = std::make_shared<faulty_store>(store_clock);

    shard_service_options get_options(const std::string& name) const {
        shard_service_options options;
        options.self = make_process(name);
        options.shards = 1;
        options.flush_interval = std::chrono::milliseconds(0);
        options.backoff = {std::chrono::milliseconds(1), std::chrono::milliseconds(4)};
        return options;
    }

    std::unique_ptr<shard_service> make_service(const std::string& name) {
        return make_service(get_options(name));
    }

    std::unique_ptr<shard_service> make_service(const shard_service_options& options) {
        return std::make_unique<shard_service>(context, store_client(store), options);
    }
};

const key_granted* get_grant(const absl::StatusOr<key_claim_result>& result) {
    return result.ok() ? std::get_if<key_granted>(&*result) : nullptr;
}

key_settled make_settlement(const idempotency_key& key, const process_id& claimant, const key_granted& grant,
                            run_knowledge run) {
    return {.team = team,
            .key = key,
            .claimant = claimant,
            .claim_number = grant.claim_number,
            .generation = grant.generation,
            .run = run,
            .answer = {.status = 200, .content_type = "text/plain", .body = "answer of " + key.get()}};
}

journal_record make_job(const std::string& id) {
    return job_accepted{.job = job_id(id),
                        .team = team,
                        .kind = task_kind("archive"),
                        .size = resource_vector(1000, 512, 0, 1),
                        .content_type = "text/plain",
                        .body = "body of " + id};
}

// Waits for a state that the services reach without further calls.
awaitable<void> wait_for(std::function<bool()> is_reached) {
    while (!is_reached()) {
        co_await wait_until(after(std::chrono::milliseconds(1)));
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(shard_service)

// Guards against a key that is granted twice, or whose repeated request receives a different response from
// the first one (I4, I6).
BOOST_AUTO_TEST_CASE(repeated_request_gets_the_settled_response) {
    fixture f;
    const auto first = f.make_service("a");
    const auto second = f.make_service("b");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const idempotency_key key("k");
        const auto self = make_process("a");
        const auto other = make_process("b");
        const auto granted = co_await first->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        const auto repeat = co_await second->claim_key(team, key, digest, other, get_long_deadline());
        BOOST_REQUIRE(repeat.ok());
        const auto* progress = std::get_if<key_in_progress>(&*repeat);
        BOOST_REQUIRE(progress != nullptr);
        BOOST_TEST((progress->claimant == self));
        const std::string other_digest("d2");
        const auto reused = co_await second->claim_key(team, key, other_digest, other, get_long_deadline());
        BOOST_TEST((get_error_kind(reused.status()) == kind::key_reused));
        const auto settlement = make_settlement(key, self, *get_grant(granted), run_knowledge::ran);
        const auto settled = co_await first->settle_key(settlement, get_long_deadline());
        BOOST_TEST(settled.ok());
        const auto settled_again = co_await first->settle_key(settlement, get_long_deadline());
        BOOST_TEST(settled_again.ok());
        const auto entry = co_await second->wait_for_settlement(team, key, get_long_deadline());
        BOOST_REQUIRE(entry.ok());
        BOOST_TEST(((*entry)->answer == settlement.answer));
        const auto claimed_again = co_await second->claim_key(team, key, digest, other, get_long_deadline());
        BOOST_REQUIRE(claimed_again.ok());
        BOOST_TEST((*claimed_again ==
                    key_claim_result(key_settled_response{run_knowledge::ran, settlement.answer})));
    });
}

// Guards against a response over the size limit being stored in part, or the request being run again because
// of it.
BOOST_AUTO_TEST_CASE(large_response_is_omitted) {
    fixture f;
    const auto service = f.make_service("a");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const idempotency_key key("k");
        const auto self = make_process("a");
        const auto granted = co_await service->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        auto settlement = make_settlement(key, self, *get_grant(granted), run_knowledge::ran);
        settlement.answer.body.assign(max_stored_response_bytes + 1, 'x');
        const auto settled = co_await service->settle_key(settlement, get_long_deadline());
        BOOST_TEST(settled.ok());
        const auto repeat = co_await service->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(repeat.ok());
        const auto* stored = std::get_if<key_settled_response>(&*repeat);
        BOOST_REQUIRE(stored != nullptr);
        BOOST_TEST(!stored->answer.is_kept);
        BOOST_TEST(stored->answer.body.empty());
    });
}

// Guards against a batch whose write response was lost being written twice or abandoned (store failure
// model).
BOOST_AUTO_TEST_CASE(lost_response_is_resolved_by_reading_back) {
    fixture f;
    const auto service = f.make_service("a");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const auto refreshed = co_await service->refresh(0, get_long_deadline());
        BOOST_TEST(refreshed.ok());
        f.store->set_faults({.lose_responses = 1});
        const auto lost_response = co_await service->append(0, make_job("j1"), get_long_deadline());
        BOOST_TEST(lost_response.ok());
        f.store->set_faults({.lose_requests = 1});
        const auto lost_request = co_await service->append(0, make_job("j2"), get_long_deadline());
        BOOST_TEST(lost_request.ok());
        f.store->set_faults({.defer_writes = 1});
        const auto late = co_await service->append(0, make_job("j3"), get_long_deadline());
        BOOST_TEST(late.ok());
        BOOST_TEST(f.store->apply_deferred() == 0U);
        BOOST_TEST(service->get_counters().unknown_outcomes == 3U);
        BOOST_TEST(service->get_state()[0].sequence == 3U);
        const auto duplicate = co_await service->append(0, make_job("j1"), get_long_deadline());
        BOOST_TEST((get_error_kind(duplicate) == kind::version_conflict));
    });
}

// Guards against a caller that receives "not-run" although the claim may still be granted (I5).
BOOST_AUTO_TEST_CASE(claim_during_an_outage_leaves_no_trace) {
    fixture f;
    const auto service = f.make_service("a");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const idempotency_key key("k");
        const auto self = make_process("a");
        f.store->set_faults({.is_down = true});
        const auto not_loaded = co_await service->claim_key(team, key, digest, self, get_short_deadline());
        BOOST_TEST((get_error_kind(not_loaded.status()) == kind::store_unavailable));
        f.store->set_faults({});
        const auto refreshed = co_await service->refresh(0, get_long_deadline());
        BOOST_TEST(refreshed.ok());
        f.store->set_faults({.is_down = true});
        const auto refused = co_await service->claim_key(team, key, digest, self, get_short_deadline());
        BOOST_TEST((get_error_kind(refused.status()) == kind::store_unavailable));
        BOOST_TEST((get_run_knowledge(refused.status()) == run_knowledge::not_run));
        f.store->set_faults({});
        const auto granted = co_await service->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        BOOST_TEST(get_grant(granted)->generation == 1U);
    });
}

// Guards against a key that stays claimed forever because its caller gave up before the claim was known to be
// durable, and against reporting "not-run" for a claim that is granted later (I5, design 2.3).
BOOST_AUTO_TEST_CASE(given_up_claim_is_settled_as_not_run) {
    fixture f;
    const auto first = f.make_service("a");
    const auto second = f.make_service("b");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const idempotency_key key("k");
        const auto self = make_process("a");
        const auto other = make_process("b");
        const auto refreshed = co_await first->refresh(0, get_long_deadline());
        BOOST_TEST(refreshed.ok());
        // The write takes effect, its response is lost, and all reads fail, so that it cannot be read back.
        f.store->set_faults({.lose_responses = 1, .max_reads_per_second = 1});
        const auto given_up = co_await first->claim_key(team, key, digest, self, get_short_deadline());
        BOOST_TEST((get_error_kind(given_up.status()) == kind::store_unavailable));
        BOOST_TEST((get_run_knowledge(given_up.status()) == run_knowledge::not_run));
        BOOST_TEST(first->get_counters().claims_given_up == 1U);
        f.store->set_faults({});
        const auto drained = co_await first->drain(get_long_deadline());
        BOOST_TEST(drained);
        BOOST_TEST(first->get_counters().claims_settled_for_caller == 1U);
        const auto granted = co_await second->claim_key(team, key, digest, other, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        BOOST_TEST(get_grant(granted)->generation == 2U);
    });
}

// Guards against losing an outcome because the store was down when the request ended.
BOOST_AUTO_TEST_CASE(outcome_is_written_after_an_outage) {
    fixture f;
    const auto service = f.make_service("a");
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const idempotency_key key("k");
        const auto self = make_process("a");
        const auto granted = co_await service->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        f.store->set_faults({.is_down = true});
        const auto settlement = make_settlement(key, self, *get_grant(granted), run_knowledge::ran);
        const auto queued = co_await service->settle_key(settlement, get_short_deadline());
        BOOST_TEST((get_error_kind(queued) == kind::store_unavailable));
        f.store->set_faults({});
        const auto entry = co_await service->wait_for_settlement(team, key, get_long_deadline());
        BOOST_REQUIRE(entry.ok());
        BOOST_TEST(((*entry)->state == key_state::settled));
    });
}

// Guards against a paused writer that resumes and creates a batch at a sequence whose batch was removed below
// a snapshot. It must not treat that value as durable (I2, I6).
BOOST_AUTO_TEST_CASE(paused_writer_is_fenced_after_its_sequence_was_removed) {
    fixture f;
    auto options = f.get_options("paused");
    options.journal.snapshot_interval = 4;
    const auto paused = f.make_service(options);
    options.self = make_process("active");
    const auto active = f.make_service(options);
    options.self = make_process("reader");
    const auto reader = f.make_service(options);
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const auto loaded = co_await reader->refresh(0, get_long_deadline());
        BOOST_TEST(loaded.ok());
        const idempotency_key key("k");
        const auto self = make_process("active");
        const auto other = make_process("paused");
        const auto first = co_await paused->append(0, make_job("before"), get_long_deadline());
        BOOST_TEST(first.ok());
        const auto granted = co_await active->claim_key(team, key, digest, self, get_long_deadline());
        BOOST_REQUIRE(get_grant(granted) != nullptr);
        const auto settlement = make_settlement(key, self, *get_grant(granted), run_knowledge::ran);
        const auto settled = co_await active->settle_key(settlement, get_long_deadline());
        BOOST_TEST(settled.ok());
        int written = 0;
        while (active->get_counters().batches_removed < 4) {
            const auto status =
                co_await active->append(0, make_job("j" + std::to_string(++written)), get_long_deadline());
            BOOST_TEST(status.ok());
        }
        // The reader's next batch has been removed, which must not be mistaken for the end of the journal.
        const auto found = co_await reader->find_job(job_id("j1"), get_long_deadline());
        BOOST_TEST(found.ok());
        const auto repeat = co_await paused->claim_key(team, key, digest, other, get_long_deadline());
        BOOST_REQUIRE(repeat.ok());
        BOOST_TEST(
            (*repeat == key_claim_result(key_settled_response{run_knowledge::ran, settlement.answer})));
        BOOST_TEST(paused->get_counters().batches_overtaken == 1U);
        const auto refused = co_await paused->append(0, make_job("j1"), get_long_deadline());
        BOOST_TEST((get_error_kind(refused) == kind::version_conflict));
        const auto accepted = co_await paused->append(0, make_job("after"), get_long_deadline());
        BOOST_TEST(accepted.ok());
        const auto seen = co_await active->find_job(job_id("after"), get_long_deadline());
        BOOST_TEST(seen.ok());
    });
}

// Guards against an accepted job being reported as failed, or accepted twice, when its writer pauses after a
// lost response until a snapshot covers its batch (I10). The marks in the snapshot show that it contains the
// batch.
BOOST_AUTO_TEST_CASE(lost_response_is_resolved_after_a_pause) {
    fixture f;
    auto options = f.get_options("paused");
    options.journal.snapshot_interval = 4;
    asio::io_context paused_context;
    jacinthvane::shard_service paused(paused_context, store_client(f.store), options);
    options.self = make_process("active");
    const auto active = f.make_service(options);
    std::optional<absl::Status> result;
    const auto append = [&]() -> awaitable<void> {
        const auto status = co_await paused.append(0, make_job("paused"), get_long_deadline());
        result = status;
    };
    f.store->set_faults({.lose_responses = 1});
    spawn_task(paused_context, "append", append());
    while (paused.get_counters().unknown_outcomes == 0) {
        paused_context.run_one();
    }
    run_coroutine(f.context, [&]() -> awaitable<void> {
        int written = 0;
        while (active->get_counters().batches_removed < 4) {
            const auto status =
                co_await active->append(0, make_job("j" + std::to_string(++written)), get_long_deadline());
            BOOST_REQUIRE(status.ok());
        }
        const auto found = co_await active->find_job(job_id("paused"), get_long_deadline());
        BOOST_TEST(found.ok());
    });
    while (!result) {
        paused_context.run_one();
    }
    BOOST_TEST(result->ok());
    BOOST_TEST(paused.get_counters().batches_overtaken == 1U);
}

// Guards against two shard owners that both start the same generation of a job (I2, I3), and against losing
// an accepted job (I10).
BOOST_AUTO_TEST_CASE(two_shard_owners_start_each_generation_once) {
    fixture f;
    auto options = f.get_options("a");
    options.journal.snapshot_interval = 8;
    const auto first = f.make_service(options);
    options.self = make_process("b");
    const auto second = f.make_service(options);
    constexpr int jobs = 20;
    constexpr int generations = 4;
    std::atomic<int> finished = 0;
    std::atomic<int> accepted = 0;
    // Boost.Test's macros must not be used by several threads concurrently.
    std::atomic<int> failed_stops = 0;
    std::mutex mutex;
    std::map<std::pair<std::string, std::uint64_t>, int> starts;
    // Both owners drive the same jobs and evict each generation that they have started.
    const auto drive = [&](jacinthvane::shard_service& owner, std::string id) -> awaitable<void> {
        const job_id job(id);
        const auto added = co_await owner.append(0, make_job(id), get_long_deadline());
        accepted += added.ok() ? 1 : 0;
        for (std::uint64_t generation = 1; generation <= generations; ++generation) {
            journal_record start = generation_started{job, generation, upstream_id("u1")};
            const auto started = co_await owner.append(0, start, get_long_deadline());
            if (!started.ok()) {
                continue;
            }
            {
                std::lock_guard lock(mutex);
                ++starts[{id, generation}];
            }
            journal_record stop =
                generation_stopped{job, generation, stop_reason::evicted, "c" + std::to_string(generation)};
            const auto stopped = co_await owner.append(0, stop, get_long_deadline());
            failed_stops += stopped.ok() ? 0 : 1;
        }
        ++finished;
    };
    run_coroutine(
        f.context,
        [&]() -> awaitable<void> {
            for (int i = 0; i < jobs; ++i) {
                const auto id = "j" + std::to_string(i);
                spawn_task(f.context, "home_a", drive(*first, id));
                spawn_task(f.context, "home_b", drive(*second, id));
            }
            co_await wait_for([&] { return finished == 2 * jobs; });
        },
        4);
    BOOST_TEST(accepted == jobs);
    BOOST_TEST(failed_stops == 0);
    for (const auto& [name, count] : starts) {
        BOOST_TEST(count == 1,
                   name.first << " generation " << name.second << " started " << count << " times");
    }
}

// Guards against a process that builds a different state from snapshot and journal than the process that
// wrote them.
BOOST_AUTO_TEST_CASE(next_owner_loads_the_same_state) {
    fixture f;
    const auto clock = std::make_shared<manual_clock>();
    auto options = f.get_options("a");
    options.journal.snapshot_interval = 4;
    options.snapshot_part_bytes = 100;
    options.clock = clock;
    const auto writer = f.make_service(options);
    options.self = make_process("b");
    const auto reader = f.make_service(options);
    run_coroutine(f.context, [&]() -> awaitable<void> {
        for (int i = 0; i < 30; ++i) {
            clock->advance(std::chrono::milliseconds(i));
            // Responses to snapshot writes are lost as well.
            f.store->set_faults({.lose_responses = static_cast<std::uint64_t>(i % 3)});
            const auto status =
                co_await writer->append(0, make_job("j" + std::to_string(i)), get_long_deadline());
            BOOST_TEST(status.ok());
        }
        f.store->set_faults({});
        const auto jobs = co_await reader->get_open_jobs(0, get_long_deadline());
        BOOST_REQUIRE(jobs.ok());
        BOOST_TEST(jobs->size() == 30U);
        const auto written = writer->get_state()[0];
        const auto read = reader->get_state()[0];
        BOOST_TEST(written.counters.snapshots_written > 0U);
        BOOST_TEST(read.snapshot_sequence > 0U);
        BOOST_TEST(read.sequence == written.sequence);
        BOOST_TEST(read.time_ms == written.time_ms);
        BOOST_TEST((read.sizes == written.sizes));
        const auto writer_jobs = co_await writer->get_open_jobs(0, get_long_deadline());
        for (std::size_t i = 0; i < writer_jobs->size(); ++i) {
            BOOST_TEST((*(*writer_jobs)[i] == *(*jobs)[i]));
        }
    });
}

// Guards against keys that are dropped before their retention period ends, or kept until the shard is full,
// when the clocks of machines differ. The table's time is the sum of what writers measured (design 2.3).
BOOST_AUTO_TEST_CASE(retention_follows_the_measured_time) {
    fixture f;
    const auto clock = std::make_shared<manual_clock>();
    auto options = f.get_options("a");
    options.clock = clock;
    options.table.max_keys = 2;
    const auto service = f.make_service(options);
    run_coroutine(f.context, [&]() -> awaitable<void> {
        const auto self = make_process("a");
        const idempotency_key k1("k1");
        const idempotency_key k2("k2");
        const idempotency_key k3("k3");
        const auto first = co_await service->claim_key(team, k1, digest, self, get_long_deadline());
        BOOST_TEST((get_grant(first) != nullptr));
        clock->advance(std::chrono::hours(11));
        const auto second = co_await service->claim_key(team, k2, digest, self, get_long_deadline());
        BOOST_TEST((get_grant(second) != nullptr));
        clock->advance(std::chrono::hours(11));
        const auto full = co_await service->claim_key(team, k3, digest, self, get_long_deadline());
        BOOST_TEST((get_error_kind(full.status()) == kind::overloaded));
        const auto added = co_await service->append(0, make_job("j"), get_long_deadline());
        BOOST_TEST(added.ok());
        clock->advance(std::chrono::hours(3));
        const auto third = co_await service->claim_key(team, k3, digest, self, get_long_deadline());
        BOOST_TEST((get_grant(third) != nullptr));
        const auto still_full = co_await service->claim_key(team, k1, digest, self, get_long_deadline());
        BOOST_TEST((get_error_kind(still_full.status()) == kind::overloaded));
    });
}

// Guards against a combination of races, lost responses, late writes and outages that grants a key twice,
// runs a request that was reported as "not-run", or leaves two processes with different states (I4, I5, I6).
BOOST_AUTO_TEST_CASE(random_faults_keep_each_key_at_most_once) {
    constexpr std::uint64_t seed = 20260312;
    constexpr int keys = 60;
    constexpr int rounds = 3;
    fixture f;
    auto options = f.get_options("a");
    options.journal.snapshot_interval = 4;
    const auto first = f.make_service(options);
    options.self = make_process("b");
    options.seed = 2;
    const auto second = f.make_service(options);
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, std::uint64_t> newest_grant;
    std::atomic<int> finished = 0;
    std::atomic<int> wrong_results = 0;
    const auto request = [&](jacinthvane::shard_service& service, std::string name, idempotency_key key,
                             bool has_short_deadline) -> awaitable<void> {
        const auto self = make_process(name);
        const auto deadline = has_short_deadline ? get_short_deadline() : get_long_deadline();
        const auto result = co_await service.claim_key(team, key, digest, self, deadline);
        if (const auto* grant = get_grant(result)) {
            {
                std::lock_guard lock(mutex);
                ++runs[key.get()];
                // Each generation is granted only once.
                wrong_results += newest_grant[key.get()] >= grant->generation ? 1 : 0;
                newest_grant[key.get()] = grant->generation;
            }
            const auto settlement = make_settlement(key, self, *grant, run_knowledge::ran);
            const auto settled = co_await service.settle_key(settlement, get_long_deadline());
            wrong_results += settled.ok() ? 0 : 1;
        } else if (result.ok()) {
            const auto* stored = std::get_if<key_settled_response>(&*result);
            // A repeated claim returns "ran" with the complete response or a claim in progress, never
            // "not-run".
            const bool is_right = stored == nullptr || (stored->run == run_knowledge::ran &&
                                                        stored->answer.body == "answer of " + key.get());
            wrong_results += is_right ? 0 : 1;
        } else {
            const bool is_right = get_error_kind(result.status()) == kind::store_unavailable &&
                                  get_run_knowledge(result.status()) == run_knowledge::not_run;
            wrong_results += is_right ? 0 : 1;
        }
        ++finished;
    };
    run_coroutine(
        f.context,
        [&]() -> awaitable<void> {
            std::mt19937_64 random(seed);
            for (int round = 0; round < rounds; ++round) {
                for (int i = 0; i < keys; ++i) {
                    const idempotency_key key("k" + std::to_string(i));
                    const bool has_short_deadline = random() % 3 == 0;
                    spawn_task(f.context, "a", request(*first, "a", key, has_short_deadline));
                    spawn_task(f.context, "b", request(*second, "b", key, !has_short_deadline));
                    if (random() % 4 == 0) {
                        f.store->set_faults({.lose_responses = random() % 3,
                                             .lose_requests = random() % 2,
                                             .defer_writes = random() % 2,
                                             .is_down = random() % 8 == 0});
                        co_await wait_until(after(std::chrono::milliseconds(random() % 4)));
                        f.store->apply_deferred();
                    }
                }
                f.store->set_faults({});
                co_await wait_for([&] { return finished == (round + 1) * 2 * keys; });
            }
            co_await first->drain(get_long_deadline());
            co_await second->drain(get_long_deadline());
            const auto first_refreshed = co_await first->refresh(0, get_long_deadline());
            const auto second_refreshed = co_await second->refresh(0, get_long_deadline());
            wrong_results += first_refreshed.ok() && second_refreshed.ok() ? 0 : 1;
        },
        4);
    BOOST_TEST(wrong_results == 0);
    BOOST_TEST(runs.size() == static_cast<std::size_t>(keys));
    for (const auto& [key, count] : runs) {
        BOOST_TEST(count == 1, key << " ran " << count << " times, seed " << seed);
    }
    const auto first_state = first->get_state()[0];
    const auto second_state = second->get_state()[0];
    BOOST_TEST(first_state.sequence == second_state.sequence);
    BOOST_TEST(first_state.time_ms == second_state.time_ms);
    BOOST_TEST((first_state.sizes == second_state.sizes));
    BOOST_TEST(first_state.sizes.keys == static_cast<std::size_t>(keys));
}

BOOST_AUTO_TEST_SUITE_END()
