#include "process/placement_forecast.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "process/upstream_ledger.hpp"

namespace jacinthvane {

namespace {

// Room for one further task on an upstream.
struct task_fit {
    time_point at;
    // Processors that are left over then.
    std::int64_t leftover_milli = 0;
    upstream_index::slot_number slot = 0;

    auto operator<=>(const task_fit&) const = default;
};

std::int64_t count_fits(std::int64_t room, std::int64_t size) {
    if (size <= 0) {
        return room >= 0 ? std::numeric_limits<std::uint32_t>::max() : 0;
    }
    return std::max<std::int64_t>(room / size, 0);
}

// Returns how many tasks of this size fit in the room.
std::uint32_t count_fits(const resource_vector& room, const resource_vector& size) {
    const auto fits = std::min({count_fits(room.get_processors_milli(), size.get_processors_milli()),
                                count_fits(room.get_memory_mb(), size.get_memory_mb()),
                                count_fits(room.get_accelerators(), size.get_accelerators()),
                                count_fits(room.get_slots(), size.get_slots())});
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(fits, std::numeric_limits<std::uint32_t>::max()));
}

// Appends a fit for each task of the demand that the upstream will have room for in time.
void collect_fits(const room_forecast& forecast, const room_demand& demand, time_point now,
                  std::vector<task_fit>& fits) {
    const auto limit =
        demand.max_per_upstream > 0 ? std::min(demand.tasks, demand.max_per_upstream) : demand.tasks;
    auto room = forecast.room;
    std::uint32_t found = 0;
    const auto add_until = [&](time_point at) {
        const auto count = std::min(count_fits(room, demand.size), limit);
        for (; found < count; ++found) {
            const auto used = demand.size.get_processors_milli() * (found + 1);
            fits.push_back({at, room.get_processors_milli() - used, forecast.slot});
        }
    };
    add_until(now);
    for (const auto& release : forecast.releases) {
        if (found == limit || release.at > demand.latest) {
            return;
        }
        room = room + release.amount;
        add_until(release.at);
    }
}

}  // namespace

std::optional<time_point> get_release_time(const run_record& run, time_point now) {
    if (run.phase == run_phase::stopping) {
        return now;
    }
    if (run.expected_end == time_point::max() || run.expected_end + overrun_margin < now) {
        return std::nullopt;
    }
    return std::max(run.expected_end, now);
}

room_forecast forecast_room(const upstream_ledger& upstream, time_point now) {
    room_forecast forecast;
    forecast.slot = upstream.slot;
    forecast.room = upstream.get_room();
    for (const auto& [key, run] : upstream.runs) {
        if (const auto at = get_release_time(run, now)) {
            forecast.releases.push_back({*at, run.committed});
        }
    }
    std::sort(forecast.releases.begin(), forecast.releases.end(),
              [](const auto& left, const auto& right) { return left.at < right.at; });
    return forecast;
}

resource_vector get_room_at(const upstream_ledger& upstream, time_point at, time_point now) {
    auto room = upstream.get_room();
    for (const auto& [key, run] : upstream.runs) {
        const auto release = get_release_time(run, now);
        if (release && *release <= at) {
            room = room + run.committed;
        }
    }
    return room;
}

std::optional<time_point> find_first_fit(const room_forecast& forecast, const resource_vector& size,
                                         time_point now) {
    auto room = forecast.room;
    if (size.is_within(room)) {
        return now;
    }
    for (const auto& release : forecast.releases) {
        room = room + release.amount;
        if (size.is_within(room)) {
            return release.at;
        }
    }
    return std::nullopt;
}

std::vector<room_hold> plan_holds(const std::vector<room_forecast>& forecasts, const room_demand& demand,
                                  time_point now) {
    std::vector<task_fit> fits;
    for (const auto& forecast : forecasts) {
        collect_fits(forecast, demand, now, fits);
    }
    std::sort(fits.begin(), fits.end());
    fits.resize(std::min<std::size_t>(fits.size(), demand.tasks));
    const bool is_incomplete = fits.empty() || (demand.is_gang && fits.size() < demand.tasks);
    if (is_incomplete || (demand.is_gang ? fits.back().at : fits.front().at) <= now) {
        return {};
    }
    std::vector<room_hold> holds;
    for (const auto& fit : fits) {
        const auto known = std::find_if(holds.begin(), holds.end(),
                                        [&](const room_hold& hold) { return hold.slot == fit.slot; });
        if (known == holds.end()) {
            holds.push_back({fit.slot, 1, fit.at});
        } else {
            ++known->tasks;
            known->fits_at = fit.at;
        }
    }
    return holds;
}

bool delays_hold(const upstream_ledger& upstream, const resource_vector& held, time_point needed_at,
                 const resource_vector& size, time_point ends_at, time_point now) {
    if (ends_at <= needed_at) {
        return false;
    }
    const auto room = get_room_at(upstream, std::max(needed_at, now), now) - held;
    const auto is_short = [](std::int64_t wanted, std::int64_t available) {
        return wanted > 0 && wanted > available;
    };
    return is_short(size.get_processors_milli(), room.get_processors_milli()) ||
           is_short(size.get_memory_mb(), room.get_memory_mb()) ||
           is_short(size.get_accelerators(), room.get_accelerators()) ||
           is_short(size.get_slots(), room.get_slots());
}

}  // namespace jacinthvane
