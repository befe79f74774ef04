#include "process/reservation_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace jacinthvane {

namespace {

// A demand is clearly smaller if it is at most this share of the other one. Freed room that is shared by
// tasks of similar sizes goes to the first of them anyway.
constexpr std::int64_t smaller_permille = 500;
// Small tasks that fit wait for one decision only, so their demand counts for this long afterwards.
constexpr std::chrono::milliseconds demand_memory{2000};
// How long no room is held on an upstream where a reservation was delayed.
constexpr std::chrono::milliseconds exclusion_time{5000};

}  // namespace

std::string_view get_name(reservation_end end) {
    switch (end) {
        case reservation_end::used:
            return "used";
        case reservation_end::not_needed:
            return "not_needed";
        case reservation_end::delayed:
            return "delayed";
        case reservation_end::upstream_lost:
            return "upstream_lost";
        case reservation_end::outranked:
            return "outranked";
    }
    return "unknown";
}

std::uint32_t reservation::count_tasks() const {
    std::uint32_t tasks = 0;
    for (const auto& hold : holds) {
        tasks += hold.tasks;
    }
    return tasks;
}

const room_hold* reservation::find_hold(upstream_index::slot_number slot) const {
    const auto found =
        std::find_if(holds.begin(), holds.end(), [&](const room_hold& hold) { return hold.slot == slot; });
    return found == holds.end() ? nullptr : &*found;
}

void reservation_table::record_demand(std::int64_t processors_milli, time_point now) {
    const bool is_outdated = smallest_demand_milli_ == 0 || smallest_demand_at_ + demand_memory < now;
    if (processors_milli > 0 && (is_outdated || processors_milli <= smallest_demand_milli_)) {
        smallest_demand_milli_ = processors_milli;
        smallest_demand_at_ = now;
    }
}

bool reservation_table::has_smaller_demand(std::int64_t processors_milli, time_point now) const {
    return smallest_demand_milli_ > 0 && now <= smallest_demand_at_ + demand_memory &&
           smallest_demand_milli_ <= processors_milli * smaller_permille / 1000;
}

const reservation* reservation_table::find(upstream_index::slot_number slot) const {
    const auto found =
        std::find_if(reservations_.begin(), reservations_.end(),
                     [&](const reservation& other) { return other.find_hold(slot) != nullptr; });
    return found == reservations_.end() ? nullptr : &*found;
}

std::uint32_t reservation_table::count_tasks(const step_ref& step) const {
    std::uint32_t tasks = 0;
    for (const auto& known : reservations_) {
        tasks += known.step == step ? known.count_tasks() : 0;
    }
    return tasks;
}

std::size_t reservation_table::count_steps() const {
    std::set<step_ref> steps;
    for (const auto& known : reservations_) {
        steps.insert(known.step);
    }
    return steps.size();
}

std::size_t reservation_table::count_holds() const {
    std::size_t holds = 0;
    for (const auto& known : reservations_) {
        holds += known.holds.size();
    }
    return holds;
}

void reservation_table::add(reservation added) {
    ++totals_.created;
    reservations_.push_back(std::move(added));
}

reservation reservation_table::end(std::size_t index, reservation_end how, time_point now) {
    auto ended = std::move(reservations_[index]);
    reservations_.erase(reservations_.begin() + static_cast<std::ptrdiff_t>(index));
    ++(how == reservation_end::used ? totals_.used : totals_.cancelled);
    totals_.held += std::chrono::duration_cast<std::chrono::milliseconds>(now - ended.created_at);
    return ended;
}

void reservation_table::use_task(std::size_t index, upstream_index::slot_number slot) {
    for (auto& hold : reservations_[index].holds) {
        hold.tasks -= hold.slot == slot && hold.tasks > 0 ? 1 : 0;
    }
}

void reservation_table::exclude(upstream_index::slot_number slot, time_point now) {
    std::erase_if(exclusions_, [&](const exclusion& known) { return known.until <= now; });
    exclusions_.push_back({slot, now + exclusion_time});
}

bool reservation_table::is_excluded(upstream_index::slot_number slot, time_point now) const {
    return std::any_of(exclusions_.begin(), exclusions_.end(),
                       [&](const exclusion& known) { return known.slot == slot && now < known.until; });
}

}  // namespace jacinthvane
