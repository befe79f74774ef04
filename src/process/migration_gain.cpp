#include "process/migration_gain.hpp"

#include <algorithm>

namespace jacinthvane {

namespace {

using duration = std::chrono::duration<double, std::milli>;

// A move counts as clearly earlier if the remaining time there, with the stop and the restore, is at most
// this share of that at the present place: both are estimates.
constexpr double max_time_share = 0.8;
// Even a task that is stopped now will run again when the load falls.
constexpr double min_speed = 0.05;
constexpr double full_percent = 100.0;

// The speed that is expected at the present place. The load of latency-critical tasks changes within seconds,
// so the present limit says only half of what to expect.
double get_expected_speed(const migration_terms& terms) {
    const double speed = terms.speed ? (*terms.speed + terms.cpu_limit) / 2 : terms.cpu_limit;
    return std::clamp(speed, min_speed, 1.0);
}

}  // namespace

std::optional<std::chrono::milliseconds> get_migration_gain(const migration_terms& terms) {
    if (terms.full_time.count() <= 0) {
        return std::chrono::milliseconds(0);
    }
    const duration full = terms.full_time;
    const duration remaining = full * (1.0 - std::max(terms.percent, 0) / full_percent);
    const duration here = remaining / get_expected_speed(terms);
    const duration work = terms.saves_checkpoints ? remaining : full;
    const duration restore = terms.saves_checkpoints ? terms.restore_time : duration(0);
    const duration there = terms.stop_time + restore + work / std::clamp(terms.new_speed, min_speed, 1.0);
    if (there > here * max_time_share) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(here - there);
}

}  // namespace jacinthvane
