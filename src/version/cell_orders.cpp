// Applies the responses of upstreams to orders; see cell_scheduler.hpp.

#include <algorithm>
#include <chrono>
#include <variant>

#include <glog/logging.h>

#include "version/cell_scheduler.hpp"

namespace jacinthvane {

namespace {

constexpr std::chrono::milliseconds order_repeat_delay{250};
constexpr std::chrono::milliseconds max_order_repeat_delay{2000};
// A run whose start order gets no response this many times is stopped, so that a delayed start order is
// refused.
constexpr std::uint32_t max_unknown_starts = 3;

// Repeats become rarer, so that they do not fill a link whose queue keeps the responses.
std::chrono::milliseconds get_repeat_delay(std::uint32_t repeats) {
    constexpr std::uint32_t max_doublings = 3;
    return std::min(order_repeat_delay * (1U << std::min(repeats, max_doublings)), max_order_repeat_delay);
}

}  // namespace

void cell_scheduler::apply_order_response(const upstream_order& order, const order_response& response,
                                          clock_reading clock) {
    struct visitor {
        cell_scheduler& scheduler;
        const order_response& response;
        time_point now;

        void operator()(const start_order& start) { scheduler.apply_start_response(start, response, now); }
        void operator()(const stop_order& stop) { scheduler.apply_stop_response(stop, response, now); }
        void operator()(const cpu_limit_order& limit) {
            const auto found = scheduler.upstreams_.find(limit.upstream);
            auto* run =
                found == scheduler.upstreams_.end() ? nullptr : found->second.find_run(limit.task, limit.run);
            if (run != nullptr && response.result != order_result::accepted) {
                run->cpu_limit_percent = unknown_cpu_limit_percent;
            }
        }
    };
    if (response.result == order_result::refused_token) {
        is_fenced_ = true;
    }
    std::visit(visitor{*this, response, clock.now}, order);
    const auto& id = std::visit([](const auto& o) -> const upstream_id& { return o.upstream; }, order);
    const auto found = upstreams_.find(id);
    const bool is_limit = std::holds_alternative<cpu_limit_order>(order);
    if (found == upstreams_.end() || is_limit) {
        return;
    }
    // Also an accepted stop order is sent again if the run does not end.
    expect_orders(found->second);
    if (response.result != order_result::accepted) {
        mark_changed(found->second);
    }
}

bool cell_scheduler::is_start_pending(const start_order& order, time_point now) const {
    const auto found = upstreams_.find(order.upstream);
    if (found == upstreams_.end() || !evacuations_.allows_starts(now)) {
        return false;
    }
    const auto run = found->second.runs.find(run_key_view{order.task, order.run});
    return run != found->second.runs.end() && run->second.phase == run_phase::starting &&
           order.boot_unix_ms == found->second.boot_unix_ms &&
           is_start_justified(found->second, order.task, order.run, now);
}

bool cell_scheduler::is_start_justified(const upstream_ledger& upstream, const task_ref& ref,
                                        std::uint64_t run, time_point now) const {
    const auto job = jobs_.find(ref.job);
    const bool has_room = !upstream.get_room().is_negative() && upstream.unknown_size_runs == 0;
    if (!accepts_new_runs(upstream, now) || !has_room || job == jobs_.end()) {
        return false;
    }
    const auto* task = job->second.find_task(ref);
    if (task == nullptr || task->phase != task_phase::active || task->last_run != run) {
        return false;
    }
    const auto& spec = job->second.job->spec.steps[ref.step];
    if (!upstream.entry.is_suitable(get_service(job->second), spec.required_label)) {
        return false;
    }
    const auto* queue = find_queue(job->second);
    const bool needs_ticket = queue != nullptr && queue->advice.has_value();
    return !needs_ticket || find_ticket(ref.get_step(), upstream.entry.id, now) != nullptr;
}

void cell_scheduler::begin_stop(upstream_ledger& upstream, run_record& run, time_point now) {
    if (run.phase != run_phase::stopping) {
        restart_stop(upstream, run, now);
    }
}

void cell_scheduler::restart_stop(upstream_ledger& upstream, run_record& run, time_point now) {
    run.phase = run_phase::stopping;
    run.is_order_sent = false;
    run.failed_orders = 0;
    run.repeated_orders = 0;
    run.next_order = now;
    expect_orders(upstream);
    // An upstream whose unanswered start is stopped may get another one.
    mark_changed(upstream);
}

void cell_scheduler::expect_orders(upstream_ledger& upstream) {
    if (!upstream.has_pending_orders) {
        upstream.has_pending_orders = true;
        order_slots_.push_back(upstream.slot);
    }
}

void cell_scheduler::apply_start_response(const start_order& order, const order_response& response,
                                          time_point now) {
    const auto found = upstreams_.find(order.upstream);
    if (found != upstreams_.end()) {
        record_lease_in_start(found->second, order, response, now);
        if (response.result == order_result::unknown) {
            record_unanswered_start(found->second, order, now);
        }
    }
    auto* run = found == upstreams_.end() ? nullptr : found->second.find_run(order.task, order.run);
    if (run == nullptr) {
        return;
    }
    auto& upstream = found->second;
    if (!upstream.may_get_run(false)) {
        // Tasks may have passed it by for that.
        mark_changed(upstream);
        has_freed_upstreams_ = true;
    }
    run->is_start_in_flight = false;
    if (response.result == order_result::accepted) {
        run->accepted_at = now;
    }
    record_start_health(upstream, response, now);
    if (run->phase == run_phase::stopping) {
        run->has_unknown_start = run->has_unknown_start || response.result == order_result::unknown;
        return;
    }
    run->is_order_sent = false;
    switch (response.result) {
        case order_result::accepted:
            run->phase = run_phase::running;
            if (order.boot_unix_ms == upstream.boot_unix_ms) {
                run->accepted_clock_ms = response.clock_ms;
                run->seen_clock_ms = std::max(run->seen_clock_ms, response.clock_ms);
                run->percent_changed_clock_ms = std::max(run->percent_changed_clock_ms, response.clock_ms);
            }
            if (run->best_effort_milli > 0) {
                update_cpu_limits(upstream, now);
            }
            return;
        case order_result::unknown:
            run->has_unknown_start = true;
            run->failed_orders += response.is_conclusive ? 1 : 0;
            run->next_order = now + get_repeat_delay(run->repeated_orders++);
            // In an incarnation that the order was not decided for, the run is stopped and started anew.
            if (run->is_incarnation_unknown ||
                (run->failed_orders >= max_unknown_starts && !upstream.is_unresponsive)) {
                begin_stop(upstream, *run, now);
                avoid_upstream(order.task, order.upstream);
            }
            return;
        case order_result::refused_other_incarnation:
            end_incarnation(order.upstream, now);
            return;
        case order_result::refused_busy:
            record_failure(upstream, order.task.job, false, run->started_at, now);
            break;
        case order_result::refused_ticket:
            if (const auto tickets = tickets_.find(order.task.get_step()); tickets != tickets_.end()) {
                tickets->second.remove(order.upstream);
            }
            break;
        default:
            break;
    }
    if (run->phase == run_phase::running) {
        return;
    }
    if (run->has_unknown_start) {
        // An earlier copy of the order may still be carried out. The stop ends the run or has the start
        // refused.
        begin_stop(upstream, *run, now);
        return;
    }
    const bool is_local_cause =
        response.result == order_result::delayed || response.result == order_result::withdrawn;
    // A delayed order may have waited behind others that the upstream leaves unanswered. An evacuation says
    // nothing about the upstream.
    if (!is_local_cause || (upstream.starts.is_failing() && !is_evacuated(upstream))) {
        avoid_upstream(order.task, order.upstream);
    }
    // The task of an order that was withdrawn may start elsewhere at once.
    const bool is_withdrawn = response.result == order_result::withdrawn;
    release_run(upstream, {order.task, order.run}, is_withdrawn ? now : now + order_repeat_delay);
}

void cell_scheduler::record_unanswered_start(upstream_ledger& upstream, const start_order& order,
                                             time_point now) {
    const run_key key{order.task, order.run};
    upstream.unanswered_starts[key] = now + max_order_delay;
    if (order.boot_unix_ms != upstream.boot_unix_ms) {
        // The run ended before the restart, while this copy was in flight.
        stop_late_start(upstream, key, now);
    }
}

void cell_scheduler::record_start_health(upstream_ledger& upstream, const order_response& response,
                                         time_point now) {
    switch (response.result) {
        case order_result::accepted:
            upstream.starts.record_accepted();
            return;
        case order_result::unknown:
        case order_result::not_sent:
        case order_result::refused_busy:
            if (response.is_conclusive) {
                upstream.starts.record_failure(now);
                log_start_pause(upstream, now);
            }
            return;
        default:
            return;
    }
}

void cell_scheduler::log_start_pause(const upstream_ledger& upstream, time_point now) const {
    if (!upstream.starts.is_paused(now)) {
        return;
    }
    const auto span =
        std::chrono::duration_cast<std::chrono::milliseconds>(upstream.starts.get_paused_until() - now);
    LOG(INFO) << "event=upstream_starts_paused upstream=" << upstream.entry.id.get()
              << " for_ms=" << span.count() << " runs=" << upstream.runs.size() << " token=" << token_;
}

void cell_scheduler::avoid_upstream(const task_ref& ref, const upstream_id& upstream) {
    auto* job = find_job(ref.job);
    if (auto* task = job == nullptr ? nullptr : job->find_task(ref)) {
        record_avoided_upstream(*task, upstream);
    }
}

void cell_scheduler::apply_stop_response(const stop_order& order, const order_response& response,
                                         time_point now) {
    const auto found = upstreams_.find(order.upstream);
    auto* run = found == upstreams_.end() ? nullptr : found->second.find_run(order.task, order.run);
    if (run == nullptr) {
        return;
    }
    run->is_order_sent = false;
    if (response.result == order_result::refused_other_incarnation) {
        end_incarnation(order.upstream, now);
        return;
    }
    if (order.boot_unix_ms != found->second.boot_unix_ms) {
        // Another incarnation may have received it, and the clock in the response may be that one's.
        run->next_order = now;
        return;
    }
    if (response.result == order_result::accepted || response.result == order_result::refused_outdated) {
        run->stopped_clock_ms = std::max(run->stopped_clock_ms, response.clock_ms);
        // Sent again only if no report lists the end of the run by then.
        run->next_order = now + limits_.stop_timeout + std::chrono::seconds(2);
        return;
    }
    run->next_order = now + get_repeat_delay(run->repeated_orders++);
}

}  // namespace jacinthvane
