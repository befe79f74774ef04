#include "request/config_change.hpp"

#include <algorithm>
#include <utility>

#include "connection/async_signal.hpp"
#include "connection/fleet_config_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

using outcome = config_change_result::outcome;

constexpr std::chrono::milliseconds first_retry{20};
constexpr std::chrono::milliseconds longest_retry{2000};

// Returns the version created by the change with this mark, or 0 if there is none.
std::uint64_t find_mark(const fleet_config& config, const std::string& mark) {
    const auto found = std::find_if(config.changes.begin(), config.changes.end(),
                                    [&](const auto& change) { return change.mark == mark; });
    return found == config.changes.end() ? 0 : found->version;
}

// Returns whether the history still contains every change after the version.
bool is_history_complete(const fleet_config& config, std::uint64_t after_version) {
    return config.version <= after_version ||
           (!config.changes.empty() && config.changes.front().version <= after_version + 1);
}

std::vector<config_change_record> list_changes_after(const fleet_config& config, std::uint64_t version) {
    std::vector<config_change_record> changes;
    std::copy_if(config.changes.begin(), config.changes.end(), std::back_inserter(changes),
                 [&](const auto& change) { return change.version > version; });
    return changes;
}

// Encodes the configuration, dropping undo operations of the oldest changes until it fits into one store
// value. Returns an empty string if it still does not fit.
std::string encode_within_limit(fleet_config_ptr& config) {
    auto bytes = encode_fleet_config(*config);
    while (bytes.size() > max_config_bytes) {
        const auto smaller = drop_oldest_undo(*config);
        if (!smaller) {
            return {};
        }
        config = smaller;
        bytes = encode_fleet_config(*config);
    }
    return bytes;
}

// Returns an exponential delay with a spread derived from the mark. The mark differs between operators, so
// colliding operators retry at different times.
std::chrono::milliseconds get_retry_delay(int attempt, const std::string& mark) {
    const auto base = std::min(longest_retry, first_retry * (1 << std::min(attempt, 6)));
    const auto spread = std::hash<std::string>{}(mark + std::to_string(attempt)) % 50;
    return base + base * spread / 100;
}

// Applies one change to the configuration in the store, retrying until the deadline.
class change_attempt {
public:
    change_attempt(const config_store& store, const config_change& change,
                   std::optional<std::uint64_t> expected_version,
                   std::optional<std::uint64_t> rollback_version, time_point deadline)
        : store_(store),
          change_(change),
          expected_version_(expected_version),
          rollback_version_(rollback_version),
          deadline_(deadline) {}

    awaitable<config_change_result> run() {
        for (int attempt = 0;; ++attempt) {
            auto loaded = co_await load_config(store_, deadline_);
            if (loaded.ok()) {
                result_.config = loaded->config;
                if (!first_version_) {
                    first_version_ = expected_version_.value_or(loaded->config->version);
                }
                if (decide_from_history(*loaded->config)) {
                    co_return result_;
                }
                auto next = make_next(*loaded->config);
                if (!next) {
                    co_return result_;
                }
                const auto bytes = encode_within_limit(next);
                if (bytes.empty()) {
                    result_.result = outcome::invalid;
                    result_.errors = {{"", "the configuration no longer fits into one store value (" +
                                               std::to_string(max_config_bytes) + " bytes)"}};
                    co_return result_;
                }
                const auto written =
                    co_await store_.compare_and_swap(config_path, loaded->revision, bytes, deadline_);
                if (written.ok()) {
                    result_.result = outcome::applied;
                    result_.applied_version = next->version;
                    result_.config = next;
                    co_return result_;
                }
                if (get_error_kind(written.status()) == error_kind::store_outcome_unknown) {
                    // The write may still take effect later. The next attempt writes against the same
                    // revision or finds the mark, so at most one write takes effect.
                    is_write_open_ = true;
                }
            } else if (get_error_kind(loaded.status()) == error_kind::bad_configuration) {
                result_.result = outcome::invalid;
                result_.errors = {{config_path, std::string(loaded.status().message())}};
                co_return result_;
            }
            const auto retry_at = std::chrono::steady_clock::now() + get_retry_delay(attempt, change_.mark);
            if (retry_at >= deadline_) {
                result_.result = is_write_open_ ? outcome::unknown : outcome::store_unavailable;
                co_return result_;
            }
            co_await wait_until(retry_at);
        }
    }

private:
    // Sets the result and returns true if the history already determines the outcome of the change.
    bool decide_from_history(const fleet_config& config) {
        if (const auto version = find_mark(config, change_.mark); version != 0) {
            result_.result = outcome::applied;
            result_.applied_version = version;
            return true;
        }
        if (is_write_open_ && !is_history_complete(config, *first_version_)) {
            result_.result = outcome::unknown;
            return true;
        }
        if (expected_version_ && config.version != *expected_version_) {
            result_.result = outcome::conflict;
            result_.others = list_changes_after(config, *expected_version_);
            return true;
        }
        return false;
    }

    // Returns the next version. On invalid input, stores the errors in the result and returns nullptr.
    fleet_config_ptr make_next(const fleet_config& config) {
        auto change = change_;
        if (rollback_version_) {
            auto made = make_rollback(config, *rollback_version_);
            if (auto* errors = std::get_if<config_errors>(&made)) {
                result_.result = outcome::invalid;
                result_.errors = std::move(*errors);
                return nullptr;
            }
            change.operations = std::move(std::get<std::vector<config_operation>>(made));
        }
        auto applied = apply_change(config, change);
        if (auto* errors = std::get_if<config_errors>(&applied)) {
            result_.result = outcome::invalid;
            result_.errors = std::move(*errors);
            return nullptr;
        }
        return std::get<fleet_config_ptr>(applied);
    }

    const config_store& store_;
    const config_change& change_;
    const std::optional<std::uint64_t> expected_version_;
    const std::optional<std::uint64_t> rollback_version_;
    const time_point deadline_;
    std::optional<std::uint64_t> first_version_;
    bool is_write_open_ = false;
    config_change_result result_;
};

}  // namespace

config_store make_config_store(store_client& client) {
    return {.get = [&client](std::string path,
                             time_point deadline) { return client.get(std::move(path), deadline); },
            .compare_and_swap =
                [&client](std::string path, std::uint64_t expected_revision, std::string bytes,
                          time_point deadline) {
                    return client.compare_and_swap(std::move(path), expected_revision, std::move(bytes),
                                                   store_lease{}, deadline);
                }};
}

awaitable<absl::StatusOr<loaded_config>> load_config(const config_store& store, time_point deadline) {
    auto stored = co_await store.get(config_path, deadline);
    if (!stored.ok()) {
        if (get_error_kind(stored.status()) == error_kind::not_found) {
            co_return loaded_config{0, std::make_shared<const fleet_config>()};
        }
        co_return stored.status();
    }
    auto decoded = decode_fleet_config(stored->bytes);
    if (const auto* errors = std::get_if<config_errors>(&decoded)) {
        co_return make_error(error_kind::bad_configuration,
                             "the value at config/fleet cannot be read: " + format_errors(*errors));
    }
    co_return loaded_config{stored->revision, std::get<fleet_config_ptr>(decoded)};
}

awaitable<config_change_result> change_config(config_store store, config_change change,
                                              std::optional<std::uint64_t> expected_version,
                                              time_point deadline) {
    change_attempt attempt(store, change, expected_version, std::nullopt, deadline);
    auto result = co_await attempt.run();
    co_return result;
}

awaitable<config_change_result> roll_back_config(config_store store, config_change change,
                                                 std::uint64_t target_version, std::uint64_t expected_version,
                                                 time_point deadline) {
    change_attempt attempt(store, change, expected_version, target_version, deadline);
    auto result = co_await attempt.run();
    co_return result;
}

}  // namespace jacinthvane
