#include "experiment/policy_bench.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "experiment/policy_run.hpp"
#include "experiment/result_table.hpp"
#include "process/interference_model.hpp"

namespace jacinthvane::experiment {

namespace {

std::vector<site> make_sites() {
    const resource_vector customer_vm(16000, 62000, 0, 8);
    site racines{.name = "racines",
                 .upstreams = 66,
                 .size = customer_vm,
                 .client_delay_s = 0.003,
                 .domain_delay_s = 0.001,
                 .region_delay_s = 0.012,
                 .urgent_load = 0.15,
                 .batch_load = 0.25,
                 .deadline_s = 15,
                 .weights = {.tail = 4, .evictions = 2, .throughput = 2}};
    site lakeshore{.name = "lakeshore",
                   .upstreams = 48,
                   .size = customer_vm,
                   .client_delay_s = 0.001,
                   .domain_delay_s = 0.0005,
                   .region_delay_s = 0.012,
                   .urgent_load = 0.20,
                   .batch_load = 0.20,
                   .deadline_s = 15,
                   .weights = {.tail = 8, .evictions = 1, .throughput = 2}};
    // 56,000 urgent and 91,000 batch tasks on 7,400 upstreams give about 20 tasks on each. Urgent tasks that
    // take 11 s give 5,000 runs started per second.
    site target{.name = "target",
                .upstreams = 7400,
                .size = {16000, 62000, 0, 32},
                .client_delay_s = 0.003,
                .domain_delay_s = 0.001,
                .region_delay_s = 0.012,
                .urgent_load = 0.20,
                .batch_load = 0.25,
                .urgent_run_scale = 19,
                .size_divisor = 4,
                .deadline_s = 90,
                .length_s = 80,
                .warm_up_s = 40,
                .weights = {.tail = 4, .evictions = 1, .throughput = 1}};
    return {racines, lakeshore, target};
}

std::vector<variant_setup> make_variants(const placement_weights& weights) {
    const interference_aware_placement product{.weights = weights};
    const auto change = [&](const std::function<void(interference_aware_placement&)>& edit) {
        auto changed = product;
        edit(changed);
        return placement_policy(changed);
    };
    return {
        {.name = "random", .policy = random_placement{}},
        {.name = "least committed", .policy = least_committed_placement{}},
        {.name = "two choices", .policy = two_choices_placement{}},
        {.name = "product", .policy = product},
        {.name = "product, no own effect",
         .policy = change([](auto& one) { one.is_new_task_effect_counted = false; })},
        {.name = "product, no neighbour effect",
         .policy = change([](auto& one) { one.is_neighbor_effect_counted = false; })},
        {.name = "product, urgent neighbours in full",
         .policy = change([](auto& one) { one.urgent_neighbor_share = 1; })},
        {.name = "product, no measured memory",
         .policy = change([](auto& one) { one.is_measured_memory_counted = false; })},
        {.name = "product, no exploration", .policy = change([](auto& one) { one.exploration = 0; })},
        {.name = "product, no committed share", .policy = change([](auto& one) { one.committed = 0; })},
        {.name = "product, 4 samples", .policy = change([](auto& one) { one.samples = 4; })},
        {.name = "product, no ejection", .policy = product, .has_ejection = false},
        {.name = "product, no retries", .policy = product, .has_retries = false},
        {.name = "product, with hedges", .policy = product, .has_hedges = true},
    };
}

// Returns the CPU time of this thread, which excludes the time in which it was preempted.
double get_thread_time_us() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double get_percentile(std::vector<double> values, double share) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct run_job {
    const site* bench_site = nullptr;
    const variant_setup* variant = nullptr;
    std::uint64_t seed = 1;
    double load_factor = 0;
    run_result result;
};

// Runs the jobs, which are independent of each other, on the given number of threads.
void run_jobs(std::vector<run_job>& jobs, std::size_t workers) {
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (std::size_t worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&] {
            for (std::size_t position = next++; position < jobs.size(); position = next++) {
                auto& job = jobs[position];
                job.result = run_policy(*job.bench_site, *job.variant, job.seed, job.load_factor);
            }
        });
    }
}

result_row make_row(const run_job& job) {
    const auto& result = job.result;
    return {.site = job.bench_site->name,
            .variant = job.variant->name,
            .seed = job.seed,
            .load_factor = job.load_factor,
            .values = {{"urgent_p50_ms", result.urgent_p50_ms},
                       {"urgent_p99_ms", result.urgent_p99_ms},
                       {"urgent_p999_ms", result.urgent_p999_ms},
                       {"started_in_6.9s", result.started_in_time},
                       {"answered_in_time", result.answered_in_time},
                       {"batch_finished", result.batch_finished},
                       {"evictions", result.evictions},
                       {"memory_stops", result.memory_stops},
                       {"mean_load", result.mean_load},
                       {"goodput_per_s", result.goodput_per_s},
                       {"urgent_offered", result.urgent_offered},
                       {"extra_attempts", result.extra_attempts},
                       {"jobs_parked", result.batch_failures}}};
}

}  // namespace

int run_policy_bench(const policy_bench_options& options) {
    const auto sites = make_sites();
    std::vector<std::vector<variant_setup>> variants;
    variants.reserve(sites.size());
    for (const auto& bench_site : sites) {
        variants.push_back(make_variants(bench_site.weights));
    }
    std::vector<variant_setup> overload_variants = {
        {.name = "early refusal", .policy = two_choices_placement{}},
        {.name = "no early refusal", .policy = two_choices_placement{}, .has_early_refusal = false},
    };
    std::vector<run_job> jobs;
    std::vector<run_job> overload_jobs;
    std::vector<site> short_sites = sites;
    for (std::size_t position = 0; position < sites.size(); ++position) {
        const bool is_site_selected =
            options.sites.empty() || std::find(options.sites.begin(), options.sites.end(),
                                               sites[position].name) != options.sites.end();
        if (!is_site_selected) {
            continue;
        }
        short_sites[position].length_s = 180;
        for (int seed = 1; seed <= options.seeds; ++seed) {
            for (const auto& variant : variants[position]) {
                // A run at the target size takes a minute, so the ablation variants run only on smaller
                // sites.
                const bool is_ablation = variant.name.find(',') != std::string::npos;
                const bool is_variant_selected =
                    (options.variant.empty() || variant.name.find(options.variant) == 0) &&
                    !(is_ablation && sites[position].upstreams > 1000);
                if (is_variant_selected) {
                    jobs.push_back({.bench_site = &sites[position],
                                    .variant = &variant,
                                    .seed = static_cast<std::uint64_t>(seed),
                                    .result = {}});
                }
            }
            for (const auto& variant : overload_variants) {
                for (const double factor : {1.0, 2.0, 3.0}) {
                    if (options.has_overload && sites[position].upstreams < 1000) {
                        overload_jobs.push_back({.bench_site = &short_sites[position],
                                                 .variant = &variant,
                                                 .seed = static_cast<std::uint64_t>(seed),
                                                 .load_factor = factor,
                                                 .result = {}});
                    }
                }
            }
        }
    }
    run_jobs(jobs, options.workers);
    run_jobs(overload_jobs, options.workers);
    result_table table;
    for (const auto& job : jobs) {
        table.add(make_row(job));
    }
    for (const auto& job : overload_jobs) {
        table.add(make_row(job));
    }
    table.print();
    if (!options.folder.empty()) {
        table.write(options.folder, options.name);
    }
    return 0;
}

int run_decision_bench(const std::string& folder) {
    constexpr int upstream_count = 7400;
    constexpr int decision_count = 200000;
    random_source random(1);
    interference_model model;
    std::vector<kind_index> kinds;
    kinds.reserve(40);
    for (int number = 0; number < 40; ++number) {
        kinds.push_back(model.get_kind_index(task_kind("kind-" + std::to_string(number)),
                                             number < 15 ? task_class::urgent : task_class::batch));
    }
    candidate_index index;
    const resource_vector upstream_size(16000, 62000, 0, 24);
    for (int number = 0; number < upstream_count; ++number) {
        candidate value{.upstream = upstream_id("up-" + std::to_string(number)),
                        .rack = rack_id("r"),
                        .limit = upstream_size,
                        .committed = {},
                        .neighbors = {}};
        const auto tasks = 17 + pick_below(random, 8);
        for (std::uint32_t task = 0; task < tasks; ++task) {
            const auto kind = pick_below(random, 40);
            value.committed =
                value.committed + resource_vector(500 + 250 * pick_below(random, 2), 2048, 0, 1);
            value.neighbors.push_back({.kind = kinds[kind],
                                       .work_class = kind < 15 ? task_class::urgent : task_class::batch,
                                       .count = 1});
        }
        if (!value.committed.is_within(upstream_size)) {
            value.committed = upstream_size;
        }
        index.update(value);
    }
    const auto snapshot = model.get_snapshot();
    const std::pair<const char*, placement_policy> policies[] = {
        {"random", random_placement{}},
        {"least committed", least_committed_placement{}},
        {"two choices", two_choices_placement{}},
        {"product", interference_aware_placement{}}};
    std::ofstream lines;
    if (!folder.empty()) {
        std::filesystem::create_directories(folder);
        lines.open(folder + "/decision.jsonl");
    }
    for (const auto& one : policies) {
        const char* name = one.first;
        const auto& policy = one.second;
        std::vector<double> times_us;
        std::vector<double> thread_times_us;
        int found = 0;
        const auto decide = [&] {
            const auto kind = pick_below(random, 40);
            const placement_request request{.kind = kinds[kind],
                                            .work_class = kind < 15 ? task_class::urgent : task_class::batch,
                                            .size = {500, 2048, 0, 1}};
            found += choose(policy, index, *snapshot, request, random) ? 1 : 0;
        };
        // The two clocks are read in separate passes because a read of the thread clock takes longer and
        // would distort the wall-clock times.
        for (int number = 0; number < decision_count; ++number) {
            const auto before = std::chrono::steady_clock::now();
            decide();
            const auto after = std::chrono::steady_clock::now();
            times_us.push_back(std::chrono::duration<double, std::micro>(after - before).count());
        }
        for (int number = 0; number < decision_count; ++number) {
            const double before = get_thread_time_us();
            decide();
            thread_times_us.push_back(get_thread_time_us() - before);
        }
        char line[256];
        std::snprintf(
            line, sizeof line,
            R"({"bench":"decision","policy":"%s","upstreams":%d,"placed":%d,"p50_us":%.2f,"p99_us":%.2f,"p999_us":%.2f,"thread_p99_us":%.2f})",
            name, upstream_count, found, get_percentile(times_us, 0.5), get_percentile(times_us, 0.99),
            get_percentile(times_us, 0.999), get_percentile(thread_times_us, 0.99));
        std::puts(line);
        lines << line << "\n";
    }
    return 0;
}

}  // namespace jacinthvane::experiment
