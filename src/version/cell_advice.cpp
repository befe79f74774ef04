// Requests tickets for steps whose queue has an advice service; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>
#include <vector>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

void cell_scheduler::request_advice(time_point now, cell_decisions& decisions) {
    // Steps of which nothing runs come first, and among them those that have been asked about least.
    std::stable_sort(advice_steps_.begin(), advice_steps_.end(), [&](const auto& left, const auto& right) {
        return std::tuple(left.has_runs, tickets_[left.step].get_call_count()) <
               std::tuple(right.has_runs, tickets_[right.step].get_call_count());
    });
    for (const auto& wanted : advice_steps_) {
        if (!advice_calls_.may_begin()) {
            break;
        }
        if (auto* job = find_job(wanted.step.job)) {
            request_advice(*job, wanted.step, now, decisions);
        }
    }
    advice_steps_.clear();
}

void cell_scheduler::request_advice(job_record& job, const step_ref& ref, time_point now,
                                    cell_decisions& decisions) {
    const auto* queue = find_queue(job);
    const auto* step = job.find_step(ref);
    auto& tickets = tickets_[ref];
    if (queue == nullptr || !queue->advice || step == nullptr || !tickets.may_begin_call(now)) {
        return;
    }
    const auto terms = make_terms(job, ref, now);
    std::vector<std::tuple<step_tickets::need, double, upstream_id>> candidates;
    for (const auto& ranked : index_.get_ranking(terms.kind)) {
        const auto& upstream = index_.get_upstream(ranked.slot);
        const auto need = tickets.get_need(upstream.entry.id, now + ticket_margin);
        if (need == step_tickets::need::none) {
            continue;
        }
        if (const auto cost = evaluate(upstream, terms, now)) {
            candidates.emplace_back(need, *cost, upstream.entry.id);
        }
    }
    if (candidates.empty()) {
        return;
    }
    std::sort(candidates.begin(), candidates.end());
    const auto size = tickets.limit_named(get_advice_call_size(*queue->advice, step->get_waiting_tasks()));
    candidates.resize(std::min(candidates.size(), size));
    advice_request request;
    request.step = ref;
    for (const auto& [need, cost, id] : candidates) {
        request.upstreams.push_back(id);
    }
    request.expected_at = advice_calls_.begin(*queue->advice, request.upstreams.size(), now);
    request.useful_until = request.expected_at + std::chrono::milliseconds(queue->advice->valid_ms);
    tickets.begin_call();
    decisions.advice.push_back(std::move(request));
}

void cell_scheduler::drop_tickets(const upstream_id& upstream) {
    for (auto& [step, tickets] : tickets_) {
        tickets.forget(upstream);
    }
}

void cell_scheduler::apply_advice(const advice_request& request,
                                  const std::vector<std::pair<upstream_id, std::string>>& allowed,
                                  time_point valid_until, time_point now) {
    advice_calls_.end(now);
    const auto found = tickets_.find(request.step);
    if (found == tickets_.end()) {
        return;
    }
    found->second.apply_answer(request.upstreams, allowed, valid_until, now);
    for (const auto& [id, ticket] : allowed) {
        const auto* upstream = find_upstream(id);
        // Its evacuation may have begun after the request.
        if (upstream != nullptr && is_evacuated(*upstream)) {
            found->second.forget(id);
        }
    }
}

void cell_scheduler::record_failed_advice(const advice_request& request, time_point now) {
    advice_calls_.end(now);
    if (const auto found = tickets_.find(request.step); found != tickets_.end()) {
        found->second.record_failed_call(request.upstreams.size(), now >= request.expected_at, now);
    }
}

const std::string* cell_scheduler::find_ticket(const step_ref& step, const upstream_id& upstream,
                                               time_point now) const {
    const auto found = tickets_.find(step);
    return found == tickets_.end() ? nullptr : found->second.find(upstream, now + ticket_margin);
}

}  // namespace jacinthvane
