#include "experiment/policy_run.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <numbers>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "experiment/fake_fleet.hpp"
#include "process/candidate_index.hpp"
#include "process/ejection_table.hpp"
#include "process/interference_model.hpp"
#include "request/admission.hpp"
#include "request/eviction.hpp"
#include "request/retry_policy.hpp"

namespace jacinthvane::experiment {

namespace {

constexpr double start_target_s = 6.9;
constexpr double wave_factor = 2;
constexpr double wave_arrival_factor = 2;
constexpr double stop_time_s = 0.3;
constexpr double failure_time_s = 0.03;
constexpr double check_interval_s = 5;
constexpr double broken_share = 0.02;
constexpr double mean_broken_s = 90;
constexpr double cancel_interval_s = 150;
constexpr std::size_t first_region_domain_count = 2;
// This share of all slots, processors and memory is reserved for urgent work under every policy.
constexpr std::int64_t reserved_permille = 120;
constexpr double evict_after_s = 0.25;
constexpr std::size_t max_concurrent_evictions = 8;
constexpr std::size_t evict_samples = 16;
constexpr int job_failure_limit = 5;
constexpr int max_caller_retries = 2;

time_point to_time(double seconds) {
    return time_point(std::chrono::hours(1)) +
           std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(seconds));
}

std::chrono::milliseconds to_ms(double seconds) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

double draw_exponential(random_source& random, double mean) {
    return -std::log(1.0 - pick_unit(random)) * mean;
}

double draw_between(random_source& random, double low, double high) {
    return low + (high - low) * pick_unit(random);
}

// Returns a lognormally distributed factor with median 1.
double draw_factor(random_source& random, double sigma) {
    const double radius = std::sqrt(-2.0 * std::log(1.0 - pick_unit(random)));
    return std::exp(sigma * radius * std::cos(2.0 * std::numbers::pi * pick_unit(random)));
}

double get_percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

constexpr double urgent_run_sigma = 0.3;
constexpr double batch_run_sigma = 0.5;

double get_run_sigma(std::size_t kind) {
    return kind < urgent_kind_count ? urgent_run_sigma : batch_run_sigma;
}

double get_mean_work(std::size_t kind, const site& bench_site) {
    const auto& traits = get_kinds()[kind];
    const double scale = traits.work_class == task_class::urgent ? bench_site.urgent_run_scale : 1.0;
    return traits.mean_run_s * traits.run_error * scale *
           std::exp(get_run_sigma(kind) * get_run_sigma(kind) / 2);
}

double get_mean_work(std::size_t first, std::size_t last, const site& bench_site) {
    double sum = 0;
    for (std::size_t kind = first; kind < last; ++kind) {
        sum += get_mean_work(kind, bench_site);
    }
    return sum / static_cast<double>(last - first);
}

// A request or job of the workload, with its true run time and memory and its progress so far.
struct work_item {
    std::size_t kind = 0;
    resource_vector declared;
    double true_memory_mb = 0;
    double work_s = 0;
    double remaining_s = 0;
    double arrived_s = 0;
    double deadline_s = 0;
    std::size_t domain = 0;
    int attempts = 0;
    int evictions = 0;
    int failures = 0;
    int retries = 0;
    bool is_done = false;
    bool is_started = false;
    std::vector<std::pair<std::size_t, std::uint64_t>> running_tasks;
};

enum class event_type {
    urgent_arrival,
    batch_arrival,
    finish,
    stopped,
    failed,
    report,
    tick,
    offer,
    hedge,
};

struct event {
    double at_s = 0;
    std::uint64_t order = 0;
    event_type type = event_type::tick;
    std::size_t first = 0;
    std::uint64_t second = 0;

    bool operator>(const event& other) const {
        return std::pair(at_s, order) > std::pair(other.at_s, other.order);
    }
};

struct delayed_report {
    std::size_t upstream = 0;
    slowdown_report report;
};

// Simulates the callers and the clock, and connects the decision code with the simulated fleet as the
// capacity service and the request path do in the scheduler.
class policy_run {
public:
    policy_run(const site& bench_site, const variant_setup& variant, std::uint64_t seed, double load_factor)
        : site_(bench_site),
          variant_(variant),
          load_factor_(load_factor),
          load_random_(seed * 7919),
          fault_random_(seed * 104729 + 1),
          fake_random_(seed * 1299709 + 2),
          decision_random_(seed * 15485863 + 3),
          fleet_(bench_site.upstreams, bench_site.size, 1.0 / bench_site.size_divisor),
          measured_memory_(bench_site.upstreams, 0),
          is_excluded_(bench_site.upstreams, false) {
        for (std::size_t kind = 0; kind < kind_count; ++kind) {
            const auto& traits = get_kinds()[kind];
            indices_.push_back(model_.get_kind_index(task_kind(traits.name), traits.work_class));
        }
        for (std::size_t upstream = 0; upstream < bench_site.upstreams; ++upstream) {
            ids_.emplace_back("up-" + std::to_string(upstream));
            positions_.emplace(ids_.back(), upstream);
            ejection_.add(ids_.back(), failure_domain_id(std::to_string(upstream % 3)));
            update_candidate(upstream);
        }
        const auto slots =
            static_cast<double>(bench_site.size.get_slots()) * static_cast<double>(bench_site.upstreams);
        const double urgent_load = load_factor > 0 ? load_factor : bench_site.urgent_load;
        urgent_gap_s_ = get_mean_work(0, urgent_kind_count, bench_site) / (urgent_load * slots);
        batch_gap_s_ =
            get_mean_work(urgent_kind_count, kind_count, bench_site) / (bench_site.batch_load * slots);
        for (std::size_t kind = 0; kind < kind_count; ++kind) {
            next_wave_s_.push_back(draw_between(fault_random_, 30, 120));
        }
        add_event(0, event_type::urgent_arrival);
        add_event(1, event_type::tick);
        if (load_factor == 0) {
            add_event(0, event_type::batch_arrival);
            const auto backlog = static_cast<std::size_t>(slots * bench_site.batch_load / 2);
            for (std::size_t number = 0; number < backlog; ++number) {
                const auto created = make_item(pick_batch_kind(), draw_between(load_random_, 0, 20));
                add_event(items_[created].arrived_s, event_type::offer, created);
            }
        }
    }

    run_result run() {
        while (!events_.empty() && events_.top().at_s <= site_.length_s) {
            const event next = events_.top();
            events_.pop();
            now_s_ = next.at_s;
            handle(next);
        }
        return summarize();
    }

private:
    void add_event(double at_s, event_type type, std::size_t first = 0, std::uint64_t second = 0) {
        events_.push({.at_s = at_s, .order = ++event_order_, .type = type, .first = first, .second = second});
    }

    void handle(const event& next_event) {
        switch (next_event.type) {
            case event_type::urgent_arrival:
                add_urgent_request();
                break;
            case event_type::batch_arrival:
                add_batch_job();
                break;
            case event_type::finish:
                finish(next_event.first, next_event.second);
                break;
            case event_type::stopped:
                finish_stop(next_event.first, next_event.second);
                break;
            case event_type::failed:
                fail(next_event.first, next_event.second);
                break;
            case event_type::report:
                deliver_report();
                return;
            case event_type::tick:
                tick();
                break;
            case event_type::offer:
                offer(next_event.first);
                break;
            case event_type::hedge:
                hedge(next_event.first);
                return;
        }
        dispatch();
    }

    bool is_urgent(const work_item& item) const { return item.kind < urgent_kind_count; }
    time_point now() const { return to_time(now_s_); }
    task_id get_task(std::uint64_t number) const { return task_id(std::to_string(number)); }

    // Requests and jobs that callers send.

    std::size_t make_item(std::size_t kind, double at_s) {
        const auto& traits = get_kinds()[kind];
        const bool is_urgent_kind = traits.work_class == task_class::urgent;
        static constexpr std::array<std::int64_t, 4> batch_memory = {2048, 4096, 8192, 16384};
        const std::int64_t processors =
            is_urgent_kind ? 1000 << pick_below(load_random_, 2) : 1000 << pick_below(load_random_, 3);
        const std::int64_t memory = is_urgent_kind ? 2048 : batch_memory[pick_below(load_random_, 4)];
        const auto shrink = [&](std::int64_t amount) {
            return static_cast<std::int64_t>(static_cast<double>(amount) / site_.size_divisor);
        };
        work_item created{
            .kind = kind, .declared = {shrink(processors), shrink(memory), 0, 1}, .running_tasks = {}};
        created.true_memory_mb = static_cast<double>(created.declared.get_memory_mb()) * traits.memory_error *
                                 draw_factor(load_random_, is_urgent_kind ? 0.1 : 0.35);
        const double scale = is_urgent_kind ? site_.urgent_run_scale : 1.0;
        created.work_s =
            traits.mean_run_s * traits.run_error * scale * draw_factor(load_random_, get_run_sigma(kind));
        created.remaining_s = created.work_s;
        created.arrived_s = at_s;
        created.deadline_s = at_s + (is_urgent_kind ? site_.deadline_s : 1e6);
        created.domain = pick_below(load_random_, 3);
        items_.push_back(created);
        return items_.size() - 1;
    }

    std::size_t pick_batch_kind() {
        std::array<double, kind_count> weights{};
        double sum = 0;
        for (std::size_t kind = urgent_kind_count; kind < kind_count; ++kind) {
            weights[kind] = fleet_.get_kind_state(kind).is_in_wave ? wave_arrival_factor : 1.0;
            sum += weights[kind];
        }
        batch_rate_factor_ = sum / static_cast<double>(kind_count - urgent_kind_count);
        double left = pick_unit(load_random_) * sum;
        for (std::size_t kind = urgent_kind_count; kind < kind_count; ++kind) {
            left -= weights[kind];
            if (left < 0) {
                return kind;
            }
        }
        return kind_count - 1;
    }

    void add_urgent_request() {
        const auto created = make_item(pick_below(load_random_, urgent_kind_count), now_s_);
        if (now_s_ >= site_.warm_up_s) {
            ++result_.urgent_offered;
        }
        retry_.record_request();
        offer(created);
        if (now_s_ >= burst_until_s_) {
            is_burst_ = !is_burst_;
            burst_until_s_ = now_s_ + draw_exponential(load_random_, is_burst_ ? 5 : 35);
        }
        double rate = is_burst_ ? 2.2 : 0.8;
        if (load_factor_ > 0) {
            rate = 1.0;
        }
        add_event(now_s_ + draw_exponential(load_random_, urgent_gap_s_ / rate), event_type::urgent_arrival);
    }

    void add_batch_job() {
        offer(make_item(pick_batch_kind(), now_s_));
        add_event(now_s_ + draw_exponential(load_random_, batch_gap_s_ / batch_rate_factor_),
                  event_type::batch_arrival);
    }

    void offer(std::size_t number) {
        const work_item& item = items_[number];
        if (item.is_done) {
            return;
        }
        const auto ticket = static_cast<admission_ticket>(tickets_.size());
        tickets_.push_back(number);
        const bool is_deadline_ignored = !variant_.has_early_refusal;
        waiting_request request{.ticket = ticket,
                                .team = team_id("team-" + std::to_string(number % 6)),
                                .work_class = is_urgent(item) ? task_class::urgent : task_class::batch,
                                .size = item.declared,
                                .enqueued_at = to_time(item.arrived_s),
                                .deadline = to_time(item.deadline_s + (is_deadline_ignored ? 3600 : 0)),
                                .expected_run = to_ms(get_declared_run(item)),
                                .is_accepted_job = !is_urgent(item)};
        const auto decision = queue_.offer(std::move(request), now());
        if (const auto* refusal = std::get_if<admission_refusal>(&decision)) {
            refuse(number, std::chrono::duration<double>(refusal->retry_after).count());
        }
    }

    double get_declared_run(const work_item& item) const {
        return is_urgent(item) ? get_kinds()[item.kind].mean_run_s * site_.urgent_run_scale
                               : get_kinds()[item.kind].mean_run_s;
    }

    // In overload runs a refused urgent request is retried a limited number of times, after the recommended
    // delay and with a new deadline. It counts in answered_in_time if its response meets one of these
    // deadlines.
    void refuse(std::size_t number, double retry_after_s) {
        work_item& item = items_[number];
        if (!is_urgent(item)) {
            add_event(now_s_ + std::max(1.0, retry_after_s), event_type::offer, number);
            return;
        }
        if (load_factor_ > 0 && item.retries < max_caller_retries) {
            ++item.retries;
            item.arrived_s = now_s_ + retry_after_s;
            item.deadline_s = item.arrived_s + site_.deadline_s;
            add_event(item.arrived_s, event_type::offer, number);
            return;
        }
        give_up(number);
    }

    void give_up(std::size_t number) {
        work_item& item = items_[number];
        item.is_done = true;
        record_urgent(item, site_.deadline_s, false);
    }

    void record_urgent(const work_item& item, double latency_s, bool has_response) {
        if (item.arrived_s < site_.warm_up_s) {
            return;
        }
        latencies_s_.push_back(std::min(latency_s, site_.deadline_s));
        if (has_response && latency_s <= site_.deadline_s) {
            ++result_.answered_in_time;
        }
    }

    // Placement decisions and the state of the candidates.

    void update_candidate(std::size_t upstream) {
        if (is_excluded_[upstream]) {
            return;
        }
        const auto& fake = fleet_.get(upstream);
        candidate value{.upstream = ids_[upstream],
                        .rack = rack_id("r"),
                        .limit = fleet_.get_size(),
                        .committed = fake.committed,
                        .neighbors = {},
                        .measured_memory_mb = measured_memory_[upstream]};
        for (const auto& task : fake.tasks) {
            const auto index = indices_[task.kind];
            const auto matching =
                std::find_if(value.neighbors.begin(), value.neighbors.end(),
                             [&](const neighbor_group& group) { return group.kind == index; });
            if (matching != value.neighbors.end()) {
                ++matching->count;
            } else {
                value.neighbors.push_back(
                    {.kind = index, .work_class = get_kinds()[task.kind].work_class, .count = 1});
            }
        }
        index_.update(std::move(value));
    }

    // Must be called after each change of an upstream. Updates its candidate and schedules its next finish.
    void refresh_upstream(std::size_t upstream) {
        update_candidate(upstream);
        if (const auto next = fleet_.get_next_finish(upstream)) {
            add_event(std::max(now_s_, *next), event_type::finish, upstream, fleet_.get(upstream).version);
        }
    }

    std::optional<std::size_t> choose_upstream(const work_item& item) {
        const placement_request request{
            .kind = indices_[item.kind],
            .work_class = is_urgent(item) ? task_class::urgent : task_class::batch,
            .size = item.declared};
        const auto before = std::chrono::steady_clock::now();
        const auto choice =
            choose(variant_.policy, index_, *model_.get_snapshot(), request, decision_random_);
        const auto after = std::chrono::steady_clock::now();
        decision_us_.push_back(std::chrono::duration<double, std::micro>(after - before).count());
        if (!choice) {
            return std::nullopt;
        }
        return positions_.at(choice->upstream);
    }

    void dispatch() {
        std::vector<std::pair<resource_vector, bool>> unplaceable;
        std::optional<std::size_t> chosen;
        const work_item* blocked = nullptr;
        const auto count = static_cast<std::int64_t>(fleet_.get_count());
        const auto& upstream_size = fleet_.get_size();
        const resource_vector batch_limit =
            resource_vector(upstream_size.get_processors_milli() * count,
                            upstream_size.get_memory_mb() * count, 0, upstream_size.get_slots() * count)
                .scale_permille(1000 - reserved_permille);
        const auto can_start = [&](const waiting_request& request) {
            const work_item& item = items_[tickets_[request.ticket]];
            const bool is_batch = !is_urgent(item);
            if (is_batch && !(committed_ + item.declared).is_within(batch_limit)) {
                return false;
            }
            const std::pair key(item.declared, is_batch);
            if (std::find(unplaceable.begin(), unplaceable.end(), key) != unplaceable.end()) {
                return false;
            }
            chosen = choose_upstream(item);
            if (!chosen) {
                unplaceable.push_back(key);
                if (!is_batch && blocked == nullptr && now_s_ - item.arrived_s > evict_after_s) {
                    blocked = &item;
                }
            }
            return chosen.has_value();
        };
        while (const auto taken = queue_.take_next(now(), can_start)) {
            start(tickets_[taken->ticket], *chosen);
        }
        for (const auto& expired : queue_.remove_expired(now())) {
            const auto number = tickets_[expired.ticket];
            if (!items_[number].is_done) {
                give_up(number);
            }
        }
        if (blocked != nullptr && stopping_count_ < max_concurrent_evictions) {
            evict_for(*blocked);
        }
    }

    void start(std::size_t number, std::size_t upstream) {
        work_item& item = items_[number];
        if (is_urgent(item) && !item.is_started && item.arrived_s >= site_.warm_up_s &&
            now_s_ - item.arrived_s <= start_target_s) {
            ++result_.started_in_time;
        }
        item.is_started = true;
        ++item.attempts;
        result_.extra_attempts += item.attempts > 1 && is_urgent(item) ? 1 : 0;
        committed_ = committed_ + item.declared;
        const auto task_number = ++task_count_;
        item.running_tasks.emplace_back(upstream, task_number);
        fleet_.start(upstream,
                     {.number = task_number,
                      .request = number,
                      .kind = item.kind,
                      .declared = item.declared,
                      .true_memory_mb = item.true_memory_mb,
                      .work_s = item.work_s,
                      .remaining_s = item.remaining_s,
                      .started_s = now_s_,
                      .evictions = item.evictions},
                     now_s_);
        model_.record_start(ids_[upstream], get_task(task_number), indices_[item.kind], now());
        if (fleet_.get(upstream).broken_until_s > now_s_) {
            add_event(now_s_ + failure_time_s, event_type::failed, upstream, task_number);
        } else if (variant_.has_hedges && is_urgent(item) && item.attempts == 1) {
            add_event(now_s_ + 3 * get_declared_run(item), event_type::hedge, number);
        }
        refresh_upstream(upstream);
        if (ejection_.get_state(ids_[upstream]) == ejection_state::probing) {
            exclude(upstream);
        }
    }

    // Removes the task from its upstream and frees its slot.
    std::optional<fake_task> remove_task(std::size_t upstream, std::uint64_t number) {
        auto task = fleet_.remove(upstream, number, now_s_);
        if (!task) {
            return std::nullopt;
        }
        committed_ = committed_ - task->declared;
        stopping_count_ -= task->is_stopping ? 1 : 0;
        std::erase(items_[task->request].running_tasks, std::pair(upstream, number));
        model_.record_end(ids_[upstream], get_task(number), now());
        refresh_upstream(upstream);
        return task;
    }

    void finish(std::size_t upstream, std::uint64_t version) {
        if (fleet_.get(upstream).version != version || fleet_.get(upstream).broken_until_s > now_s_) {
            return;
        }
        fleet_.update(upstream, now_s_);
        std::vector<std::uint64_t> finished;
        for (const auto& task : fleet_.get(upstream).tasks) {
            if (task.remaining_s <= 1e-9 && !task.is_stopping) {
                finished.push_back(task.number);
            }
        }
        for (const auto number : finished) {
            const auto task = remove_task(upstream, number);
            if (task) {
                complete(upstream, *task);
            }
        }
        if (finished.empty()) {
            refresh_upstream(upstream);
        }
    }

    void complete(std::size_t upstream, const fake_task& task) {
        record_outcome(upstream, task, run_outcome::succeeded);
        work_item& item = items_[task.request];
        if (item.is_done) {
            return;
        }
        item.is_done = true;
        if (!is_urgent(item)) {
            ++result_.batch_finished;
            return;
        }
        const double hop = get_region(upstream % 3) != get_region(item.domain) ? site_.region_delay_s
                           : upstream % 3 != item.domain                       ? site_.domain_delay_s
                                                                               : 0.0;
        record_urgent(item, now_s_ - item.arrived_s + 2 * (site_.client_delay_s + hop), true);
        const double slowdown = (now_s_ - task.started_s) / get_declared_run(item);
        send_report(upstream, task.number, (now_s_ + task.started_s) / 2, slowdown,
                    draw_between(fake_random_, 1, 5));
        while (!item.running_tasks.empty()) {
            const auto [other, number] = item.running_tasks.back();
            if (!remove_task(other, number)) {
                item.running_tasks.pop_back();
            }
        }
    }

    std::size_t get_region(std::size_t domain) const { return domain < first_region_domain_count ? 0 : 1; }

    void fail(std::size_t upstream, std::uint64_t number) {
        const auto task = remove_task(upstream, number);
        if (!task) {
            return;
        }
        record_outcome(upstream, *task, run_outcome::failed);
        work_item& item = items_[task->request];
        if (item.is_done || !item.running_tasks.empty()) {
            return;
        }
        if (!is_urgent(item)) {
            item.remaining_s = item.work_s;
            if (++item.failures >= job_failure_limit) {
                item.is_done = true;
                ++result_.batch_failures;
                return;
            }
            add_event(now_s_ + 1, event_type::offer, task->request);
            return;
        }
        if (variant_.has_retries) {
            const auto decision = retry_.decide({.error = error_kind::upstream_failed,
                                                 .run = run_knowledge::ran,
                                                 .is_idempotent = true,
                                                 .attempts = item.attempts,
                                                 .deadline = to_time(item.deadline_s),
                                                 .expected_run = to_ms(get_declared_run(item))},
                                                now());
            if (const auto* attempt = std::get_if<retry_attempt>(&decision)) {
                const double wait = std::chrono::duration<double>(attempt->not_before - now()).count();
                add_event(now_s_ + wait, event_type::offer, task->request);
                return;
            }
        }
        give_up(task->request);
    }

    void hedge(std::size_t number) {
        work_item& item = items_[number];
        if (item.is_done || item.running_tasks.size() != 1) {
            return;
        }
        const auto decision = retry_.decide({.error = error_kind::upstream_lost,
                                             .run = run_knowledge::may_have_run,
                                             .is_idempotent = true,
                                             .attempts = item.attempts,
                                             .deadline = to_time(item.deadline_s),
                                             .expected_run = to_ms(get_declared_run(item))},
                                            now());
        if (!std::holds_alternative<retry_attempt>(decision)) {
            return;
        }
        const auto upstream = choose_upstream(item);
        if (upstream && *upstream != item.running_tasks.front().first) {
            start(number, *upstream);
        }
    }

    // Evictions, and tasks that exceed the memory of their machine.

    void begin_stop(std::size_t upstream, std::uint64_t number) {
        fleet_.update(upstream, now_s_);
        for (auto& task : fleet_.get(upstream).tasks) {
            if (task.number == number && !task.is_stopping) {
                task.is_stopping = true;
                ++stopping_count_;
                add_event(now_s_ + stop_time_s, event_type::stopped, upstream, number);
            }
        }
        refresh_upstream(upstream);
    }

    void finish_stop(std::size_t upstream, std::uint64_t number) {
        const auto task = remove_task(upstream, number);
        if (!task || items_[task->request].is_done) {
            return;
        }
        work_item& item = items_[task->request];
        ++result_.evictions;
        ++item.evictions;
        item.remaining_s = get_kinds()[item.kind].can_checkpoint ? task->remaining_s : item.work_s;
        offer(task->request);
    }

    void evict_for(const work_item& blocked) {
        std::optional<eviction_plan> best;
        std::size_t best_upstream = 0;
        for (std::size_t sample = 0; sample < evict_samples; ++sample) {
            const auto upstream =
                pick_below(decision_random_, static_cast<std::uint32_t>(fleet_.get_count()));
            if (is_excluded_[upstream]) {
                continue;
            }
            const auto& fake = fleet_.get(upstream);
            std::vector<evictable_task> tasks;
            for (const auto& task : fake.tasks) {
                const auto& traits = get_kinds()[task.kind];
                if (traits.work_class == task_class::batch && !task.is_stopping) {
                    tasks.push_back({.task = get_task(task.number),
                                     .work_class = task_class::batch,
                                     .size = task.declared,
                                     .started_at = to_time(task.started_s),
                                     .checkpointed_at = std::nullopt,
                                     .can_checkpoint = traits.can_checkpoint,
                                     .evictions = task.evictions});
                }
            }
            auto plan = choose_evictions(tasks, fleet_.get_size() - fake.committed, blocked.declared, now());
            if (plan && !plan->tasks.empty() && (!best || plan->loss < best->loss)) {
                best = std::move(plan);
                best_upstream = upstream;
            }
        }
        if (best) {
            for (const auto& task : best->tasks) {
                begin_stop(best_upstream, std::stoull(task.get()));
            }
        }
    }

    void check_memory(std::size_t upstream) {
        fleet_.update(upstream, now_s_);
        const auto memory = static_cast<std::int64_t>(fleet_.get_memory_mb(upstream));
        const auto memory_limit_mb = fleet_.get_size().get_memory_mb();
        measured_memory_[upstream] = memory;
        auto& tasks = fleet_.get(upstream).tasks;
        fake_task* largest = nullptr;
        const auto get_excess = [](const fake_task& task) {
            return task.get_memory_mb() - static_cast<double>(task.declared.get_memory_mb());
        };
        for (auto& task : tasks) {
            const bool is_batch = get_kinds()[task.kind].work_class == task_class::batch;
            if (is_batch && !task.is_stopping &&
                (largest == nullptr || get_excess(task) > get_excess(*largest))) {
                largest = &task;
            }
        }
        if (memory * 1000 > memory_limit_mb * 950 && largest != nullptr) {
            const memory_use use{.declared_mb = largest->declared.get_memory_mb(),
                                 .used_mb = static_cast<std::int64_t>(largest->get_memory_mb()),
                                 .upstream_used_mb = memory,
                                 .upstream_mb = memory_limit_mb,
                                 .can_checkpoint = get_kinds()[largest->kind].can_checkpoint,
                                 .last_step = largest->last_step,
                                 .last_step_at = to_time(largest->last_step_s)};
            auto step = decide_overuse(use, now());
            if (memory > memory_limit_mb) {
                // The machine's memory limit stops the task regardless of the decision.
                step = overuse_step::stop;
            }
            if (step != overuse_step::none) {
                largest->last_step = step;
                largest->last_step_s = now_s_;
                largest->is_throttled = true;
            }
            if (step == overuse_step::stop) {
                ++result_.memory_stops;
                begin_stop(upstream, largest->number);
                return;
            }
        }
        refresh_upstream(upstream);
    }

    // Injected faults, and slowdown reports.

    void record_outcome(std::size_t upstream, const fake_task& task, run_outcome outcome) {
        if (!variant_.has_ejection) {
            return;
        }
        if (!ejection_.record_outcome(ids_[upstream], outcome, to_time(task.started_s), now())) {
            return;
        }
        if (ejection_.get_state(ids_[upstream]) == ejection_state::closed) {
            is_excluded_[upstream] = false;
            ejected_.erase(upstream);
            update_candidate(upstream);
        } else {
            ejected_.insert(upstream);
            exclude(upstream);
        }
    }

    void exclude(std::size_t upstream) {
        is_excluded_[upstream] = true;
        index_.remove(ids_[upstream]);
    }

    void send_report(std::size_t upstream, std::uint64_t task, double at_s, double slowdown, double lag_s) {
        const double arrival = now_s_ + lag_s;
        reports_.push({arrival, ++event_order_,
                       delayed_report{.upstream = upstream,
                                      .report = {.upstream = ids_[upstream],
                                                 .task = get_task(task),
                                                 .at = to_time(at_s),
                                                 .slowdown = slowdown}}});
        add_event(arrival, event_type::report);
    }

    void deliver_report() {
        const auto delayed = reports_.top().report;
        reports_.pop();
        model_.record_report(delayed.report, now());
        update_candidate(delayed.upstream);
    }

    void tick() {
        result_.mean_load += static_cast<double>(committed_.get_slots()) /
                             static_cast<double>(fleet_.get_size().get_slots() * fleet_.get_count());
        const auto second = static_cast<std::uint64_t>(std::lround(now_s_));
        if (load_factor_ == 0) {
            change_waves();
            break_upstreams();
            cancel_share_of_kind(second);
        }
        for (const auto upstream : std::vector<std::size_t>(ejected_.begin(), ejected_.end())) {
            if (is_excluded_[upstream] && ejection_.try_admit(ids_[upstream], now())) {
                is_excluded_[upstream] = false;
                update_candidate(upstream);
            }
        }
        if (second % static_cast<std::uint64_t>(check_interval_s) == 0 && load_factor_ == 0) {
            for (std::size_t upstream = 0; upstream < fleet_.get_count(); ++upstream) {
                check_memory(upstream);
                report_usage(upstream);
            }
        }
        add_event(now_s_ + 1, event_type::tick);
    }

    void report_usage(std::size_t upstream) {
        const double report_share = site_.upstreams > 1000 ? 0.1 : 1.0;
        for (const auto& task : fleet_.get(upstream).tasks) {
            const auto& traits = get_kinds()[task.kind];
            if (traits.work_class == task_class::batch && !task.is_stopping && !task.is_throttled &&
                pick_unit(fake_random_) < report_share) {
                const double slowdown = traits.run_error / task.rate * draw_factor(fake_random_, 0.2);
                send_report(upstream, task.number, now_s_, slowdown, draw_between(fake_random_, 2, 10));
            }
        }
    }

    void change_waves() {
        bool is_changed = false;
        for (std::size_t kind = urgent_kind_count; kind < kind_count; ++kind) {
            auto& state = fleet_.get_kind_state(kind);
            if (!get_kinds()[kind].has_waves || now_s_ < next_wave_s_[kind]) {
                continue;
            }
            state.is_in_wave = !state.is_in_wave;
            next_wave_s_[kind] = now_s_ + (state.is_in_wave ? draw_between(fault_random_, 30, 90)
                                                            : draw_between(fault_random_, 60, 180));
            is_changed = true;
        }
        const bool is_swap_due = !is_load_swapped_ && now_s_ > site_.length_s / 2;
        is_load_swapped_ = is_load_swapped_ || is_swap_due;
        if (!is_changed && !is_swap_due) {
            return;
        }
        for (std::size_t kind = urgent_kind_count; kind < kind_count; ++kind) {
            // In the second half of the run, the kinds nesting and archive exchange their resource use.
            const std::size_t source_kind = is_load_swapped_ && kind == 6   ? 8
                                            : is_load_swapped_ && kind == 8 ? 6
                                                                            : kind;
            auto& state = fleet_.get_kind_state(kind);
            for (std::size_t resource = 0; resource < shared_resource_count; ++resource) {
                state.use[resource] =
                    get_kinds()[source_kind].use[resource] * (state.is_in_wave ? wave_factor : 1.0);
            }
        }
        for (std::size_t upstream = 0; upstream < fleet_.get_count(); ++upstream) {
            fleet_.update(upstream, now_s_);
            refresh_upstream(upstream);
        }
    }

    void break_upstreams() {
        for (std::size_t upstream = 0; upstream < fleet_.get_count(); ++upstream) {
            auto& fake = fleet_.get(upstream);
            if (pick_unit(fault_random_) >= broken_share / mean_broken_s || fake.broken_until_s > now_s_) {
                continue;
            }
            fake.broken_until_s = now_s_ + draw_between(fault_random_, 0.7, 1.3) * mean_broken_s;
            std::vector<std::uint64_t> numbers;
            for (const auto& task : fake.tasks) {
                numbers.push_back(task.number);
            }
            for (const auto number : numbers) {
                fail(upstream, number);
            }
        }
    }

    void cancel_share_of_kind(std::uint64_t second) {
        if (second % static_cast<std::uint64_t>(cancel_interval_s) != 100) {
            return;
        }
        const auto kind = urgent_kind_count + pick_below(fault_random_, kind_count - urgent_kind_count);
        for (std::size_t number = 0; number < items_.size(); ++number) {
            work_item& item = items_[number];
            if (item.is_done || item.kind != kind || pick_below(fake_random_, 10) >= 3) {
                continue;
            }
            item.is_done = true;
            for (const auto& [upstream, task] : std::vector(item.running_tasks)) {
                begin_stop(upstream, task);
            }
        }
    }

    run_result summarize() {
        result_.mean_load /= std::max(1.0, site_.length_s);
        result_.urgent_p50_ms = get_percentile(latencies_s_, 0.5) * 1000;
        result_.urgent_p99_ms = get_percentile(latencies_s_, 0.99) * 1000;
        result_.urgent_p999_ms = get_percentile(latencies_s_, 0.999) * 1000;
        result_.decision_p99_us = get_percentile(decision_us_, 0.99);
        result_.goodput_per_s = result_.answered_in_time / (site_.length_s - site_.warm_up_s);
        if (result_.urgent_offered > 0) {
            result_.started_in_time /= result_.urgent_offered;
            result_.answered_in_time /= result_.urgent_offered;
        }
        return result_;
    }

    struct timed_report {
        double at_s = 0;
        std::uint64_t order = 0;
        delayed_report report;

        bool operator>(const timed_report& other) const {
            return std::pair(at_s, order) > std::pair(other.at_s, other.order);
        }
    };

    const site& site_;
    const variant_setup& variant_;
    double load_factor_;
    random_source load_random_;
    random_source fault_random_;
    random_source fake_random_;
    random_source decision_random_;
    fake_fleet fleet_;
    interference_model model_;
    candidate_index index_;
    admission_queue queue_;
    retry_policy retry_;
    ejection_table ejection_;
    std::vector<kind_index> indices_;
    std::vector<upstream_id> ids_;
    std::unordered_map<upstream_id, std::size_t> positions_;
    std::vector<std::int64_t> measured_memory_;
    std::vector<bool> is_excluded_;
    std::set<std::size_t> ejected_;
    std::deque<work_item> items_;
    std::vector<std::size_t> tickets_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::priority_queue<timed_report, std::vector<timed_report>, std::greater<>> reports_;
    std::vector<double> next_wave_s_;
    std::vector<double> latencies_s_;
    std::vector<double> decision_us_;
    run_result result_;
    double now_s_ = 0;
    double urgent_gap_s_ = 0;
    double batch_gap_s_ = 0;
    double batch_rate_factor_ = 1;
    double burst_until_s_ = 0;
    bool is_burst_ = true;
    bool is_load_swapped_ = false;
    resource_vector committed_;
    std::size_t stopping_count_ = 0;
    std::uint64_t task_count_ = 0;
    std::uint64_t event_order_ = 0;
};

}  // namespace

run_result run_policy(const site& bench_site, const variant_setup& variant, std::uint64_t seed,
                      double load_factor) {
    return policy_run(bench_site, variant, seed, load_factor).run();
}

}  // namespace jacinthvane::experiment
