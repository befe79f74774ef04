#include "standin/platform_store.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "connection/json_response.hpp"
#include "process/error_kind.hpp"

namespace jacinthvane::standin {

namespace {

using nlohmann::json;

constexpr std::size_t max_page_items = 500;
constexpr std::chrono::milliseconds call_timeout{1000};
constexpr int not_found_status = 404;
constexpr int history_unavailable_status = 410;
constexpr int condition_failed_status = 412;
constexpr int unavailable_status = 503;
constexpr std::string_view renew_path = "/-/kv-keep/";
constexpr std::string_view end_path = "/-/kv-lease-end/";

http_response make_failure(const absl::Status& status) {
    switch (get_error_kind(status)) {
        case error_kind::not_found:
            return make_json_response(not_found_status, json::object());
        case error_kind::version_conflict:
            return make_json_response(history_unavailable_status, json::object());
        default:
            return make_json_response(unavailable_status, json::object());
    }
}

json encode_item(const store_item& item) {
    return {{"Key", item.key},
            {"Value", absl::Base64Escape(item.value)},
            {"Rev", item.revision},
            {"CreatedAt", item.created_revision}};
}

std::uint64_t read_number(const http_request& request, std::string_view name) {
    return std::strtoull(request.get_query(name).c_str(), nullptr, 10);
}

std::uint64_t read_lease(const http_request& request, std::string_view path) {
    return std::strtoull(std::string(request.get_path().substr(path.size())).c_str(), nullptr, 10);
}

time_point get_call_deadline() {
    return std::chrono::steady_clock::now() + call_timeout;
}

store_transaction decode_transaction(const json& body) {
    store_transaction transaction;
    for (const auto& row : body.value("Expected", json::array())) {
        transaction.conditions.push_back({row.at("Key"), row.at("Rev")});
    }
    for (const auto& row : body.value("Writes", json::array())) {
        store_write write{row.at("Key"), std::string(), row.value("Lease", std::uint64_t{0})};
        absl::Base64Unescape(row.at("Value").get<std::string>(), &write.value);
        transaction.writes.push_back(std::move(write));
    }
    for (const auto& key : body.value("Deletes", json::array())) {
        transaction.removals.push_back(key);
    }
    return transaction;
}

// Carries out the calls on the store.
class call_handler {
public:
    explicit call_handler(std::shared_ptr<memory_cell_store> store) : store_(std::move(store)) {}

    awaitable<http_response> handle(http_request request) const {
        const auto path = request.get_path();
        if (path == "/-/kv-key") {
            co_return co_await read(std::move(request));
        }
        if (path == "/-/kv-range") {
            co_return co_await list(std::move(request));
        }
        if (path == "/-/kv-watch") {
            co_return co_await watch(std::move(request));
        }
        if (path == "/-/kv-txn") {
            co_return co_await transact(std::move(request));
        }
        co_return co_await handle_lease(std::move(request));
    }

private:
    awaitable<http_response> read(http_request request) const {
        const auto key = request.get_query("Key");
        const auto item = co_await store_->get(key, get_call_deadline());
        if (!item.ok()) {
            co_return make_failure(item.status());
        }
        co_return item->revision == 0 ? make_json_response(not_found_status, json::object())
                                      : make_json_response(200, encode_item(*item));
    }

    awaitable<http_response> list(http_request request) const {
        const auto prefix = request.get_query("Prefix");
        const auto after = request.get_query("After");
        const auto listing = co_await store_->list(prefix, get_call_deadline());
        if (!listing.ok()) {
            co_return make_failure(listing.status());
        }
        json items = json::array();
        bool has_more = false;
        for (const auto& item : listing->items) {
            if (item.key <= after) {
                continue;
            }
            has_more = items.size() == max_page_items;
            if (has_more) {
                break;
            }
            items.push_back(encode_item(item));
        }
        co_return make_json_response(
            200, {{"items", std::move(items)}, {"MorePages", has_more}, {"At", listing->revision}});
    }

    awaitable<http_response> watch(http_request request) const {
        const auto prefix = request.get_query("Prefix");
        const auto wait_ms = static_cast<std::int64_t>(read_number(request, "WaitMs"));
        const auto deadline = get_call_deadline() + std::chrono::milliseconds(wait_ms);
        const auto changes = co_await store_->watch(prefix, read_number(request, "After"), wait_ms, deadline);
        if (!changes.ok()) {
            co_return make_failure(changes.status());
        }
        json events = json::array();
        for (const auto& change : changes->changes) {
            events.push_back(
                change.is_removed
                    ? json({{"Key", change.item.key}, {"Rev", change.item.revision}, {"Deleted", true}})
                    : encode_item(change.item));
        }
        co_return make_json_response(200, {{"events", std::move(events)}, {"At", changes->revision}});
    }

    awaitable<http_response> transact(http_request request) const {
        const auto transaction = decode_transaction(json::parse(request.body));
        const auto result = co_await store_->transact(transaction, get_call_deadline());
        if (!result.ok()) {
            co_return make_failure(result.status());
        }
        if (result->is_applied) {
            co_return make_json_response(200, {{"Rev", result->revision}});
        }
        json items = json::array();
        for (const auto& item : result->present) {
            items.push_back(encode_item(item));
        }
        co_return make_json_response(condition_failed_status, {{"items", std::move(items)}});
    }

    awaitable<http_response> handle_lease(http_request request) const {
        const auto path = request.get_path();
        absl::Status status;
        if (path == "/-/kv-lease") {
            const auto time_to_live_ms = json::parse(request.body).at("TtlMs").get<std::int64_t>();
            const auto lease = co_await store_->grant_lease(time_to_live_ms, get_call_deadline());
            co_return lease.ok()
                ? make_json_response(200, {{"Lease", lease->id}, {"TtlMs", lease->time_to_live_ms}})
                : make_failure(lease.status());
        }
        if (path.starts_with(renew_path)) {
            status = co_await store_->renew_lease(read_lease(request, renew_path), get_call_deadline());
        } else if (path.starts_with(end_path)) {
            status = co_await store_->end_lease(read_lease(request, end_path), get_call_deadline());
        } else {
            status = make_error(error_kind::not_found, "there is no such call");
        }
        co_return status.ok() ? make_json_response(200, json::object()) : make_failure(status);
    }

    std::shared_ptr<memory_cell_store> store_;
};

}  // namespace

platform_store::platform_store(asio::io_context& context, std::shared_ptr<memory_cell_store> store)
    : server_(context, http_limits{},
              [handler = std::make_shared<const call_handler>(std::move(store))](http_request request) {
                  return handler->handle(std::move(request));
              }) {}

}  // namespace jacinthvane::standin
