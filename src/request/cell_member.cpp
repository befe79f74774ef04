#include "request/cell_member.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <utility>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "process/stable_hash.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::milliseconds;

// Pause after a failed read or watch. While the store is unavailable, every process of the fleet retries at
// this rate.
constexpr milliseconds watch_retry_delay{200};
// Server-side wait of one watch call. It bounds how long an unresponsive connection can hide a change.
constexpr std::int64_t owner_wait_ms = 1500;
constexpr milliseconds watch_margin{500};
constexpr std::int64_t owner_lease_ms = 2500;
constexpr milliseconds lease_renewal{700};
// The store counts as unavailable if a call failed and no call has succeeded for this long.
constexpr milliseconds store_failure_grace{700};
// Parts of the delay before a process tries to take the cell: processes with a low store latency and more
// processors try first, and a jitter separates equal ones.
constexpr std::int64_t store_latency_factor = 6;
constexpr std::int64_t processor_delay_ms_milli = 5000;
// A VM with fewer processors can hardly carry a cell, so it waits until any stronger one has had its turn.
constexpr std::int64_t strong_processors_milli = 250;
constexpr std::int64_t weak_delay_ms_per_milli = 4;
// The same for a VM with a slow link.
constexpr std::int64_t strong_link_mbps = 100;
constexpr std::int64_t weak_delay_ms_per_mbps = 5;
constexpr std::int64_t max_jitter_ms = 40;
// Bounds of the time after which refused callers come back.
constexpr std::int64_t min_retry_after_ms = 1000;
constexpr std::int64_t max_retry_after_ms = 30000;
constexpr milliseconds max_contest_delay{800};
constexpr std::size_t peer_connections = 2;
// A report on a process has three fields.
constexpr std::size_t max_report_bytes = 64U << 10U;
// Timeout of a query to an earlier owner, and the pause before it is repeated.
constexpr milliseconds process_query_timeout{500};
constexpr milliseconds process_query_pause{200};

live_peer make_peer(const entry_settings& settings, const std::string& process_name) {
    return {process_name, settings.peer_address, settings.place, settings.link_mbps,
            settings.processors_milli};
}

}  // namespace

cell_member::cell_member(asio::io_context& context, cell_ports ports, entry_settings settings,
                         std::string process_name, metrics& counters)
    : context_(context),
      ports_(std::move(ports)),
      settings_(std::move(settings)),
      process_name_(std::move(process_name)),
      metrics_(counters),
      started_at_(std::chrono::steady_clock::now()),
      peers_(context, peer_connections, {max_report_bytes, ports_.responses}),
      directory_(std::make_shared<peer_directory>(context, ports_.store, settings_.vm,
                                                  make_peer(settings_, process_name_),
                                                  settings_.min_store_lease_ms)),
      history_(settings_.limits.proof_window) {}

void cell_member::spawn(const char* name, awaitable<void> task) {
    spawn_task(context_, name, keep_alive(shared_from_this(), std::move(task)));
}

awaitable<void> cell_member::keep_alive(std::shared_ptr<cell_member>, awaitable<void> task) {
    co_await std::move(task);
}

void cell_member::start() {
    const std::weak_ptr<cell_member> self = weak_from_this();
    config_follower::callbacks hooks;
    hooks.install = [self](std::shared_ptr<const queue_index> queues) {
        if (const auto member = self.lock()) {
            member->install_config(std::move(queues));
        }
    };
    hooks.record_store_read = [self](bool is_ok) {
        if (const auto member = self.lock()) {
            member->record_store_call(is_ok);
        }
    };
    configs_ =
        std::make_shared<config_follower>(context_, ports_.registry, directory_,
                                          settings_.limits.config_bound, std::move(hooks), ports_.responses);
    directory_->start();
    configs_->start();
    spawn("follow_owner", follow_owner());
}

bool cell_member::is_stopping() const {
    std::lock_guard lock(mutex_);
    return is_stopping_;
}

std::shared_ptr<cell_owner> cell_member::get_owner() const {
    std::lock_guard lock(mutex_);
    return owner_;
}

std::optional<cell_row> cell_member::get_owner_row() const {
    std::lock_guard lock(mutex_);
    return owner_row_;
}

void cell_member::record_store_call(bool is_ok) {
    std::lock_guard lock(mutex_);
    (is_ok ? store_ok_at_ : store_failed_at_) = std::chrono::steady_clock::now();
}

bool cell_member::is_ready() const {
    const bool is_current = is_config_current();
    std::lock_guard lock(mutex_);
    const bool is_store_lost = store_failed_at_ > store_ok_at_ &&
                               std::chrono::steady_clock::now() > store_ok_at_ + store_failure_grace;
    return is_current && !is_stopping_ && !is_store_lost;
}

awaitable<void> cell_member::stop(time_point deadline) {
    std::shared_ptr<cell_owner> owner;
    std::uint64_t lease = 0;
    {
        std::lock_guard lock(mutex_);
        is_stopping_ = true;
        owner = owner_;
        lease = lease_;
    }
    // Beside the hand-over, which must not wait for a slow store.
    spawn_task(context_, "remove_peer_record", directory_->stop(deadline));
    if (owner == nullptr || owner->is_over()) {
        co_return;
    }
    co_await owner->stop(deadline);
    // Ending the lease removes the owner record, so the other processes see at once that the cell is free.
    const auto status = co_await ports_.store.end_lease(lease, deadline);
    LOG(INFO) << "event=cell_handed_over token=" << owner->get_token() << " result=\""
              << (status.ok() ? "ok" : std::string(status.message())) << "\"";
}

void cell_member::install_config(std::shared_ptr<const queue_index> queues) {
    config_installed_.notify_all();
    metrics_.set_config_version(queues->get_config().version);
    metrics_.count(decision::config_change);
    if (const auto owner = get_owner(); owner != nullptr) {
        owner->set_queues(std::move(queues));
    }
}

void cell_member::set_owner_row(const store_item& item) {
    std::optional<cell_row> row;
    if (item.revision > 0) {
        const auto decoded = decode_cell_row(item.value);
        if (decoded.ok()) {
            row = *decoded;
        } else {
            LOG(ERROR) << "event=owner_unreadable error=\"" << decoded.status().message() << "\"";
        }
    }
    std::lock_guard lock(mutex_);
    if (row) {
        history_.record_owner(row->token, row->owner, row->address, std::chrono::steady_clock::now());
    }
    if (owner_row_ != row) {
        LOG(INFO) << "event=owner_seen token=" << (row ? row->token : 0)
                  << " owner=" << (row ? row->owner : "none") << " revision=" << item.revision;
    }
    owner_row_ = row;
}

void cell_member::set_overload(const store_item& item) {
    overload_notice notice;
    if (item.revision > 0) {
        const auto decoded = decode_overload_notice(item.value);
        if (decoded.ok()) {
            notice = *decoded;
        } else {
            LOG(ERROR) << "event=overload_unreadable error=\"" << decoded.status().message() << "\"";
        }
    }
    std::lock_guard lock(mutex_);
    overload_ = notice;
}

void cell_member::apply_owner_item(const store_item& item) {
    if (item.key == make_owner_key()) {
        set_owner_row(item);
    } else if (item.key == make_overload_key()) {
        set_overload(item);
    }
}

std::int64_t cell_member::get_retry_after_ms() const {
    std::lock_guard lock(mutex_);
    if (overload_.accepts_at_unix_ms == 0) {
        return 0;
    }
    // The notice ends the refusals, and not its time: clocks of VMs differ, and may jump.
    return std::clamp(overload_.accepts_at_unix_ms - get_unix_ms(), min_retry_after_ms, max_retry_after_ms);
}

awaitable<void> cell_member::publish_overload(std::shared_ptr<cell_owner> owner) {
    constexpr milliseconds interval{500};
    // An end that has moved by less is not worth a write.
    constexpr std::int64_t min_change_ms = 1500;
    while (!owner->is_over()) {
        co_await wait_until(get_deadline(interval));
        overload_notice present;
        {
            std::lock_guard lock(mutex_);
            present = overload_;
        }
        overload_notice wanted{owner->get_token(), 0};
        if (const auto end = owner->get_overload_end()) {
            const auto left = *end - std::chrono::steady_clock::now();
            wanted.accepts_at_unix_ms =
                get_unix_ms() + std::chrono::duration_cast<milliseconds>(left).count();
        }
        const bool has_switched = (present.accepts_at_unix_ms > 0) != (wanted.accepts_at_unix_ms > 0);
        if (has_switched ||
            std::abs(present.accepts_at_unix_ms - wanted.accepts_at_unix_ms) > min_change_ms) {
            co_await write_overload(wanted);
        }
    }
}

// A write that fails is repeated, since the watch still shows the earlier state.
awaitable<void> cell_member::write_overload(overload_notice notice) {
    const std::string key = make_overload_key();
    store_transaction transaction;
    {
        std::lock_guard lock(mutex_);
        transaction.conditions = {{make_cell_key(), cell_revision_}};
        if (notice.accepts_at_unix_ms > 0) {
            transaction.writes = {{key, encode_record(notice), lease_}};
        } else {
            transaction.removals = {key};
        }
    }
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    record_store_call(result.ok());
    LOG(INFO) << "event=overload_published token=" << notice.token
              << " accepts_at_unix_ms=" << notice.accepts_at_unix_ms
              << " applied=" << (result.ok() && result->is_applied);
}

awaitable<void> cell_member::follow_owner() {
    const std::string key = make_owner_key();
    const std::string prefix(owner_prefix);
    while (!is_stopping()) {
        // The watch begins at the revision of the listing, since the revision of the key may be older than
        // the history that the store retains.
        const auto listed_at = std::chrono::steady_clock::now();
        const auto listing = co_await ports_.store.list(prefix, get_store_deadline());
        record_store_call(listing.ok());
        if (!listing.ok()) {
            co_await wait_until(get_deadline(watch_retry_delay));
            continue;
        }
        {
            std::lock_guard lock(mutex_);
            store_delay_ =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - listed_at);
        }
        const auto find_item = [&](const std::string& wanted) {
            const auto found = std::find_if(listing->items.begin(), listing->items.end(),
                                            [&](const store_item& item) { return item.key == wanted; });
            return found == listing->items.end() ? store_item{wanted, std::string(), 0, 0} : *found;
        };
        const auto owner_item = find_item(key);
        bool is_owned = owner_item.revision > 0;
        apply_owner_item(owner_item);
        apply_owner_item(find_item(make_overload_key()));
        if (!is_owned) {
            co_await contest();
            continue;
        }
        std::uint64_t revision = listing->revision;
        while (is_owned && !is_stopping()) {
            const auto deadline = get_deadline(milliseconds(owner_wait_ms) + watch_margin);
            const auto changes = co_await ports_.store.watch(prefix, revision, owner_wait_ms, deadline);
            record_store_call(changes.ok() ||
                              get_error_kind(changes.status()) == error_kind::version_conflict);
            if (!changes.ok()) {
                break;
            }
            revision = changes->revision;
            for (const auto& change : changes->changes) {
                const auto& changed_key = change.item.key;
                apply_owner_item(change.is_removed ? store_item{changed_key, std::string(), 0, 0}
                                                   : change.item);
                is_owned = changed_key == key ? !change.is_removed : is_owned;
            }
        }
        if (is_owned) {
            co_await wait_until(get_deadline(milliseconds(20)));
        }
    }
}

std::int64_t cell_member::get_owner_lease_ms() const {
    return std::max(owner_lease_ms, settings_.min_store_lease_ms);
}

milliseconds cell_member::get_contest_delay() const {
    std::lock_guard lock(mutex_);
    const auto processors_milli = std::max<std::int64_t>(settings_.processors_milli, 10);
    const auto missing_milli = std::max<std::int64_t>(strong_processors_milli - processors_milli, 0);
    const auto missing_mbps =
        settings_.link_mbps > 0 ? std::max<std::int64_t>(strong_link_mbps - settings_.link_mbps, 0) : 0;
    const auto weak_delay_ms =
        std::max(missing_milli * weak_delay_ms_per_milli, missing_mbps * weak_delay_ms_per_mbps);
    const auto jitter_ms = static_cast<std::int64_t>(get_stable_hash(process_name_) % max_jitter_ms);
    const milliseconds delay(store_delay_.count() * store_latency_factor +
                             processor_delay_ms_milli / processors_milli + weak_delay_ms + jitter_ms);
    return std::min(delay, max_contest_delay);
}

awaitable<void> cell_member::contest() {
    if (co_await renew_claim()) {
        co_return;
    }
    const auto seen = config_installed_.get_count();
    if (get_queues() == nullptr) {
        // A cell cannot be served without a configuration. The delay begins only when there is one: otherwise
        // the process whose delay happens to end then would take the cell.
        co_await config_installed_.wait(seen, get_deadline(milliseconds(owner_wait_ms)));
        co_return;
    }
    // Each attempt costs store calls, so the process with the best connection and most processors tries
    // first.
    co_await wait_until(get_deadline(get_contest_delay()));
    if (is_stopping()) {
        co_return;
    }
    const std::string key = make_owner_key();
    const auto item = co_await ports_.store.get(key, get_store_deadline());
    if (!item.ok() || item->revision > 0) {
        co_return;
    }
    if (!co_await take_cell()) {
        co_await wait_until(get_deadline(milliseconds(50)));
    }
}

// Renews the claim of an owner whose lease expired, for example while the store was unavailable, unless
// another process has taken the cell. Returns true also if the store failed, so that the caller tries again,
// and false if this process has no claim that could be renewed.
awaitable<bool> cell_member::renew_claim() {
    const auto owner = get_owner();
    if (owner == nullptr || owner->is_over()) {
        co_return false;
    }
    const std::string key = make_cell_key();
    const auto row = co_await ports_.store.get(key, get_store_deadline());
    if (!row.ok()) {
        co_return true;
    }
    std::uint64_t expected = 0;
    {
        std::lock_guard lock(mutex_);
        expected = cell_revision_;
    }
    if (row->revision != expected) {
        co_return false;
    }
    const auto lease = co_await ports_.store.grant_lease(get_owner_lease_ms(), get_store_deadline());
    if (!lease.ok()) {
        co_return true;
    }
    const auto decoded = decode_cell_row(row->value);
    if (!decoded.ok()) {
        co_return false;
    }
    store_transaction transaction;
    transaction.conditions = {{key, expected}, {make_owner_key(), 0}};
    transaction.writes = {{make_owner_key(), row->value, lease->id}};
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    if (!result.ok() || !result->is_applied) {
        co_return true;
    }
    LOG(INFO) << "event=claim_renewed token=" << decoded->token << " lease=" << lease->id;
    {
        std::lock_guard lock(mutex_);
        lease_ = lease->id;
    }
    spawn("keep_lease", keep_lease(lease->id));
    co_return true;
}

awaitable<bool> cell_member::take_cell() {
    const std::string key = make_cell_key();
    const auto item = co_await ports_.store.get(key, get_store_deadline());
    if (!item.ok()) {
        co_return false;
    }
    cell_row row;
    if (item->revision > 0) {
        const auto decoded = decode_cell_row(item->value);
        if (!decoded.ok()) {
            LOG(ERROR) << "event=cell_row_unreadable error=\"" << decoded.status().message() << "\"";
            co_return false;
        }
        row = *decoded;
        std::lock_guard lock(mutex_);
        history_.record_owner(row.token, row.owner, row.address, std::chrono::steady_clock::now());
    }
    ++row.token;
    row.owner = process_name_;
    row.address = settings_.peer_address;
    co_return co_await write_claim(row, item->revision);
}

awaitable<bool> cell_member::write_claim(cell_row row, std::uint64_t expected_revision) {
    const auto lease = co_await ports_.store.grant_lease(get_owner_lease_ms(), get_store_deadline());
    if (!lease.ok()) {
        co_return false;
    }
    store_transaction transaction;
    transaction.conditions = {{make_cell_key(), expected_revision}, {make_owner_key(), 0}};
    transaction.writes = {{make_cell_key(), encode_record(row), 0},
                          {make_takeover_key(), encode_record(row), 0},
                          {make_owner_key(), encode_record(row), lease->id}};
    const auto result = co_await ports_.store.transact(transaction, get_store_deadline());
    std::uint64_t revision = 0;
    if (result.ok()) {
        revision = result->is_applied ? result->revision : 0;
    } else if (get_error_kind(result.status()) == error_kind::store_outcome_unknown) {
        // Two processes never write the same row, because it contains the process name and a new fencing
        // token.
        const std::string key = make_cell_key();
        const auto item = co_await ports_.store.get(key, get_store_deadline());
        const auto present =
            item.ok() ? decode_cell_row(item->value) : absl::StatusOr<cell_row>(item.status());
        revision = present.ok() && *present == row ? item->revision : 0;
    }
    if (revision == 0) {
        co_await release_lease(lease->id);
        co_return false;
    }
    LOG(INFO) << "event=cell_taken token=" << row.token << " revision=" << revision << " lease=" << lease->id;
    metrics_.count(decision::takeover);
    const cell_claim claim{row, revision, std::chrono::steady_clock::now()};
    const auto owner = std::make_shared<cell_owner>(
        context_, ports_, owner_limits{settings_.limits, settings_.link_mbps}, claim, metrics_);
    report_process(row.token);
    {
        std::lock_guard lock(mutex_);
        history_.record_owner(row.token, row.owner, row.address, claim.claimed_at);
        owner_ = owner;
        owner_row_ = row;
        lease_ = lease->id;
        cell_revision_ = revision;
    }
    owner->set_owner_history(get_history());
    owner->start(get_queues());
    spawn("ask_earlier_owners", ask_earlier_owners(owner));
    spawn("publish_overload", publish_overload(owner));
    spawn("keep_lease", keep_lease(lease->id));
    co_return true;
}

process_report cell_member::report_process(std::uint64_t token) {
    const auto uptime = std::chrono::steady_clock::now() - started_at_;
    process_report report{process_name_, std::chrono::duration_cast<milliseconds>(uptime).count(), 0};
    const auto owner = get_owner();
    if (owner == nullptr) {
        return report;
    }
    const auto own_token = owner->get_token();
    if (own_token < token) {
        owner->supersede(token);
        std::lock_guard lock(mutex_);
        history_.record_end(own_token, std::chrono::steady_clock::now());
    }
    report.acting_token = owner->is_over() ? 0 : own_token;
    return report;
}

std::vector<seen_owner> cell_member::get_possible_owners(std::uint64_t token) const {
    std::lock_guard lock(mutex_);
    return history_.get_possible_owners(token, std::chrono::steady_clock::now());
}

owner_history cell_member::get_history() const {
    std::lock_guard lock(mutex_);
    return history_;
}

awaitable<void> cell_member::ask_earlier_owners(std::shared_ptr<cell_owner> owner) {
    const auto token = owner->get_token();
    while (!owner->is_over()) {
        const auto possible = get_possible_owners(token);
        if (possible.empty()) {
            co_return;
        }
        for (const auto& earlier : possible) {
            co_await ask_earlier_owner(earlier, token);
        }
        owner->set_owner_history(get_history());
        co_await wait_until(get_deadline(process_query_pause));
    }
}

awaitable<void> cell_member::ask_earlier_owner(seen_owner earlier, std::uint64_t token) {
    const auto query = make_process_query(token);
    const auto response = co_await peers_.fetch(earlier.address, query, get_deadline(process_query_timeout));
    if (!response.ok()) {
        co_return;
    }
    const auto report = read_process_response(*response);
    const auto now = std::chrono::steady_clock::now();
    if (!report.ok() || (report->process == earlier.process && report->acting_token != 0)) {
        co_return;
    }
    // A VM runs one process at a time, so the process before had ended when this one started.
    const bool is_restarted = report->process != earlier.process;
    const auto ended_by = is_restarted ? now - milliseconds(report->uptime_ms) : now;
    LOG(INFO) << "event=earlier_owner_ended token=" << earlier.token << " owner=" << earlier.process
              << " restarted=" << is_restarted << " uptime_ms=" << report->uptime_ms;
    std::lock_guard lock(mutex_);
    history_.record_end(earlier.token, ended_by);
}

// A lease that cannot be ended expires by itself, so a failure only delays the next owner.
awaitable<void> cell_member::release_lease(std::uint64_t lease) {
    const auto status = co_await ports_.store.end_lease(lease, get_store_deadline());
    if (!status.ok()) {
        LOG(WARNING) << "event=lease_not_ended lease=" << lease << " error=\"" << status.message() << "\"";
    }
}

awaitable<void> cell_member::keep_lease(std::uint64_t lease) {
    const auto owner = get_owner();
    while (!owner->is_over()) {
        co_await wait_until(get_deadline(lease_renewal));
        {
            std::lock_guard lock(mutex_);
            if (lease_ != lease || owner_ != owner) {
                co_return;
            }
        }
        const auto status = co_await ports_.store.renew_lease(lease, get_store_deadline());
        record_store_call(status.ok());
        if (!status.ok() && get_error_kind(status) == error_kind::not_found) {
            LOG(WARNING) << "event=owner_lease_ended lease=" << lease;
            co_return;
        }
    }
    // Ownership ended while the lease is valid. Ending the lease lets the next owner take the cell at once.
    if (!is_stopping()) {
        co_await release_lease(lease);
    }
}

}  // namespace jacinthvane
