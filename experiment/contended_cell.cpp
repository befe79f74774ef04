#include "experiment/contended_cell.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <utility>
#include <variant>

namespace jacinthvane::experiment {

namespace {

using std::chrono::milliseconds;
using wall_clock = std::chrono::steady_clock;

const std::string service_name = "tree";
constexpr std::int64_t capacity_milli = 16000;
constexpr std::size_t serving_images = 10;
constexpr std::size_t best_effort_images = 18;
constexpr std::uint32_t tasks_per_serving_job = 14;
constexpr std::size_t serving_tasks_per_upstream = 4;
constexpr std::int64_t serving_milli = 3200;
constexpr std::int64_t target_tail_ms = 50;
// Part of its processors that a serving task uses.
constexpr double serving_use = 0.55;
constexpr std::uint32_t tasks_per_step = 20;
constexpr double best_effort_work_ms = 2200;
constexpr std::int64_t best_effort_milli = 1500;
constexpr std::int64_t size_difference_milli = 300;
// An upstream reports ends at once, but not more often than this, and otherwise at this interval.
constexpr milliseconds min_report_interval{50};
constexpr milliseconds max_report_interval{500};
constexpr double measurement_window_ms = 500;
// Headroom of serving tasks without best-effort tasks: its mean, its change over the period, and noise.
constexpr double mean_headroom = 2.3;
constexpr double headroom_change = 0.8;
constexpr double headroom_period_s = 5.0;
constexpr double headroom_noise = 0.15;
constexpr double min_headroom = 0.2;

// A number from 0 to 1 that depends only on its argument.
double get_pseudo_random(std::uint64_t value) {
    value = (value + 0x9E3779B97F4A7C15U) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 29U)) * 0x94D049BB133111EBU;
    return static_cast<double>((value ^ (value >> 32U)) >> 11U) * 0x1.0p-53;
}

// Headroom that a best-effort task costs a serving task if it uses all processors. Most pairs do not
// interfere.
double get_true_weight(std::size_t serving, std::size_t best_effort) {
    const double draw = get_pseudo_random(serving * best_effort_images + best_effort);
    return draw < 0.3 ? 0.0 : (draw - 0.3) * 10.0;
}

std::size_t get_image_number(const std::string& image) {
    return std::stoul(image.substr(image.rfind('-') + 1));
}

step_spec make_step(std::uint32_t tasks, std::int64_t processors_milli, std::string image) {
    step_spec step;
    step.task_count = tasks;
    step.size = resource_vector(processors_milli, 2000, 0, 0);
    step.estimated_ms = static_cast<std::int64_t>(best_effort_work_ms);
    step.image = std::move(image);
    return step;
}

}  // namespace

contended_cell::contended_cell(const contention_options& options)
    : options_(options), scheduler_(cell_limits(), 1, now_), states_(options.upstreams) {
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        upstream_entry entry;
        entry.id = upstream_id("upstream-" + std::to_string(i));
        entry.service = service_name;
        entry.address = entry.id.get();
        entry.labels = {"domain", "rack" + std::to_string(i / 20)};
        entry.capacity = resource_vector(capacity_milli, 62500, 0, 0);
        entry.boot_unix_ms = 1;
        scheduler_.list_upstream(entry, now_);
        numbers_[entry.id] = i;
        entries_.push_back(entry);
    }
    scheduler_.record_upstreams(entries_);
    contention_result ignored;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        report(i, ignored);
        // Spreads the later reports evenly.
        states_[i].polled_at =
            now_ + max_report_interval * static_cast<int>(i) / static_cast<int>(entries_.size());
    }
    add_serving_jobs();
    for (int i = 0; i < 200; ++i) {
        advance(options.decision_interval, ignored);
    }
}

contention_result contended_cell::run_for(milliseconds span) {
    contention_result result;
    const auto end = now_ + span;
    while (now_ < end) {
        due_jobs_ += static_cast<double>(options_.jobs_per_second) *
                     std::chrono::duration<double>(options_.decision_interval).count();
        for (; due_jobs_ >= 1; due_jobs_ -= 1) {
            add_best_effort_job();
        }
        advance(options_.decision_interval, result);
    }
    result.waiting_tasks = scheduler_.count_waiting_tasks();
    return result;
}

void contended_cell::add_serving_jobs() {
    const auto jobs = options_.upstreams * serving_tasks_per_upstream / tasks_per_serving_job;
    for (std::size_t i = 0; i < jobs; ++i) {
        auto step =
            make_step(tasks_per_serving_job, serving_milli, "serving-" + std::to_string(i % serving_images));
        step.is_long_running = true;
        step.target_tail_ms = target_tail_ms;
        add_job({step});
    }
}

void contended_cell::add_best_effort_job() {
    const auto image = "best-effort-" + std::to_string(next_job_ % best_effort_images);
    const auto size = next_job_ / best_effort_images % options_.sizes;
    auto step = make_step(tasks_per_step,
                          best_effort_milli + size_difference_milli * static_cast<std::int64_t>(size), image);
    step.is_best_effort = true;
    step.saves_checkpoints = true;
    auto second = step;
    second.after = {0};
    add_job({step, second});
}

void contended_cell::add_job(std::vector<step_spec> steps) {
    accepted_job job;
    job.rules.queue = "jobs";
    job.rules.service = service_name;
    job.rules.objective_ms = 15000;
    job.accepted_unix_ms = read_clock().unix_ms;
    job.spec.payload = "payload";
    job.spec.steps = std::move(steps);
    char name[24];
    std::snprintf(name, sizeof(name), "job-%06zu", next_job_++);
    const job_id id(name);
    specs_[id] = job.spec;
    scheduler_.add_job(id, std::make_shared<const accepted_job>(std::move(job)), nullptr, false,
                       read_clock());
}

clock_reading contended_cell::read_clock() const {
    return {now_, std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count()};
}

void contended_cell::advance(milliseconds span, contention_result& result) {
    now_ += span;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        advance_upstream(i, span, result);
    }
    report_due(result);
    decide(result);
    while (scheduler_.has_commit_work()) {
        scheduler_.confirm_commit(scheduler_.collect_commit(100, read_clock().unix_ms));
    }
}

double contended_cell::get_free_share(const upstream_state& state) const {
    return 1.0 - static_cast<double>(state.serving.size()) * serving_use *
                     static_cast<double>(serving_milli) / static_cast<double>(capacity_milli);
}

double contended_cell::get_base_headroom(const job_id& job, std::size_t number) const {
    const auto job_number = get_image_number(job.get());
    const double time_s = std::chrono::duration<double>(now_.time_since_epoch()).count();
    const double phase = get_pseudo_random(job_number) + time_s / headroom_period_s;
    const auto moment = static_cast<std::uint64_t>(time_s * 2);
    const double noise = get_pseudo_random(job_number * 1000003 + number * 7919 + moment) - 0.5;
    return mean_headroom + headroom_change * std::sin(phase * 6.283) + headroom_noise * noise;
}

void contended_cell::advance_upstream(std::size_t number, milliseconds span, contention_result& result) {
    auto& state = states_[number];
    double requested = 0;
    for (const auto& [key, run] : state.best_effort) {
        requested += run.share * run.cpu_limit;
    }
    const double free = get_free_share(state);
    const double contention = requested > free ? free / requested : 1.0;
    const auto span_ms = static_cast<double>(span.count());
    for (auto& [key, run] : state.best_effort) {
        const double speed = run.cpu_limit * contention;
        run.measured_speed +=
            (speed - run.measured_speed) * std::min(span_ms * 2 / measurement_window_ms, 1.0);
        run.remaining_ms -= speed * span_ms;
    }
    bool is_over_target = false;
    for (auto& [key, run] : state.serving) {
        double headroom = get_base_headroom(key.first.job, number);
        for (const auto& [other, best_effort] : state.best_effort) {
            headroom -= get_true_weight(run.image, best_effort.image) * best_effort.share *
                        best_effort.measured_speed;
        }
        run.latency = static_cast<double>(target_tail_ms) / std::max(headroom, min_headroom);
        is_over_target = is_over_target || run.latency > static_cast<double>(target_tail_ms);
    }
    state.over_target = is_over_target ? state.over_target + span : milliseconds(0);
    result.over_target += is_over_target ? span : milliseconds(0);
    result.longest_over_target = std::max(result.longest_over_target, state.over_target);
    std::erase_if(state.best_effort, [&](const auto& entry) {
        const bool is_done = entry.second.remaining_ms <= 0;
        if (is_done) {
            ++result.ended_best_effort_tasks;
            state.ended.push_back(
                {++state.last_end, entry.first.first, entry.first.second, run_end::done, std::string()});
        }
        return is_done;
    });
}

void contended_cell::report_due(contention_result& result) {
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto since = now_ - states_[i].polled_at;
        if (since >= max_report_interval || (!states_[i].ended.empty() && since >= min_report_interval)) {
            report(i, result);
        }
    }
}

void contended_cell::report(std::size_t number, contention_result& result) {
    auto& state = states_[number];
    state.polled_at = now_;
    upstream_report report;
    report.clock_ms = read_clock().unix_ms + 1;
    report.boot_unix_ms = 1;
    report.ended = std::exchange(state.ended, {});
    for (const auto& [key, run] : state.serving) {
        report.running.push_back(
            {key.first, key.second, std::string(), 100, static_cast<std::int64_t>(std::lround(run.latency))});
    }
    for (const auto& [key, run] : state.best_effort) {
        const auto percent = static_cast<std::int32_t>((1.0 - run.remaining_ms / best_effort_work_ms) * 100);
        const auto use = run.share * run.measured_speed * static_cast<double>(capacity_milli);
        report.running.push_back(
            {key.first, key.second, std::string(), std::clamp(percent, 0, 99), std::lround(use)});
    }
    const auto begin = wall_clock::now();
    scheduler_.apply_report(entries_[number].id, report, read_clock());
    result.report_time += wall_clock::now() - begin;
    ++result.reports;
}

void contended_cell::decide(contention_result& result) {
    const auto evaluations = scheduler_.get_evaluated_placements();
    const auto begin = wall_clock::now();
    const auto decisions = scheduler_.decide(read_clock(), true);
    result.decision_time += wall_clock::now() - begin;
    ++result.decisions;
    result.evaluations += scheduler_.get_evaluated_placements() - evaluations;
    for (const auto& order : decisions.orders) {
        apply_order(order, result);
        scheduler_.apply_order_response(order, {order_result::accepted, read_clock().unix_ms}, read_clock());
    }
}

void contended_cell::apply_order(const upstream_order& order, contention_result& result) {
    if (const auto* start = std::get_if<start_order>(&order)) {
        ++result.starts;
        const auto& spec = specs_.at(start->task.job).steps[start->task.step];
        auto& state = states_[numbers_.at(start->upstream)];
        const run_key key{start->task, start->run};
        const auto image = get_image_number(spec.image);
        const auto share =
            static_cast<double>(spec.size.get_processors_milli()) / static_cast<double>(capacity_milli);
        if (spec.is_best_effort) {
            state.best_effort[key] = {image, share, best_effort_work_ms, 1.0, 0.0};
        } else {
            state.serving[key] = {image, 0};
        }
    } else if (const auto* stop = std::get_if<stop_order>(&order)) {
        ++result.stops;
        auto& state = states_[numbers_.at(stop->upstream)];
        if (state.best_effort.erase({stop->task, stop->run}) > 0) {
            state.ended.push_back({++state.last_end, stop->task, stop->run, run_end::stopped, std::string()});
        }
    } else if (const auto* limit = std::get_if<cpu_limit_order>(&order)) {
        ++result.cpu_limit_orders;
        auto& runs = states_[numbers_.at(limit->upstream)].best_effort;
        if (const auto found = runs.find({limit->task, limit->run}); found != runs.end()) {
            found->second.cpu_limit = static_cast<double>(limit->percent) / 100.0;
        }
    }
}

int run_contention_bench(const contention_options& options, int seconds) {
    contended_cell cell(options);
    for (int second = 0; second < seconds; ++second) {
        const auto result = cell.run_for(milliseconds(1000));
        const auto to_ms = [](std::chrono::nanoseconds time) {
            return static_cast<double>(time.count()) / 1e6;
        };
        std::printf(
            "second=%d decisions=%llu decision_ms=%.1f reports=%llu report_ms=%.1f evaluations=%llu "
            "starts=%llu "
            "stops=%llu cpu_limit_orders=%llu ended=%llu waiting=%zu over_target_ms=%lld "
            "longest_ms=%lld\n",
            second, static_cast<unsigned long long>(result.decisions), to_ms(result.decision_time),
            static_cast<unsigned long long>(result.reports), to_ms(result.report_time),
            static_cast<unsigned long long>(result.evaluations),
            static_cast<unsigned long long>(result.starts), static_cast<unsigned long long>(result.stops),
            static_cast<unsigned long long>(result.cpu_limit_orders),
            static_cast<unsigned long long>(result.ended_best_effort_tasks), result.waiting_tasks,
            static_cast<long long>(result.over_target.count()),
            static_cast<long long>(result.longest_over_target.count()));
        std::fflush(stdout);
    }
    return 0;
}

}  // namespace jacinthvane::experiment
