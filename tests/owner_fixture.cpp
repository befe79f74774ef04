#include "tests/owner_fixture.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/upstream_connection.hpp"

namespace jacinthvane {

using standin::observed_run;
using std::chrono::milliseconds;

namespace {

const std::string queue = "jobs";

queue_rules make_rules() {
    queue_rules rules;
    rules.queue = queue;
    rules.service = "tree";
    rules.max_attempts = 3;
    return rules;
}

std::string describe(const observed_run& run, time_point origin) {
    const auto to_ms = [&](time_point at) {
        return at == time_point::max()
                   ? std::string("?")
                   : std::to_string(std::chrono::duration_cast<milliseconds>(at - origin).count());
    };
    return "run " + std::to_string(run.number) + " on " + run.upstream + " from " + to_ms(run.started_at) +
           " ms to " + to_ms(run.ended_at) + " ms " + run.how;
}

}  // namespace

void thread_gate::block() {
    std::unique_lock lock(mutex_);
    ++blocked_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return is_released_; });
}

void thread_gate::wait_until_blocked() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return blocked_ == threads_; });
}

void thread_gate::release() {
    std::lock_guard lock(mutex_);
    is_released_ = true;
    changed_.notify_all();
}

upstream_process::upstream_process(std::size_t upstream_count) : upstreams_(context_, upstream_count) {
    listen();
    run();
}

upstream_process::upstream_process(std::size_t upstream_count, std::int64_t link_bytes_per_second)
    : upstreams_(context_, upstream_count) {
    listen();
    add_relays(link_bytes_per_second);
    run();
}

upstream_process::~upstream_process() {
    context_.stop();
    thread_.join();
}

void upstream_process::add_relays(std::int64_t link_bytes_per_second) {
    const auto link = std::make_shared<relayed_link>();
    link_faults faults;
    faults.bytes_per_second = link_bytes_per_second;
    for (auto& entry : entries_) {
        relays_.push_back(std::make_unique<link_relay>(context_, entry.address, link));
        BOOST_REQUIRE(relays_.back()->listen_tcp("127.0.0.1:0").ok());
        relays_.back()->set_faults(faults);
        entry.address = relays_.back()->get_tcp_address();
    }
}

void upstream_process::listen() {
    auto entries = upstreams_.listen();
    BOOST_REQUIRE(entries.ok());
    entries_ = std::move(*entries);
}

void upstream_process::run() {
    thread_ = std::thread([this] { context_.run(); });
}

void upstream_process::cut(std::size_t first, std::size_t count) {
    auto faults = relays_.front()->get_faults();
    faults.is_cut = true;
    for (std::size_t i = first; i < first + count; ++i) {
        relays_[i]->set_faults(faults);
    }
}

owner_process::owner_process(const std::vector<upstream_entry>& entries, const owner_options& options)
    : options_(options), context_(static_cast<int>(options.threads)) {
    dispatch_config config;
    config.version = 1;
    queue_settings queue_of_test;
    queue_of_test.rules = make_rules();
    config.queues.push_back(queue_of_test);
    registry_->set_config(std::make_shared<const dispatch_config>(config));
    for (const auto& entry : entries) {
        registry_->set_upstream(entry);
    }
    for (const auto& domain : options.evacuated) {
        registry_->set_evacuation(domain, true);
    }
    const cell_ports ports{
        cell_store(store_), registry_port(registry_),
        upstream_port(std::make_shared<platform::upstream_connection>(context_, std::string()))};
    entry_settings settings;
    settings.vm = vm_id("owner");
    settings.peer_address = "127.0.0.1:1";
    settings.limits.max_lease = options.lease;
    settings.limits.evacuation_bound = options.evacuation_bound;
    settings.link_mbps = options.link_mbps;
    member_ = std::make_shared<cell_member>(context_, ports, settings, "owner", counters_);
    member_->start();
    for (std::size_t i = 0; i < options_.threads; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
}

owner_process::~owner_process() {
    context_.stop();
    for (auto& thread : threads_) {
        thread.join();
    }
}

void owner_process::block_for(const std::vector<milliseconds>& lengths, std::mt19937_64& random) {
    constexpr std::uint64_t max_turns = 16;
    auto gate = std::make_shared<thread_gate>(options_.threads);
    const auto post_gates = [&] {
        for (std::size_t i = 0; i < options_.threads; ++i) {
            post_gate(gate, random() % max_turns);
        }
    };
    post_gates();
    for (std::size_t i = 0; i < lengths.size(); ++i) {
        gate->wait_until_blocked();
        std::this_thread::sleep_for(lengths[i]);
        const auto blocked = std::exchange(gate, std::make_shared<thread_gate>(options_.threads));
        if (i + 1 < lengths.size()) {
            post_gates();
        }
        blocked->release();
    }
}

void owner_process::submit(milliseconds task_time, std::uint32_t tasks) {
    step_spec step = make_step(tasks);
    step.estimated_ms = task_time.count();
    accepted_job job = make_job(task_time);
    job.spec.steps = {step, step};
    job.spec.steps[1].after = {0};
    jobs_.push_back(write_job(job));
}

void owner_process::submit_long_running(std::uint32_t tasks) {
    step_spec step = make_step(tasks);
    step.is_long_running = true;
    accepted_job job = make_job(milliseconds(0));
    job.spec.steps = {step};
    write_job(job);
}

step_spec owner_process::make_step(std::uint32_t tasks) {
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(200, 200, 0, 0);
    step.image = "short";
    // Upstreams of tasks with a target are polled at short intervals, so a block soon exceeds the deadline of
    // a poll. The target is far above the latency that the upstreams report.
    step.target_tail_ms = 60000;
    return step;
}

accepted_job owner_process::make_job(milliseconds task_time) const {
    accepted_job job;
    job.rules = make_rules();
    job.rules.objective_ms = 1000;
    // Upstreams read the leading number; the rest makes the orders as long as those of real jobs.
    job.spec.payload = std::to_string(task_time.count()) + std::string(options_.payload_bytes, ' ');
    job.accepted_unix_ms = get_unix_ms();
    return job;
}

job_id owner_process::write_job(const accepted_job& job) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016zx", ++submitted_jobs_);
    job_id id(text);
    store_transaction transaction;
    transaction.conditions = {{make_job_key(id), 0}};
    transaction.writes = {{make_job_key(id), encode_record(job), 0}};
    store_->apply(transaction);
    return id;
}

bool owner_process::is_loaded() const {
    const auto owner = member_->get_owner();
    return owner != nullptr && owner->is_loaded();
}

std::string owner_process::dump_state() const {
    const auto owner = member_->get_owner();
    return owner == nullptr ? std::string() : owner->dump_state();
}

std::size_t owner_process::count_jobs_done() const {
    const auto owner = member_->get_owner();
    if (owner == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [&](const job_id& id) {
        return owner->get_state(id, queue) == job_phase::done;
    }));
}

void owner_process::post_gate(std::shared_ptr<thread_gate> gate, std::uint64_t turns) {
    asio::post(context_, [this, gate, turns] {
        if (turns == 0) {
            gate->block();
            return;
        }
        post_gate(gate, turns - 1);
    });
}

observed_faults find_faults(const std::vector<observed_run>& runs, time_point origin) {
    std::map<std::string, std::vector<observed_run>> runs_by_task;
    for (const auto& run : runs) {
        runs_by_task[run.task].push_back(run);
    }
    observed_faults faults;
    for (auto& [task, runs_of_task] : runs_by_task) {
        std::sort(runs_of_task.begin(), runs_of_task.end(),
                  [](const auto& a, const auto& b) { return a.started_at < b.started_at; });
        for (std::size_t i = 0; i < runs_of_task.size(); ++i) {
            const auto& run = runs_of_task[i];
            faults.lapsed_runs += run.how == "lapsed" ? 1 : 0;
            const auto is_overlapping = [&](const auto& earlier) {
                return earlier.ended_at > run.started_at;
            };
            const auto is_done_before = [&](const auto& earlier) {
                return earlier.how == "done" && earlier.ended_at <= run.started_at;
            };
            const auto begin = runs_of_task.begin();
            const auto end = begin + static_cast<std::ptrdiff_t>(i);
            const bool overlaps = std::any_of(begin, end, is_overlapping);
            const bool is_superfluous = std::any_of(begin, end, is_done_before);
            faults.overlapping_runs += overlaps ? 1 : 0;
            faults.starts_after_done += is_superfluous ? 1 : 0;
            if (overlaps || is_superfluous) {
                BOOST_TEST_MESSAGE("task " << task << ": " << describe(runs_of_task[i - 1], origin)
                                           << ", then " << describe(run, origin));
            }
        }
    }
    return faults;
}

}  // namespace jacinthvane
