#include "process/upstream_ledger.hpp"

#include <chrono>

namespace jacinthvane {

namespace {

// Share of its committed processors that a long-running task uses on average.
constexpr std::int64_t long_running_use_permille = 550;

}  // namespace

std::int64_t upstream_ledger::estimate_clock_ms(time_point now) const {
    return clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(now - clock_read_at).count();
}

std::int64_t upstream_ledger::estimate_used_milli() const {
    std::int64_t used = 0;
    for (const auto& [key, run] : runs) {
        const auto processors = run.committed.get_processors_milli();
        used += run.is_long_running ? processors * long_running_use_permille / 1000 : processors;
    }
    return used;
}

run_record* upstream_ledger::find_run(const task_ref& task, std::uint64_t run) {
    const auto found = runs.find({task, run});
    return found == runs.end() ? nullptr : &found->second;
}

void upstream_ledger::add_run(const task_ref& task, std::uint64_t run, run_record record) {
    committed = committed + record.committed;
    best_effort_milli += record.best_effort_milli;
    unknown_size_runs += record.is_size_unknown ? 1 : 0;
    runs.emplace(run_key{task, run}, record);
}

void upstream_ledger::remove_run(const task_ref& task, std::uint64_t run) {
    const auto found = runs.find({task, run});
    if (found == runs.end()) {
        return;
    }
    committed = committed - found->second.committed;
    best_effort_milli -= found->second.best_effort_milli;
    unknown_size_runs -= found->second.is_size_unknown ? 1 : 0;
    runs.erase(found);
}

}  // namespace jacinthvane
