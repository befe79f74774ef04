// Finds the upstream on which the next task of a step starts; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

// Cost of an upstream on which the task has failed or made no progress, in units of its processors.
constexpr double avoided_cost = 2.0;
// Cost of an upstream that has not accepted a start yet, for tasks that should not be the first ones there.
constexpr double unproven_cost = 2.0;
// How long the unused processors of an upstream that has not changed are taken as known. They depend on the
// load of its latency-critical tasks, which reports of other upstreams may show.
constexpr std::chrono::milliseconds max_view_age{40};
// How often all upstreams are searched again for a kind of best-effort task whose gain is nearly sufficient,
// or that a job of a better rank waits for.
constexpr std::chrono::milliseconds low_gain_search_interval{60};

bool is_avoided(const task_record& task, const upstream_id& upstream) {
    return std::find(task.avoided.begin(), task.avoided.end(), upstream) != task.avoided.end();
}

std::uint32_t count_runs_of_step(const upstream_ledger& upstream, const step_ref& step) {
    return static_cast<std::uint32_t>(
        std::count_if(upstream.runs.begin(), upstream.runs.end(),
                      [&](const auto& entry) { return entry.first.first.is_in_step(step); }));
}

std::size_t count_finite_runs(const upstream_ledger& upstream) {
    return static_cast<std::size_t>(
        std::count_if(upstream.runs.begin(), upstream.runs.end(),
                      [](const auto& entry) { return !entry.second.is_long_running; }));
}

placement_kind get_kind(const step_spec& spec) {
    if (spec.is_best_effort) {
        return placement_kind::best_effort;
    }
    return spec.target_tail_ms > 0 ? placement_kind::serving : placement_kind::reserved;
}

}  // namespace

void cell_scheduler::mark_changed(const upstream_ledger& upstream) {
    index_.mark_changed(upstream.slot);
    best_effort_views_[upstream.slot].decision = 0;
}

bool cell_scheduler::accepts_new_runs(const upstream_ledger& upstream, time_point now) const {
    return !is_evacuated(upstream) && upstream.is_listed && upstream.has_current_entry() &&
           upstream.is_recorded && !upstream.is_declared_silent && !upstream.entry.is_leaving &&
           !upstream.health.is_blocked(now);
}

bool cell_scheduler::is_usable(const upstream_ledger& upstream, time_point now) const {
    return accepts_new_runs(upstream, now) && upstream.has_responded && !upstream.is_unresponsive &&
           !upstream.starts.is_paused(now);
}

void cell_scheduler::update_index(time_point now) {
    for (const auto slot : index_.take_marked()) {
        const auto& upstream = index_.get_upstream(slot);
        if (is_usable(upstream, now)) {
            index_.update(slot, get_cost_bounds(upstream));
            continue;
        }
        index_.update(slot, std::nullopt);
        if (upstream.health.is_blocked(now) || upstream.starts.is_paused(now)) {
            blocked_slots_.push_back(slot);
        }
    }
}

std::optional<cell_scheduler::placement> cell_scheduler::choose_upstream(const job_record& job,
                                                                         const step_ref& ref,
                                                                         const task_record& task,
                                                                         time_point now) {
    const auto wanted = make_kind(job, ref);
    if (const auto* known = find_unplaced(wanted); known != nullptr && known->decision == decision_) {
        return std::nullopt;
    }
    const auto* queue = find_queue(job);
    const bool needs_ticket = queue != nullptr && queue->advice.has_value();
    const auto tickets = tickets_.find(ref);
    if (needs_ticket && tickets == tickets_.end()) {
        return std::nullopt;
    }
    resume_search(job, ref, wanted, now);
    auto* upstream = choose_candidate(task, needs_ticket ? &tickets->second : nullptr, now);
    if (upstream == nullptr) {
        const bool is_suspect = !task.crashed_runs.empty();
        if (!needs_ticket && !is_suspect) {
            record_unplaced(wanted, now);
        }
        return std::nullopt;
    }
    const auto* ticket = needs_ticket ? find_ticket(ref, upstream->entry.id, now) : nullptr;
    return placement{upstream, ticket == nullptr ? std::string() : *ticket};
}

cell_scheduler::unplaced_kind cell_scheduler::make_kind(const job_record& job, const step_ref& step) const {
    const auto& spec = job.job->spec.steps[step.step];
    unplaced_kind kind;
    kind.service = get_service(job);
    kind.size = spec.size;
    kind.image = spec.is_best_effort ? spec.image : std::string();
    kind.rank = spec.is_best_effort ? job.rank : job_rank();
    kind.is_best_effort = spec.is_best_effort;
    kind.is_long_running = spec.is_long_running;
    kind.is_gang = spec.is_gang;
    kind.estimated_ms = spec.estimated_ms;
    kind.required_label = spec.required_label;
    if (spec.max_per_upstream > 0) {
        kind.limited_step = step;
    }
    return kind;
}

const cell_scheduler::unplaced_kind* cell_scheduler::find_unplaced(const unplaced_kind& wanted) const {
    const unplaced_kind* last = nullptr;
    for (const auto& kind : unplaced_) {
        const bool is_later = last == nullptr || kind.decision > last->decision ||
                              (kind.decision == last->decision && kind.revision > last->revision);
        if (is_later && kind.covers(wanted)) {
            last = &kind;
        }
    }
    return last;
}

void cell_scheduler::record_unplaced(unplaced_kind wanted, time_point now) {
    // An upstream with room that the task may not use may be used in the next decision although it has not
    // changed.
    wanted.has_held_room = search_.has_held_room;
    wanted.revision = search_.candidates.empty() ? search_.revision : 0;
    wanted.low_gains = search_.low_gains;
    wanted.decision = decision_;
    wanted.searched_at = now;
    wanted.complete_at = search_.complete_at;
    wanted.rank = search_.complete_rank.value_or(wanted.rank);
    std::erase_if(unplaced_, [&](const unplaced_kind& kind) { return wanted.covers(kind); });
    unplaced_.push_back(std::move(wanted));
}

cell_scheduler::step_terms cell_scheduler::make_terms(const job_record& job, const step_ref& step,
                                                      time_point now) {
    step_terms terms;
    terms.spec = &job.job->spec.steps[step.step];
    terms.step = step;
    terms.service = get_service(job);
    terms.kind = get_kind(*terms.spec);
    terms.image = tail_model_.get_index(terms.spec->image);
    terms.min_gain = get_min_gain(terms.image, now);
    terms.rank = job.rank;
    return terms;
}

void cell_scheduler::resume_search(const job_record& job, const step_ref& step, const unplaced_kind& wanted,
                                   time_point now) {
    if (search_.decision != decision_ || search_.terms.step != step) {
        begin_search(make_terms(job, step, now), wanted, now);
    }
}

void cell_scheduler::begin_search(step_terms terms, const unplaced_kind& wanted, time_point now) {
    update_index(now);
    const auto& ranking = index_.get_ranking(terms.kind);
    search_.decision = decision_;
    search_.terms = std::move(terms);
    search_.revision = index_.get_revision();
    search_.candidates.clear();
    search_.chosen.reset();
    search_.has_held_room = false;
    search_.low_gains.clear();
    search_.complete_at = now;
    search_.complete_rank.reset();
    search_.next = ranking.begin();
    search_.end = ranking.end();
    const auto* known = find_unplaced(wanted);
    if (known == nullptr) {
        // A job of a clearly better rank may fit where the last one did not, but many jobs of the same kind
        // improve their ranks all the time, so not all upstreams are searched for each of them.
        auto of_any_rank = wanted;
        of_any_rank.rank = {
            job_outlook::no_remaining_value, std::numeric_limits<std::int32_t>::max(), 0.0, {}};
        known = find_unplaced(of_any_rank);
        if (known == nullptr || now - known->complete_at >= low_gain_search_interval) {
            return;
        }
    }
    if (known->revision == 0) {
        return;
    }
    if (known->low_gains.empty() || now - known->complete_at < low_gain_search_interval) {
        begin_repeated_search(*known, now);
    }
}

void cell_scheduler::begin_repeated_search(const unplaced_kind& known, time_point now) {
    search_.next = search_.end;
    search_.complete_at = known.complete_at;
    search_.complete_rank = known.rank;
    std::vector<upstream_index::slot_number> changed;
    index_.collect_changed_since(known.revision, changed);
    // The room of the others that was held for a job that ranks after this one.
    add_held_slots(changed);
    for (const auto slot : changed) {
        add_candidate(slot, now);
    }
    for (const auto& low : known.low_gains) {
        if (!index_.is_usable_since(low.slot, known.revision)) {
            continue;
        }
        if (low.gain >= search_.terms.min_gain) {
            add_candidate(low.slot, now);
        } else {
            search_.low_gains.push_back(low);
        }
    }
}

bool cell_scheduler::is_known_full(upstream_index::slot_number slot, const step_terms& terms,
                                   time_point now) const {
    const auto& view = best_effort_views_[slot];
    if (terms.kind != placement_kind::best_effort || view.decision == 0 ||
        now - view.computed_at > max_view_age) {
        return false;
    }
    // What tasks of clearly later ranks use is not in the way.
    double left = view.room.free_share;
    for (std::size_t i = 0; i < view.ranks.size(); ++i) {
        left -= terms.rank.is_clearly_before(view.ranks[i]) ? 0.0 : view.planned_uses[i];
    }
    const auto use = get_best_effort_use(index_.get_upstream(slot), terms);
    return left < min_useful_best_effort_gain * use.share;
}

void cell_scheduler::add_candidate(upstream_index::slot_number slot, time_point now) {
    if (is_known_full(slot, search_.terms, now)) {
        return;
    }
    if (const auto cost = evaluate(index_.get_upstream(slot), search_.terms, now)) {
        search_.candidates.push_back({*cost, slot});
        std::push_heap(search_.candidates.begin(), search_.candidates.end(), std::greater<>());
    }
}

void cell_scheduler::find_first_candidate(time_point now) {
    if (search_.chosen) {
        add_candidate(*search_.chosen, now);
        search_.chosen.reset();
    }
    while (search_.next != search_.end &&
           (search_.candidates.empty() || *search_.next < search_.candidates.front())) {
        add_candidate(search_.next->slot, now);
        ++search_.next;
    }
}

upstream_ledger* cell_scheduler::choose_candidate(const task_record& task, const step_tickets* tickets,
                                                  time_point now) {
    auto& candidates = search_.candidates;
    std::vector<candidate> passed;
    std::optional<candidate> best;
    while (true) {
        find_first_candidate(now);
        if (candidates.empty() || (best && *best < candidates.front())) {
            break;
        }
        std::pop_heap(candidates.begin(), candidates.end(), std::greater<>());
        const auto first = candidates.back();
        candidates.pop_back();
        passed.push_back(first);
        const auto& upstream = index_.get_upstream(first.slot);
        const auto& id = upstream.entry.id;
        if ((tickets != nullptr && tickets->find(id, now + ticket_margin) == nullptr) ||
            !may_share(upstream, task, search_.terms.spec->is_long_running, now)) {
            continue;
        }
        // A task that has failed somewhere, or one of a gang, is not the one to try out an upstream.
        const bool is_trial =
            upstream.starts.is_unproven() && (search_.terms.spec->is_gang || !task.avoided.empty());
        const auto task_cost = (is_avoided(task, id) ? avoided_cost : 0.0) +
                               (is_trial ? unproven_cost : 0.0) + get_crash_cost(upstream, task);
        const candidate option{first.cost + task_cost, first.slot};
        if (!best || option < *best) {
            best = option;
        }
    }
    for (const auto& option : passed) {
        if (!best || option.slot != best->slot) {
            candidates.push_back(option);
            std::push_heap(candidates.begin(), candidates.end(), std::greater<>());
        }
    }
    if (!best) {
        return nullptr;
    }
    search_.chosen = best->slot;
    return &index_.get_upstream(best->slot);
}

std::optional<double> cell_scheduler::evaluate(const upstream_ledger& upstream, const step_terms& terms,
                                               time_point now) {
    ++evaluated_placements_;
    if (!has_room_for(upstream, terms, now)) {
        return std::nullopt;
    }
    if (is_room_held(upstream, terms, now)) {
        search_.has_held_room = true;
        return std::nullopt;
    }
    double gain = 1.0;
    if (terms.kind == placement_kind::best_effort) {
        const auto use = get_best_effort_use(upstream, terms);
        if (!may_place_best_effort_task(upstream, use, now)) {
            return std::nullopt;
        }
        const auto offered = get_best_effort_gain(upstream, use, terms.rank, now);
        record_gain(use.image, offered.cpu_limit, now);
        if (offered.cpu_limit < terms.min_gain) {
            if (offered.cpu_limit >= min_useful_best_effort_gain) {
                search_.low_gains.push_back({upstream.slot, offered.cpu_limit});
            }
            return std::nullopt;
        }
        gain = offered.throughput;
    }
    return get_cost(upstream, terms, gain);
}

bool cell_scheduler::has_room_for(const upstream_ledger& upstream, const step_terms& terms, time_point now) {
    const auto& spec = *terms.spec;
    const auto& entry = upstream.entry;
    if (!spec.get_reserved_size().is_within(upstream.get_room()) || upstream.unknown_size_runs > 0) {
        return false;
    }
    if (!entry.is_suitable(terms.service, spec.required_label)) {
        return false;
    }
    if (upstream.health.is_on_trial() && count_finite_runs(upstream) > 0) {
        return false;
    }
    if (!spec.is_long_running && upstream.returning.is_active(now) &&
        !upstream.returning.allows_run(count_finite_runs(upstream), now)) {
        return false;
    }
    // Members of a gang start together or not at all.
    if (!spec.is_gang && !upstream.may_get_run(spec.is_long_running)) {
        return false;
    }
    return spec.max_per_upstream == 0 || count_runs_of_step(upstream, terms.step) < spec.max_per_upstream;
}

}  // namespace jacinthvane
