#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "connection/asio.hpp"
#include "connection/async_signal.hpp"
#include "connection/peer_link.hpp"
#include "connection/peer_message.hpp"
#include "connection/store_client.hpp"
#include "process/clock.hpp"
#include "process/member_table.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// The fleet configuration in the form in which it is distributed. The validator interprets the bytes.
struct config_bytes {
    std::uint64_t version = 0;
    std::string bytes;

    bool operator==(const config_bytes&) const = default;
};

struct config_service_counts {
    std::uint64_t installed = 0;
    std::uint64_t from_store = 0;
    std::uint64_t from_peers = 0;
    std::uint64_t failed_store_calls = 0;
    std::uint64_t failed_peer_calls = 0;
    // Values that are not a configuration or that the validator rejected.
    std::uint64_t refused = 0;
    // Received versions lower than the installed one. They are never installed.
    std::uint64_t older = 0;

    bool operator==(const config_service_counts&) const = default;
};

// Reads the version from the stored bytes, a JSON object whose "version" is a positive integer.
std::optional<std::uint64_t> read_config_version(std::string_view bytes);

// Keeps the fleet configuration of this process up to date. One process of each failure domain watches the
// store. All others are notified of a new version by gossip and fetch it from a peer that has it. Until its
// first version is installed, every process queries both the store and its peers.
class config_service {
public:
    static constexpr std::string_view store_path = "config/fleet";

    // Sends a request to a peer. peer_links::call has this signature.
    using peer_call =
        std::function<awaitable<absl::StatusOr<peer_reply>>(std::string, peer_request, time_point)>;
    // Returns an error if the bytes must not be installed.
    using validator = std::function<absl::Status(const config_bytes&)>;
    // Called after each installation, in the order of the versions.
    using install_callback = std::function<void(const std::shared_ptr<const config_bytes>&)>;

    // The retry interval bounds how often a failing store or peer is called again.
    config_service(asio::io_context& context, std::shared_ptr<store_client> store,
                   std::shared_ptr<member_table> members, peer_call call_peer,
                   std::chrono::milliseconds retry_interval = std::chrono::seconds(1));
    ~config_service();

    config_service(const config_service&) = delete;
    config_service& operator=(const config_service&) = delete;

    // The validator and all callbacks must be set before start().
    void set_validator(validator validate);
    void add_install_callback(install_callback callback);

    void start();
    void stop();

    // Returns nothing before the first version is known.
    std::shared_ptr<const config_bytes> get_current() const;
    bool is_ready() const { return get_current() != nullptr; }

    // Returns false if the deadline passes first.
    awaitable<bool> wait_for_version(std::uint64_t version, time_point deadline);

    // Installs a version that this process wrote or received. Returns false if it is not newer than the
    // installed one. Errors: bad_configuration.
    absl::StatusOr<bool> install(std::string bytes);

    // Wakes the loops to check the member table immediately after gossip has changed it.
    void notify_members_changed();

    // Responds to a peer's request for the configuration.
    peer_reply serve_fetch(const fetch_config_request& request) const;

    config_service_counts get_counts() const;

private:
    struct shared_state;

    static awaitable<void> follow_store(std::shared_ptr<shared_state> state);
    static awaitable<void> follow_peers(std::shared_ptr<shared_state> state);
    static awaitable<bool> read_store(std::shared_ptr<shared_state> state, std::uint64_t& revision);
    static awaitable<void> wait_for_change(std::shared_ptr<shared_state> state, std::uint64_t seen,
                                           std::chrono::milliseconds interval);
    static absl::StatusOr<bool> install(shared_state& state, std::string bytes);

    std::shared_ptr<shared_state> state_;
};

}  // namespace jacinthvane
