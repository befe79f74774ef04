// Decides which tasks start on which upstream; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "process/job_order.hpp"
#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// A best-effort task starts only where it raises the total speed of all best-effort tasks by at least this
// share of its own full speed.
constexpr double min_best_effort_gain = 0.9;
// If no upstream offers that gain, this share of the best gain seen in the last seconds is sufficient.
constexpr double min_share_of_best_gain = 0.9;
// Time constant with which the best gain seen for an image decays.
constexpr std::chrono::duration<double> best_gain_decay_time{4.0};
// Each fencing token has its own range of 2^20 run numbers, so a later owner's numbers are higher.
constexpr std::uint32_t run_number_bits = 20;
// Tickets that expire sooner are not used, since the start order has to arrive while they are valid.
constexpr std::chrono::milliseconds ticket_margin{250};
// Upstreams named in one request to the advice service.
constexpr std::size_t max_advised_upstreams = 20;

// Placement costs, in units of an upstream's processors: 1 is the cost of a fully committed upstream.
constexpr double avoided_cost = 2.0;

bool is_avoided(const task_record& task, const upstream_id& upstream) {
    return std::find(task.avoided.begin(), task.avoided.end(), upstream) != task.avoided.end();
}

std::uint32_t count_runs_of_step(const upstream_ledger& upstream, const step_ref& step) {
    return static_cast<std::uint32_t>(
        std::count_if(upstream.runs.begin(), upstream.runs.end(),
                      [&](const auto& entry) { return entry.first.first.is_in_step(step); }));
}

bool has_finite_runs(const upstream_ledger& upstream) {
    return std::any_of(upstream.runs.begin(), upstream.runs.end(),
                       [](const auto& entry) { return !entry.second.is_long_running; });
}

resource_vector get_committed_size(const step_spec& spec) {
    if (!spec.is_best_effort) {
        return spec.size;
    }
    return {0, spec.size.get_memory_mb(), spec.size.get_accelerators(), spec.size.get_slots()};
}

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
    for (auto& [id, upstream] : upstreams_) {
        repeat_orders(upstream, now, may_start, decisions.orders);
    }
    if (!may_start) {
        return decisions;
    }
    unplaced_.clear();
    candidates_at_ = time_point();
    ++decision_;
    collect_usable_upstreams(now);
    const bool is_resolved = is_takeover_resolved(now);
    for (auto* job : sort_waiting_jobs(now)) {
        if (starts_left_ == 0) {
            has_held_starts_ = true;
            break;
        }
        if (job->is_inherited && !is_resolved) {
            continue;
        }
        for (auto& [number, occurrence] : job->occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                place_step(*job, occurrence, step, now, decisions);
            }
        }
        update_waiting(*job);
    }
    move_slow_best_effort_tasks(now);
    return decisions;
}

std::vector<job_record*> cell_scheduler::sort_waiting_jobs(time_point now) {
    std::vector<std::pair<job_rank, job_record*>> ranked;
    for (const auto& id : waiting_jobs_) {
        if (auto* job = find_job(id)) {
            ranked.emplace_back(rank_job(*job, get_priority(*job), mean_work_[job->job->rules.queue], now),
                                job);
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
    if (const auto* queue = find_queue(job); queue != nullptr && queue->advice) {
        request_advice(job, ref, now, decisions);
    }
    if (spec.is_gang) {
        place_gang(job, ref, now, decisions);
        return;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        auto& task = step.tasks[index];
        if (task.phase != task_phase::waiting || now < task.not_before) {
            continue;
        }
        if (starts_left_ == 0) {
            has_held_starts_ = true;
            return;
        }
        const auto chosen = choose_upstream(job, ref, task, now);
        if (!chosen) {
            // A task that has to be kept apart does not hold up the others of its step.
            if (!task.crashed_runs.empty()) {
                continue;
            }
            return;
        }
        start_task(job, {ref.job, ref.occurrence, number, index}, *chosen, get_next_run(task), now,
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
    const auto size = get_committed_size(job.job->spec.steps[ref.step]);
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
        forget_best_effort_view(*chosen->upstream);
        reserved.emplace_back(chosen->upstream, task);
        placements.push_back(*chosen);
    }
    for (const auto& [upstream, task] : reserved) {
        upstream->remove_run(task, run);
        forget_best_effort_view(*upstream);
    }
    candidates_at_ = time_point();
    if (placements.size() < step.tasks.size()) {
        return;
    }
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        step.tasks[index].checkpoint = checkpoint;
        start_task(job, {ref.job, ref.occurrence, ref.step, index}, placements[index], run, now, decisions);
    }
}

const std::vector<cell_scheduler::candidate>& cell_scheduler::get_candidates(const job_record& job,
                                                                             const step_ref& ref,
                                                                             time_point now) {
    if (candidates_step_ != ref || candidates_at_ != now) {
        candidates_step_ = ref;
        candidates_at_ = now;
        candidates_.clear();
        for (auto* upstream : usable_upstreams_) {
            candidate option;
            option.upstream = upstream;
            candidates_.push_back(option);
        }
    }
    // A placement changes only one upstream, so the costs of the others stay valid for the next task of the
    // step.
    const auto service = get_service(job);
    for (auto& option : candidates_) {
        if (option.is_stale) {
            option.is_stale = false;
            evaluate(option, job, ref, service, now);
        }
    }
    return candidates_;
}

std::optional<cell_scheduler::placement> cell_scheduler::choose_upstream(const job_record& job,
                                                                         const step_ref& ref,
                                                                         const task_record& task,
                                                                         time_point now) {
    const auto& spec = job.job->spec.steps[ref.step];
    const unplaced_size wanted{get_service(job), spec.size, spec.is_best_effort ? spec.image : std::string(),
                               spec.is_best_effort};
    const bool is_known_unplaceable =
        std::any_of(unplaced_.begin(), unplaced_.end(), [&](const unplaced_size& other) {
            return other.service == wanted.service && other.is_best_effort == wanted.is_best_effort &&
                   other.image == wanted.image && other.size.is_within(wanted.size);
        });
    if (is_known_unplaceable) {
        return std::nullopt;
    }
    const auto* queue = find_queue(job);
    const bool needs_ticket = queue != nullptr && queue->advice.has_value();
    const auto tickets = tickets_.find(ref);
    const bool has_tickets = tickets != tickets_.end() && now + ticket_margin < tickets->second.valid_until;
    if (needs_ticket && !has_tickets) {
        return std::nullopt;
    }
    placement best;
    double best_cost = 0;
    for (const auto& option : get_candidates(job, ref, now)) {
        const auto& id = option.upstream->entry.id;
        if (!option.is_eligible || (needs_ticket && !tickets->second.tickets.contains(id)) ||
            !may_share(*option.upstream, task)) {
            continue;
        }
        const auto cost = option.cost + (is_avoided(task, id) ? avoided_cost : 0.0) +
                          get_crash_cost(*option.upstream, task);
        if (best.upstream == nullptr || cost < best_cost) {
            best.upstream = option.upstream;
            best_cost = cost;
        }
    }
    if (best.upstream == nullptr) {
        const bool is_suspect = !task.crashed_runs.empty();
        if (spec.required_label.empty() && spec.max_per_upstream == 0 && !needs_ticket && !is_suspect) {
            unplaced_.push_back(wanted);
        }
        return std::nullopt;
    }
    if (needs_ticket) {
        best.ticket = tickets->second.tickets.at(best.upstream->entry.id);
    }
    for (auto& option : candidates_) {
        option.is_stale = option.is_stale || option.upstream == best.upstream;
    }
    return best;
}

void cell_scheduler::evaluate(candidate& option, const job_record& job, const step_ref& ref,
                              const std::string& service, time_point now) {
    ++evaluated_placements_;
    const auto& upstream = *option.upstream;
    const auto& spec = job.job->spec.steps[ref.step];
    option.is_eligible = has_room_for(upstream, job, ref, service);
    if (!option.is_eligible) {
        return;
    }
    if (spec.is_best_effort) {
        const auto use = get_best_effort_use(upstream, spec);
        option.is_eligible = may_place_best_effort_task(upstream, use, now);
        if (!option.is_eligible) {
            return;
        }
        option.gain = get_best_effort_gain(upstream, use, now);
        record_gain(use.image, option.gain, now);
        option.is_eligible = option.gain >= get_min_gain(use.image, now);
    }
    option.cost = option.is_eligible ? get_cost(upstream, spec, option.gain) : 0;
}

void cell_scheduler::collect_usable_upstreams(time_point now) {
    usable_upstreams_.clear();
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.is_listed && upstream.is_recorded && upstream.has_responded &&
            !upstream.is_unresponsive && !upstream.entry.is_leaving && !upstream.health.is_blocked(now)) {
            usable_upstreams_.push_back(&upstream);
        }
    }
}

bool cell_scheduler::has_room_for(const upstream_ledger& upstream, const job_record& job, const step_ref& ref,
                                  const std::string& service) const {
    const auto& spec = job.job->spec.steps[ref.step];
    const auto& entry = upstream.entry;
    if (entry.service != service || !entry.has_label(spec.required_label)) {
        return false;
    }
    if (!get_committed_size(spec).is_within(upstream.get_room()) || upstream.unknown_size_runs > 0) {
        return false;
    }
    if (upstream.health.is_on_trial() && has_finite_runs(upstream)) {
        return false;
    }
    return spec.max_per_upstream == 0 || count_runs_of_step(upstream, ref) < spec.max_per_upstream;
}

double cell_scheduler::get_min_gain(image_index image, time_point now) {
    const auto found = best_gains_.find(image);
    if (found == best_gains_.end()) {
        return min_best_effort_gain;
    }
    const std::chrono::duration<double> age = now - found->second.seen_at;
    const double best = found->second.gain * std::exp(-age / best_gain_decay_time);
    return std::clamp(best * min_share_of_best_gain, min_useful_best_effort_gain, min_best_effort_gain);
}

void cell_scheduler::record_gain(image_index image, double gain, time_point now) {
    auto& best = best_gains_[image];
    const std::chrono::duration<double> age = now - best.seen_at;
    if (best.seen_at == time_point() || gain >= best.gain * std::exp(-age / best_gain_decay_time)) {
        best = {gain, now};
    }
}

best_effort_use cell_scheduler::get_best_effort_use(const upstream_ledger& upstream, const step_spec& spec) {
    const auto processors = std::max<std::int64_t>(upstream.entry.capacity.get_processors_milli(), 1);
    const auto size = static_cast<double>(spec.size.get_processors_milli());
    return {tail_model_.get_index(spec.image), size / static_cast<double>(processors)};
}

void cell_scheduler::start_task(job_record& job, const task_ref& ref, const placement& chosen,
                                std::uint64_t run, time_point now, cell_decisions& decisions) {
    const auto& spec = job.job->spec.steps[ref.step];
    auto& task = *job.find_task(ref);
    task.phase = task_phase::active;
    task.upstream = chosen.upstream->entry.id;
    task.last_run = run;
    ++job.find_step(ref.get_step())->active_tasks;
    job.has_started = true;
    run_record record;
    record.committed = get_committed_size(spec);
    record.best_effort_milli = spec.is_best_effort ? spec.size.get_processors_milli() : 0;
    record.is_long_running = spec.is_long_running;
    record.target_tail_ms = spec.target_tail_ms;
    record.earlier_crashes = static_cast<std::uint32_t>(task.crashed_runs.size());
    record.image = tail_model_.get_index(spec.image);
    record.cpu_limit_changed_at = now;
    record.is_order_sent = true;
    record.is_start_in_flight = true;
    record.started_at = now;
    if (!spec.is_best_effort && !spec.is_long_running) {
        record.expected_end = now + std::chrono::milliseconds(spec.estimated_ms);
    }
    chosen.upstream->add_run(ref, run, record);
    forget_best_effort_view(*chosen.upstream);
    starts_left_ -= starts_left_ > 0 ? 1 : 0;
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
    order.lease_until_clock_ms = grant_lease(upstream, now);
    order.boot_unix_ms = upstream.boot_unix_ms;
    return order;
}

std::uint64_t cell_scheduler::get_next_run(const task_record& task) const {
    const auto first = ((token_ - 1) << run_number_bits) + 1;
    return std::max(task.last_run + 1, first);
}

void cell_scheduler::request_advice(job_record& job, const step_ref& ref, time_point now,
                                    cell_decisions& decisions) {
    auto& tickets = tickets_[ref];
    if (tickets.is_pending) {
        return;
    }
    if (now + ticket_margin < tickets.valid_until && !tickets.tickets.empty()) {
        return;
    }
    if (now + ticket_margin >= tickets.valid_until) {
        tickets.tickets.clear();
    }
    const auto service = get_service(job);
    std::vector<std::pair<double, upstream_id>> candidates;
    for (auto* upstream : usable_upstreams_) {
        candidate option;
        option.upstream = upstream;
        if (!tickets.requested.contains(upstream->entry.id)) {
            evaluate(option, job, ref, service, now);
        }
        if (option.is_eligible) {
            candidates.emplace_back(option.cost, upstream->entry.id);
        }
    }
    if (candidates.empty()) {
        // Tickets have been requested for all eligible upstreams. A later decision requests them again, since
        // tickets expire.
        tickets.requested.clear();
        return;
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min(candidates.size(), max_advised_upstreams));
    advice_request request;
    request.step = ref;
    for (const auto& [cost, id] : candidates) {
        request.upstreams.push_back(id);
        tickets.requested.insert(id);
    }
    tickets.is_pending = true;
    decisions.advice.push_back(std::move(request));
}

void cell_scheduler::apply_advice(const advice_request& request,
                                  const std::vector<std::pair<upstream_id, std::string>>& allowed,
                                  time_point valid_until) {
    const auto found = tickets_.find(request.step);
    if (found == tickets_.end()) {
        return;
    }
    found->second.is_pending = false;
    if (allowed.empty()) {
        return;
    }
    found->second.valid_until = valid_until;
    for (const auto& [upstream, ticket] : allowed) {
        found->second.tickets[upstream] = ticket;
    }
}

}  // namespace jacinthvane
