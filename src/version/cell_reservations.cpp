// Holds room that will soon be free for large tasks that fit nowhere yet; see cell_scheduler.hpp and
// docs/design/placement-forecast.md.

#include <algorithm>
#include <chrono>
#include <string>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// Between two scans of all upstreams for one step.
constexpr std::chrono::milliseconds scan_interval{250};
// Room for a task of limited duration is held for at most its estimated duration: beyond that, the room
// would be idle for longer than the task uses it. A long-running task has no such estimate.
constexpr std::chrono::milliseconds max_long_running_wait{10000};

std::chrono::milliseconds get_max_wait(const step_spec& spec) {
    return spec.is_long_running ? max_long_running_wait : std::chrono::milliseconds(spec.estimated_ms);
}

// Returns the processors that the step needs at once to get ahead.
std::int64_t get_demand_milli(const step_spec& spec) {
    return spec.get_reserved_size().get_processors_milli() * (spec.is_gang ? spec.task_count : 1);
}

resource_vector multiply(const resource_vector& size, std::uint32_t count) {
    return size.scale_permille(std::int64_t{1000} * count);
}

bool has_run_of_step(const upstream_ledger& upstream, const step_ref& step) {
    return std::any_of(upstream.runs.begin(), upstream.runs.end(),
                       [&](const auto& entry) { return entry.first.first.is_in_step(step); });
}

}  // namespace

void cell_scheduler::record_demand(const step_spec& spec, time_point now) {
    if (!spec.is_best_effort) {
        reservations_.record_demand(get_demand_milli(spec), now);
    }
}

void cell_scheduler::record_unplaced_step(const job_record& job, const step_ref& ref, const task_record& task,
                                          time_point now) {
    const auto& spec = job.job->spec.steps[ref.step];
    const auto* queue = find_queue(job);
    const bool needs_ticket = queue != nullptr && queue->advice.has_value();
    if (unplaced_steps_.size() == reservation_table::max_steps || spec.is_best_effort || needs_ticket ||
        !task.crashed_runs.empty() || (spec.is_gang && spec.task_count > reservation_table::max_holds) ||
        !reservations_.has_smaller_demand(get_demand_milli(spec), now)) {
        return;
    }
    unplaced_steps_.push_back({ref, order_position_});
}

void cell_scheduler::maintain_reservations(const std::vector<job_record*>& order, time_point now) {
    unplaced_steps_.clear();
    for (std::size_t index = reservations_.get_all().size(); index-- > 0;) {
        auto& known = reservations_.get_all()[index];
        if (const auto end = check_reservation(known, order, now)) {
            end_reservation(index, *end, now);
        }
    }
}

std::optional<reservation_end> cell_scheduler::check_reservation(reservation& known,
                                                                 const std::vector<job_record*>& order,
                                                                 time_point now) {
    const auto* job = find_job(known.step.job);
    const auto place = std::find(order.begin(), order.end(), job);
    const auto* step = job == nullptr ? nullptr : job->find_step(known.step);
    if (place == order.end() || step == nullptr ||
        step->get_waiting_tasks() < reservations_.count_tasks(known.step)) {
        return reservation_end::not_needed;
    }
    known.position = static_cast<std::size_t>(place - order.begin());
    const auto latest = known.starts_at + overrun_margin;
    if (now > latest) {
        return reservation_end::delayed;
    }
    for (const auto& hold : known.holds) {
        if (!index_.is_usable(hold.slot)) {
            return reservation_end::upstream_lost;
        }
        const auto forecast = forecast_room(index_.get_upstream(hold.slot), now);
        const auto fit = find_first_fit(forecast, multiply(known.size, hold.tasks), now);
        if (!fit || *fit > latest) {
            return reservation_end::delayed;
        }
    }
    return std::nullopt;
}

void cell_scheduler::end_reservation(std::size_t index, reservation_end how, time_point now) {
    const auto ended = reservations_.end(index, how, now);
    std::string held_on;
    for (const auto& hold : ended.holds) {
        if (!index_.is_usable(hold.slot)) {
            continue;
        }
        // Tasks that found no room here because of the reservation may fit now.
        mark_changed(index_.get_upstream(hold.slot));
        held_on += (held_on.empty() ? "" : ",") + index_.get_upstream(hold.slot).entry.id.get();
        if (how == reservation_end::delayed) {
            reservations_.exclude(hold.slot, now);
        }
    }
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(now - ended.created_at);
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - ended.starts_at);
    LOG(INFO) << "event=" << (how == reservation_end::used ? "reservation_used" : "reservation_cancelled")
              << " step=" << ended.step.to_string() << " upstreams=" << held_on << " reason=" << get_name(how)
              << " held_ms=" << held.count() << " late_ms=" << late.count();
}

void cell_scheduler::use_reservation(const step_ref& step, const upstream_ledger& upstream, time_point now) {
    auto& all = reservations_.get_all();
    const auto found = std::find_if(all.begin(), all.end(), [&](const reservation& known) {
        return known.step == step && (known.is_gang || known.find_hold(upstream.slot) != nullptr);
    });
    if (found == all.end()) {
        return;
    }
    const auto index = static_cast<std::size_t>(found - all.begin());
    if (!found->is_gang) {
        reservations_.use_task(index, upstream.slot);
    }
    if (found->is_gang || found->count_tasks() == 0) {
        end_reservation(index, reservation_end::used, now);
    }
}

bool cell_scheduler::is_room_held(const upstream_ledger& upstream, const step_terms& terms,
                                  time_point now) const {
    const auto* known = reservations_.is_empty() ? nullptr : reservations_.find(upstream.slot);
    if (known == nullptr || order_position_ <= known->position) {
        return false;
    }
    const auto& spec = *terms.spec;
    // The end of a best-effort task depends on the CPU limits that it will get.
    const bool has_known_end = !spec.is_best_effort && !spec.is_long_running;
    const auto ends_at =
        has_known_end ? now + std::chrono::milliseconds(spec.estimated_ms) : time_point::max();
    return delays_hold(upstream, multiply(known->size, known->find_hold(upstream.slot)->tasks),
                       known->starts_at, spec.get_reserved_size(), ends_at, now);
}

void cell_scheduler::add_held_slots(std::vector<upstream_index::slot_number>& slots) const {
    for (const auto& known : reservations_.get_all()) {
        for (const auto& hold : known.holds) {
            const bool is_known = std::find(slots.begin(), slots.end(), hold.slot) != slots.end();
            if (!is_known && index_.is_usable(hold.slot)) {
                slots.push_back(hold.slot);
            }
        }
    }
}

void cell_scheduler::create_reservations(time_point now) {
    if (unplaced_steps_.empty() || now < next_reservation_scan_) {
        return;
    }
    for (const auto& wanted : unplaced_steps_) {
        const auto demand = make_room_demand(wanted, now);
        if (demand.tasks == 0) {
            continue;
        }
        next_reservation_scan_ = std::max(next_reservation_scan_, now) + scan_interval;
        const auto holds = plan_holds(forecast_rooms(wanted, now), demand, now);
        if (!holds.empty() && make_place_for_reservation(wanted, holds, now)) {
            add_reservations(wanted, demand, holds, now);
        }
    }
}

room_demand cell_scheduler::make_room_demand(const unplaced_step& wanted, time_point now) {
    room_demand demand;
    demand.tasks = 0;
    const auto* job = find_job(wanted.step.job);
    const auto* step = job == nullptr ? nullptr : job->find_step(wanted.step);
    if (step == nullptr) {
        return demand;
    }
    const auto& spec = job->job->spec.steps[wanted.step.step];
    const auto waiting = step->get_waiting_tasks();
    const auto reserved = reservations_.count_tasks(wanted.step);
    const auto limit = spec.is_gang ? waiting : std::min(waiting, reservation_table::max_tasks_per_step);
    demand.size = spec.get_reserved_size();
    demand.tasks = limit > reserved ? limit - reserved : 0;
    demand.is_gang = spec.is_gang;
    demand.max_per_upstream = spec.max_per_upstream;
    demand.latest = now + get_max_wait(spec);
    return demand;
}

std::vector<room_forecast> cell_scheduler::forecast_rooms(const unplaced_step& wanted, time_point now) {
    const auto& job = *find_job(wanted.step.job);
    const auto& spec = job.job->spec.steps[wanted.step.step];
    const auto service = get_service(job);
    std::vector<room_forecast> forecasts;
    for (const auto& ranked : index_.get_ranking(placement_kind::reserved)) {
        const auto& upstream = index_.get_upstream(ranked.slot);
        const auto* known = reservations_.find(ranked.slot);
        const bool is_suitable = upstream.entry.is_suitable(service, spec.required_label) &&
                                 upstream.unknown_size_runs == 0 && !upstream.health.is_on_trial() &&
                                 spec.get_reserved_size().is_within(upstream.entry.capacity);
        const bool is_taken = (known != nullptr && known->position <= wanted.position) ||
                              reservations_.is_excluded(ranked.slot, now) ||
                              (spec.max_per_upstream > 0 && has_run_of_step(upstream, wanted.step));
        if (is_suitable && !is_taken) {
            forecasts.push_back(forecast_room(upstream, now));
        }
    }
    return forecasts;
}

bool cell_scheduler::make_place_for_reservation(const unplaced_step& wanted,
                                                const std::vector<room_hold>& holds, time_point now) {
    const auto& all = reservations_.get_all();
    // Reservations of jobs that rank after this one, on the same upstreams.
    for (std::size_t index = all.size(); index-- > 0;) {
        const bool is_in_the_way = std::any_of(holds.begin(), holds.end(), [&](const room_hold& hold) {
            return all[index].find_hold(hold.slot) != nullptr;
        });
        if (is_in_the_way) {
            end_reservation(index, reservation_end::outranked, now);
        }
    }
    while (reservations_.count_holds() + holds.size() > reservation_table::max_holds ||
           (reservations_.count_tasks(wanted.step) == 0 &&
            reservations_.count_steps() >= reservation_table::max_steps)) {
        const auto last = std::max_element(all.begin(), all.end(), [](const auto& left, const auto& right) {
            return left.position < right.position;
        });
        if (last == all.end() || last->position <= wanted.position) {
            return false;
        }
        end_reservation(static_cast<std::size_t>(last - all.begin()), reservation_end::outranked, now);
    }
    return true;
}

void cell_scheduler::add_reservations(const unplaced_step& wanted, const room_demand& demand,
                                      const std::vector<room_hold>& holds, time_point now) {
    reservation added;
    added.step = wanted.step;
    added.size = demand.size;
    added.is_gang = demand.is_gang;
    added.position = wanted.position;
    added.created_at = now;
    for (const auto& hold : holds) {
        added.holds.push_back(hold);
        added.starts_at = std::max(added.starts_at, hold.fits_at);
        const bool is_complete = !demand.is_gang || added.holds.size() == holds.size();
        if (!is_complete) {
            continue;
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(added.starts_at - now);
        LOG(INFO) << "event=reservation_created step=" << wanted.step.to_string()
                  << " upstream=" << index_.get_upstream(hold.slot).entry.id.get()
                  << " holds=" << added.holds.size() << " tasks=" << added.count_tasks()
                  << " size=" << demand.size.to_string() << " starts_in_ms=" << wait.count();
        reservations_.add(added);
        added.holds.clear();
        added.starts_at = time_point();
    }
}

}  // namespace jacinthvane
