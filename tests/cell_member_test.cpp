#include <chrono>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "connection/memory_upstreams.hpp"
#include "process/error_kind.hpp"
#include "request/cell_member.hpp"
#include "request/job_submission.hpp"
#include "tests/run_coroutine.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string queue = "merges";

time_point after(milliseconds span) {
    return std::chrono::steady_clock::now() + span;
}

job_spec make_spec(std::uint32_t tasks) {
    job_spec spec;
    spec.payload = "payload";
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(1000, 1000, 0, 0);
    step.estimated_ms = 200;
    spec.steps = {step};
    return spec;
}

queue_rules make_rules() {
    queue_rules rules;
    rules.queue = queue;
    rules.service = "tree";
    rules.max_attempts = 3;
    return rules;
}

advice_settings make_slow_advice() {
    return {3200, 10, 5000};
}

// Members of one cell over a store, a registry and upstreams in this process.
struct cell_parts {
    cell_parts() {
        dispatch_config config;
        config.version = 1;
        queue_settings settings;
        settings.rules = make_rules();
        config.queues.push_back(settings);
        registry->set_config(std::make_shared<const dispatch_config>(config));
        for (int i = 0; i < 3; ++i) {
            upstream_entry entry;
            entry.id = upstream_id("u" + std::to_string(i));
            entry.address = entry.id.get();
            entry.service = "tree";
            entry.capacity = resource_vector(16000, 64000, 0, 0);
            entry.boot_unix_ms = 1;
            upstreams->add(entry);
            registry->set_upstream(entry);
        }
    }

    cell_ports make_ports() { return {cell_store(store), registry_port(registry), upstream_port(upstreams)}; }

    std::shared_ptr<cell_member> add_member(const std::string& name, std::int64_t processors_milli = 1000) {
        entry_settings settings;
        settings.processors_milli = processors_milli;
        settings.vm = vm_id(name);
        settings.peer_address = "127.0.0.1:1";
        auto member = std::make_shared<cell_member>(context, make_ports(), settings, name, counters);
        member->start();
        return member;
    }

    // The queue needs the advice of a slow service.
    void use_slow_advice() {
        dispatch_config config;
        config.version = 2;
        queue_settings settings;
        settings.rules = make_rules();
        settings.advice = make_slow_advice();
        config.queues.push_back(settings);
        registry->set_config(std::make_shared<const dispatch_config>(config));
        upstreams->set_advice_time(milliseconds(settings.advice->decide_ms),
                                   milliseconds(settings.advice->interval_ms));
    }

    // Writes the notice of an owner that is overloaded for this long.
    void write_overload(std::int64_t span_ms) {
        store_transaction transaction;
        const overload_notice notice{1, get_unix_ms() + span_ms};
        transaction.writes = {{make_overload_key(), encode_record(notice), 0}};
        store->apply(transaction);
    }

    asio::io_context context;
    metrics counters;
    std::shared_ptr<memory_cell_store> store = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry = std::make_shared<memory_registry>();
    std::shared_ptr<memory_upstreams> upstreams =
        std::make_shared<memory_upstreams>(machine_clock{}, [](const task_ref&) {
            return simulated_task{{1000, 1000, 0, 0}, 200, 0, false, false};
        });
};

awaitable<bool> wait_for_owner(std::shared_ptr<cell_member> member) {
    const auto deadline = after(seconds(5));
    while (std::chrono::steady_clock::now() < deadline) {
        const auto owner = member->get_owner();
        if (owner != nullptr && owner->is_loaded()) {
            co_return true;
        }
        co_await wait_until(after(milliseconds(20)));
    }
    co_return false;
}

// Returns whether the condition came to hold within a few seconds.
template <typename condition>
awaitable<bool> wait_until_holds(condition holds) {
    const auto deadline = after(seconds(5));
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
        co_await wait_until(after(milliseconds(5)));
    }
    co_return holds();
}

awaitable<job_phase> wait_for_end(job_submission& jobs, job_id id) {
    const auto deadline = after(seconds(8));
    auto state = job_phase::queued;
    while (!is_final(state) && std::chrono::steady_clock::now() < deadline) {
        const auto response = co_await jobs.get_state(queue, id, after(seconds(1)));
        state = response.ok() ? *response : state;
        co_await wait_until(after(milliseconds(50)));
    }
    co_return state;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell_member)

// Guards against a weak VM that owns the cell while a strong one is there: all VMs start before the first
// configuration, and the delays that order them ended before it.
BOOST_AUTO_TEST_CASE(a_strong_vm_takes_the_cell_at_the_first_start) {
    cell_parts cell;
    cell.registry = std::make_shared<memory_registry>();
    auto config = std::make_shared<dispatch_config>();
    config->version = 1;
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        constexpr int weak_vms = 20;
        std::vector<std::shared_ptr<jacinthvane::cell_member>> weak;
        for (int i = 0; i < weak_vms; ++i) {
            weak.push_back(cell.add_member("weak-" + std::to_string(i), 120));
            co_await wait_until(after(milliseconds(25)));
        }
        const auto strong = cell.add_member("strong", 500);
        // The strong VM has just looked for a configuration, so it learns of it after most of the others.
        co_await wait_until(after(milliseconds(810)));
        cell.registry->set_config(config);
        BOOST_TEST(co_await wait_for_owner(strong));
        for (const auto& member : weak) {
            BOOST_TEST((member->get_owner() == nullptr));
        }
    });
}

// End to end in one process: a member takes the cell, and an accepted job runs to completion.
BOOST_AUTO_TEST_CASE(runs_an_accepted_job) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        BOOST_TEST(member->is_ready());
        const job_id id("00000000000000aa");
        const auto rules = make_rules();
        const auto spec = make_spec(4);
        const auto status = co_await jobs.submit(rules, id, spec, after(seconds(2)));
        BOOST_TEST(status.ok());
        const auto state = co_await wait_for_end(jobs, id);
        BOOST_TEST((state == job_phase::done));
        BOOST_TEST(cell.upstreams->get_start_count() == 4U);
        // A submission that is repeated after the job has ended starts no second run.
        const auto repeat = co_await jobs.submit(rules, id, spec, after(seconds(2)));
        BOOST_TEST(repeat.ok());
        co_await wait_until(after(milliseconds(300)));
        BOOST_TEST(cell.upstreams->get_start_count() == 4U);
        const job_id unknown("00000000000000bb");
        const auto missing = co_await jobs.get_state(queue, unknown, after(seconds(1)));
        BOOST_TEST((!missing.ok() && get_error_kind(missing.status()) == error_kind::not_found));
    });
}

// Guards against a next owner that waits for the leases of upstreams that were removed long before: it waited
// 12 s and held back 100 tasks of older jobs. A removed upstream must leave the list in the store once its
// leases have expired.
BOOST_AUTO_TEST_CASE(drops_a_decommissioned_upstream_from_the_store) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const std::string key = make_upstreams_key();
        co_await wait_until(after(milliseconds(300)));
        const auto before = co_await cell.store->get(key, after(seconds(1)));
        BOOST_REQUIRE(before.ok());
        const auto all = decode_known_upstreams(before->value);
        BOOST_REQUIRE(all.ok());
        BOOST_TEST(all->entries.size() == 3U);
        cell.upstreams->set_partitioned(upstream_id("u1"), true);
        cell.registry->remove_upstream(upstream_id("u1"));
        const auto deadline = after(seconds(20));
        std::size_t known = 3;
        while (known == 3 && std::chrono::steady_clock::now() < deadline) {
            co_await wait_until(after(milliseconds(200)));
            const auto item = co_await cell.store->get(key, after(seconds(1)));
            BOOST_REQUIRE(item.ok());
            const auto remaining = decode_known_upstreams(item->value);
            BOOST_REQUIRE(remaining.ok());
            known = remaining->entries.size();
        }
        BOOST_TEST(known == 2U);
    });
}

// Guards against tasks that run twice after a takeover (13 tasks did): the next owner starts later jobs at
// once, so the previous owner must not start them, even if the watch on the jobs is its only notice of the
// takeover.
BOOST_AUTO_TEST_CASE(starts_no_jobs_accepted_after_a_takeover) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        co_await wait_until(after(milliseconds(300)));
        accepted_job job;
        job.rules = make_rules();
        job.spec = make_spec(2);
        cell_row next_owner;
        next_owner.token = 2;
        store_transaction transaction;
        transaction.writes = {{make_cell_key(), encode_record(next_owner), 0},
                              {make_takeover_key(), encode_record(next_owner), 0}};
        const auto taken = co_await cell.store->transact(transaction, after(seconds(1)));
        BOOST_REQUIRE(taken.ok());
        transaction.writes = {{make_job_key(job_id("00000000000000aa")), encode_record(job), 0}};
        const auto accepted = co_await cell.store->transact(transaction, after(seconds(1)));
        BOOST_REQUIRE(accepted.ok());
        co_await wait_until(after(milliseconds(300)));
        BOOST_TEST(cell.upstreams->get_start_count() == 0U);
        BOOST_TEST(member->get_owner()->is_over());
    });
}

// Tail latency estimates of images reach the next owner through the store.
BOOST_AUTO_TEST_CASE(loads_tail_estimates_of_the_previous_owner) {
    cell_parts cell;
    tail_snapshot snapshot;
    snapshot.images = {"serving", "filler"};
    snapshot.weights = {{0, 100}, {7000, 100}, {0, 100}, {0, 100}};
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        store_transaction transaction;
        transaction.writes = {{make_tails_key(), encode_record(snapshot), 0}};
        const auto written = co_await cell.store->transact(transaction, after(seconds(1)));
        BOOST_REQUIRE(written.ok());
        const auto member = cell.add_member("one");
        BOOST_TEST(co_await wait_for_owner(member));
        co_await member->stop(after(seconds(2)));
        const std::string key = make_tails_key();
        const auto item = co_await cell.store->get(key, after(seconds(1)));
        BOOST_REQUIRE(item.ok());
        const auto kept = decode_tail_snapshot(item->value);
        BOOST_REQUIRE(kept.ok());
        BOOST_TEST((kept->images == snapshot.images));
        BOOST_TEST(kept->weights[1].mean_milli == 7000);
    });
}

// A planned stop releases the cell at once, and the next owner adopts the running tasks.
BOOST_AUTO_TEST_CASE(hands_the_cell_over_when_stopped) {
    cell_parts cell;
    const auto first = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), first, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(first));
        const auto second = cell.add_member("two");
        const job_id id("00000000000000aa");
        const auto rules = make_rules();
        const auto spec = make_spec(3);
        const auto status = co_await jobs.submit(rules, id, spec, after(seconds(2)));
        BOOST_TEST(status.ok());
        co_await wait_until(after(milliseconds(100)));
        const auto started_at = std::chrono::steady_clock::now();
        co_await first->stop(after(seconds(3)));
        BOOST_TEST(co_await wait_for_owner(second));
        BOOST_TEST((std::chrono::steady_clock::now() - started_at < seconds(2)));
        BOOST_TEST(second->get_owner()->get_token() == 2U);
        job_submission other(cell.context, cell_store(cell.store), second, cell.counters);
        const auto state = co_await wait_for_end(other, id);
        BOOST_TEST((state == job_phase::done));
        BOOST_TEST(cell.upstreams->get_start_count() == 3U);
        BOOST_TEST(cell.upstreams->get_violations().empty());
    });
}

// Guards against a hand-over that waits until all progress is written: under load more arrives all the time,
// and nothing started until the grace period had passed. Here nothing can be written at all.
BOOST_AUTO_TEST_CASE(hands_over_although_progress_is_left_to_write) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const auto rules = make_rules();
        const auto spec = make_spec(3);
        const auto accepted =
            co_await jobs.submit(rules, job_id("00000000000000aa"), spec, after(seconds(2)));
        BOOST_TEST(accepted.ok());
        BOOST_TEST(co_await wait_until_holds([&] { return cell.upstreams->get_start_count() == 3U; }));
        cell.store->set_faults({true, false});
        co_await wait_until(after(milliseconds(600)));
        const auto started_at = std::chrono::steady_clock::now();
        co_await member->stop(after(seconds(12)));
        BOOST_TEST((std::chrono::steady_clock::now() - started_at < seconds(4)));
        BOOST_TEST(member->get_owner()->is_over());
    });
}

// Guards against a busy loop of store calls after the store has discarded its history: each watch began at an
// unavailable revision and failed at once, which caused 1,000 calls per second.
BOOST_AUTO_TEST_CASE(limits_store_calls_after_the_history_is_unavailable) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        cell.store->discard_history();
        const auto before = cell.store->get_call_count();
        co_await wait_until(after(seconds(2)));
        BOOST_TEST(cell.store->get_call_count() - before < 40U);
    });
}

// Guards against a response that a job never runs while its write may still take effect.
BOOST_AUTO_TEST_CASE(distinguishes_a_refusal_from_an_unknown_outcome) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const auto rules = make_rules();
        const auto spec = make_spec(1);
        cell.store->set_faults({true, false});
        const job_id refused("00000000000000aa");
        const auto refusal = co_await jobs.submit(rules, refused, spec, after(seconds(1)));
        BOOST_TEST((get_error_kind(refusal) == error_kind::store_unavailable));
        cell.store->set_faults({false, true});
        const job_id lost("00000000000000bb");
        const auto unknown = co_await jobs.submit(rules, lost, spec, after(seconds(1)));
        BOOST_TEST((get_error_kind(unknown) == error_kind::store_outcome_unknown));
        cell.store->set_faults({false, false});
        const auto repeat = co_await jobs.submit(rules, lost, spec, after(seconds(1)));
        BOOST_TEST(repeat.ok());
        const auto state = co_await wait_for_end(jobs, lost);
        BOOST_TEST((state == job_phase::done));
        BOOST_TEST(cell.upstreams->get_start_count() == 1U);
    });
}

// Guards against a job that is acknowledged and not stored: a process that had been suspended found the
// deadline passed, made no attempt and returned success. It may have been accepted before, so the error must
// not say that it never runs.
BOOST_AUTO_TEST_CASE(accepts_no_job_after_its_deadline) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const auto rules = make_rules();
        const auto spec = make_spec(1);
        const job_id id("00000000000000aa");
        const auto late = co_await jobs.submit(rules, id, spec, after(seconds(-3)));
        BOOST_TEST((get_error_kind(late) == error_kind::deadline_exceeded));
        BOOST_TEST((get_run_knowledge(late) == run_knowledge::may_have_run));
        const auto state = co_await jobs.get_state(queue, id, after(seconds(1)));
        BOOST_TEST((get_error_kind(state.status()) == error_kind::not_found));
        const auto repeat = co_await jobs.submit(rules, id, spec, after(seconds(1)));
        BOOST_TEST(repeat.ok());
        BOOST_TEST((co_await wait_for_end(jobs, id) == job_phase::done));
    });
}

// Guards against jobs that are accepted although the owner has told that it cannot start them in time,
// against refusals of jobs that were accepted before, and against a notice that outlives the overload.
BOOST_AUTO_TEST_CASE(refuses_only_new_jobs_while_the_owner_is_overloaded) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const auto rules = make_rules();
        const auto spec = make_spec(1);
        const job_id known("00000000000000aa");
        const auto first = co_await jobs.submit(rules, known, spec, after(seconds(1)));
        BOOST_TEST(first.ok());
        constexpr std::int64_t span_ms = 4000;
        cell.write_overload(span_ms);
        BOOST_TEST(co_await wait_until_holds([&] { return member->get_retry_after_ms() > 0; }));
        const job_id refused("00000000000000bb");
        const auto refusal = co_await jobs.submit(rules, refused, spec, after(seconds(1)));
        BOOST_TEST((get_error_kind(refusal) == error_kind::overloaded));
        BOOST_TEST((get_run_knowledge(refusal) == run_knowledge::not_run));
        // Less the time that has passed since the notice was written, and spread over the callers.
        BOOST_TEST(get_retry_after_ms(refusal) >= span_ms / 2);
        BOOST_TEST(get_retry_after_ms(refusal) < 2 * span_ms);
        const auto repeat = co_await jobs.submit(rules, known, spec, after(seconds(1)));
        BOOST_TEST(repeat.ok());
        // The owner has no backlog, so it removes the notice.
        BOOST_TEST(co_await wait_until_holds([&] { return member->get_retry_after_ms() == 0; }));
        const auto accepted = co_await jobs.submit(rules, refused, spec, after(seconds(1)));
        BOOST_TEST(accepted.ok());
        BOOST_TEST((co_await wait_for_end(jobs, refused) == job_phase::done));
    });
}

// Guards against a refusal that says that a job never runs although the store does not tell whether it was
// accepted before.
BOOST_AUTO_TEST_CASE(an_overloaded_cell_refuses_nothing_that_it_cannot_look_up) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        cell.write_overload(4000);
        BOOST_TEST(co_await wait_until_holds([&] { return member->get_retry_after_ms() > 0; }));
        cell.store->set_faults({true, false});
        const job_id id("00000000000000aa");
        const auto rules = make_rules();
        const auto spec = make_spec(1);
        const auto status = co_await jobs.submit(rules, id, spec, after(seconds(1)));
        BOOST_TEST((get_error_kind(status) == error_kind::store_outcome_unknown));
    });
}

// A process that cannot reach the store reports that it is not ready, so that the load balancer stops sending
// requests to it, and becomes ready again when the store is reachable.
BOOST_AUTO_TEST_CASE(is_not_ready_while_the_store_is_unavailable) {
    cell_parts cell;
    const auto member = cell.add_member("one");
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        cell.store->set_faults({true, false});
        cell.registry->set_down(true);
        co_await wait_until(after(milliseconds(2500)));
        BOOST_TEST(!member->is_ready());
        cell.store->set_faults({false, false});
        cell.registry->set_down(false);
        co_await wait_until(after(milliseconds(1000)));
        BOOST_TEST(member->is_ready());
    });
}

// Guards against answers of an advice service that are thrown away because the service takes longer than a
// fixed time-out: the job would never start.
BOOST_AUTO_TEST_CASE(advice_that_takes_longer_than_other_calls_is_used) {
    cell_parts cell;
    cell.use_slow_advice();
    const auto member = cell.add_member("one");
    job_submission jobs(cell.context, cell_store(cell.store), member, cell.counters);
    run_coroutine(cell.context, [&]() -> awaitable<void> {
        BOOST_TEST(co_await wait_for_owner(member));
        const job_id id("00000000000000aa");
        const auto rules = make_rules();
        const auto spec = make_spec(2);
        const auto status = co_await jobs.submit(rules, id, spec, after(seconds(2)));
        BOOST_TEST(status.ok());
        const auto state = co_await wait_for_end(jobs, id);
        BOOST_TEST((state == job_phase::done));
    });
}

BOOST_AUTO_TEST_SUITE_END()
