#include "request/config_follower.hpp"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <glog/logging.h>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"
#include "request/peer_queries.hpp"
#include "request/store_timing.hpp"

namespace jacinthvane {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t relay_connections = 2;
// A configuration is about 1 MB.
constexpr std::size_t max_report_bytes = 8U << 20U;
// Pause after a failed read. While the store is unavailable, every process that reads from it retries at
// this rate.
constexpr milliseconds retry_delay{200};
// How long the store holds a watch. Each response that reports no change confirms the configuration of all
// processes of a region, so it has to come several times within the bound.
constexpr std::int64_t store_wait_ms = 800;
constexpr milliseconds store_margin{500};
// How long a relay holds a query. Longer than store_wait_ms, since a confirmation comes once in that time.
constexpr std::int64_t relay_wait_ms = 1300;
constexpr milliseconds relay_margin{400};
// The same for the first query to a relay. It has to show soon whether the relay is there, and a relay with a
// configuration responds to it at once.
constexpr std::int64_t first_wait_ms = 100;
// A relay whose last confirmation is older has lost its own source.
constexpr milliseconds max_relay_age{1250};
constexpr milliseconds avoidance{5000};
// How long a new process waits for the list of the others, so that it need not read from the store.
constexpr milliseconds max_list_wait{1000};
constexpr milliseconds list_check_interval{20};
// How long it then waits for a stronger one that starts at the same time.
constexpr milliseconds max_settle_wait{400};
// Allows for the time between the check and the response.
constexpr milliseconds bound_margin{100};
constexpr std::size_t max_history = 4;

}  // namespace

config_follower::config_follower(asio::io_context& context, registry_port registry,
                                 std::shared_ptr<peer_directory> directory, milliseconds config_bound,
                                 callbacks hooks, std::shared_ptr<response_budget> responses)
    : context_(context),
      registry_(std::move(registry)),
      directory_(std::move(directory)),
      config_bound_(config_bound),
      hooks_(std::move(hooks)),
      relay_client_(context, relay_connections, {max_report_bytes, std::move(responses)}) {}

void config_follower::start() {
    spawn_task(context_, "follow_config", follow(shared_from_this()));
}

std::shared_ptr<const queue_index> config_follower::get_queues() const {
    std::lock_guard lock(mutex_);
    return queues_;
}

bool config_follower::is_current() const {
    std::lock_guard lock(mutex_);
    return queues_ != nullptr && get_suspend_aware_now() < confirmed_at_ + config_bound_ - bound_margin;
}

std::uint64_t config_follower::get_version() const {
    std::lock_guard lock(mutex_);
    return queues_ == nullptr ? 0 : queues_->get_config().version;
}

awaitable<void> config_follower::follow(std::shared_ptr<config_follower> self) {
    co_await self->wait_for_peers();
    while (true) {
        const auto relay = self->find_relay(std::chrono::steady_clock::now());
        if (relay && co_await self->follow_relay(*relay)) {
            continue;
        }
        // A relay that failed is avoided, so the next round asks another one or the store.
        if (!relay && !co_await self->follow_store()) {
            co_await wait_until(get_deadline(retry_delay));
        }
    }
}

awaitable<void> config_follower::wait_for_peers() {
    const auto list_deadline = get_deadline(max_list_wait);
    while (!directory_->is_loaded() && std::chrono::steady_clock::now() < list_deadline) {
        co_await wait_until(get_deadline(list_check_interval));
    }
    const auto settle_deadline = get_deadline(max_settle_wait);
    while (!find_relay(std::chrono::steady_clock::now()) &&
           std::chrono::steady_clock::now() < settle_deadline) {
        co_await wait_until(get_deadline(list_check_interval));
    }
}

std::optional<live_peer> config_follower::find_relay(time_point now) {
    std::erase_if(avoided_until_, [now](const auto& entry) { return entry.second <= now; });
    auto peers = directory_->get_peers();
    std::erase_if(peers, [this](const live_peer& peer) { return avoided_until_.contains(peer.process); });
    return choose_relay(directory_->get_self(), peers);
}

void config_follower::avoid(const live_peer& relay, const std::string& reason) {
    LOG(INFO) << "event=relay_avoided relay=" << relay.process << " reason=\"" << reason << "\"";
    avoided_until_[relay.process] = get_deadline(avoidance);
    position_ = relay_position();
    set_source_alive(false);
}

void config_follower::set_source_alive(bool is_alive) {
    {
        std::lock_guard lock(mutex_);
        if (is_source_alive_ == is_alive) {
            return;
        }
        is_source_alive_ = is_alive;
    }
    changed_.notify_all();
}

awaitable<bool> config_follower::follow_relay(live_peer relay) {
    if (position_.process != relay.process) {
        LOG(INFO) << "event=relay_chosen relay=" << relay.process << " address=" << relay.address;
        position_ = {relay.process, 0};
    }
    const auto wait_ms = position_.confirmation == 0 ? first_wait_ms : relay_wait_ms;
    const auto request = make_config_query({get_version(), position_.confirmation, wait_ms});
    call_options options;
    options.late = late_response::read_while_arriving;
    const auto sent_at = get_suspend_aware_now();
    const auto deadline = get_deadline(milliseconds(wait_ms) + relay_margin);
    const auto response = co_await relay_client_.fetch(relay.address, request, deadline, options);
    if (!response.ok()) {
        if (get_error_kind(response.status()) != error_kind::call_delayed) {
            avoid(relay, std::string(response.status().message()));
        }
        co_return false;
    }
    const auto report = read_config_response(*response);
    if (!report.ok()) {
        avoid(relay, std::string(report.status().message()));
        co_return false;
    }
    if (report->revision == 0) {
        // The relay has no configuration yet. It held the query, so this is no busy loop.
        co_return true;
    }
    // The relay sent its response at the earliest held_ms after this process sent the query.
    const auto confirmed_at = sent_at + milliseconds(report->held_ms) - milliseconds(report->age_ms);
    if (const auto status = apply(*report, confirmed_at); !status.ok()) {
        avoid(relay, std::string(status.message()));
        co_return false;
    }
    position_.confirmation = report->confirmation;
    if (is_left_behind(relay, *report)) {
        co_return false;
    }
    set_source_alive(report->is_source_alive);
    co_return true;
}

bool config_follower::is_left_behind(const live_peer& relay, const config_report& report) {
    const auto now = std::chrono::steady_clock::now();
    if (report.is_source_alive || milliseconds(report.age_ms) <= max_relay_age) {
        return false;
    }
    // Two relays in a row that are left behind point to the store. All processes at the store at once would
    // not help it, and would all read the next configuration from it.
    if (now < left_behind_until_) {
        return false;
    }
    left_behind_until_ = now + avoidance;
    avoid(relay, "its configuration was confirmed " + std::to_string(report.age_ms) + " ms ago");
    return true;
}

awaitable<bool> config_follower::follow_store() {
    position_ = relay_position();
    std::uint64_t revision = 0;
    std::int64_t wait_ms = store_wait_ms;
    const auto started_at = std::chrono::steady_clock::now();
    const auto sent_at = get_suspend_aware_now();
    {
        std::lock_guard lock(mutex_);
        revision = revision_;
        // Without a recent confirmation the first watch only has to bring one.
        wait_ms = sent_at > confirmed_at_ + max_relay_age ? 0 : store_wait_ms;
    }
    // A watch from a known revision brings no value that has not changed.
    const bool is_watch = revision > 0 && !is_history_lost_;
    absl::StatusOr<config_state> state = absl::UnknownError("not read");
    if (is_watch) {
        const auto deadline = get_deadline(milliseconds(wait_ms) + store_margin);
        state = co_await registry_.watch_config(revision, wait_ms, deadline);
    } else {
        state = co_await registry_.get_config(get_store_deadline());
    }
    const auto time = duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at);
    const bool is_history_lost =
        !state.ok() && get_error_kind(state.status()) == error_kind::version_conflict;
    hooks_.record_store_read(state.ok() || is_history_lost);
    set_source_alive(state.ok() || is_history_lost);
    if (!state.ok()) {
        is_history_lost_ = is_history_lost_ || is_history_lost;
        if (!is_history_lost) {
            LOG(WARNING) << "event=config_read_failed full=" << !is_watch << " after_ms=" << time.count()
                         << " error=\"" << state.status().message() << "\"";
        }
        co_return is_history_lost;
    }
    is_history_lost_ = false;
    if (state->config != nullptr) {
        auto sorted = std::make_shared<dispatch_config>(*state->config);
        sort_queues(*sorted);
        install(std::move(sorted), "full");
    }
    // An empty watch proves that nothing had changed when it ended. Any other read proves it for the time at
    // which it was sent only.
    const bool is_held = is_watch && state->config == nullptr && time >= milliseconds(wait_ms);
    confirm(is_held ? sent_at + milliseconds(wait_ms) : sent_at, state->revision);
    co_return true;
}

absl::Status config_follower::apply(const config_report& report, time_point confirmed_at) {
    struct visitor {
        config_follower& follower;

        absl::Status operator()(const config_unchanged&) const { return absl::OkStatus(); }
        absl::Status operator()(const config_delta& delta) const {
            const auto present = follower.get_queues();
            auto next = apply_delta(present == nullptr ? dispatch_config() : present->get_config(), delta);
            if (next.ok()) {
                follower.install(std::make_shared<const dispatch_config>(std::move(*next)), "delta");
            }
            return next.status();
        }
        absl::Status operator()(const dispatch_config& config) const {
            follower.install(std::make_shared<const dispatch_config>(config), "full");
            return absl::OkStatus();
        }
    };
    if (auto status = std::visit(visitor{*this}, report.update); !status.ok()) {
        return status;
    }
    is_history_lost_ = false;
    confirm(confirmed_at, report.revision);
    return absl::OkStatus();
}

void config_follower::install(std::shared_ptr<const dispatch_config> next, const char* form) {
    const auto present = get_queues();
    if (present != nullptr && next->version <= present->get_config().version) {
        return;
    }
    const auto queues = std::make_shared<const queue_index>(next);
    {
        std::lock_guard lock(mutex_);
        queues_ = queues;
        history_.push_back(next);
        if (history_.size() > max_history) {
            history_.pop_front();
        }
    }
    changed_.notify_all();
    LOG(INFO) << "event=config_installed version=" << next->version << " queues=" << next->queues.size()
              << " form=" << form << " relay=" << (position_.process.empty() ? "none" : position_.process);
    hooks_.install(queues);
}

void config_follower::confirm(time_point confirmed_at, std::uint64_t revision) {
    {
        std::lock_guard lock(mutex_);
        if (queues_ == nullptr || confirmed_at <= confirmed_at_) {
            revision_ = std::max(revision_, revision);
            return;
        }
        confirmed_at_ = confirmed_at;
        revision_ = std::max(revision_, revision);
        ++confirmation_;
    }
    changed_.notify_all();
}

config_report config_follower::make_report(const config_query& query) const {
    config_report report;
    std::lock_guard lock(mutex_);
    if (queues_ == nullptr) {
        return report;
    }
    report.revision = revision_;
    report.confirmation = confirmation_;
    report.is_source_alive = is_source_alive_;
    report.age_ms = duration_cast<milliseconds>(get_suspend_aware_now() - confirmed_at_).count() + 1;
    const auto& config = queues_->get_config();
    if (config.version <= query.version) {
        return report;
    }
    const auto base = std::find_if(history_.begin(), history_.end(),
                                   [&](const auto& earlier) { return earlier->version == query.version; });
    if (base == history_.end()) {
        report.update = config;
    } else {
        report.update = make_delta(**base, config);
    }
    return report;
}

awaitable<config_report> config_follower::get_report(config_query query) {
    const auto self = shared_from_this();
    const auto received_at = std::chrono::steady_clock::now();
    const auto max_wait = milliseconds(std::clamp<std::int64_t>(query.wait_ms, 0, relay_wait_ms));
    const auto deadline = received_at + max_wait;
    bool was_source_alive = false;
    while (true) {
        const auto seen = changed_.get_count();
        auto report = make_report(query);
        const bool has_lost_source = was_source_alive && !report.is_source_alive;
        const bool is_news =
            report.revision > 0 && (report.confirmation != query.confirmation || has_lost_source ||
                                    !std::holds_alternative<config_unchanged>(report.update));
        if (is_news || std::chrono::steady_clock::now() >= deadline) {
            const auto held = std::chrono::steady_clock::now() - received_at;
            report.held_ms = duration_cast<milliseconds>(held).count();
            co_return report;
        }
        was_source_alive = report.is_source_alive;
        co_await changed_.wait(seen, deadline);
    }
}

}  // namespace jacinthvane
