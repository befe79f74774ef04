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
    // As judged here: suspect or gone if the counter stands still, else as the member says itself.
    member_state state = member_state::joining;

    bool operator==(const member_view&) const = default;
};

// A change of what this process thinks of a member, for log lines.
struct member_change {
    process_id process;
    member_state from = member_state::gone;
    member_state to = member_state::live;

    bool operator==(const member_change&) const = default;
};

// What one round sends to each receiver: the own entry, then others and pulses, as many as fit in this order.
struct member_round {
    std::vector<std::string> receivers;
    std::shared_ptr<const member> own;
    std::vector<std::shared_ptr<const member>> others;
    // How many of the others, from the front, are news to somebody.
    std::size_t news_count = 0;
    std::vector<member_pulse> pulses;
    std::vector<member_change> changes;
};

struct member_merge {
    std::vector<member_change> changes;
    // Reports on upstreams that were new to this process.
    std::vector<leaving_report> leaving;
};

// The process with the newest fleet configuration that gossip knows of.
struct config_holder {
    std::uint64_t version = 0;
    std::string peer_address;

    bool operator==(const config_holder&) const = default;
};

// Membership of the entry processes, without sockets: merging of entries, timeouts, the choice of receivers
// and entries, and what follows from the list of live members.
class member_table {
public:
    static constexpr std::chrono::seconds round_interval{1};
    static constexpr std::size_t max_receivers = 3;

    // The own entry's state should be joining. Seeds are membership addresses to contact until they are
    // known.
    member_table(member own, std::vector<std::string> seeds, std::uint64_t random_seed, time_point now);

    // A member whose counter stands still for so long is suspect, and gone after twice the time. Gossip needs
    // about log2(members) rounds to reach everyone; 5 s allow for lost datagrams and short pauses.
    static std::chrono::milliseconds get_timeout(std::size_t members);

    void set_state(member_state state);
    void set_config_version(std::uint64_t version);
    // Teams beyond the bound with the fewest running tasks are left out.
    void set_load(const member_capacity& capacity, std::vector<team_running> teams);
    // Returns true if the report is new.
    bool report_leaving(const leaving_report& report);

    // Advances the own counter, judges the others and chooses what to send. Must be called each second.
    member_round begin_round(time_point now);
    // Tells how many of the round's other entries fitted into the datagram.
    void note_sent(const member_round& round, std::size_t sent_others);

    // Takes in one datagram.
    member_merge merge(const member_message& message, time_point now);

    std::shared_ptr<const member> get_own() const;
    // All members but this process, by VM id.
    std::vector<member_view> get_others() const;
    // This process and the others that are neither suspect nor gone nor leaving, by VM id. Processes that are
    // still joining are not included.
    std::vector<std::shared_ptr<const member>> get_live() const;
    member_state get_state(const process_id& process) const;

    // The home of a shard: the live member with the highest hash for it, those in the given region first.
    std::optional<process_id> get_home(std::uint32_t shard, const region_id& store_region) const;

    // The live member of this process's failure domain with the lowest VM id watches the configuration.
    bool is_config_watcher() const;
    std::optional<config_holder> get_newest_config() const;

    // Running tasks of a team over all live members, with this process.
    std::uint64_t get_running(const team_id& team) const;

    // All reports on upstreams, with the newest version of each.
    std::vector<leaving_report> get_leaving_reports() const;

    // For each failure domain, those from which at least one of its live members hears directly.
    std::map<failure_domain_id, std::set<failure_domain_id>> get_visibility() const;

    // True once another process of the same VM id with a higher incarnation was heard of: this process has
    // been replaced and must stop, or two VMs were given the same id.
    bool is_superseded() const;

private:
    struct record {
        std::shared_ptr<const member> entry;
        member_state judged = member_state::joining;
        // When the counter last advanced, and when a datagram came from the member itself.
        time_point advanced_at;
        std::optional<time_point> direct_at;
        // The counter that the entry's content belongs to; pulses advance the counter alone.
        std::uint64_t content_heartbeat = 0;
        // Rounds in which the entry was sent since the member was new or changed its state.
        std::uint32_t sent_count = 0;
        std::uint64_t last_sent_round = 0;
    };
    using record_map = std::map<vm_id, record>;

    void merge_entry(const member& entry, bool is_direct, time_point now, member_merge& result);
    void merge_pulse(const member_pulse& pulse, time_point now, member_merge& result);
    static void set_judged(record& item, member_state state, std::vector<member_change>& changes);
    void add_hash(const process_id& process);
    void erase_hash(const process_id& process);
    void accept_wishes(const member& asker);
    std::vector<std::uint32_t> choose_wanted();
    void merge_own(const member& entry);
    bool add_report(const leaving_report& report);
    void judge_all(time_point now, std::vector<member_change>& changes);
    void forgive_own_pause(time_point now);
    std::vector<std::string> choose_receivers();
    std::vector<std::string> get_unanswered() const;
    void order_entries(time_point now, member_round& round) const;
    std::vector<failure_domain_id> get_heard_domains(time_point now) const;
    std::size_t count_present() const;
    template <class Change>
    void change_own(Change change);

    mutable ordered_mutex mutex_{lock_rank::members};
    std::shared_ptr<const member> own_;
    const std::vector<std::string> seeds_;
    std::mt19937_64 random_;
    record_map others_;
    // A hash that two processes share names neither of them.
    std::multimap<std::uint32_t, vm_id> by_hash_;
    // VM ids that the current pass over all members has still to reach.
    std::vector<vm_id> pass_;
    // What this process has no entry for, with the round in which it was last heard of.
    std::map<std::uint32_t, std::uint64_t> wanted_;
    // What others asked for since the last round, and who asked.
    std::set<vm_id> asked_for_;
    std::vector<vm_id> askers_;
    std::uint64_t rounds_ = 0;
    std::size_t next_unanswered_ = 0;
    time_point last_round_at_;
    // Reports with the order in which they were learned, newest last.
    std::map<upstream_id, std::pair<leaving_report, std::uint64_t>> reports_;
    std::uint64_t last_report_ = 0;
    bool is_superseded_ = false;
};

}  // namespace jacinthvane
