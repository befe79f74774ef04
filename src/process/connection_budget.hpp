#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "process/clock.hpp"
#include "process/ordered_mutex.hpp"
#include "process/rejection_log.hpp"

namespace jacinthvane {

// What clients may hold in a process in total, over all listening ports.
struct connection_limits {
    std::size_t max_bytes = std::size_t{128} << 20U;
    std::size_t max_connections = 4096;

    bool operator==(const connection_limits&) const = default;
};

// What a connection of a client is doing. A request that is being answered keeps its connection: it may have
// run, so that no response could say truthfully that it has not.
enum class connection_phase { idle, reading, answering, writing };

// The memory and the connections that all clients of a process hold. Addresses clients that ignore limits:
// when memory or connections are exhausted, idle connections are evicted first, the longest idle one before
// the others, and then the one that has been sending its request or reading its response for the longest
// time. A group is one listening port; connections are taken from the group that holds the most, so that a
// crowd on one port does not end the connections of the others. Safe to call from any thread.
class connection_budget {
public:
    // One connection. The budget owns its state.
    class connection;
    using handle = std::shared_ptr<connection>;

    connection_budget(connection_limits limits, std::shared_ptr<rejection_log> log);

    // Adds a listening port and returns its number.
    std::size_t add_group();

    // Adds an idle connection, for which others may be evicted. Returns null if there is no room. `evict` is
    // called without a lock when the connection is evicted, and must not wait.
    handle add(std::size_t group, std::function<void()> evict);

    // Changes what a connection holds beyond its fixed part. Returns false if the memory is exhausted or the
    // connection was evicted; it then keeps what it held.
    bool resize(const handle& changed, std::size_t bytes);

    // Returns false if the connection was evicted.
    bool enter(const handle& changed, connection_phase phase);

    // Ends a connection. Does nothing for one that was evicted.
    void remove(const handle& removed);

    bool is_evicted(const handle& asked) const;
    std::size_t get_used_bytes() const;
    std::size_t get_connections() const;

    const std::shared_ptr<rejection_log>& get_log() const { return log_; }

private:
    static constexpr std::size_t phases = static_cast<std::size_t>(connection_phase::writing) + 1;

    struct group {
        // Each list is ordered by the time at which its connections entered the phase.
        std::array<std::list<handle>, phases> members;
        std::size_t connections = 0;
        std::size_t bytes = 0;
    };
    struct eviction {
        handle victim;
        rejection kind;
    };

    bool make_room_locked(std::size_t bytes, std::size_t connections, const handle& asking,
                          std::vector<eviction>& evictions);
    handle find_idle_locked() const;
    handle find_slowest_locked() const;
    void detach_locked(connection& detached);
    void finish(const std::vector<eviction>& evictions);

    const connection_limits limits_;
    const std::shared_ptr<rejection_log> log_;
    mutable ordered_mutex mutex_{lock_rank::connection_budget};
    std::vector<group> groups_;
    std::size_t used_bytes_ = 0;
    std::size_t connections_ = 0;
};

}  // namespace jacinthvane
