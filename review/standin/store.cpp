#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include "record.hpp"

namespace review {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds answer_time{4};
constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1U << 20U;
constexpr std::size_t max_history = 200000;

response make_response(int status, const json& body) {
    return {status, body.dump()};
}

std::string get_parameter(const request& call, const std::string& name) {
    const auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
}

std::uint64_t get_number(const request& call, const std::string& name) {
    const auto text = get_parameter(call, name);
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

json store::encode(const std::string& key, const item& stored) {
    return {{"Key", key},
            {"Value", stored.value},
            {"Rev", stored.revision},
            {"CreatedAt", stored.created},
            {"Lease", stored.lease}};
}

response store::handle(const request& call) {
    std::this_thread::sleep_for(answer_time);
    if (call.path == "/-/kv-key") {
        return get_item(call);
    }
    if (call.path == "/-/kv-range") {
        return list(call);
    }
    if (call.path == "/-/kv-watch") {
        return watch(call);
    }
    if (call.path == "/-/kv-txn") {
        return transact(json::parse(call.body));
    }
    return handle_lease(call);
}

void store::put(const std::string& key, const std::string& value_base64) {
    put_all({{key, value_base64}});
}

void store::put_all(const std::vector<std::pair<std::string, std::string>>& values_base64) {
    std::lock_guard lock(mutex_);
    ++revision_;
    for (const auto& [key, value] : values_base64) {
        write(key, value, 0);
    }
    changed_.notify_all();
}

std::string store::get(const std::string& key) {
    std::lock_guard lock(mutex_);
    expire_leases();
    const auto found = items_.find(key);
    return found == items_.end() ? std::string() : found->second.value;
}

std::vector<std::string> store::get_keys(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    expire_leases();
    std::vector<std::string> keys;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
        keys.push_back(it->first);
    }
    return keys;
}

response store::get_item(const request& call) {
    std::lock_guard lock(mutex_);
    expire_leases();
    const auto key = get_parameter(call, "Key");
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return make_response(404, {{"At", revision_}});
    }
    auto body = encode(key, found->second);
    body["At"] = revision_;
    return make_response(200, body);
}

response store::list(const request& call) {
    json items = json::array();
    bool has_more = false;
    std::uint64_t revision = 0;
    {
        std::lock_guard lock(mutex_);
        expire_leases();
        revision = revision_;
        const auto prefix = get_parameter(call, "Prefix");
        const auto after = get_parameter(call, "After");
        std::size_t bytes = 0;
        auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(std::max(after, prefix));
        for (; next != items_.end() && next->first.starts_with(prefix); ++next) {
            if (items.size() == max_page_items || bytes > max_page_bytes) {
                has_more = true;
                break;
            }
            bytes += next->second.value.size();
            items.push_back(encode(next->first, next->second));
        }
    }
    return make_response(200, {{"items", std::move(items)}, {"MorePages", has_more}, {"At", revision}});
}

response store::watch(const request& call) {
    const auto prefix = get_parameter(call, "Prefix");
    const auto after = get_number(call, "After");
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(get_number(call, "WaitMs"));
    std::unique_lock lock(mutex_);
    while (true) {
        expire_leases();
        if (after + 1 < oldest_known_) {
            return make_response(410, json::object());
        }
        json events = json::array();
        const auto first = std::partition_point(history_.begin(), history_.end(), [&](const event& change) {
            return change.written.revision <= after;
        });
        for (auto next = first; next != history_.end(); ++next) {
            if (!next->key.starts_with(prefix)) {
                continue;
            }
            if (next->is_removed) {
                events.push_back({{"Key", next->key}, {"Rev", next->written.revision}, {"Deleted", true}});
            } else {
                events.push_back(encode(next->key, next->written));
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= deadline) {
            return make_response(200, {{"events", std::move(events)}, {"At", revision_}});
        }
        // Leases end without a call, so the wait is cut into short parts.
        const auto next_look = std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
        changed_.wait_until(lock, std::min(deadline, next_look));
    }
}

response store::transact(const json& body) {
    std::lock_guard lock(mutex_);
    expire_leases();
    bool holds = true;
    json present = json::array();
    for (const auto& row : body.value("Expected", json::array())) {
        const auto key = row.at("Key").get<std::string>();
        const auto found = items_.find(key);
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("Rev").get<std::uint64_t>();
        if (found == items_.end()) {
            present.push_back({{"Key", key}, {"Rev", 0}});
        } else {
            present.push_back(encode(key, found->second));
        }
    }
    if (!holds) {
        return make_response(412, {{"items", std::move(present)}});
    }
    for (const auto& row : body.value("Writes", json::array())) {
        const auto id = row.value("Lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id)) {
            return make_response(404, json::object());
        }
    }
    ++revision_;
    for (const auto& row : body.value("Writes", json::array())) {
        write(row.at("Key"), row.at("Value"), row.value("Lease", std::uint64_t{0}));
    }
    for (const auto& key : body.value("Deletes", json::array())) {
        remove(key);
    }
    changed_.notify_all();
    return make_response(200, {{"Rev", revision_}});
}

response store::handle_lease(const request& call) {
    std::lock_guard lock(mutex_);
    expire_leases();
    if (call.path == "/-/kv-lease") {
        const auto time_to_live_ms = json::parse(call.body).at("TtlMs").get<std::int64_t>();
        const auto id = next_lease_++;
        leases_[id] = {read_clock_ms() + time_to_live_ms, time_to_live_ms, {}};
        return make_response(200, {{"Lease", id}, {"TtlMs", time_to_live_ms}});
    }
    const auto id = std::stoull(call.path.substr(call.path.rfind('/') + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return make_response(404, json::object());
    }
    if (call.path.starts_with("/-/kv-keep/")) {
        found->second.ends_at_ms = read_clock_ms() + found->second.time_to_live_ms;
        return make_response(200, {{"TtlMs", found->second.time_to_live_ms}});
    }
    found->second.ends_at_ms = 0;
    expire_leases();
    return make_response(200, json::object());
}

void store::expire_leases() {
    const auto now = read_clock_ms();
    std::vector<std::string> keys;
    std::erase_if(leases_, [&](const auto& entry) {
        if (entry.second.ends_at_ms > now) {
            return false;
        }
        for (const auto& key : entry.second.keys) {
            const auto found = items_.find(key);
            if (found != items_.end() && found->second.lease == entry.first) {
                keys.push_back(key);
            }
        }
        return true;
    });
    if (keys.empty()) {
        return;
    }
    ++revision_;
    for (const auto& key : keys) {
        remove(key);
    }
    changed_.notify_all();
}

void store::write(const std::string& key, const std::string& value, std::uint64_t lease_id) {
    auto& stored = items_[key];
    stored.created = stored.created == 0 ? revision_ : stored.created;
    stored.revision = revision_;
    stored.value = value;
    stored.lease = lease_id;
    if (lease_id != 0) {
        leases_[lease_id].keys.push_back(key);
    }
    history_.push_back({key, stored, false});
    if (history_.size() > max_history) {
        oldest_known_ = history_.front().written.revision + 1;
        history_.pop_front();
    }
}

void store::remove(const std::string& key) {
    if (items_.erase(key) == 0) {
        return;
    }
    item removed;
    removed.revision = revision_;
    history_.push_back({key, removed, true});
}

}  // namespace review
