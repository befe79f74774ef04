#include "connection/store_client.hpp"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "connection/store_http_codec.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane {

namespace {

constexpr std::size_t max_connections = 16;
constexpr std::size_t max_watch_connections = 16;
// The time that the response to a watch may take after the end of the wait.
constexpr std::chrono::milliseconds watch_response_margin{1000};

enum class call_effect { read, write };

std::string get_value_target(const std::string& path) {
    return "/v1/kv/" + encode_store_path(path);
}

std::string get_lease_target(store_lease lease) {
    return "/v1/leases/" + std::to_string(lease.id);
}

http_request make_request(const char* method, std::string target) {
    http_request request;
    request.method = method;
    request.target = std::move(target);
    return request;
}

// A write whose connection failed after the request was sent may have taken effect.
absl::Status make_transport_error(const absl::Status& failure, call_effect effect) {
    const auto text = "store call failed: " + std::string(failure.message());
    const bool may_have_effect =
        effect == call_effect::write && get_run_knowledge(failure) != run_knowledge::not_run;
    return make_error(may_have_effect ? error_kind::store_outcome_unknown : error_kind::store_unavailable,
                      text);
}

absl::Status check_response(const http_response& response, const std::string& target, call_effect effect) {
    const auto text = "store responded with status " + std::to_string(response.status) + " to " + target;
    switch (response.status) {
        case 200:
        case 201:
        case 204:
            return absl::OkStatus();
        case 404:
            return make_error(error_kind::not_found, text);
        case 412:
            return make_error(error_kind::version_conflict, text);
        case 429:
            return make_error(error_kind::overloaded, text);
        case 503:
            return make_error(error_kind::store_unavailable, text);
        default:
            break;
    }
    // A request that gets a client error had no effect. With any other status, the effect is unknown.
    const bool is_refused = response.status >= 400 && response.status < 500;
    return make_error(effect == call_effect::read || is_refused ? error_kind::store_unavailable
                                                                : error_kind::store_outcome_unknown,
                      text);
}

awaitable<absl::StatusOr<http_response>> send(http_client& client, std::string address, http_request request,
                                              call_effect effect, time_point deadline) {
    const auto target = request.target;
    auto response = co_await client.fetch(address, std::move(request), deadline);
    if (!response.ok()) {
        co_return make_transport_error(response.status(), effect);
    }
    auto status = check_response(*response, target, effect);
    if (!status.ok()) {
        co_return status;
    }
    co_return std::move(*response);
}

absl::StatusOr<std::uint64_t> read_revision(const http_response& response, call_effect effect) {
    const auto revision = parse_number(response.get_header("X-Revision"));
    if (!revision || *revision == 0) {
        return make_error(
            effect == call_effect::write ? error_kind::store_outcome_unknown : error_kind::store_unavailable,
            "the store's response has no valid X-Revision header");
    }
    return *revision;
}

awaitable<absl::StatusOr<stored_value>> call_get(std::shared_ptr<memory_store> store, std::string path,
                                                 time_point /*deadline*/) {
    co_return store->get(path);
}

awaitable<absl::StatusOr<std::uint64_t>> call_compare_and_swap(std::shared_ptr<memory_store> store,
                                                               std::string path,
                                                               std::uint64_t expected_revision,
                                                               std::string bytes, store_lease lease,
                                                               time_point /*deadline*/) {
    co_return store->compare_and_swap(path, expected_revision, bytes, lease);
}

awaitable<absl::Status> call_remove(std::shared_ptr<memory_store> store, std::string path,
                                    std::uint64_t expected_revision, time_point /*deadline*/) {
    co_return store->remove(path, expected_revision);
}

awaitable<absl::StatusOr<store_lease>> call_grant_lease(std::shared_ptr<memory_store> store,
                                                        std::chrono::milliseconds time_to_live,
                                                        time_point /*deadline*/) {
    co_return store->grant_lease(time_to_live);
}

awaitable<absl::Status> call_renew_lease(std::shared_ptr<memory_store> store, store_lease lease,
                                         time_point /*deadline*/) {
    co_return store->renew_lease(lease);
}

awaitable<absl::Status> call_release_lease(std::shared_ptr<memory_store> store, store_lease lease,
                                           time_point /*deadline*/) {
    co_return store->release_lease(lease);
}

awaitable<absl::StatusOr<stored_value>> call_watch(std::shared_ptr<memory_store> store, std::string path,
                                                   std::uint64_t seen_revision, time_point deadline) {
    co_return co_await store->watch(path, seen_revision, deadline);
}

// The backends that support deadlines have the same signatures.
template <typename Store>
awaitable<absl::StatusOr<stored_value>> call_get(std::shared_ptr<Store> store, std::string path,
                                                 time_point deadline) {
    co_return co_await store->get(path, deadline);
}

template <typename Store>
awaitable<absl::StatusOr<std::uint64_t>> call_compare_and_swap(std::shared_ptr<Store> store, std::string path,
                                                               std::uint64_t expected_revision,
                                                               std::string bytes, store_lease lease,
                                                               time_point deadline) {
    co_return co_await store->compare_and_swap(path, expected_revision, bytes, lease, deadline);
}

template <typename Store>
awaitable<absl::Status> call_remove(std::shared_ptr<Store> store, std::string path,
                                    std::uint64_t expected_revision, time_point deadline) {
    co_return co_await store->remove(path, expected_revision, deadline);
}

template <typename Store>
awaitable<absl::StatusOr<store_lease>> call_grant_lease(std::shared_ptr<Store> store,
                                                        std::chrono::milliseconds time_to_live,
                                                        time_point deadline) {
    co_return co_await store->grant_lease(time_to_live, deadline);
}

template <typename Store>
awaitable<absl::Status> call_renew_lease(std::shared_ptr<Store> store, store_lease lease,
                                         time_point deadline) {
    co_return co_await store->renew_lease(lease, deadline);
}

template <typename Store>
awaitable<absl::Status> call_release_lease(std::shared_ptr<Store> store, store_lease lease,
                                           time_point deadline) {
    co_return co_await store->release_lease(lease, deadline);
}

template <typename Store>
awaitable<absl::StatusOr<stored_value>> call_watch(std::shared_ptr<Store> store, std::string path,
                                                   std::uint64_t seen_revision, time_point deadline) {
    co_return co_await store->watch(path, seen_revision, deadline);
}

}  // namespace

http_store::http_store(asio::io_context& context, std::string address)
    : address_(std::move(address)),
      client_(context, max_connections),
      watch_client_(context, max_watch_connections) {}

awaitable<absl::StatusOr<stored_value>> http_store::get(std::string path, time_point deadline) {
    auto request = make_request("GET", get_value_target(path));
    auto response = co_await send(client_, address_, std::move(request), call_effect::read, deadline);
    if (!response.ok()) {
        co_return response.status();
    }
    const auto revision = read_revision(*response, call_effect::read);
    if (!revision.ok()) {
        co_return revision.status();
    }
    co_return stored_value{*revision, std::move(response->body)};
}

awaitable<absl::StatusOr<std::uint64_t>> http_store::compare_and_swap(std::string path,
                                                                      std::uint64_t expected_revision,
                                                                      std::string bytes, store_lease lease,
                                                                      time_point deadline) {
    auto target = get_value_target(path);
    if (lease.id != 0) {
        target += "?lease=" + std::to_string(lease.id);
    }
    auto request = make_request("PUT", std::move(target));
    request.headers["If-Match"] = std::to_string(expected_revision);
    request.body = std::move(bytes);
    auto response = co_await send(client_, address_, std::move(request), call_effect::write, deadline);
    if (!response.ok()) {
        co_return response.status();
    }
    co_return read_revision(*response, call_effect::write);
}

awaitable<absl::Status> http_store::remove(std::string path, std::uint64_t expected_revision,
                                           time_point deadline) {
    auto request = make_request("DELETE", get_value_target(path));
    request.headers["If-Match"] = std::to_string(expected_revision);
    const auto response = co_await send(client_, address_, std::move(request), call_effect::write, deadline);
    co_return response.status();
}

awaitable<absl::StatusOr<store_lease>> http_store::grant_lease(std::chrono::milliseconds time_to_live,
                                                               time_point deadline) {
    auto request = make_request("POST", "/v1/leases?ttl_ms=" + std::to_string(time_to_live.count()));
    auto response = co_await send(client_, address_, std::move(request), call_effect::write, deadline);
    if (!response.ok()) {
        co_return response.status();
    }
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (!body.is_object() || !body.contains("lease") || !body["lease"].is_number_unsigned()) {
        co_return make_error(error_kind::store_outcome_unknown, "the store's response has no lease id");
    }
    co_return store_lease{body["lease"].get<std::uint64_t>()};
}

awaitable<absl::Status> http_store::renew_lease(store_lease lease, time_point deadline) {
    auto request = make_request("PUT", get_lease_target(lease));
    const auto response = co_await send(client_, address_, std::move(request), call_effect::write, deadline);
    co_return response.status();
}

awaitable<absl::Status> http_store::release_lease(store_lease lease, time_point deadline) {
    auto request = make_request("DELETE", get_lease_target(lease));
    const auto response = co_await send(client_, address_, std::move(request), call_effect::write, deadline);
    co_return response.status();
}

awaitable<absl::StatusOr<stored_value>> http_store::watch(std::string path, std::uint64_t seen_revision,
                                                          time_point deadline) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto wait_ms = std::max<std::int64_t>(0, left.count());
    auto request = make_request("GET", get_value_target(path) + "?watch=" + std::to_string(seen_revision) +
                                           "&wait_ms=" + std::to_string(wait_ms));
    const auto response_deadline = deadline + watch_response_margin;
    auto response =
        co_await send(watch_client_, address_, std::move(request), call_effect::read, response_deadline);
    if (!response.ok() && get_error_kind(response.status()) == error_kind::not_found) {
        co_return stored_value();
    }
    if (!response.ok()) {
        co_return response.status();
    }
    const auto revision = read_revision(*response, call_effect::read);
    if (!revision.ok()) {
        co_return revision.status();
    }
    co_return stored_value{*revision, std::move(response->body)};
}

awaitable<absl::Status> store_client::wait_for_budget(store_call call, time_point deadline) {
    if (!budget_) {
        co_return absl::OkStatus();
    }
    const auto now = std::chrono::steady_clock::now();
    const auto send_at = budget_->reserve(call, now, deadline);
    if (!send_at) {
        co_return make_error(
            error_kind::overloaded,
            "the budget of store calls of this process allows the call only after its deadline");
    }
    if (*send_at > now) {
        co_await wait_until(*send_at);
    }
    co_return absl::OkStatus();
}

awaitable<absl::StatusOr<stored_value>> store_client::get(std::string path, time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::get, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call = std::visit([&](const auto& store) { return call_get(store, path, deadline); }, backend_);
    co_return co_await std::move(call);
}

awaitable<absl::StatusOr<std::uint64_t>> store_client::compare_and_swap(std::string path,
                                                                        std::uint64_t expected_revision,
                                                                        std::string bytes, store_lease lease,
                                                                        time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::compare_and_swap, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call = std::visit(
        [&](const auto& store) {
            return call_compare_and_swap(store, path, expected_revision, std::move(bytes), lease, deadline);
        },
        backend_);
    co_return co_await std::move(call);
}

awaitable<absl::Status> store_client::remove(std::string path, std::uint64_t expected_revision,
                                             time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::remove, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call = std::visit(
        [&](const auto& store) { return call_remove(store, path, expected_revision, deadline); }, backend_);
    co_return co_await std::move(call);
}

awaitable<absl::StatusOr<store_lease>> store_client::grant_lease(std::chrono::milliseconds time_to_live,
                                                                 time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::grant_lease, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call = std::visit([&](const auto& store) { return call_grant_lease(store, time_to_live, deadline); },
                           backend_);
    co_return co_await std::move(call);
}

awaitable<absl::Status> store_client::renew_lease(store_lease lease, time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::renew_lease, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call =
        std::visit([&](const auto& store) { return call_renew_lease(store, lease, deadline); }, backend_);
    co_return co_await std::move(call);
}

awaitable<absl::Status> store_client::release_lease(store_lease lease, time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::release_lease, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call =
        std::visit([&](const auto& store) { return call_release_lease(store, lease, deadline); }, backend_);
    co_return co_await std::move(call);
}

awaitable<absl::StatusOr<stored_value>> store_client::watch(std::string path, std::uint64_t seen_revision,
                                                            time_point deadline) {
    const auto admitted = co_await wait_for_budget(store_call::watch, deadline);
    if (!admitted.ok()) {
        co_return admitted;
    }
    auto call = std::visit(
        [&](const auto& store) { return call_watch(store, path, seen_revision, deadline); }, backend_);
    co_return co_await std::move(call);
}

}  // namespace jacinthvane
