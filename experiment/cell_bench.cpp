#include "experiment/cell_bench.hpp"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "version/cell_scheduler.hpp"

namespace jacinthvane::experiment {

namespace {

using std::chrono::milliseconds;
using wall_clock = std::chrono::steady_clock;

constexpr std::size_t image_count = 30;
constexpr std::uint32_t tasks_per_step = 39;
constexpr milliseconds decision_interval{20};
const std::string service_name = "tree";

struct time_sum {
    std::uint64_t count = 0;
    wall_clock::duration total{};

    void add(wall_clock::duration time) {
        ++count;
        total += time;
    }
    double get_mean_us() const {
        const std::chrono::duration<double, std::micro> sum = total;
        return count == 0 ? 0.0 : sum.count() / static_cast<double>(count);
    }
};

// A scheduler whose upstreams accept each start and report their runs as half done. Runs of finite tasks end
// with the report after the next one.
class bench_cell {
public:
    explicit bench_cell(const cell_bench_options& options)
        : options_(options), scheduler_(cell_limits(), 1, now_) {
        for (std::size_t i = 0; i < options.upstreams; ++i) {
            upstream_entry entry;
            entry.id = upstream_id("upstream-" + std::to_string(i));
            entry.service = service_name;
            entry.address = entry.id.get();
            entry.labels = {"domain", "rack" + std::to_string(i / 20)};
            entry.capacity = resource_vector(16000, 62500, 0, 0);
            entry.boot_unix_ms = 1;
            scheduler_.list_upstream(entry, now_);
            entries_.push_back(entry);
        }
        scheduler_.record_upstreams(entries_);
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            report_next();
        }
    }

    // Adds long-running tasks that take most of the processors.
    void add_long_running_jobs() {
        for (std::size_t i = 0; i < options_.upstreams / 5; ++i) {
            auto step = make_step(20, 3200);
            step.is_long_running = true;
            step.target_tail_ms = 50;
            add_job(step);
        }
        for (int i = 0; i < 5; ++i) {
            decide();
        }
    }

    void add_best_effort_jobs(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            auto step = make_step(tasks_per_step, 1500 + static_cast<std::int64_t>(number_ % 600));
            step.is_best_effort = true;
            add_job(step);
        }
    }

    // Plays intervals between decisions and prints what they took.
    void measure(const char* name, std::size_t jobs_per_decision) {
        decisions_ = time_sum();
        reports_ = time_sum();
        const auto placements = scheduler_.get_evaluated_placements();
        const auto starts = starts_;
        for (std::size_t i = 0; i < options_.decisions; ++i) {
            add_best_effort_jobs(jobs_per_decision);
            for (std::size_t report = 0; report < options_.reports; ++report) {
                report_next();
            }
            decide();
        }
        std::printf(
            "%s: upstreams=%zu decision_us=%.1f report_us=%.1f placements=%.1f starts=%.1f waiting=%zu\n",
            name, options_.upstreams, decisions_.get_mean_us(), reports_.get_mean_us(),
            get_mean(scheduler_.get_evaluated_placements() - placements), get_mean(starts_ - starts),
            scheduler_.count_waiting_tasks());
        std::fflush(stdout);
    }

private:
    double get_mean(std::uint64_t sum) const {
        return static_cast<double>(sum) / static_cast<double>(options_.decisions);
    }

    clock_reading read_clock() const {
        return {now_, std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count()};
    }

    step_spec make_step(std::uint32_t tasks, std::int64_t processors_milli) const {
        step_spec step;
        step.task_count = tasks;
        step.size = resource_vector(processors_milli, 3200, 0, 0);
        step.estimated_ms = 2000;
        step.image = "image-" + std::to_string(number_ % image_count);
        return step;
    }

    void add_job(const step_spec& step) {
        accepted_job job;
        job.rules.queue = "jobs";
        job.rules.service = service_name;
        job.rules.objective_ms = 1000;
        job.spec.payload = "payload";
        job.spec.steps = {step};
        const job_id id("job-" + std::to_string(number_++));
        scheduler_.add_job(id, std::make_shared<const accepted_job>(std::move(job)), nullptr, false,
                           read_clock());
    }

    void decide() {
        now_ += decision_interval;
        const auto begin = wall_clock::now();
        const auto decisions = scheduler_.decide(read_clock(), true);
        decisions_.add(wall_clock::now() - begin);
        for (const auto& order : decisions.orders) {
            starts_ += std::holds_alternative<start_order>(order) ? 1 : 0;
            scheduler_.apply_order_response(order, {order_result::accepted, read_clock().unix_ms},
                                            read_clock());
        }
    }

    void report_next() {
        const auto& id = entries_[next_report_++ % entries_.size()].id;
        auto& seen = seen_[id];
        upstream_report report;
        report.clock_ms = read_clock().unix_ms + 1;
        report.boot_unix_ms = 1;
        for (const auto& [key, run] : scheduler_.find_upstream(id)->runs) {
            if (!run.is_long_running && seen.contains(key)) {
                report.ended.push_back({++ends_[id], key.first, key.second, run_end::done, std::string()});
            } else {
                const std::int32_t percent = run.is_long_running ? 100 : 50;
                const std::int64_t load = run.is_long_running ? 20 : run.best_effort_milli;
                report.running.push_back({key.first, key.second, std::string(), percent, load});
            }
        }
        seen.clear();
        for (const auto& row : report.running) {
            seen.insert({row.task, row.run});
        }
        const auto begin = wall_clock::now();
        scheduler_.apply_report(id, report, read_clock());
        reports_.add(wall_clock::now() - begin);
        while (scheduler_.has_commit_work()) {
            scheduler_.confirm_commit(scheduler_.collect_commit(100, read_clock().unix_ms));
        }
    }

    const cell_bench_options options_;
    time_point now_ = time_point(std::chrono::hours(1));
    cell_scheduler scheduler_;
    std::vector<upstream_entry> entries_;
    std::map<upstream_id, std::set<run_key>> seen_;
    std::map<upstream_id, std::uint64_t> ends_;
    std::size_t next_report_ = 0;
    std::size_t number_ = 0;
    std::uint64_t starts_ = 0;
    time_sum decisions_;
    time_sum reports_;
};

}  // namespace

int run_cell_bench(const cell_bench_options& options) {
    bench_cell cell(options);
    cell.add_long_running_jobs();
    cell.measure("room", options.jobs);
    cell.add_best_effort_jobs(options.upstreams / 5);
    cell.measure("full", options.jobs);
    return 0;
}

}  // namespace jacinthvane::experiment
