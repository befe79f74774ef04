// Decides which tasks start on which upstream; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>

#include <glog/logging.h>

#include "process/job_order.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// Each fencing token has its own range of 2^20 run numbers, so a later owner's numbers are higher.
constexpr std::uint32_t run_number_bits = 20;
// How long a search that found no room stays valid for upstreams that do not change.
constexpr std::chrono::milliseconds max_search_age{2000};
// A start order that reaches its upstream later is refused: the upstream may be leaving by then. Polls renew
// the lease for longer.
constexpr std::chrono::milliseconds max_start_delay{2000};

}  // namespace

cell_decisions cell_scheduler::decide(clock_reading clock, bool may_start, std::size_t max_starts) {
    cell_decisions decisions;
    if (is_fenced_) {
        return decisions;
    }
    const auto now = clock.now;
    maintain_runs(clock);
    decisions.orders.swap(queued_orders_);
    starts_left_ = max_starts;
    has_held_starts_ = false;
    may_start = may_start && evacuations_.allows_starts(now);
    repeat_orders(now, may_start, decisions.orders);
    if (!may_start) {
        return decisions;
    }
    ++decision_;
    for (const auto slot : blocked_slots_) {
        index_.mark_changed(slot);
    }
    blocked_slots_.clear();
    update_index(now);
    std::erase_if(unplaced_,
                  [&](const unplaced_kind& kind) { return now - kind.searched_at > max_search_age; });
    update_takeover(now);
    const auto order = sort_waiting_jobs(now);
    maintain_reservations(order, now);
    for (order_position_ = 0; order_position_ < order.size(); ++order_position_) {
        auto* job = order[order_position_];
        if (starts_left_ == 0) {
            has_held_starts_ = true;
            break;
        }
        if (job->is_inherited && !is_resolved_ && !job->has_known_locations) {
            continue;
        }
        for (auto& [number, occurrence] : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                place_step(*job, occurrence, step, now, decisions);
            }
        }
        update_waiting(*job);
    }
    request_advice(now, decisions);
    create_reservations(now);
    // Tasks that are moved rank after all that wait.
    order_position_ = order.size();
    move_slow_best_effort_tasks(now);
    return decisions;
}

void cell_scheduler::update_takeover(time_point now) {
    has_inherited_leases_ = now < get_foreign_leases_end(token_ - 1);
    const bool is_resolved = is_takeover_resolved(now);
    if (is_resolved == is_resolved_) {
        return;
    }
    is_resolved_ = is_resolved;
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - owner_since_);
    LOG(INFO) << "event=" << (is_resolved ? "takeover_resolved" : "takeover_unresolved")
              << " token=" << token_ << " after_ms=" << since.count();
}

std::vector<job_record*> cell_scheduler::sort_waiting_jobs(time_point now) {
    std::vector<std::pair<job_rank, job_record*>> ranked;
    for (const auto& id : waiting_jobs_) {
        if (auto* job = find_job(id)) {
            ranked.emplace_back(get_rank(*job, now), job);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first < right.first : left.second->id < right.second->id;
    });
    std::vector<job_record*> sorted;
    sorted.reserve(ranked.size());
    for (const auto& [rank, job] : ranked) {
        sorted.push_back(job);
    }
    return sorted;
}

void cell_scheduler::place_step(job_record& job, occurrence_record& occurrence, std::uint32_t number,
                                time_point now, cell_decisions& decisions) {
    auto& step = occurrence.steps[number];
    if (!step.is_released || step.get_waiting_tasks() == 0) {
        return;
    }
    const step_ref ref{job.id, occurrence.number, number};
    const auto& spec = job.job->spec.steps[number];
    record_demand(spec, now);
    if (spec.is_gang) {
        if (count_held_tasks_of(job, ref, step, now) == 0) {
            place_gang(job, ref, now, decisions);
        }
    } else {
        place_tasks(job, ref, step, now, decisions);
    }
    const auto* queue = find_queue(job);
    if (queue != nullptr && queue->advice && step.get_waiting_tasks() > 0) {
        advice_steps_.push_back({ref, step.active_tasks > 0});
    }
}

void cell_scheduler::place_tasks(job_record& job, const step_ref& ref, step_state& step, time_point now,
                                 cell_decisions& decisions) {
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        auto& task = step.tasks[index];
        if (task.phase != task_phase::waiting || now < task.not_before ||
            is_held(job, ref, index, task, now)) {
            continue;
        }
        if (starts_left_ == 0) {
            has_held_starts_ = true;
            return;
        }
        const auto chosen = choose_upstream(job, ref, task, now);
        if (!chosen) {
            record_unplaced_step(job, ref, task, now);
            // A task that has to be kept apart does not hold up the others of its step.
            if (!task.crashed_runs.empty()) {
                continue;
            }
            return;
        }
        start_task(job, {ref.job, ref.occurrence, ref.step, index}, *chosen, get_next_run(task), now,
                   decisions);
    }
}

void cell_scheduler::place_gang(job_record& job, const step_ref& ref, time_point now,
                                cell_decisions& decisions) {
    auto& step = *job.find_step(ref);
    // A member of the previous run may still be active.
    if (step.active_tasks > 0 || step.done_tasks > 0) {
        return;
    }
    std::uint64_t run = 0;
    std::string checkpoint;
    for (const auto& task : step.tasks) {
        if (now < task.not_before) {
            return;
        }
        run = std::max(run, get_next_run(task));
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    const auto size = job.job->spec.steps[ref.step].get_reserved_size();
    std::vector<placement> placements;
    std::vector<std::pair<upstream_ledger*, task_ref>> reserved;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const auto chosen = choose_upstream(job, ref, step.tasks[index], now);
        if (!chosen) {
            break;
        }
        // Reserves the resources, so that they are not offered to the next member.
        run_record reservation;
        reservation.committed = size;
        const task_ref task{ref.job, ref.occurrence, ref.step, index};
        chosen->upstream->add_run(task, run, reservation);
        mark_changed(*chosen->upstream);
        reserved.emplace_back(chosen->upstream, task);
        placements.push_back(*chosen);
    }
    for (const auto& [upstream, task] : reserved) {
        upstream->remove_run(task, run);
        mark_changed(*upstream);
    }
    search_.decision = 0;
    if (placements.size() < step.tasks.size()) {
        record_unplaced_step(job, ref, step.tasks.front(), now);
        return;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        step.tasks[index].checkpoint = checkpoint;
        start_task(job, {ref.job, ref.occurrence, ref.step, index}, placements[index], run, now, decisions);
    }
}

void cell_scheduler::start_task(job_record& job, const task_ref& ref, const placement& chosen,
                                std::uint64_t run, time_point now, cell_decisions& decisions) {
    const auto& spec = job.job->spec.steps[ref.step];
    auto& task = *job.find_task(ref);
    task.phase = task_phase::active;
    task.upstream = chosen.upstream->entry.id;
    task.last_run = run;
    task.inherited_run.reset();
    ++job.find_step(ref.get_step())->active_tasks;
    job.has_started = true;
    run_record record;
    record.committed = spec.get_reserved_size();
    record.best_effort_milli = spec.is_best_effort ? spec.size.get_processors_milli() : 0;
    record.is_long_running = spec.is_long_running;
    record.target_tail_ms = spec.target_tail_ms;
    record.earlier_crashes = get_earlier_crashes(task, spec.is_long_running);
    record.image = tail_model_.get_index(spec.image);
    record.rank = job.rank;
    record.cpu_limit_changed_at = now;
    record.is_order_sent = !spec.is_long_running;
    record.is_start_in_flight = !spec.is_long_running;
    record.awaits_record = spec.is_long_running;
    record.started_at = now;
    record.is_fresh = task.checkpoint.empty();
    if (!spec.is_best_effort && !spec.is_long_running) {
        record.expected_end = now + std::chrono::milliseconds(spec.estimated_ms);
    }
    chosen.upstream->add_run(ref, run, record);
    mark_changed(*chosen.upstream);
    use_reservation(ref.get_step(), *chosen.upstream, now);
    starts_left_ -= starts_left_ > 0 ? 1 : 0;
    if (spec.is_long_running) {
        // The start order is sent once the location is durable.
        dirty_jobs_.insert(job.id);
        return;
    }
    decisions.orders.emplace_back(make_start(*chosen.upstream, job, ref, run, chosen.ticket, now));
}

start_order cell_scheduler::make_start(upstream_ledger& upstream, const job_record& job, const task_ref& ref,
                                       std::uint64_t run, const std::string& ticket, time_point now) {
    const auto found = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
    start_order order;
    order.upstream = upstream.entry.id;
    order.task = ref;
    order.run = run;
    order.payload = job.job->spec.payload;
    order.checkpoint = found.checkpoint;
    order.ticket = ticket;
    // Without a lease from a poll, the run would end if the next poll came late.
    const bool has_lease = now + max_start_delay <= upstream.confirmed_lease_until;
    const auto length =
        std::min(has_lease ? max_start_delay : limits_.max_lease, get_longest_start_delay(now));
    order.lease_until_clock_ms = grant_lease(upstream, length, now);
    order.boot_unix_ms = upstream.boot_unix_ms;
    return order;
}

std::uint64_t cell_scheduler::get_next_run(const task_record& task) const {
    return std::max(task.last_run + 1, get_first_run());
}

std::uint64_t cell_scheduler::get_first_run() const {
    return ((token_ - 1) << run_number_bits) + 1;
}

}  // namespace jacinthvane
