#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "process/clock.hpp"
#include "process/ids.hpp"

namespace jacinthvane {

// What the advice service has answered about one step: which upstreams may run it, and the tickets for them.
// Each ticket expires by itself. Not safe for concurrent use.
class step_tickets {
public:
    // How useful it is to ask about an upstream, the most useful first: it has been allowed before, nothing
    // is known of it, or it was refused some time ago.
    enum class need { renewal, first_answer, review, none };

    // Returns the ticket for the upstream, or null if there is none that is valid after this time.
    const std::string* find(const upstream_id& upstream, time_point valid_after) const;
    need get_need(const upstream_id& upstream, time_point valid_after) const;

    bool may_begin_call(time_point now) const { return !is_pending_ && now >= next_call_; }
    void begin_call();
    std::uint64_t get_call_count() const { return calls_; }
    // Returns how many upstreams the next call may name: no more than this, and fewer after calls that ended
    // late.
    std::size_t limit_named(std::size_t most) const;

    // Records the answer to a call that named these upstreams.
    void apply_answer(const std::vector<upstream_id>& named,
                      const std::vector<std::pair<upstream_id, std::string>>& allowed, time_point valid_until,
                      time_point now);
    // Records that a call with this many upstreams failed, and whether it took longer than expected.
    void record_failed_call(std::size_t named, bool is_late, time_point now);

    // Forgets the ticket, which the upstream does not accept.
    void remove(const upstream_id& upstream);
    // Forgets what is known of the upstream. If no ticket is left, the upstreams that were refused may be
    // asked about again.
    void forget(const upstream_id& upstream);

private:
    struct ticket {
        std::string text;
        time_point valid_until;
    };

    std::map<upstream_id, ticket> tickets_;
    // When to ask again about upstreams that were refused. The policy doesn't change, but the service may
    // not have known an upstream that was new.
    std::map<upstream_id, time_point> refused_;
    bool is_pending_ = false;
    std::uint64_t calls_ = 0;
    std::uint32_t failures_ = 0;
    time_point next_call_;
    std::size_t max_named_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace jacinthvane
