#include "experiment/owner_bench.hpp"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/memory_cell_store.hpp"
#include "connection/memory_registry.hpp"
#include "connection/spawn_task.hpp"
#include "platform/upstream_connection.hpp"
#include "process/metrics.hpp"
#include "request/cell_member.hpp"
#include "standin/platform_upstreams.hpp"

namespace jacinthvane::experiment {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string queue_name = "jobs";
constexpr std::size_t serving_images = 10;
constexpr std::size_t best_effort_images = 18;

step_spec make_step(std::uint32_t tasks, std::int64_t processors_milli, std::int64_t estimated_ms,
                    std::string image) {
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(processors_milli, 2000, 0, 0);
    step.estimated_ms = estimated_ms;
    step.image = std::move(image);
    return step;
}

job_spec make_long_running_spec(std::size_t number) {
    job_spec spec;
    spec.payload = "0";
    spec.steps = {make_step(14, 3200, 400, "serving-" + std::to_string(number % serving_images))};
    spec.steps[0].is_long_running = true;
    spec.steps[0].target_tail_ms = 50;
    return spec;
}

job_spec make_best_effort_spec(std::size_t number) {
    job_spec spec;
    spec.payload = "2200";
    const auto image = "best-effort-" + std::to_string(number % best_effort_images);
    spec.steps = {make_step(20, 1800, 2200, image), make_step(20, 1800, 2200, image)};
    spec.steps[1].after = {0};
    for (auto& step : spec.steps) {
        step.is_best_effort = true;
        step.saves_checkpoints = true;
    }
    return spec;
}

job_spec make_short_spec(std::size_t number) {
    job_spec spec;
    spec.payload = "1000";
    spec.steps = {make_step(16, 2000, 1000, "short-" + std::to_string(number % serving_images))};
    return spec;
}

// The owner with its store on one context, which one thread runs.
struct owner_process {
    explicit owner_process(const std::vector<upstream_entry>& entries) {
        dispatch_config config;
        config.version = 1;
        queue_settings settings;
        settings.rules.queue = queue_name;
        settings.rules.service = "tree";
        settings.rules.max_attempts = 3;
        config.queues.push_back(settings);
        registry->set_config(std::make_shared<const dispatch_config>(config));
        for (const auto& entry : entries) {
            registry->set_upstream(entry);
        }
        const cell_ports ports{
            cell_store(store), registry_port(registry),
            upstream_port(std::make_shared<platform::upstream_connection>(context, std::string()))};
        entry_settings own_settings;
        own_settings.vm = vm_id("owner");
        own_settings.peer_address = "127.0.0.1:1";
        member = std::make_shared<cell_member>(context, ports, own_settings, "owner", counters);
        member->start();
    }

    void submit(std::size_t number, job_spec spec) {
        accepted_job job;
        job.rules.queue = queue_name;
        job.rules.service = "tree";
        job.rules.max_attempts = 3;
        job.rules.objective_ms = 1000;
        job.spec = std::move(spec);
        job.accepted_unix_ms = get_unix_ms();
        char id[17];
        std::snprintf(id, sizeof(id), "%016zx", number);
        store_transaction transaction;
        transaction.conditions = {{make_job_key(job_id(id)), 0}};
        transaction.writes = {{make_job_key(job_id(id)), encode_record(job), 0}};
        store->apply(transaction);
    }

    asio::io_context context{1};
    metrics counters;
    std::shared_ptr<memory_cell_store> store = std::make_shared<memory_cell_store>(machine_clock{});
    std::shared_ptr<memory_registry> registry = std::make_shared<memory_registry>();
    std::shared_ptr<cell_member> member;
};

double read_thread_cpu(clockid_t clock) {
    timespec reading{};
    clock_gettime(clock, &reading);
    return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) / 1e9;
}

// Submits the jobs of one second at even intervals.
void submit_for_one_second(owner_process& owner, std::size_t& number, std::size_t jobs) {
    asio::io_context context;
    asio::steady_timer next(context, std::chrono::steady_clock::now());
    for (std::size_t i = 0; i < jobs; ++i) {
        owner.submit(number, number % 3 == 0 ? make_short_spec(number) : make_best_effort_spec(number));
        ++number;
        next.expires_at(next.expiry() + milliseconds(1000) / static_cast<std::int64_t>(jobs));
        next.wait();
    }
}

}  // namespace

int run_owner_bench(const owner_bench_options& options) {
    asio::io_context upstream_context{1};
    standin::platform_upstreams upstreams(upstream_context, options.upstreams);
    const auto entries = upstreams.listen();
    if (!entries.ok()) {
        std::fprintf(stderr, "owner bench: %s\n", std::string(entries.status().message()).c_str());
        return 1;
    }
    std::thread upstream_thread([&] { upstream_context.run(); });
    owner_process owner(*entries);
    std::thread owner_thread([&] { owner.context.run(); });
    clockid_t owner_clock{};
    pthread_getcpuclockid(owner_thread.native_handle(), &owner_clock);
    std::size_t number = 1;
    for (std::size_t i = 0; i < options.long_running_jobs; ++i) {
        owner.submit(number, make_long_running_spec(number));
        ++number;
    }
    double cpu = read_thread_cpu(owner_clock);
    for (int second = 0; second < options.seconds; ++second) {
        const auto starts = upstreams.get_start_count();
        const auto ends = upstreams.get_end_count();
        submit_for_one_second(owner, number, options.jobs_per_second);
        const double now = read_thread_cpu(owner_clock);
        std::printf("second=%d owner_cores=%.3f starts=%llu ends=%llu\n", second, now - cpu,
                    static_cast<unsigned long long>(upstreams.get_start_count() - starts),
                    static_cast<unsigned long long>(upstreams.get_end_count() - ends));
        std::fflush(stdout);
        cpu = now;
    }
    owner.context.stop();
    owner_thread.join();
    upstream_context.stop();
    upstream_thread.join();
    // Suspended coroutines refer to both sides, so neither is destroyed.
    std::fflush(nullptr);
    std::_Exit(0);
}

}  // namespace jacinthvane::experiment
