#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.hpp"

namespace review {

// The platform's key-value store as PROTOCOL.md describes it. Values are kept in base64, as they are sent.
class store {
public:
    // Handles one call. Each answer takes the time that the installation's page names.
    response handle(const request& call);

    // Writes without a condition, as the operators and earlier days did.
    void put(const std::string& key, const std::string& value_base64);
    void put_all(const std::vector<std::pair<std::string, std::string>>& values_base64);
    // Returns the value in base64; empty if there is no such key.
    std::string get(const std::string& key);
    std::vector<std::string> get_keys(const std::string& prefix);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        item written;
        bool is_removed = false;
    };
    struct lease {
        std::int64_t ends_at_ms = 0;
        std::int64_t time_to_live_ms = 0;
        std::vector<std::string> keys;
    };

    response get_item(const request& call);
    response list(const request& call);
    response watch(const request& call);
    response transact(const nlohmann::json& body);
    response handle_lease(const request& call);
    void expire_leases();
    void write(const std::string& key, const std::string& value, std::uint64_t lease_id);
    void remove(const std::string& key);
    static nlohmann::json encode(const std::string& key, const item& stored);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_known_ = 1;
    std::uint64_t next_lease_ = 1;
};

}  // namespace review
