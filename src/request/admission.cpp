#include "request/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace jacinthvane {

namespace {

// Requests that arrived within one band count as equally old, so that their deadlines decide the order.
constexpr std::int64_t age_band_ms = 250;

// Number of takes over which the drain rate is averaged: enough to smooth out bursts, and few enough to react
// to the loss of an upstream.
constexpr double drain_rate_window = 200;

// With fewer takes than this, the drain rate is too uncertain to refuse a request.
constexpr double min_rate_takes = 8;

// A request that was overtaken this often because it did not fit blocks its class until it fits, so that it
// does not starve.
constexpr std::uint32_t overtaken_limit = 64;

// Maximum number of requests that one take examines when the first ones do not fit.
constexpr std::size_t examined_limit = 32;

constexpr std::chrono::milliseconds min_retry_hint{100};
constexpr std::chrono::milliseconds max_retry_hint{30000};

double get_cost(const waiting_request& request) {
    return std::max<double>(1.0, static_cast<double>(request.size.get_processors_milli()) / 1000.0);
}

std::chrono::milliseconds to_milliseconds(time_point::duration amount) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(amount);
}

std::chrono::milliseconds to_milliseconds(double seconds) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(seconds, 86400.0) * 1000.0));
}

// Adds up to a quarter of the wait as jitter, so that refused callers do not all retry at once.
std::chrono::milliseconds make_retry_hint(std::chrono::milliseconds wait, admission_ticket ticket) {
    const auto bounded = std::clamp(wait, min_retry_hint, max_retry_hint);
    const auto spread = static_cast<std::int64_t>((ticket * 2654435761U) % 251U);
    return bounded + bounded * spread / 1000;
}

time_point get_expiry(const waiting_request& request) {
    return request.deadline - request.expected_run;
}

}  // namespace

admission_queue::admission_queue(admission_settings settings) : settings_(settings) {}

void admission_queue::set_team_weights(std::map<team_id, double> weights) {
    weights_ = std::move(weights);
    for (auto& [team, queue] : teams_) {
        const auto found = weights_.find(team);
        queue.weight = found == weights_.end() ? 1.0 : found->second;
    }
}

std::size_t admission_queue::get_team_count(const team_id& team, task_class work_class) const {
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second.waiting[get_position(work_class)].size();
}

std::chrono::milliseconds admission_queue::predict_wait(const team_id& team, task_class work_class,
                                                        time_point now) const {
    const auto position = get_position(work_class);
    const auto& rate = rates_[position];
    if (counts_[position] == 0 || rate.takes < min_rate_takes) {
        return std::chrono::milliseconds(0);
    }
    double active_weight = 0;
    double team_weight = 1;
    double team_count = 0;
    for (const auto& [name, queue] : teams_) {
        if (name == team) {
            team_weight = queue.weight;
            team_count = static_cast<double>(queue.waiting[position].size());
        }
        if (!queue.waiting[position].empty() || name == team) {
            active_weight += queue.weight;
        }
    }
    if (team_count == 0 && !teams_.contains(team)) {
        active_weight += team_weight;
    }
    // Between two takes of one team, the other active teams are served according to their weights.
    const double ahead =
        std::min(static_cast<double>(counts_[position]), (team_count + 1) * active_weight / team_weight);
    double seconds = rate.seconds;
    if (rate.busy_since) {
        seconds += std::chrono::duration<double>(now - *rate.busy_since).count();
    }
    return to_milliseconds(ahead * seconds / rate.takes);
}

std::optional<admission_refusal> admission_queue::check_bounds(const waiting_request& request) const {
    const auto position = get_position(request.work_class);
    const auto limit =
        request.work_class == task_class::urgent ? settings_.urgent_limit : settings_.batch_limit;
    const auto team_limit = std::max<std::size_t>(1, limit * settings_.team_permille / 1000);
    if (get_team_count(request.team, request.work_class) >= team_limit) {
        return admission_refusal{.kind = error_kind::quota_exceeded};
    }
    if (counts_[position] >= limit) {
        return admission_refusal{.kind = error_kind::overloaded};
    }
    if (entries_.size() >= settings_.total_limit && !can_make_room_by_shedding(request)) {
        return admission_refusal{.kind = error_kind::overloaded};
    }
    return std::nullopt;
}

bool admission_queue::can_make_room_by_shedding(const waiting_request& request) const {
    return request.work_class == task_class::urgent && counts_[get_position(task_class::batch)] > 0;
}

admission_decision admission_queue::offer(waiting_request request, time_point now) {
    const auto predicted = predict_wait(request.team, request.work_class, now);
    if (auto refusal = check_bounds(request)) {
        refusal->retry_after = make_retry_hint(predicted / 2, request.ticket);
        return *refusal;
    }
    const auto time_left = to_milliseconds(get_expiry(request) - now);
    if (time_left.count() < 0 || predicted > time_left) {
        return admission_refusal{.kind = error_kind::deadline_unreachable,
                                 .retry_after = make_retry_hint(predicted - time_left, request.ticket)};
    }
    admission_grant grant{.predicted_wait = predicted, .shed = {}};
    if (entries_.size() >= settings_.total_limit) {
        auto removed = shed_one();
        if (!removed) {
            return admission_refusal{.kind = error_kind::overloaded,
                                     .retry_after = make_retry_hint(predicted / 2, request.ticket)};
        }
        grant.shed.push_back(std::move(*removed));
    }
    const auto position = get_position(request.work_class);
    auto [found, is_new] = teams_.try_emplace(request.team);
    auto& queue = found->second;
    if (is_new) {
        const auto weight = weights_.find(request.team);
        queue.weight = weight == weights_.end() ? 1.0 : weight->second;
    }
    if (queue.waiting[0].empty() && queue.waiting[1].empty()) {
        // A team gets no credit for the time in which it had no waiting requests.
        queue.served = std::max(queue.served, served_floor_);
    }
    const wait_key key{
        .age_band = to_milliseconds(request.enqueued_at.time_since_epoch()).count() / age_band_ms,
        .deadline = request.deadline,
        .ticket = request.ticket};
    queue.waiting[position].emplace(key, request.ticket);
    expiries_.emplace(get_expiry(request), request.ticket);
    if (counts_[position]++ == 0) {
        rates_[position].busy_since = now;
    }
    const auto ticket = request.ticket;
    entries_.emplace(ticket, entry{.request = std::move(request), .key = key, .overtaken = 0});
    return grant;
}

std::optional<waiting_request> admission_queue::shed_one() {
    const auto position = get_position(task_class::batch);
    const team_queue* fullest = nullptr;
    for (const auto& [name, queue] : teams_) {
        const auto get_fill = [&](const team_queue& one) {
            return static_cast<double>(one.waiting[position].size()) / one.weight;
        };
        if (fullest == nullptr || get_fill(queue) > get_fill(*fullest)) {
            fullest = &queue;
        }
    }
    if (fullest == nullptr) {
        return std::nullopt;
    }
    // The request that came last has waited least. Accepted jobs are durable and must not be shed.
    for (auto one = fullest->waiting[position].rbegin(); one != fullest->waiting[position].rend(); ++one) {
        if (!entries_.at(one->second).request.is_accepted_job) {
            return remove(one->second);
        }
    }
    for (const auto& [ticket, one] : entries_) {
        if (one.request.work_class == task_class::batch && !one.request.is_accepted_job) {
            return remove(ticket);
        }
    }
    return std::nullopt;
}

waiting_request admission_queue::remove(admission_ticket ticket) {
    const auto found = entries_.find(ticket);
    waiting_request request = std::move(found->second.request);
    const auto position = get_position(request.work_class);
    teams_.at(request.team).waiting[position].erase(found->second.key);
    expiries_.erase({get_expiry(request), ticket});
    entries_.erase(found);
    if (--counts_[position] == 0) {
        rates_[position].busy_since.reset();
    }
    return request;
}

void admission_queue::record_take(time_point now, task_class work_class) {
    auto& rate = rates_[get_position(work_class)];
    const double decay = 1.0 - 1.0 / drain_rate_window;
    const double gap = rate.busy_since ? std::chrono::duration<double>(now - *rate.busy_since).count() : 0.0;
    rate.takes = rate.takes * decay + 1;
    rate.seconds = rate.seconds * decay + gap;
    rate.busy_since = now;
}

std::optional<waiting_request> admission_queue::take_from(
    task_class work_class, time_point now, const std::function<bool(const waiting_request&)>& can_start) {
    const auto position = get_position(work_class);
    std::vector<team_queue*> order;
    for (auto& [name, queue] : teams_) {
        if (!queue.waiting[position].empty()) {
            order.push_back(&queue);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const team_queue* left, const team_queue* right) { return left->served < right->served; });
    std::size_t examined = 0;
    std::vector<entry*> skipped;
    for (auto* queue : order) {
        for (const auto& [key, ticket] : queue->waiting[position]) {
            entry& one = entries_.at(ticket);
            if (can_start(one.request)) {
                for (auto* other : skipped) {
                    ++other->overtaken;
                }
                served_floor_ = std::max(served_floor_, queue->served);
                queue->served += get_cost(one.request) / queue->weight;
                record_take(now, work_class);
                return remove(ticket);
            }
            if (one.overtaken >= overtaken_limit || ++examined >= examined_limit) {
                return std::nullopt;
            }
            skipped.push_back(&one);
        }
    }
    return std::nullopt;
}

std::optional<waiting_request> admission_queue::take_next(
    time_point now, const std::function<bool(const waiting_request&)>& can_start) {
    move_expired(now);
    const bool is_batch_turn = urgent_takes_ >= settings_.batch_turn;
    const auto first = is_batch_turn ? task_class::batch : task_class::urgent;
    const auto second = is_batch_turn ? task_class::urgent : task_class::batch;
    auto taken = take_from(first, now, can_start);
    if (!taken) {
        taken = take_from(second, now, can_start);
    }
    if (taken) {
        urgent_takes_ = taken->work_class == task_class::urgent ? urgent_takes_ + 1 : 0;
    }
    return taken;
}

bool admission_queue::cancel(admission_ticket ticket) {
    if (!entries_.contains(ticket)) {
        return false;
    }
    remove(ticket);
    return true;
}

void admission_queue::move_expired(time_point now) {
    while (!expiries_.empty() && expiries_.begin()->first < now) {
        expired_.push_back(remove(expiries_.begin()->second));
    }
}

std::vector<waiting_request> admission_queue::remove_expired(time_point now) {
    move_expired(now);
    return std::exchange(expired_, {});
}

std::optional<time_point> admission_queue::get_next_expiry() const {
    if (expiries_.empty()) {
        return std::nullopt;
    }
    return expiries_.begin()->first;
}

}  // namespace jacinthvane
