#include "request/config_service.hpp"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "connection/spawn_task.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

// This is shorter than the 8 s within which a change must take effect, so that a lost call leaves time for a
// retry.
constexpr std::chrono::milliseconds call_timeout{2000};
// How long one watch call waits for a change. Each waiting call counts as one call of the store's budget.
constexpr std::chrono::milliseconds watch_time{20000};
// How often a process that does not watch the store checks whether it has become the watcher and whether
// gossip announced a newer version.
constexpr std::chrono::milliseconds watcher_check_interval{500};

}  // namespace

struct config_service::shared_state {
    explicit shared_state(asio::io_context& io) : context(io) {}

    asio::io_context& context;
    std::shared_ptr<store_client> store;
    std::shared_ptr<member_table> members;
    peer_call call_peer;
    std::chrono::milliseconds retry_interval{0};
    validator validate;
    std::vector<install_callback> callbacks;
    async_signal changed;
    async_signal members_changed;

    // Held while callbacks run, so that they receive the versions in order.
    ordered_mutex install_order{lock_rank::config_install};
    mutable ordered_mutex mutex{lock_rank::fleet_config};
    std::shared_ptr<const config_bytes> current;
    config_service_counts counts;
    bool is_stopped = false;

    bool has_stopped() const {
        std::lock_guard lock(mutex);
        return is_stopped;
    }
};

std::optional<std::uint64_t> read_config_version(std::string_view bytes) {
    const auto json = nlohmann::json::parse(bytes, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    const auto version = json.find("version");
    if (version == json.end() || !version->is_number_unsigned() || version->get<std::uint64_t>() == 0) {
        return std::nullopt;
    }
    return version->get<std::uint64_t>();
}

config_service::config_service(asio::io_context& context, std::shared_ptr<store_client> store,
                               std::shared_ptr<member_table> members, peer_call call_peer,
                               std::chrono::milliseconds retry_interval)
    : state_(std::make_shared<shared_state>(context)) {
    state_->store = std::move(store);
    state_->members = std::move(members);
    state_->call_peer = std::move(call_peer);
    state_->retry_interval = retry_interval;
}

config_service::~config_service() {
    stop();
}

void config_service::set_validator(validator validate) {
    state_->validate = std::move(validate);
}

void config_service::add_install_callback(install_callback callback) {
    state_->callbacks.push_back(std::move(callback));
}

void config_service::start() {
    spawn_task(state_->context, "follow_config_store", follow_store(state_));
    spawn_task(state_->context, "follow_config_peers", follow_peers(state_));
}

void config_service::stop() {
    {
        std::lock_guard lock(state_->mutex);
        state_->is_stopped = true;
    }
    state_->members_changed.notify_all();
}

std::shared_ptr<const config_bytes> config_service::get_current() const {
    std::lock_guard lock(state_->mutex);
    return state_->current;
}

config_service_counts config_service::get_counts() const {
    std::lock_guard lock(state_->mutex);
    return state_->counts;
}

awaitable<bool> config_service::wait_for_version(std::uint64_t version, time_point deadline) {
    const auto state = state_;
    while (true) {
        const auto seen = state->changed.get_count();
        {
            std::lock_guard lock(state->mutex);
            if (state->current && state->current->version >= version) {
                co_return true;
            }
        }
        if (!co_await state->changed.wait(seen, deadline)) {
            co_return false;
        }
    }
}

absl::StatusOr<bool> config_service::install(std::string bytes) {
    return install(*state_, std::move(bytes));
}

absl::StatusOr<bool> config_service::install(shared_state& state, std::string bytes) {
    const auto version = read_config_version(bytes);
    absl::Status refusal;
    std::shared_ptr<const config_bytes> installed;
    if (version) {
        installed = std::make_shared<const config_bytes>(config_bytes{*version, std::move(bytes)});
        refusal = state.validate ? state.validate(*installed) : absl::OkStatus();
    } else {
        refusal = make_error(error_kind::bad_configuration,
                             "the version of the fleet configuration is missing or not a positive integer");
    }
    std::lock_guard order(state.install_order);
    {
        std::lock_guard lock(state.mutex);
        if (!refusal.ok()) {
            ++state.counts.refused;
            return refusal;
        }
        if (state.current && state.current->version >= installed->version) {
            state.counts.older += state.current->version > installed->version ? 1 : 0;
            return false;
        }
        state.current = installed;
        ++state.counts.installed;
    }
    state.members->set_config_version(installed->version);
    for (const auto& callback : state.callbacks) {
        callback(installed);
    }
    LOG(INFO) << "event=config_installed version=" << installed->version
              << " bytes=" << installed->bytes.size();
    state.changed.notify_all();
    return true;
}

void config_service::notify_members_changed() {
    state_->members_changed.notify_all();
}

peer_reply config_service::serve_fetch(const fetch_config_request& request) const {
    const auto current = get_current();
    if (!current) {
        return make_error_reply(make_error(error_kind::not_ready, "this process has no configuration yet"));
    }
    const bool is_newer = current->version > request.known_version;
    return fetch_config_reply{.version = current->version,
                              .bytes = is_newer ? current->bytes : std::string()};
}

awaitable<void> config_service::wait_for_change(std::shared_ptr<shared_state> state, std::uint64_t seen,
                                                std::chrono::milliseconds interval) {
    co_await state->members_changed.wait(seen, std::chrono::steady_clock::now() + interval);
}

awaitable<bool> config_service::read_store(std::shared_ptr<shared_state> state, std::uint64_t& revision) {
    std::string path(store_path);
    const auto now = std::chrono::steady_clock::now();
    absl::StatusOr<stored_value> value;
    if (revision == 0) {
        value = co_await state->store->get(std::move(path), now + call_timeout);
    } else {
        value = co_await state->store->watch(std::move(path), revision, now + watch_time);
    }
    if (!value.ok()) {
        std::lock_guard lock(state->mutex);
        ++state->counts.failed_store_calls;
        co_return false;
    }
    // A removed value has revision 0, which makes the next call a get.
    const bool has_changed = value->revision != revision;
    revision = value->revision;
    if (has_changed && value->revision != 0) {
        const auto installed = install(*state, std::move(value->bytes));
        std::lock_guard lock(state->mutex);
        state->counts.from_store += installed.ok() && *installed ? 1 : 0;
    }
    co_return value->revision != 0;
}

awaitable<void> config_service::follow_store(std::shared_ptr<shared_state> state) {
    std::uint64_t revision = 0;
    while (!state->has_stopped()) {
        const auto seen = state->members_changed.get_count();
        bool has_config = false;
        {
            std::lock_guard lock(state->mutex);
            has_config = state->current != nullptr;
        }
        if (has_config && !state->members->is_config_watcher()) {
            // From now on changes are received from peers. A later watch starts with a get.
            revision = 0;
            co_await wait_for_change(state, seen, watcher_check_interval);
            continue;
        }
        if (!co_await read_store(state, revision)) {
            revision = 0;
            co_await state->members_changed.wait(state->members_changed.get_count(),
                                                 std::chrono::steady_clock::now() + state->retry_interval);
        }
    }
}

awaitable<void> config_service::follow_peers(std::shared_ptr<shared_state> state) {
    while (!state->has_stopped()) {
        const auto seen = state->members_changed.get_count();
        const auto newest = state->members->get_newest_config();
        std::uint64_t installed_version = 0;
        {
            std::lock_guard lock(state->mutex);
            installed_version = state->current ? state->current->version : 0;
        }
        if (!newest || newest->version <= installed_version) {
            co_await wait_for_change(state, seen, watcher_check_interval);
            continue;
        }
        peer_request request = fetch_config_request{.known_version = installed_version};
        const auto deadline = std::chrono::steady_clock::now() + call_timeout;
        const auto reply = co_await state->call_peer(newest->peer_address, std::move(request), deadline);
        const auto* fetched = reply.ok() ? std::get_if<fetch_config_reply>(&*reply) : nullptr;
        bool is_installed = false;
        if (fetched != nullptr && !fetched->bytes.empty()) {
            const auto installed = install(*state, fetched->bytes);
            is_installed = installed.ok() && *installed;
        }
        {
            std::lock_guard lock(state->mutex);
            ++(is_installed ? state->counts.from_peers : state->counts.failed_peer_calls);
        }
        if (!is_installed) {
            // This wait ignores gossip, so that a failing peer is not called more often.
            co_await wait_until(std::chrono::steady_clock::now() + state->retry_interval);
        }
    }
}

}  // namespace jacinthvane
