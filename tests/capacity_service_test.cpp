#include "request/capacity_service.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/faulty_store.hpp"
#include "connection/ownership_codec.hpp"
#include "process/error_kind.hpp"
#include "tests/upstream_fixture.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;

constexpr int upstream_count = 6;
constexpr std::int64_t slots = 4;
const std::string long_body = R"({"run_ms": 3600000})";

// Short intervals give each test many rounds. No check depends on how long an operation takes.
capacity_settings make_settings(const std::string& vm, std::uint64_t incarnation = 1) {
    capacity_settings settings;
    settings.process = {vm_id(vm), incarnation};
    settings.place = {region_id("region"), failure_domain_id("domain")};
    settings.term.lease_time = std::chrono::milliseconds(1000);
    settings.renew_interval = std::chrono::milliseconds(100);
    settings.ownership_interval = std::chrono::milliseconds(30);
    settings.watch_time = std::chrono::milliseconds(500);
    settings.vm_list_interval = std::chrono::milliseconds(30);
    settings.list_interval = std::chrono::milliseconds(30);
    settings.usage_interval = std::chrono::milliseconds(50);
    settings.start_window = std::chrono::milliseconds(300);
    settings.clock_error = std::chrono::milliseconds(20);
    settings.task_lease = std::chrono::milliseconds(3000);
    settings.task_renew_interval = std::chrono::milliseconds(300);
    settings.call_timeout = std::chrono::milliseconds(1000);
    settings.startup_jitter = std::chrono::milliseconds(10);
    return settings;
}

// One entry process with its own threads, all of which can be paused together.
class entry_process {
public:
    entry_process(const capacity_settings& settings, store_client::backend store,
                  std::shared_ptr<memory_vm_list> vm_list, std::shared_ptr<memory_fleet> fleet)
        : pool(2) {
        capacity_callbacks callbacks;
        callbacks.on_task_end = [this](const task_end& end) {
            std::lock_guard lock(mutex_);
            ends_.push_back(end);
        };
        callbacks.on_usage = [this](const usage_report&) { ++usage_reports; };
        auto transport = std::make_shared<memory_transport>(pool.get_context(), std::move(fleet));
        service = std::make_shared<capacity_service>(
            pool.get_context(), settings, store_client(std::move(store)), vm_list_client(std::move(vm_list)),
            upstream_client(std::move(transport)), callbacks);
        service->start();
    }

    ~entry_process() {
        resume();
        service->stop_loops();
        pool.stop();
    }

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // Blocks all threads of the process, as SIGSTOP would. Returns once they are blocked.
    void pause() {
        std::unique_lock lock(mutex_);
        is_paused_ = true;
        for (int n = 0; n < 2; ++n) {
            asio::post(pool.get_context(), [this] {
                std::unique_lock inner(mutex_);
                ++blocked_;
                changed_.notify_all();
                changed_.wait(inner, [this] { return !is_paused_; });
                --blocked_;
            });
        }
        changed_.wait(lock, [this] { return blocked_ == 2; });
    }

    void resume() {
        std::lock_guard lock(mutex_);
        is_paused_ = false;
        changed_.notify_all();
    }

    // Ends all activity of the process, as a crash would.
    void crash() { pool.stop(); }

    bool wait(std::function<bool()> holds) {
        return pool.run(wait_for(service->get_changed(), std::move(holds)));
    }

    bool wait_until_open(std::size_t upstreams) {
        return wait([this, upstreams] { return count_open() >= upstreams; });
    }

    std::size_t count_open() const {
        const auto state = service->get_state();
        return static_cast<std::size_t>(std::count_if(state.upstreams.begin(), state.upstreams.end(),
                                                      [](const auto& upstream) { return upstream.is_open; }));
    }

    // Starts batch tasks until one is refused and returns how many were accepted.
    int fill(const std::string& prefix) {
        int started = 0;
        while (pool.run(service->start_batch(
                            make_start(prefix + std::to_string(started), long_body, 1000, task_class::batch)))
                   .ok()) {
            ++started;
        }
        return started;
    }

    std::vector<task_end> get_ends() const {
        std::lock_guard lock(mutex_);
        return ends_;
    }

    test_pool pool;
    std::shared_ptr<capacity_service> service;
    std::atomic<int> usage_reports = 0;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool is_paused_ = false;
    int blocked_ = 0;
    std::vector<task_end> ends_;
};

// An in-memory failure domain: the store, the VM list and the upstreams.
class domain_fixture {
public:
    domain_fixture() {
        for (int n = 0; n < upstream_count; ++n) {
            const auto name = "up-" + std::to_string(n);
            fleet->add({.upstream = upstream_id(name),
                        .size = resource_vector(slots * 1000, 8000, 0, slots),
                        .clock_offset_ms = 1000000 * (n + 1),
                        .usage_lag = std::chrono::milliseconds(20)});
            vms.push_back({.vm = vm_id(name),
                           .failure_domain = failure_domain_id("domain"),
                           .rack = rack_id("rack"),
                           .role = vm_role::upstream,
                           .is_leaving = false,
                           .address = "",
                           .size = resource_vector(slots * 1000, 8000, 0, slots),
                           .connections = 64});
        }
        for (const auto* name : {"entry-a", "entry-b"}) {
            vms.push_back({.vm = vm_id(name),
                           .failure_domain = failure_domain_id("domain"),
                           .rack = rack_id("rack"),
                           .role = vm_role::entry,
                           .is_leaving = false,
                           .address = "",
                           .size = {},
                           .connections = 64});
        }
        vm_list->set(vms);
    }

    // Creates a process whose store calls are subject to the injected faults.
    std::unique_ptr<entry_process> add(const capacity_settings& settings) {
        return std::make_unique<entry_process>(settings, store, vm_list, fleet);
    }

    // Creates a process that can always reach the store.
    std::unique_ptr<entry_process> add_unaffected(const capacity_settings& settings) {
        return std::make_unique<entry_process>(
            settings, std::shared_ptr<memory_store>(store, &store->get_engine()), vm_list, fleet);
    }

    ownership read_ownership() {
        const auto stored = store->get_engine().get("ownership/domain");
        BOOST_REQUIRE(stored.ok());
        const auto value = decode_ownership(stored->bytes);
        BOOST_REQUIRE(value.ok());
        return *value;
    }

    std::shared_ptr<memory_upstream> get_upstream(int n) {
        return fleet->find(upstream_id("up-" + std::to_string(n)));
    }

    void check_no_overcommitment() {
        const auto log = fleet->read_log();
        BOOST_TEST(log.overcommitted_starts == 0U);
        BOOST_TEST(log.concurrent_tasks.empty());
    }

    std::shared_ptr<faulty_store> store = std::make_shared<faulty_store>(machine_clock{});
    std::shared_ptr<memory_vm_list> vm_list = std::make_shared<memory_vm_list>();
    std::shared_ptr<memory_fleet> fleet = std::make_shared<memory_fleet>();
    std::vector<vm_record> vms;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(capacity_service, domain_fixture)

// Guards against a response that belongs to another request (I4), capacity that is not released, and
// overcommitment (I1).
BOOST_AUTO_TEST_CASE(urgent_tasks_run_and_release_their_capacity) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    for (int n = 0; n < 50; ++n) {
        const auto id = "task-" + std::to_string(n);
        const auto response = a->pool.run(
            a->service->run_urgent(make_start(id, R"({"run_ms": 1, "answer": ")" + id + "\"}", 4000)));
        BOOST_REQUIRE(response.ok());
        BOOST_TEST(response->task.get() == id);
        BOOST_TEST(response->body == id);
    }
    BOOST_TEST((a->service->get_free_summary().committed == resource_vector{}));
    check_no_overcommitment();
}

// Guards against committing more than an upstream's capacity (I1).
BOOST_AUTO_TEST_CASE(a_full_failure_domain_refuses_without_running) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    BOOST_TEST(a->fill("batch-") == upstream_count * slots);
    const auto refused = a->pool.run(a->service->run_urgent(make_start("late", "{}")));
    BOOST_TEST((get_error_kind(refused.status()) == kind::no_capacity));
    BOOST_TEST((get_run_knowledge(refused.status()) == run_knowledge::not_run));
    BOOST_TEST(a->service->would_ever_fit(resource_vector(4000, 8000, 0, 1)));
    BOOST_TEST(!a->service->would_ever_fit(resource_vector(4001, 8000, 0, 1)));
    check_no_overcommitment();
}

// Guards against tasks that are lost, or start twice, when their owner crashes (I1, I2, I10).
BOOST_AUTO_TEST_CASE(the_next_owner_adopts_running_tasks_and_renews_their_leases) {
    auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto started = a->fill("batch-");
    BOOST_TEST(started == upstream_count * slots);
    a->crash();
    const auto b = add(make_settings("entry-b"));
    BOOST_REQUIRE(b->wait_until_open(upstream_count));
    BOOST_TEST(b->service->get_counters().adopted == static_cast<std::uint64_t>(started));
    BOOST_TEST(read_ownership().slices[0].reservation.has_value());
    BOOST_TEST(b->fill("more-") == 0);
    // The task leases of the crashed owner expire unless the next owner renews them.
    BOOST_REQUIRE(
        b->wait([&] { return b->service->get_counters().renewals >= 20U * upstream_count * slots; }));
    std::size_t running = 0;
    for (const auto& upstream : fleet->get_all()) {
        const auto list = b->pool.run(upstream->list());
        for (const auto& task : (*list)->tasks) {
            running += is_occupying(task.state) ? 1 : 0;
        }
    }
    BOOST_TEST(running == static_cast<std::size_t>(started));
    BOOST_TEST(b->get_ends().empty());
    check_no_overcommitment();
}

// Guards against the end of a batch task being reported twice or not at all (I10).
BOOST_AUTO_TEST_CASE(each_end_of_a_batch_task_is_reported_once) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto finished = make_start("finishes", R"({"run_ms": 1})", 1000, task_class::batch);
    const auto failed = make_start("fails", R"({"run_ms": 1, "fail": true})", 1000, task_class::batch);
    BOOST_REQUIRE(a->pool.run(a->service->start_batch(finished)).ok());
    BOOST_REQUIRE(a->pool.run(a->service->start_batch(failed)).ok());
    BOOST_REQUIRE(a->wait([&] { return a->get_ends().size() >= 2; }));
    const auto lists = a->service->get_counters().lists;
    BOOST_REQUIRE(a->wait([&] { return a->service->get_counters().lists > lists + 10U * upstream_count; }));
    const auto ends = a->get_ends();
    BOOST_REQUIRE(ends.size() == 2U);
    for (const auto& end : ends) {
        const bool has_expected_state = end.task.get() == "finishes"
                                            ? std::holds_alternative<attempt_finished>(end.known_state)
                                            : std::holds_alternative<attempt_failed>(end.known_state);
        BOOST_TEST(has_expected_state);
    }
    BOOST_TEST((a->service->get_free_summary().committed == resource_vector{}));
}

// Guards against an owner that exceeds its reduced share while the store is down, when it cannot detect a
// next owner (I1).
BOOST_AUTO_TEST_CASE(without_the_store_an_owner_stays_within_its_share_after_expiry) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    store->set_faults({.is_down = true});
    BOOST_REQUIRE(a->wait([&] { return !a->service->get_state().is_term_valid; }));
    BOOST_TEST(a->fill("lapsed-") == upstream_count * 3);
    store->set_faults({});
    BOOST_REQUIRE(a->wait([&] { return a->service->get_state().share_permille == 1000; }));
    BOOST_TEST(a->fill("again-") == upstream_count);
    BOOST_TEST(a->service->get_state().slices.size() == slices_per_failure_domain);
    check_no_overcommitment();
}

// Guards against two owners whose commitments together exceed an upstream's capacity (I1). One owner is
// partitioned from the store and continues; the other takes over without a proof that the first has ended.
BOOST_AUTO_TEST_CASE(a_partitioned_owner_and_the_next_owner_never_overcommit) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    store->set_faults({.is_down = true});
    const auto b = add_unaffected(make_settings("entry-b"));
    BOOST_REQUIRE(b->wait_until_open(upstream_count));
    const auto value = read_ownership();
    for (const auto& slice : value.slices) {
        BOOST_TEST(slice.share_permille + (slice.reservation ? slice.reservation->share_permille : 0) ==
                   1000);
        BOOST_TEST((slice.reservation && slice.reservation->holder.vm == vm_id("entry-a")));
    }
    int from_a = 0;
    int from_b = 0;
    for (int n = 0; n < upstream_count * slots; ++n) {
        const auto id = std::to_string(n);
        from_a +=
            a->pool.run(a->service->start_batch(make_start("a-" + id, long_body, 1000, task_class::batch)))
                .ok();
        from_b +=
            b->pool.run(b->service->start_batch(make_start("b-" + id, long_body, 1000, task_class::batch)))
                .ok();
    }
    BOOST_TEST(from_a > 0);
    BOOST_TEST(from_b > 0);
    check_no_overcommitment();
    // Once it reaches the store again, the previous owner releases its reservation.
    store->set_faults({});
    BOOST_REQUIRE(b->wait([&] {
        const auto slices = read_ownership().slices;
        return std::none_of(slices.begin(), slices.end(),
                            [](const auto& slice) { return slice.reservation; });
    }));
    check_no_overcommitment();
}

// Guards against a paused owner that resumes late and starts tasks as if its term were still valid (I1).
BOOST_AUTO_TEST_CASE(a_resumed_owner_does_not_overcommit) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    a->pause();
    // These start orders wait in the paused process.
    std::vector<std::future<absl::StatusOr<upstream_id>>> late;
    late.reserve(upstream_count * slots);
    for (int n = 0; n < upstream_count * slots; ++n) {
        late.push_back(asio::co_spawn(asio::make_strand(a->pool.get_context()),
                                      a->service->start_batch(make_start("late-" + std::to_string(n),
                                                                         long_body, 1000, task_class::batch)),
                                      asio::use_future));
    }
    const auto b = add(make_settings("entry-b"));
    BOOST_REQUIRE(b->wait_until_open(upstream_count));
    const auto started = b->fill("b-");
    BOOST_TEST(started == upstream_count);
    a->resume();
    int succeeded = 0;
    for (auto& start : late) {
        succeeded += start.get().ok() ? 1 : 0;
    }
    BOOST_TEST(succeeded <= upstream_count * slots);
    check_no_overcommitment();
    // The process rejoins, and the slices are distributed evenly again.
    BOOST_REQUIRE(
        a->wait([&] { return a->service->get_state().slices.size() == slices_per_failure_domain / 2; }));
    check_no_overcommitment();
}

// Guards against a start order that waited in a paused upstream and takes effect after its owner may have
// been replaced (I1, I5).
BOOST_AUTO_TEST_CASE(a_start_order_that_arrives_late_is_refused) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    for (const auto& upstream : fleet->get_all()) {
        upstream->set_faults({.is_paused = true});
    }
    auto started = asio::co_spawn(asio::make_strand(a->pool.get_context()),
                                  a->service->run_urgent(make_start("late", "{}")), asio::use_future);
    const auto sent = a->wait([&] { return a->service->get_counters().starts == 1; });
    BOOST_REQUIRE(sent);
    const auto window_end = std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
    a->pool.run([](time_point until) -> awaitable<int> {
        co_await wait_until(until);
        co_return 0;
    }(window_end));
    for (const auto& upstream : fleet->get_all()) {
        upstream->set_faults({});
    }
    const auto response = started.get();
    BOOST_TEST((get_error_kind(response.status()) == kind::upstream_too_late));
    BOOST_TEST((get_run_knowledge(response.status()) == run_knowledge::not_run));
    BOOST_TEST(fleet->read_log().starts.empty());
}

// Guards against a slice with two owners or none after the response to a claim was lost or its write was
// delayed.
BOOST_AUTO_TEST_CASE(lost_responses_to_claims_are_resolved) {
    store->set_faults({.lose_responses = 4, .defer_writes = 0});
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto b = add(make_settings("entry-b"));
    store->set_faults({.lose_responses = 3, .lose_requests = 2, .defer_writes = 2});
    BOOST_REQUIRE(
        b->wait([&] { return b->service->get_state().slices.size() == slices_per_failure_domain / 2; }));
    store->apply_deferred();
    BOOST_REQUIRE(a->wait([&] {
        return a->count_open() + b->count_open() == upstream_count &&
               a->service->get_state().slices.size() == slices_per_failure_domain / 2;
    }));
    const auto value = read_ownership();
    BOOST_TEST(get_slices_of(value, {vm_id("entry-a"), 1}).size() == slices_per_failure_domain / 2);
    BOOST_TEST(get_slices_of(value, {vm_id("entry-b"), 1}).size() == slices_per_failure_domain / 2);
    const auto total = a->fill("a-") + b->fill("b-");
    BOOST_TEST(total == upstream_count * slots);
    check_no_overcommitment();
}

// Guards against new tasks on a leaving upstream (I7), regardless of the source of the leaving mark.
BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_new_work) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    get_upstream(0)->set_faults({.is_leaving = true});
    vms[1].is_leaving = true;
    vm_list->set(vms);
    a->service->mark_leaving(upstream_id("up-2"));
    BOOST_REQUIRE(a->wait([&] { return a->service->get_leaving().size() == 3; }));
    BOOST_TEST(a->fill("batch-") == (upstream_count - 3) * slots);
    for (const auto& start : fleet->read_log().starts) {
        BOOST_TEST((start.upstream > upstream_id("up-2")));
    }
}

// Guards against one unresponsive upstream that delays the lists of the others, and against its tasks being
// treated as ended.
BOOST_AUTO_TEST_CASE(an_unresponsive_upstream_does_not_affect_the_others) {
    auto settings = make_settings("entry-a");
    settings.max_concurrent_lists = 2;
    settings.call_timeout = std::chrono::milliseconds(100);
    const auto a = add(settings);
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto started = a->fill("batch-");
    get_upstream(0)->set_faults({.calls_to_ignore = 1});
    BOOST_REQUIRE(a->wait([&] {
        return a->service->get_counters().list_failures + a->service->get_counters().renewal_failures >= 1;
    }));
    const auto lists = a->service->get_counters().lists;
    BOOST_REQUIRE(a->wait([&] {
        const auto state = a->service->get_state();
        return state.counters.lists > lists + 20 &&
               std::all_of(state.upstreams.begin(), state.upstreams.end(),
                           [](const auto& upstream) { return upstream.is_responsive; });
    }));
    BOOST_TEST(a->service->get_free_summary().committed.get_slots() == started);
    BOOST_TEST(a->get_ends().empty());
}

// Guards against capacity that is reassigned while a start order of unknown outcome may still take effect
// (I1, I2).
BOOST_AUTO_TEST_CASE(a_start_order_without_a_response_keeps_its_capacity_until_a_list_resolves_it) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    auto lost = make_start("lost", long_body, 4000, task_class::batch);
    const auto upstream = a->service->reserve_batch(lost);
    BOOST_REQUIRE(upstream.ok());
    // The start order is executed, but its response and those of the next lists are lost.
    fleet->find(*upstream)->set_faults({.responses_to_lose = 3});
    const auto status = a->pool.run(a->service->start_reserved(lost, *upstream));
    BOOST_TEST((get_run_knowledge(status) == run_knowledge::may_have_run));
    BOOST_TEST(a->service->get_ledger().get_committed(*upstream).get_processors_milli() == 4000);
    const auto known_state = a->pool.run(a->service->query_attempt(*upstream, lost.spec.task, 1));
    const bool is_seen = std::holds_alternative<attempt_running>(known_state) ||
                         std::holds_alternative<attempt_unreachable>(known_state);
    BOOST_TEST(is_seen);
    BOOST_REQUIRE(a->wait([&] {
        const auto held = a->service->get_ledger().get_commitment(*upstream, lost.spec.task);
        return held && held->state == commitment_state::confirmed;
    }));
    const auto stopped = a->pool.run(a->service->stop(lost.spec.task));
    BOOST_REQUIRE(stopped.ok());
    BOOST_TEST((stopped->final_state == task_state::stopped));
    BOOST_TEST((a->service->get_ledger().get_committed(*upstream) == resource_vector{}));
    check_no_overcommitment();
}

// Guards against an evicted task that restarts without its checkpoint or runs twice (I3).
BOOST_AUTO_TEST_CASE(a_stopped_task_resumes_from_its_checkpoint) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    auto task = make_start("rebuild", long_body, 1000, task_class::batch);
    BOOST_REQUIRE(a->pool.run(a->service->start_batch(task)).ok());
    const auto checkpoint = a->pool.run(a->service->checkpoint(task.spec.task));
    BOOST_REQUIRE(checkpoint.ok());
    const auto stopped = a->pool.run(a->service->stop(task.spec.task));
    BOOST_REQUIRE(stopped.ok());
    BOOST_TEST((stopped->checkpoint == *checkpoint));
    BOOST_TEST(!a->service->find_task(task.spec.task).has_value());
    task.generation = 2;
    task.resume_from = *checkpoint;
    const auto second = a->pool.run(a->service->start_batch(task));
    BOOST_REQUIRE(second.ok());
    const auto known_state = a->pool.run(a->service->query_attempt(*second, task.spec.task, 2));
    BOOST_REQUIRE(std::holds_alternative<attempt_running>(known_state));
    BOOST_TEST((std::get<attempt_running>(known_state).checkpoint == *checkpoint));
    BOOST_TEST(a->pool.run(a->service->throttle(task.spec.task, 10)).ok());
    check_no_overcommitment();
}

// Guards against a planned shutdown that leaves slices without an owner, or with a reservation for the
// process that has ended.
BOOST_AUTO_TEST_CASE(a_leaving_process_hands_its_slices_over) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto b = add(make_settings("entry-b"));
    BOOST_REQUIRE(
        b->wait([&] { return b->service->get_state().slices.size() == slices_per_failure_domain / 2; }));
    BOOST_REQUIRE(a->wait([&] { return a->count_open() + b->count_open() == upstream_count; }));
    BOOST_TEST(a->pool.run(a->service->hand_over(get_test_deadline())));
    const auto refused = a->pool.run(a->service->run_urgent(make_start("after", "{}")));
    BOOST_TEST((get_error_kind(refused.status()) == kind::no_capacity));
    BOOST_REQUIRE(b->wait_until_open(upstream_count));
    for (const auto& slice : read_ownership().slices) {
        BOOST_TEST(slice.share_permille == 1000);
        BOOST_TEST((slice.owner && slice.owner->vm == vm_id("entry-b")));
    }
    BOOST_TEST(b->fill("b-") == upstream_count * slots);
    check_no_overcommitment();
}

// Guards against a restarted process that leaves a reservation for its own previous incarnation, which no
// other process can release.
BOOST_AUTO_TEST_CASE(a_newer_incarnation_takes_its_slices_back_without_a_reservation) {
    auto a = add(make_settings("entry-a", 1));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    const auto started = a->fill("first-");
    a->crash();
    const auto next = add(make_settings("entry-a", 2));
    BOOST_REQUIRE(next->wait_until_open(upstream_count));
    for (const auto& slice : read_ownership().slices) {
        BOOST_TEST(slice.share_permille == 1000);
    }
    BOOST_TEST(next->service->get_counters().adopted == static_cast<std::uint64_t>(started));
    BOOST_TEST(next->fill("second-") == 0);
    check_no_overcommitment();
}

// Guards against usage reports that do not reach the interference model.
BOOST_AUTO_TEST_CASE(usage_is_reported) {
    const auto a = add(make_settings("entry-a"));
    BOOST_REQUIRE(a->wait_until_open(upstream_count));
    BOOST_REQUIRE(a->fill("batch-") > 0);
    BOOST_TEST(a->wait([&] { return a->usage_reports > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
