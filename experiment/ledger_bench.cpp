#include "experiment/ledger_bench.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <string>
#include <utility>

#include <cxxopts.hpp>

#include "process/error_kind.hpp"
#include "process/ledger.hpp"

namespace jacinthvane {

namespace {

// The target fleet runs 147,000 tasks on 7,400 upstreams, about 20 on each.
constexpr std::size_t tasks_per_upstream = 20;
constexpr std::size_t slots_per_upstream = 24;

struct placed_task {
    task_id task;
    upstream_id upstream;
};

commitment make_commitment(const std::string& task, const resource_vector& size, time_point now) {
    return {.task = task_id(task),
            .generation = 1,
            .kind = task_kind("nesting-run"),
            .size = size,
            .work_class = task_class::batch,
            .state = commitment_state::reserved,
            .is_of_reserved_holder = false,
            .changed_at = now,
            .start_until = now,
            .lease_until = now + std::chrono::hours(1)};
}

double get_seconds(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

resource_vector draw_size(std::mt19937_64& random) {
    return {static_cast<std::int64_t>(100 + random() % 900), static_cast<std::int64_t>(200 + random() % 2000),
            0, 1};
}

upstream_list make_list(const std::vector<commitment>& placed_tasks) {
    upstream_list list;
    for (const auto& entry : placed_tasks) {
        list.tasks.push_back({.task = entry.task,
                              .generation = entry.generation,
                              .kind = entry.kind,
                              .size = entry.size,
                              .state = task_state::running,
                              .lease_deadline_ms = 30000,
                              .owner = "entry/1",
                              .checkpoint = std::nullopt});
    }
    return list;
}

}  // namespace

ledger_figures measure_ledger(std::size_t upstreams, std::size_t operations, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    ledger table(seed);
    std::vector<upstream_id> ids;
    for (std::size_t n = 0; n < upstreams; ++n) {
        upstream_record record;
        record.upstream = upstream_id("upstream-" + std::to_string(n));
        record.rack = rack_id("rack-" + std::to_string(n / 11));
        record.address = "10.0.0.1:" + std::to_string(10000 + n);
        record.size = resource_vector(16000, 62000, n % 2 == 0 ? 2 : 0, slots_per_upstream);
        table.put_upstream(record, {});
        table.set_open(record.upstream, true);
        ids.push_back(record.upstream);
    }
    ledger_figures figures;
    figures.upstreams = upstreams;
    const auto empty_bytes = table.get_memory_bytes();
    figures.bytes_per_upstream = static_cast<double>(empty_bytes) / static_cast<double>(upstreams);

    std::size_t next_task = 0;
    std::vector<placed_task> placed_tasks;
    const auto place_task = [&](time_point now) {
        const auto size = draw_size(random);
        const auto candidates = table.sample_candidates(size, 2);
        if (candidates.empty()) {
            return false;
        }
        const auto least_loaded =
            std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
                return left.committed.get_processors_milli() < right.committed.get_processors_milli();
            });
        const auto entry = make_commitment("task-" + std::to_string(next_task++), size, now);
        if (!table.commit(least_loaded->upstream, entry).ok()) {
            return false;
        }
        placed_tasks.push_back({entry.task, least_loaded->upstream});
        return true;
    };
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < upstreams * tasks_per_upstream; ++n) {
        place_task(begin);
    }
    figures.tasks = placed_tasks.size();
    figures.bytes_per_task = static_cast<double>(table.get_memory_bytes() - empty_bytes) /
                             static_cast<double>(placed_tasks.size());

    std::vector<double> start_us;
    start_us.reserve(operations);
    const auto starts_begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < operations; ++n) {
        const auto freed = random() % placed_tasks.size();
        std::swap(placed_tasks[freed], placed_tasks.back());
        table.release(placed_tasks.back().upstream, placed_tasks.back().task, 1).IgnoreError();
        placed_tasks.pop_back();
        const auto before = std::chrono::steady_clock::now();
        place_task(before);
        start_us.push_back(get_seconds(before, std::chrono::steady_clock::now()) * 1e6);
    }
    figures.start_operations_per_second =
        static_cast<double>(operations) / get_seconds(starts_begin, std::chrono::steady_clock::now());
    const auto rank = start_us.begin() + static_cast<std::ptrdiff_t>(start_us.size() * 99 / 100);
    std::nth_element(start_us.begin(), rank, start_us.end());
    figures.p99_start_us = *rank;

    for (const auto& task : placed_tasks) {
        table.confirm(task.upstream, task.task, 1, begin).IgnoreError();
    }
    const auto list_count = std::min<std::size_t>(operations, 20000);
    std::vector<std::pair<upstream_id, upstream_list>> lists;
    for (std::size_t n = 0; n < std::min<std::size_t>(list_count, upstreams); ++n) {
        lists.emplace_back(ids[n], make_list(table.get_commitments(ids[n])));
    }
    const auto lists_begin = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < list_count; ++n) {
        const auto& [id, list] = lists[n % lists.size()];
        table.apply_list(id, list, lists_begin, lists_begin, std::chrono::milliseconds(200));
    }
    figures.lists_per_second =
        static_cast<double>(list_count) / get_seconds(lists_begin, std::chrono::steady_clock::now());
    return figures;
}

int run_ledger_bench(const std::vector<std::string>& arguments) {
    cxxopts::Options options("ledger", "Measures the speed and memory of the ledger");
    options.add_options()("operations", "number of start operations to measure",
                          cxxopts::value<std::size_t>()->default_value("100000"))(
        "seed", "seed of the random number generator", cxxopts::value<std::uint64_t>()->default_value("1"));
    std::vector<const char*> pointers{"ledger"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    std::size_t operations = 0;
    std::uint64_t seed = 0;
    try {
        const auto parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
        operations = std::max<std::size_t>(1, parsed["operations"].as<std::size_t>());
        seed = parsed["seed"].as<std::uint64_t>();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n" << options.help() << "\n";
        return get_error_mapping(error_kind::bad_configuration).exit_code;
    }
    for (const std::size_t upstreams : {66, 660, 1850, 7400}) {
        const auto figures = measure_ledger(upstreams, operations, seed);
        std::cout << "upstreams=" << figures.upstreams << " tasks=" << figures.tasks
                  << " start_operations_per_second=" << figures.start_operations_per_second
                  << " p99_start_us=" << figures.p99_start_us
                  << " lists_per_second=" << figures.lists_per_second
                  << " bytes_per_upstream=" << figures.bytes_per_upstream
                  << " bytes_per_task=" << figures.bytes_per_task << std::endl;
    }
    return 0;
}

}  // namespace jacinthvane
