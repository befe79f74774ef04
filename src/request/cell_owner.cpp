#include "request/cell_owner.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <sstream>
#include <utility>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds store_timeout{1500};
constexpr milliseconds retry_delay{150};
constexpr milliseconds order_timeout{600};
// Decisions are made at most this often, so that changes that come together are decided together, and less
// often if they take long: they may use one part in decision_share of the time.
constexpr milliseconds decision_interval{20};
constexpr milliseconds max_decision_interval{60};
constexpr int decision_share = 5;
// Without any change, deadlines are looked at this often.
constexpr milliseconds idle_interval{100};

time_point get_store_deadline() {
    return std::chrono::steady_clock::now() + store_timeout;
}

clock_reading read_clock() {
    return {std::chrono::steady_clock::now(), get_unix_ms()};
}

}  // namespace

cell_owner::cell_owner(asio::io_context& context, cell_ports ports, cell_limits limits, cell_claim claim,
                       metrics& counters)
    : context_(context),
      ports_(std::move(ports)),
      limits_(limits),
      claim_(std::move(claim)),
      metrics_(counters),
      scheduler_(limits, claim_.row.token, claim_.claimed_at),
      proven_at_(get_suspend_aware_now()) {}

void cell_owner::start(std::shared_ptr<const dispatch_config> config) {
    set_config(std::move(config));
    spawn("cell_owner", run());
}

void cell_owner::set_config(std::shared_ptr<const dispatch_config> config) {
    std::lock_guard lock(mutex_);
    scheduler_.set_config(std::move(config));
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
    while (std::chrono::steady_clock::now() < deadline) {
        const auto seen = committed_.get_count();
        {
            std::lock_guard lock(mutex_);
            if (is_over_ || !is_loaded_ || !scheduler_.has_commit_work()) {
                break;
            }
        }
        progress_.notify_all();
        co_await committed_.wait(seen, deadline);
    }
    if (is_loaded()) {
        co_await write_tails(deadline);
    }
    end("stopped");
}

void cell_owner::record_proof(time_point sent_at) {
    std::lock_guard lock(mutex_);
    proven_at_ = std::max(proven_at_, sent_at);
}

bool cell_owner::is_proven() const {
    return get_suspend_aware_now() < proven_at_ + limits_.proof_window;
}

awaitable<void> cell_owner::run() {
    if (!co_await load()) {
        end("the store could not be read");
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
    spawn("write_progress", write_progress());
    spawn("prove_ownership", prove_ownership());
    spawn("remove_expired_jobs", remove_expired_jobs());
    spawn("log_summaries", log_summaries());
    spawn("follow_tails", follow_tails());
    co_await dispatch();
}

awaitable<bool> cell_owner::load() {
    co_await load_tails();
    // Takeovers happen while the store is troubled, so each part is tried until ownership is lost.
    for (bool is_done = false; !is_done;) {
        is_done = co_await load_jobs();
        if (is_over() || !is_proven()) {
            co_return false;
        }
        if (!is_done) {
            co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
        }
    }
    for (bool is_done = false; !is_done;) {
        is_done = co_await load_upstreams();
        if (is_over() || !is_proven()) {
            co_return false;
        }
        if (!is_done) {
            co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
        }
    }
    co_return true;
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

awaitable<bool> cell_owner::load_upstreams() {
    const std::string known_key = make_upstreams_key();
    const auto known_item = co_await ports_.store.get(known_key, get_store_deadline());
    if (!known_item.ok()) {
        co_return false;
    }
    const auto listing = co_await ports_.registry.list_upstreams(get_store_deadline());
    if (!listing.ok()) {
        co_return false;
    }
    upstreams_revision_ = known_item->revision;
    registry_revision_ = listing->revision;
    if (known_item->revision > 0) {
        const auto known = decode_known_upstreams(known_item->value);
        if (!known.ok()) {
            LOG(ERROR) << "event=known_upstreams_unreadable error=\"" << known.status().message() << "\"";
        } else {
            std::lock_guard lock(mutex_);
            for (const auto& entry : known->entries) {
                scheduler_.expect_upstream(entry);
            }
        }
    }
    apply_upstream_changes(*listing, true);
    co_return co_await write_known_upstreams();
}

void cell_owner::apply_upstream_changes(const upstream_changes& changes, bool is_listing) {
    std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    std::set<upstream_id> listed;
    for (const auto& change : changes.changes) {
        if (!change.entry) {
            scheduler_.unlist_upstream(change.id);
            continue;
        }
        listed.insert(change.id);
        const auto* known = scheduler_.find_upstream(change.id);
        if (known == nullptr || known->entry.is_leaving != change.entry->is_leaving) {
            LOG(INFO) << "event=upstream_listed upstream=" << change.id.get()
                      << " address=" << change.entry->address << " leaving=" << change.entry->is_leaving
                      << " revision=" << changes.revision;
        }
        scheduler_.list_upstream(*change.entry, now);
    }
    if (!is_listing) {
        return;
    }
    for (const auto& entry : scheduler_.get_upstreams()) {
        if (!listed.contains(entry.id)) {
            scheduler_.unlist_upstream(entry.id);
        }
    }
}

awaitable<bool> cell_owner::write_known_upstreams() {
    known_upstreams known;
    {
        std::lock_guard lock(mutex_);
        known.entries = scheduler_.get_upstreams();
    }
    store_transaction transaction;
    transaction.conditions = {{make_cell_key(), claim_.row_revision},
                              {make_upstreams_key(), upstreams_revision_}};
    transaction.writes = {{make_upstreams_key(), encode_record(known), 0}};
    const auto sent_at = get_suspend_aware_now();
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    if (!result.ok()) {
        co_return false;
    }
    if (!result->is_applied) {
        for (const auto& item : result->present) {
            if (item.key == make_cell_key() && item.revision != claim_.row_revision) {
                end("another process took the cell");
            }
            if (item.key == make_upstreams_key()) {
                upstreams_revision_ = item.revision;
            }
        }
        co_return false;
    }
    record_proof(sent_at);
    upstreams_revision_ = result->revision;
    // Orders may go to these upstreams only now: a successor would have to ask them.
    std::vector<upstream_id> added;
    {
        std::lock_guard lock(mutex_);
        for (const auto& entry : known.entries) {
            if (followed_.insert(entry.id).second) {
                added.push_back(entry.id);
            }
        }
        scheduler_.record_upstreams(known.entries);
        recorded_upstreams_ = known.entries.size();
    }
    for (const auto& id : added) {
        spawn("look_at_upstream", look_at_upstream(id));
    }
    co_return true;
}

// Upstreams that are gone leave the list: a successor would wait for each of them until every lease that was
// ever granted there must have ended.
bool cell_owner::needs_upstream_list() const {
    std::lock_guard lock(mutex_);
    return scheduler_.has_unrecorded_upstreams() || scheduler_.get_upstreams().size() != recorded_upstreams_;
}

awaitable<void> cell_owner::follow_upstreams(std::uint64_t revision) {
    constexpr std::int64_t wait_ms = 2000;
    constexpr milliseconds margin{700};
    // Entries change all the time; those that change within this time are read with one call.
    constexpr milliseconds gathering{300};
    while (!is_over()) {
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait_ms) + margin;
        auto changes = co_await ports_.registry.watch_upstreams(revision, wait_ms, deadline);
        bool is_listing = false;
        if (!changes.ok() && get_error_kind(changes.status()) == error_kind::version_conflict) {
            changes = co_await ports_.registry.list_upstreams(get_store_deadline());
            is_listing = true;
        }
        if (!changes.ok()) {
            co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
            continue;
        }
        revision = changes->revision;
        apply_upstream_changes(*changes, is_listing);
        while (needs_upstream_list() && !is_over() && !co_await write_known_upstreams()) {
            co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
        }
        wake_.notify_all();
        if (!changes->changes.empty()) {
            co_await wait_until(std::chrono::steady_clock::now() + gathering);
        }
    }
}

void cell_owner::apply_job_items(const std::vector<store_item>& items,
                                 const std::map<job_id, job_progress>& known) {
    const auto clock = read_clock();
    std::lock_guard lock(mutex_);
    for (const auto& item : items) {
        const auto key = parse_job_key(item.key);
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

void cell_owner::apply_job_changes(const store_changes& changes) {
    std::vector<store_item> items;
    for (const auto& change : changes.changes) {
        if (!change.is_removed) {
            items.push_back(change.item);
        }
    }
    apply_job_items(items, {});
}

awaitable<void> cell_owner::follow_jobs(std::uint64_t revision) {
    constexpr std::int64_t wait_ms = 2000;
    constexpr milliseconds margin{700};
    // Jobs that come together are read with one call.
    constexpr milliseconds gathering{15};
    const std::string prefix(job_prefix);
    while (!is_over()) {
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(wait_ms) + margin;
        const auto changes = co_await ports_.store.watch(prefix, revision, wait_ms, deadline);
        if (changes.ok()) {
            revision = changes->revision;
            apply_job_changes(*changes);
            if (!changes->changes.empty()) {
                wake_.notify_all();
                co_await wait_until(std::chrono::steady_clock::now() + gathering);
            }
            continue;
        }
        if (get_error_kind(changes.status()) == error_kind::version_conflict) {
            const auto listing = co_await ports_.store.list(prefix, get_store_deadline());
            if (listing.ok()) {
                revision = listing->revision;
                apply_job_items(listing->items, {});
                wake_.notify_all();
                continue;
            }
        }
        co_await wait_until(std::chrono::steady_clock::now() + retry_delay);
    }
}

std::string cell_owner::get_address(const upstream_id& id) const {
    std::lock_guard lock(mutex_);
    const auto* upstream = scheduler_.find_upstream(id);
    return upstream == nullptr ? std::string() : upstream->entry.address;
}

awaitable<void> cell_owner::look_at_upstream(upstream_id id) {
    constexpr milliseconds margin{500};
    constexpr milliseconds commit_wait{250};
    milliseconds failure_delay{50};
    constexpr milliseconds max_failure_delay{400};
    while (true) {
        const auto seen_commits = committed_.get_count();
        look_order order;
        const auto address = get_address(id);
        const bool is_same_connection = ports_.upstreams.has_look_connection(address);
        const auto now = std::chrono::steady_clock::now();
        bool waits_for_commit = false;
        {
            std::lock_guard lock(mutex_);
            if (is_over_ || scheduler_.find_upstream(id) == nullptr) {
                followed_.erase(id);
                co_return;
            }
            waits_for_commit = scheduler_.has_unacknowledged_ends(id);
        }
        if (waits_for_commit) {
            // The upstream would answer at once as long as it has ends to tell.
            progress_.notify_all();
            co_await committed_.wait(seen_commits, now + commit_wait);
        }
        {
            std::lock_guard lock(mutex_);
            order =
                scheduler_.make_look(id, std::chrono::steady_clock::now(), is_same_connection, is_proven());
        }
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(order.wait_ms) + margin;
        const auto answer = co_await ports_.upstreams.look(address, order, claim_.row.token, deadline);
        const auto clock = read_clock();
        bool is_ok = false;
        {
            std::lock_guard lock(mutex_);
            const auto* upstream = scheduler_.find_upstream(id);
            const bool was_silent = upstream != nullptr && upstream->is_silent;
            is_ok = answer.result == order_result::accepted;
            if (is_ok) {
                scheduler_.apply_report(id, answer.report, clock);
            } else if (answer.result == order_result::refused_other_life) {
                scheduler_.end_life(id, clock.now);
            } else {
                scheduler_.mark_silent(id, clock.now);
            }
            if (upstream != nullptr && was_silent == is_ok) {
                LOG(INFO) << "event=" << (is_ok ? "upstream_answers" : "upstream_silent")
                          << " upstream=" << id.get() << " result=" << get_name(answer.result);
            }
        }
        if (answer.result == order_result::refused_token) {
            end("upstream " + id.get() + " has seen a higher token");
            co_return;
        }
        wake_.notify_all();
        progress_.notify_all();
        if (is_ok) {
            failure_delay = milliseconds(50);
            continue;
        }
        co_await wait_until(std::chrono::steady_clock::now() + failure_delay);
        failure_delay = std::min(failure_delay * 2, max_failure_delay);
    }
}

awaitable<void> cell_owner::dispatch() {
    while (!is_over()) {
        const auto seen = wake_.get_count();
        const auto begun = std::chrono::steady_clock::now();
        cell_decisions decisions;
        std::vector<std::string> addresses;
        {
            std::lock_guard lock(mutex_);
            decisions = scheduler_.decide(read_clock(), is_proven() && !is_stopping_);
            for (const auto& order : decisions.orders) {
                const auto& id =
                    std::visit([](const auto& o) -> const upstream_id& { return o.upstream; }, order);
                const auto* upstream = scheduler_.find_upstream(id);
                addresses.push_back(upstream == nullptr ? std::string() : upstream->entry.address);
            }
        }
        for (std::size_t i = 0; i < decisions.orders.size(); ++i) {
            spawn("send_order", send_order(std::move(decisions.orders[i]), addresses[i]));
        }
        for (auto& request : decisions.advice) {
            spawn("fetch_advice", fetch_advice(std::move(request)));
        }
        const auto now = std::chrono::steady_clock::now();
        const auto taken = std::chrono::duration_cast<milliseconds>(now - begun) * decision_share;
        co_await wait_until(now + std::clamp(taken, decision_interval, max_decision_interval));
        co_await wake_.wait(seen, now + idle_interval);
    }
}

awaitable<void> cell_owner::send_order(upstream_order order, std::string address) {
    const auto deadline = std::chrono::steady_clock::now() + order_timeout;
    const auto answer = co_await ports_.upstreams.send(address, order, claim_.row.token, deadline);
    const auto* start = std::get_if<start_order>(&order);
    if (start != nullptr || answer.result != order_result::accepted) {
        const auto describe = [](const auto& o) { return o.task.to_string() + "/" + std::to_string(o.run); };
        LOG(INFO) << "event=" << (start != nullptr ? "start" : "order")
                  << " task=" << std::visit(describe, order)
                  << " upstream=" << std::visit([](const auto& o) { return o.upstream.get(); }, order)
                  << " token=" << claim_.row.token << " result=" << get_name(answer.result);
    }
    {
        std::lock_guard lock(mutex_);
        scheduler_.apply_answer(order, answer, read_clock());
    }
    if (answer.result == order_result::refused_token) {
        end("an upstream has seen a higher token");
    }
    if (answer.result != order_result::accepted) {
        wake_.notify_all();
    }
}

awaitable<void> cell_owner::fetch_advice(advice_request request) {
    constexpr milliseconds advice_timeout{3000};
    const auto deadline = std::chrono::steady_clock::now() + advice_timeout;
    const auto answer = co_await ports_.upstreams.advise(request, deadline);
    const auto now = std::chrono::steady_clock::now();
    LOG(INFO) << "event=advice step=" << request.step.to_string() << " asked=" << request.upstreams.size()
              << " allowed=" << (answer.ok() ? answer->allowed.size() : 0)
              << " error=" << (answer.ok() ? "none" : get_answer(get_error_kind(answer.status())).name);
    {
        std::lock_guard lock(mutex_);
        if (answer.ok()) {
            scheduler_.apply_advice(request, answer->allowed, now + milliseconds(answer->valid_ms));
        } else {
            scheduler_.apply_advice(request, {}, now);
        }
    }
    wake_.notify_all();
}

awaitable<void> cell_owner::log_summaries() {
    constexpr milliseconds interval{1000};
    while (!is_over()) {
        co_await wait_until(std::chrono::steady_clock::now() + interval);
        cell_summary cell;
        {
            std::lock_guard lock(mutex_);
            cell = scheduler_.get_summary(std::chrono::steady_clock::now());
        }
        LOG(INFO) << "event=cell_summary token=" << claim_.row.token << " jobs=" << cell.jobs
                  << " waiting_serving=" << cell.waiting_serving
                  << " waiting_fillers=" << cell.waiting_fillers << " waiting_others=" << cell.waiting_others
                  << " usable=" << cell.usable_upstreams << " on_trial=" << cell.trial_upstreams
                  << " crossed=" << cell.crossed_upstreams << " capacity=" << cell.capacity_milli
                  << " committed=" << cell.committed_milli << " fillers=" << cell.running_fillers
                  << " filler_milli=" << cell.filler_milli << " paced_milli=" << cell.paced_milli
                  << " used_milli=" << cell.used_milli;
    }
}

std::string cell_owner::dump_state() const {
    std::lock_guard lock(mutex_);
    std::ostringstream text;
    text << "token " << claim_.row.token << " jobs " << scheduler_.get_job_count() << " runs "
         << scheduler_.get_run_count() << " proven " << is_proven() << "\n";
    for (const auto& entry : scheduler_.get_upstreams()) {
        const auto* upstream = scheduler_.find_upstream(entry.id);
        text << entry.id.get() << " runs " << upstream->runs.size() << " committed "
             << upstream->committed.to_string() << " of " << entry.capacity.to_string() << " fillers "
             << upstream->filler_milli << "m pressure " << upstream->pressure_permille
             << (upstream->is_silent ? " silent" : "") << (entry.is_leaving ? " leaving" : "") << "\n";
    }
    return text.str();
}

}  // namespace jacinthvane
