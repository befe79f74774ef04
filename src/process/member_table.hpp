#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/clock.hpp"
#include "process/member.hpp"
#include "process/ordered_mutex.hpp"

namespace jacinthvane {

// A member as this process sees it.
struct member_view {
    std::shared_ptr<const member> entry;
    // As observed by this process: suspect or gone if the counter does not advance, otherwise the state that
    // the member reports.
    member_state state = member_state::joining;

    bool operator==(const member_view&) const = default;
};

// A change of the state of a member as observed by this process, for log lines.
struct member_change {
    process_id process;
    member_state from = member_state::gone;
    member_state to = member_state::live;

    bool operator==(const member_change&) const = default;
};

// The data that one round sends to each receiver: this process's entry, then other entries and pulses, in
// this order and as many as fit.
struct member_round {
    std::vector<std::string> receivers;
    std::shared_ptr<const member> own;
    std::vector<std::shared_ptr<const member>> others;
    // The number of leading entries in others that are requested or updated.
    std::size_t update_count = 0;
    std::vector<member_pulse> pulses;
    std::vector<member_change> changes;
};

struct member_merge {
    std::vector<member_change> changes;
    // The reports on upstreams that were new to this process.
    std::vector<leaving_report> leaving;
};

// A process that has the newest fleet configuration known through gossip.
struct config_holder {
    std::uint64_t version = 0;
    std::string peer_address;

    bool operator==(const config_holder&) const = default;
};

// The gossip membership of the entry processes, without sockets: merges entries, detects failed members,
// chooses receivers and entries, and derives decisions from the list of live members. Thread-safe.
class member_table {
public:
    static constexpr std::chrono::seconds round_interval{1};
    static constexpr std::size_t max_receivers = 3;

    // own is this process's entry, whose state should be joining. Seeds are membership addresses to contact
    // until a member with the address is known.
    member_table(member own, std::vector<std::string> seeds, std::uint64_t random_seed, time_point now);

    // Returns the time after which a member whose counter does not advance is suspect; it is gone after twice
    // the time. Gossip needs about log2(members) rounds to reach all members, and 5 s more allow for lost
    // datagrams and short pauses.
    static std::chrono::milliseconds get_timeout(std::size_t members);

    void set_state(member_state state);
    void set_config_version(std::uint64_t version);
    // Leaves out the teams with the fewest running tasks if there are more than max_gossiped_teams.
    void set_load(const member_capacity& capacity, std::vector<team_running> teams);
    // Returns true if the report is new.
    bool report_leaving(const leaving_report& report);

    // Advances this process's counter, updates the states of the other members and chooses what to send. Must
    // be called each second.
    member_round begin_round(time_point now);
    // Records how many of the round's other entries fitted into the datagram.
    void note_sent(const member_round& round, std::size_t sent_others);

    // Merges one received datagram.
    member_merge merge(const member_message& message, time_point now);

    std::shared_ptr<const member> get_own() const;
    // Returns all members except this process, ordered by VM id.
    std::vector<member_view> get_others() const;
    // Returns the live members, which can include this process, ordered by VM id.
    std::vector<std::shared_ptr<const member>> get_live() const;
    member_state get_state(const process_id& process) const;

    // Returns the owner of a shard by rendezvous hashing: the live member with the highest hash for the
    // shard, if possible one in the given region.
    std::optional<process_id> get_shard_owner(std::uint32_t shard, const region_id& store_region) const;

    // Returns true if this process should watch the configuration for its failure domain. The live member
    // with the lowest VM id does.
    bool is_config_watcher() const;
    std::optional<config_holder> get_newest_config() const;

    // Returns the running tasks of a team on this process and all members that are not gone.
    std::uint64_t get_running(const team_id& team) const;

    // Returns the newest report on each upstream.
    std::vector<leaving_report> get_leaving_reports() const;

    // Returns for each failure domain those from which at least one of its members receives datagrams
    // directly.
    std::map<failure_domain_id, std::set<failure_domain_id>> get_visibility() const;

    // Returns true once an entry with the same VM id and a higher incarnation was received: this process was
    // replaced and must stop, or two VMs were given the same id.
    bool is_superseded() const;

private:
    struct record {
        std::shared_ptr<const member> entry;
        member_state observed_state = member_state::joining;
        // When the counter last advanced, and when a datagram last came from the member itself.
        time_point advanced_at;
        std::optional<time_point> direct_at;
        // The counter at which the entry's content was sent. Pulses advance only the entry's counter.
        std::uint64_t content_heartbeat = 0;
        // The number of rounds in which the entry was sent since the member was added or changed its state.
        std::uint32_t sent_count = 0;
        std::uint64_t last_sent_round = 0;
    };
    using record_map = std::map<vm_id, record>;

    void merge_entry(const member& entry, bool is_direct, time_point now, member_merge& result);
    void merge_pulse(const member_pulse& pulse, time_point now, member_merge& result);
    static void set_observed_state(record& item, member_state state, std::vector<member_change>& changes);
    void add_hash(const process_id& process);
    void erase_hash(const process_id& process);
    void accept_entry_requests(const member& requester);
    std::vector<std::uint32_t> choose_wanted();
    void merge_self(const member& entry);
    bool add_report(const leaving_report& report);
    void update_observed_states(time_point now, std::vector<member_change>& changes);
    void exclude_own_pause(time_point now);
    std::vector<std::string> choose_receivers();
    std::vector<std::string> get_unresponsive_addresses() const;
    void order_entries(time_point now, member_round& round) const;
    std::vector<failure_domain_id> get_heard_domains(time_point now) const;
    std::size_t count_present() const;
    template <class Change>
    void update_self(Change change);

    mutable ordered_mutex mutex_{lock_rank::members};
    std::shared_ptr<const member> self_;
    const std::vector<std::string> seeds_;
    std::mt19937_64 random_;
    record_map others_;
    // Pulses with a hash that two processes share are ignored.
    std::multimap<std::uint32_t, vm_id> by_hash_;
    // The VM ids to which the current pass over all members has not sent yet.
    std::vector<vm_id> pass_;
    // The hashes for which this process has no entry, with the round in which each was last received.
    std::map<std::uint32_t, std::uint64_t> wanted_;
    // The entries that were requested by others since the last round, and the members that requested them.
    std::set<vm_id> requested_;
    std::vector<vm_id> requesters_;
    std::uint64_t rounds_ = 0;
    std::size_t next_unresponsive_ = 0;
    time_point last_round_at_;
    // The newest report on each upstream, with a sequence number that gives the order of arrival.
    std::map<upstream_id, std::pair<leaving_report, std::uint64_t>> reports_;
    std::uint64_t last_report_ = 0;
    bool is_superseded_ = false;
};

}  // namespace jacinthvane
