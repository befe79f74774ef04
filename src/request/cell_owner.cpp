#include "request/cell_owner.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_order_timeout{600};
// Interval at which deadlines are checked when nothing else changes.
constexpr milliseconds idle_interval{100};
// A stopping owner writes the batch in progress and the one with all that has arrived by then. Under load
// more arrives all the time, and nothing starts until the next owner takes over. That owner reads from the
// lists of the upstreams which ends were not written.
constexpr int hand_over_batches = 2;
constexpr milliseconds max_hand_over_write_time{500};

// Describes the lease that a start order contains; empty for any other order.
std::string describe_lease(const start_order* start) {
    if (start == nullptr) {
        return std::string();
    }
    return " lease_until_ms=" + std::to_string(start->lease_until_clock_ms) +
           " lease_boot=" + std::to_string(start->boot_unix_ms);
}

}  // namespace

cell_owner::cell_owner(asio::io_context& context, cell_ports ports, owner_limits limits, cell_claim claim,
                       metrics& counters)
    : context_(context),
      ports_(std::move(ports)),
      limits_(limits.cell),
      claim_(std::move(claim)),
      metrics_(counters),
      scheduler_(limits.cell, claim_.row.token, claim_.claimed_at),
      link_(limits.link_mbps),
      backlog_(std::chrono::steady_clock::now()),
      proven_at_(get_suspend_aware_now()) {}

clock_reading cell_owner::read_clock() {
    return {std::chrono::steady_clock::now(), get_unix_ms()};
}

void cell_owner::start(std::shared_ptr<const queue_index> queues) {
    set_queues(std::move(queues));
    spawn("cell_owner", run());
}

void cell_owner::set_queues(std::shared_ptr<const queue_index> queues) {
    std::lock_guard lock(mutex_);
    scheduler_.set_queues(std::move(queues));
}

void cell_owner::supersede(std::uint64_t token) {
    end("another process took the cell with token " + std::to_string(token));
}

void cell_owner::set_owner_history(const owner_history& history) {
    {
        std::lock_guard lock(mutex_);
        scheduler_.set_owner_history(history);
    }
    wake_.notify_all();
}

void cell_owner::spawn(const char* name, awaitable<void> task) {
    spawn_task(context_, name, keep_alive(shared_from_this(), std::move(task)));
}

awaitable<void> cell_owner::keep_alive(std::shared_ptr<cell_owner>, awaitable<void> task) {
    co_await std::move(task);
}

bool cell_owner::is_over() const {
    std::lock_guard lock(mutex_);
    return is_over_;
}

bool cell_owner::is_loaded() const {
    std::lock_guard lock(mutex_);
    return is_loaded_ && !is_over_;
}

std::optional<job_phase> cell_owner::get_state(const job_id& id, const std::string& queue) const {
    std::lock_guard lock(mutex_);
    return scheduler_.get_state(id, queue);
}

std::vector<queue_status> cell_owner::get_queue_statuses() const {
    std::lock_guard lock(mutex_);
    return scheduler_.get_queue_statuses();
}

void cell_owner::end(const std::string& reason) {
    {
        std::lock_guard lock(mutex_);
        if (is_over_) {
            return;
        }
        is_over_ = true;
        metrics_.set_evacuated_domains(0);
        metrics_.set_late_jobs(0);
    }
    LOG(INFO) << "event=ownership_ended token=" << claim_.row.token << " reason=\"" << reason << "\"";
    wake_.notify_all();
    progress_.notify_all();
    committed_.notify_all();
}

awaitable<void> cell_owner::stop(time_point deadline) {
    const auto self = shared_from_this();
    {
        std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    const auto write_deadline =
        std::min(deadline, std::chrono::steady_clock::now() + max_hand_over_write_time);
    for (int batch = 0; batch < hand_over_batches; ++batch) {
        const auto seen = committed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (is_over_ || !is_loaded_ || !scheduler_.has_commit_work()) {
                break;
            }
        }
        progress_.notify_all();
        co_await committed_.wait(seen, write_deadline);
    }
    if (is_loaded()) {
        co_await write_tails(write_deadline);
    }
    end("stopped");
}

void cell_owner::record_ownership_proof(time_point sent_at) {
    std::lock_guard lock(mutex_);
    proven_at_ = std::max(proven_at_, sent_at);
}

bool cell_owner::is_ownership_proven() const {
    return get_suspend_aware_now() < proven_at_ + limits_.proof_window;
}

bool cell_owner::may_act() const {
    return !is_over_ && is_ownership_proven();
}

awaitable<void> cell_owner::run() {
    if (!co_await load()) {
        end("the proof of ownership expired before the jobs and upstreams were loaded");
        co_return;
    }
    {
        std::lock_guard lock(mutex_);
        is_loaded_ = true;
        LOG(INFO) << "event=cell_loaded token=" << claim_.row.token << " jobs=" << scheduler_.get_job_count()
                  << " upstreams=" << scheduler_.get_upstreams().size();
    }
    spawn("follow_jobs", follow_jobs(jobs_revision_));
    spawn("follow_upstreams", follow_upstreams(registry_revision_));
    spawn("keep_upstream_list", keep_upstream_list());
    spawn("follow_evacuations", follow_evacuations(evacuations_revision_));
    spawn("write_progress", write_progress());
    spawn("prove_ownership", prove_ownership());
    spawn("remove_expired_jobs", remove_expired_jobs());
    spawn("log_summaries", log_summaries());
    spawn("measure_timers", measure_timers());
    spawn("watch_backlog", watch_backlog());
    spawn("follow_tails", follow_tails());
    co_await dispatch();
}

awaitable<bool> cell_owner::load() {
    co_await load_tails();
    // The evacuations after the upstreams, so that an unknown failure domain can be logged.
    for (const auto load_part :
         {&cell_owner::load_jobs, &cell_owner::load_upstreams, &cell_owner::load_evacuations}) {
        const bool is_done = co_await retry_load(load_part);
        if (!is_done) {
            co_return false;
        }
    }
    co_return true;
}

awaitable<bool> cell_owner::retry_load(awaitable<bool> (cell_owner::*load_part)()) {
    // Takeovers often happen while the store has faults, so each step is retried until ownership is lost.
    while (true) {
        const bool is_done = co_await (this->*load_part)();
        if (is_over() || !is_ownership_proven()) {
            co_return false;
        }
        if (is_done) {
            co_return true;
        }
        co_await wait_until(std::chrono::steady_clock::now() + store_retry_delay);
    }
}

awaitable<bool> cell_owner::load_jobs() {
    const std::string commit_key = make_commit_key();
    const auto commit_item = co_await ports_.store.get(commit_key, get_store_deadline());
    if (!commit_item.ok()) {
        co_return false;
    }
    commit_revision_ = commit_item->revision;
    const std::string jobs(job_prefix);
    const auto job_listing = co_await ports_.store.list(jobs, get_store_deadline());
    if (!job_listing.ok()) {
        co_return false;
    }
    const std::string progress(progress_prefix);
    const auto progress_listing = co_await ports_.store.list(progress, get_store_deadline());
    if (!progress_listing.ok()) {
        co_return false;
    }
    if (!co_await load_locations()) {
        co_return false;
    }
    jobs_revision_ = job_listing->revision;
    std::map<job_id, job_progress> known;
    for (const auto& item : progress_listing->items) {
        const job_id id(item.key.substr(progress_prefix.size()));
        auto decoded = decode_job_progress(item.value);
        if (!decoded.ok()) {
            LOG(ERROR) << "event=progress_unreadable job=" << id.get() << " error=\""
                       << decoded.status().message() << "\"";
            continue;
        }
        known.emplace(id, std::move(*decoded));
    }
    {
        std::lock_guard lock(mutex_);
        for (const auto& [id, progress_of_job] : known) {
            if (is_final(progress_of_job.state)) {
                scheduler_.add_ended_job(id, progress_of_job);
            }
        }
    }
    apply_job_items(job_listing->items, known);
    co_return true;
}

void cell_owner::apply_job_items(const std::vector<store_item>& items,
                                 const std::map<job_id, job_progress>& known) {
    const auto clock = read_clock();
    std::unique_lock lock(mutex_);
    for (const auto& item : items) {
        const auto key = parse_job_key(item.key);
        if (key.is_takeover) {
            // Jobs accepted after the takeover belong to the next owner, which starts them at once.
            if (is_superseded_by(item)) {
                lock.unlock();
                end("another process took the cell: takeover record at revision " +
                    std::to_string(item.revision));
                return;
            }
            continue;
        }
        if (key.is_cancel) {
            scheduler_.cancel_job(key.id, clock);
            LOG(INFO) << "event=job_cancelled job=" << key.id.get() << " revision=" << item.revision;
            continue;
        }
        auto job = decode_accepted_job(item.value);
        if (!job.ok()) {
            LOG(ERROR) << "event=job_unreadable job=" << key.id.get() << " error=\"" << job.status().message()
                       << "\"";
            continue;
        }
        const auto found = known.find(key.id);
        const bool is_inherited = item.created_revision < claim_.row_revision;
        scheduler_.add_job(key.id, std::make_shared<const accepted_job>(std::move(*job)),
                           found == known.end() ? nullptr : &found->second, is_inherited, clock);
    }
}

bool cell_owner::is_superseded_by(const store_item& takeover) const {
    const auto row = decode_cell_row(takeover.value);
    if (!row.ok()) {
        LOG(ERROR) << "event=takeover_unreadable error=\"" << row.status().message() << "\"";
        return false;
    }
    return row->token > claim_.row.token;
}

void cell_owner::apply_job_changes(const store_changes& changes) {
    std::vector<store_item> items;
    for (const auto& change : changes.changes) {
        if (!change.is_removed) {
            items.push_back(change.item);
        }
    }
    apply_job_items(items, {});
}

awaitable<bool> cell_owner::reload_jobs(std::uint64_t& revision) {
    const std::string prefix(job_prefix);
    const auto listing = co_await ports_.store.list(prefix, get_store_deadline());
    if (!listing.ok()) {
        co_return false;
    }
    // A listing is read in pages, so it may contain jobs accepted after a takeover that it does not contain.
    const std::string cell_key = make_cell_key();
    const auto row = co_await ports_.store.get(cell_key, get_store_deadline());
    if (!row.ok()) {
        co_return false;
    }
    if (row->revision != claim_.row_revision) {
        end("another process took the cell: its row has revision " + std::to_string(row->revision));
        co_return false;
    }
    revision = listing->revision;
    apply_job_items(listing->items, {});
    co_return true;
}

void cell_owner::record_watch(const absl::StatusOr<store_changes>& changes, time_point::duration time) {
    {
        std::lock_guard lock(mutex_);
        const bool was_failing = std::exchange(is_job_watch_failing_, !changes.ok());
        if (changes.ok()) {
            load_.add_watch(time, changes->changes.size());
            return;
        }
        load_.add_failed_watch();
        if (was_failing) {
            return;
        }
    }
    LOG(WARNING) << "event=job_watch_failed token=" << claim_.row.token
                 << " after_ms=" << std::chrono::duration_cast<milliseconds>(time).count() << " error=\""
                 << changes.status().message() << "\"";
}

awaitable<void> cell_owner::follow_jobs(std::uint64_t revision) {
    constexpr std::int64_t wait_ms = 2000;
    constexpr milliseconds margin{700};
    // Jobs that are submitted within this time are read with one call.
    constexpr milliseconds batch_window{15};
    const std::string prefix(job_prefix);
    while (!is_over()) {
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait_ms) + margin;
        const auto started_at = std::chrono::steady_clock::now();
        const auto changes = co_await ports_.store.watch(prefix, revision, wait_ms, deadline);
        record_watch(changes, std::chrono::steady_clock::now() - started_at);
        if (changes.ok()) {
            revision = changes->revision;
            apply_job_changes(*changes);
            if (!changes->changes.empty()) {
                wake_.notify_all();
                co_await wait_until(std::chrono::steady_clock::now() + batch_window);
            }
            continue;
        }
        if (get_error_kind(changes.status()) == error_kind::version_conflict) {
            if (co_await reload_jobs(revision)) {
                wake_.notify_all();
                continue;
            }
        }
        co_await wait_until(std::chrono::steady_clock::now() + store_retry_delay);
    }
}

awaitable<void> cell_owner::dispatch() {
    while (!is_over()) {
        const auto seen = wake_.get_count();
        const auto started_at = std::chrono::steady_clock::now();
        cell_decisions decisions;
        bool has_commit_work = false;
        std::vector<std::string> addresses;
        {
            std::lock_guard lock(mutex_);
            const auto placements = scheduler_.get_evaluated_placements();
            std::uint64_t starts = 0;
            std::uint64_t cpu_limits = 0;
            decisions = scheduler_.decide(read_clock(), may_start(), link_.get_free_starts());
            has_commit_work = scheduler_.has_commit_work();
            for (const auto& order : decisions.orders) {
                const auto& id =
                    std::visit([](const auto& o) -> const upstream_id& { return o.upstream; }, order);
                const auto* upstream = scheduler_.find_upstream(id);
                addresses.push_back(upstream == nullptr ? std::string() : upstream->entry.address);
                load_.begin_order();
                if (const auto* start = std::get_if<start_order>(&order)) {
                    link_.begin_start(estimate_bytes(*start));
                    ++starts;
                }
                cpu_limits += std::holds_alternative<cpu_limit_order>(order) ? 1 : 0;
            }
            ++decisions_;
            held_decisions_ += scheduler_.has_held_starts() ? 1 : 0;
            const auto ended_at = std::chrono::steady_clock::now();
            load_.add_decision(ended_at - started_at, scheduler_.get_evaluated_placements() - placements,
                               starts, cpu_limits);
            pacer_.add_decision(started_at, ended_at);
        }
        for (std::size_t i = 0; i < decisions.orders.size(); ++i) {
            spawn("send_order", send_order(std::move(decisions.orders[i]), addresses[i]));
        }
        for (auto& request : decisions.advice) {
            spawn("fetch_advice", fetch_advice(std::move(request)));
        }
        if (has_commit_work) {
            // Long-running tasks start once their locations are written.
            progress_.notify_all();
        }
        const auto now = std::chrono::steady_clock::now();
        co_await wait_until(now + get_decision_pause(now - started_at));
        co_await wake_.wait(seen, now + idle_interval);
    }
}

std::optional<time_point> cell_owner::get_send_limit(const upstream_order& order) const {
    std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const auto* start = std::get_if<start_order>(&order);
    const bool is_wanted = start == nullptr || scheduler_.is_start_pending(*start, now);
    if (!is_wanted || !may_act() || (start != nullptr && !is_evacuation_view_current())) {
        return std::nullopt;
    }
    const auto proof_end = now + (proven_at_ + limits_.proof_window - get_suspend_aware_now());
    return start == nullptr ? proof_end : std::min(proof_end, scheduler_.get_evacuations().get_send_limit());
}

awaitable<void> cell_owner::send_order(upstream_order order, std::string address) {
    const auto started_at = std::chrono::steady_clock::now();
    const auto response_deadline = started_at + get_call_timeout(min_order_timeout);
    const auto* start = std::get_if<start_order>(&order);
    order_response response{order_result::withdrawn, 0};
    if (const auto send_limit = get_send_limit(order)) {
        const auto deadline = std::min(response_deadline, *send_limit);
        response = co_await ports_.upstreams.send(address, order, claim_.row.token, deadline);
        if (is_answer(response.result)) {
            record_response(started_at);
        } else if (deadline < response_deadline || !is_silence_conclusive(started_at, deadline)) {
            response.is_conclusive = false;
            // Nothing was sent, and the upstream need not be avoided.
            response.result =
                response.result == order_result::not_sent ? order_result::delayed : response.result;
        }
    }
    if (start != nullptr || response.result != order_result::accepted) {
        const auto describe = [](const auto& o) { return o.task.to_string() + "/" + std::to_string(o.run); };
        LOG(INFO) << "event=" << (start != nullptr ? "start" : "order")
                  << " task=" << std::visit(describe, order)
                  << " upstream=" << std::visit([](const auto& o) { return o.upstream.get(); }, order)
                  << " token=" << claim_.row.token << " result=" << get_name(response.result)
                  << describe_lease(start) << " clock_ms=" << response.clock_ms;
    }
    bool may_decide_more = response.result != order_result::accepted;
    {
        std::lock_guard lock(mutex_);
        if (start != nullptr) {
            link_.end_start(estimate_bytes(*start));
            accepted_starts_ += response.result == order_result::accepted ? 1 : 0;
        }
        load_.end_order(std::chrono::steady_clock::now() - started_at, may_have_been_sent(response.result));
        scheduler_.apply_order_response(order, response, read_clock());
        may_decide_more = scheduler_.take_freed_upstreams() || may_decide_more;
    }
    if (response.result == order_result::refused_token) {
        const auto id = std::visit([](const auto& o) { return o.upstream.get(); }, order);
        end("upstream " + id + " has seen a fencing token higher than " + std::to_string(claim_.row.token));
    }
    if (may_decide_more) {
        wake_.notify_all();
    }
}

awaitable<void> cell_owner::fetch_advice(advice_request request) {
    // A late answer is used as long as its tickets would be, but a call that was lost must not hold up the
    // step for so long.
    constexpr milliseconds max_lateness{3000};
    const auto useful_until = std::min(request.useful_until, request.expected_at + max_lateness);
    const auto deadline = std::max(useful_until, request.expected_at + get_call_timeout(min_order_timeout));
    const auto response = co_await ports_.upstreams.advise(request, deadline);
    const auto now = std::chrono::steady_clock::now();
    LOG(INFO) << "event=advice step=" << request.step.to_string() << " asked=" << request.upstreams.size()
              << " allowed=" << (response.ok() ? response->allowed.size() : 0)
              << " late_ms=" << std::chrono::duration_cast<milliseconds>(now - request.expected_at).count()
              << " error="
              << (response.ok() ? "none" : get_error_mapping(get_error_kind(response.status())).name);
    {
        std::lock_guard lock(mutex_);
        if (response.ok()) {
            scheduler_.apply_advice(request, response->allowed, now + milliseconds(response->valid_ms), now);
        } else {
            scheduler_.record_failed_advice(request, now);
        }
    }
    wake_.notify_all();
}

std::string cell_owner::dump_state() const {
    std::lock_guard lock(mutex_);
    std::ostringstream text;
    text << "token " << claim_.row.token << " jobs " << scheduler_.get_job_count() << " runs "
         << scheduler_.get_run_count() << " proven " << is_ownership_proven() << "\n";
    for (const auto& entry : scheduler_.get_upstreams()) {
        const auto* upstream = scheduler_.find_upstream(entry.id);
        text << entry.id.get() << " runs " << upstream->runs.size() << " committed "
             << upstream->committed.to_string() << " of " << entry.capacity.to_string() << " fillers "
             << upstream->best_effort_milli << "m pressure " << upstream->pressure_permille
             << (upstream->is_unresponsive ? " silent" : "") << (entry.is_leaving ? " leaving" : "") << "\n";
    }
    return text.str();
}

}  // namespace jacinthvane
