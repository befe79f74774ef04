#include "process/task_urgency.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

#include "process/job_order.hpp"

namespace jacinthvane {

namespace {

// Weights by outlook. A result after the objective is worth one seventh of one before it. A job without
// remaining value still has to end, so its tasks run if nothing else needs the headroom.
constexpr double late_weight = 1.0 / 7.0;
constexpr double no_remaining_value_weight = 1.0 / 20.0;
// Bounds of the weight by the remaining time relative to that of the median task of the step.
constexpr double min_step_weight = 0.5;
constexpr double max_step_weight = 4.0;
// Added to both remaining times. Reports arrive this far apart, so smaller differences say nothing.
constexpr std::chrono::duration<double> report_interval{0.3};

double get_outlook_weight(job_outlook outlook) {
    switch (outlook) {
        case job_outlook::in_time:
            return neutral_urgency;
        case job_outlook::late:
            return late_weight;
        case job_outlook::no_remaining_value:
            return no_remaining_value_weight;
    }
    return neutral_urgency;
}

time_point get_median_end(const step_state& step, time_point now) {
    if (step.active_tasks == 0) {
        return time_point::max();
    }
    std::vector<time_point> ends;
    ends.reserve(step.done_tasks + step.active_tasks);
    for (const auto& task : step.tasks) {
        if (task.phase == task_phase::done) {
            ends.push_back(now);
        } else if (task.phase == task_phase::active && task.expected_end != time_point::max()) {
            ends.push_back(task.expected_end);
        }
    }
    if (ends.empty()) {
        return time_point::max();
    }
    const auto middle = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
    std::nth_element(ends.begin(), middle, ends.end());
    return *middle;
}

// Rounds to a power of two: a weight that follows every report would change CPU limits all the time, and a
// limit is raised later than it is lowered.
double round_weight(double weight) {
    return std::exp2(std::round(std::log2(weight)));
}

double get_step_weight(time_point median_end, time_point expected_end, time_point now) {
    if (median_end == time_point::max() || expected_end == time_point::max()) {
        return neutral_urgency;
    }
    const std::chrono::duration<double> median = std::max(median_end, now) - now;
    const std::chrono::duration<double> own = std::max(expected_end, now) - now;
    const double ratio = (own + report_interval) / (median + report_interval);
    return round_weight(std::clamp(ratio, min_step_weight, max_step_weight));
}

}  // namespace

occurrence_pace measure_pace(const job_record& job, const occurrence_record& occurrence, time_point now) {
    occurrence_pace pace;
    pace.measured_at = now;
    pace.outlook = get_outlook(job, occurrence, now);
    pace.median_ends.reserve(occurrence.steps.size());
    for (const auto& step : occurrence.steps) {
        pace.median_ends.push_back(get_median_end(step, now));
    }
    return pace;
}

double get_urgency(const occurrence_pace& pace, std::uint32_t step, time_point expected_end, time_point now) {
    const auto median_end = step < pace.median_ends.size() ? pace.median_ends[step] : time_point::max();
    return get_outlook_weight(pace.outlook) * get_step_weight(median_end, expected_end, now);
}

}  // namespace jacinthvane
