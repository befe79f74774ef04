#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "experiment/member_simulation.hpp"
#include "process/member_table.hpp"

using namespace jacinthvane;

namespace {

constexpr std::uint64_t test_seed = 20260312;
// I9: a change is in effect within 8 s, and a round takes 1 s.
constexpr std::size_t change_limit = 8;
// The control traffic that a process may send: 5 KB/s.
constexpr std::uint64_t bytes_per_second_limit = 5 * 1024;
// The rounds within which all members of a formed fleet must know a member that joins, returns or leaves.
// They are the timeout of a heartbeat, after which the member would be suspect.
std::size_t get_join_limit(std::size_t members) {
    return static_cast<std::size_t>(member_table::get_timeout(members).count() / 1000);
}

// A cold start of all members at once has no target; this only bounds the wait.
constexpr std::size_t form_limit = 150;

void form(member_simulation& simulation) {
    BOOST_REQUIRE(simulation.run_until([&] { return simulation.all_live_known(); }, form_limit) <=
                  form_limit);
}

member make_member(const std::string& vm, std::uint64_t heartbeat, std::uint64_t incarnation = 1) {
    member entry;
    entry.process = process_id{vm_id(vm), incarnation};
    entry.place = location{region_id("r"), failure_domain_id("d")};
    entry.membership_address = vm + ":1";
    entry.peer_address = vm + ":2";
    entry.state = member_state::live;
    entry.heartbeat = heartbeat;
    entry.details.emplace();
    return entry;
}

time_point at_second(int second) {
    return time_point(std::chrono::hours(1)) + std::chrono::seconds(second);
}

member_message make_message(const member& entry) {
    member_message message;
    message.entries.push_back(entry);
    return message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(member_table)

// Guards against a change that reaches some members late or never, for several fleet sizes and with lost
// datagrams.
BOOST_AUTO_TEST_CASE(change_reaches_all_members) {
    for (const std::size_t size : {3U, 9U, 50U}) {
        for (const double loss : {0.0, 0.1}) {
            BOOST_TEST_CONTEXT("members " << size << " loss " << loss << " seed " << test_seed) {
                member_simulation simulation(size, test_seed);
                simulation.set_loss(loss);
                form(simulation);
                simulation.get_table(size / 2).set_config_version(7);
                const auto rounds = simulation.run_until(
                    [&] {
                        for (std::size_t i = 0; i < size; ++i) {
                            if (simulation.get_table(i).get_own()->config_version < 7) {
                                return false;
                            }
                        }
                        return true;
                    },
                    change_limit);
                BOOST_TEST(rounds <= change_limit);
                BOOST_TEST(simulation.get_largest_datagram() <= 1200U);
                BOOST_TEST(simulation.get_sent_bytes() / simulation.get_rounds() / size <=
                           bytes_per_second_limit);
            }
        }
    }
}

// Guards against a join that only a part of the fleet learns of. I7: leaving upstreams are known within 3 s
// in fleets of up to 9 members.
BOOST_AUTO_TEST_CASE(join_and_leaving_upstream_reach_all_members) {
    for (const std::size_t size : {3U, 9U, 50U}) {
        BOOST_TEST_CONTEXT("members " << size << " seed " << test_seed) {
            member_simulation simulation(size, test_seed);
            simulation.set_paused(size - 1, true);
            form(simulation);
            simulation.set_paused(size - 1, false);
            const auto limit = get_join_limit(size);
            BOOST_TEST(simulation.run_until([&] { return simulation.all_live_known(); }, limit) <= limit);
            if (size > 9) {
                continue;
            }
            const leaving_report report{upstream_id("tunis-a-17"), 5, true};
            BOOST_TEST(simulation.get_table(1).report_leaving(report));
            const auto rounds = simulation.run_until(
                [&] {
                    for (std::size_t i = 0; i < size; ++i) {
                        if (simulation.get_table(i).get_leaving_reports().size() != 1) {
                            return false;
                        }
                    }
                    return true;
                },
                3);
            BOOST_TEST(rounds <= 3U);
        }
    }
}

// Guards against members that are considered gone because datagrams are lost.
BOOST_AUTO_TEST_CASE(lost_datagrams_make_nobody_gone) {
    for (const std::size_t size : {3U, 9U, 50U}) {
        BOOST_TEST_CONTEXT("members " << size << " seed " << test_seed) {
            member_simulation simulation(size, test_seed);
            simulation.set_loss(0.2);
            form(simulation);
            simulation.run_rounds(200);
            BOOST_TEST(simulation.get_changes_to(member_state::gone) == 0U);
            BOOST_TEST(simulation.all_live_known());
        }
    }
}

// Guards against a live member that is considered gone because its datagrams reach only some members, or
// because it can send but not receive.
BOOST_AUTO_TEST_CASE(one_way_loss_makes_nobody_gone) {
    for (const std::size_t size : {9U, 50U}) {
        BOOST_TEST_CONTEXT("members " << size << " seed " << test_seed) {
            member_simulation simulation(size, test_seed);
            form(simulation);
            // Datagrams from tn-nord to tn-sud are lost, except those of one member. The other direction
            // works.
            simulation.set_filter(
                [](std::size_t from, std::size_t to) { return from % 4 >= 2 || to % 4 < 2 || from == 0; });
            simulation.run_rounds(60);
            BOOST_TEST(simulation.get_changes_to(member_state::gone) == 0U);
            BOOST_TEST(simulation.all_live_known());
        }
    }
}

// Guards against a process that considers all other members gone after its own pause and takes over their
// work, and against a fleet that does not accept it again.
BOOST_AUTO_TEST_CASE(paused_process_returns_without_suspecting_the_others) {
    for (const std::size_t size : {3U, 9U, 50U}) {
        BOOST_TEST_CONTEXT("members " << size << " seed " << test_seed) {
            member_simulation simulation(size, test_seed);
            form(simulation);
            simulation.set_paused(1, true);
            simulation.run_rounds(60);
            BOOST_TEST(simulation.is_state_agreed(1, member_state::gone));
            simulation.set_paused(1, false);
            simulation.run_round();
            BOOST_TEST(simulation.get_table(1).get_live().size() == size);
            const auto limit = get_join_limit(size);
            BOOST_TEST(simulation.run_until([&] { return simulation.all_live_known(); }, limit) <= limit);
            // Neither the paused process nor the others may have observed another member as gone.
            BOOST_TEST(simulation.get_changes_to(member_state::gone) == size - 1);
        }
    }
}

// Guards against two halves that never find each other again after a network partition, and against a
// partition that get_visibility does not show.
BOOST_AUTO_TEST_CASE(partition_is_visible_and_heals) {
    const location north{region_id("tn-nord"), failure_domain_id("tunis-a")};
    const failure_domain_id south("sfax-a");
    for (const std::size_t size : {9U, 50U}) {
        BOOST_TEST_CONTEXT("members " << size << " seed " << test_seed) {
            member_simulation simulation(size, test_seed);
            form(simulation);
            simulation.run_rounds(40);
            BOOST_TEST(simulation.get_table(0).get_visibility().at(north.failure_domain).contains(south));
            simulation.set_filter(
                [](std::size_t from, std::size_t to) { return (from % 4 < 2) == (to % 4 < 2); });
            simulation.run_rounds(120);
            for (std::size_t i = 0; i < size; ++i) {
                const auto live = simulation.get_table(i).get_live();
                BOOST_TEST(std::all_of(live.begin(), live.end(), [&](const auto& entry) {
                    return entry->place.region == simulation.get_table(i).get_own()->place.region;
                }));
            }
            BOOST_TEST(!simulation.get_table(0).get_visibility().at(north.failure_domain).contains(south));
            simulation.set_filter(nullptr);
            // One datagram in 4 rounds goes to an unresponsive address; then the update has to spread.
            const auto limit = get_join_limit(size) + 8;
            BOOST_TEST(simulation.run_until([&] { return simulation.all_live_known(); }, limit) <= limit);
        }
    }
}

// Guards against an old process that is confused with the process that replaced it on the same VM.
BOOST_AUTO_TEST_CASE(restarted_process_replaces_the_old_one) {
    member_simulation simulation(9, test_seed);
    form(simulation);
    const auto old_process = simulation.get_table(4).get_own()->process;
    simulation.restart(4);
    const auto is_known = [&] { return simulation.is_state_agreed(4, member_state::live); };
    BOOST_TEST(simulation.run_until(is_known, change_limit) <= change_limit);
    for (std::size_t i = 0; i < 9; ++i) {
        BOOST_TEST((simulation.get_table(i).get_state(old_process) == member_state::gone));
    }
    // A delayed entry of the old process must not replace the new one.
    jacinthvane::member_table table(make_member("a", 0), {}, 1, at_second(0));
    table.merge(make_message(make_member("b", 5, 2)), at_second(1));
    table.merge(make_message(make_member("b", 900, 1)), at_second(2));
    BOOST_TEST((table.get_state(process_id{vm_id("b"), 2}) == member_state::live));
    BOOST_TEST((table.get_state(process_id{vm_id("b"), 1}) == member_state::gone));
}

// Guards against a process that continues to work after it was replaced, and against a process that is
// ignored because its VM's clock was set back.
BOOST_AUTO_TEST_CASE(higher_incarnation_on_the_same_vm) {
    auto own = make_member("a", 0, 5);
    own.state = member_state::joining;
    jacinthvane::member_table table(own, {}, 1, at_second(0));
    table.merge(make_message(make_member("a", 3, 9)), at_second(1));
    BOOST_TEST(table.get_own()->process.incarnation == 10U);
    BOOST_TEST(!table.is_superseded());
    table.set_state(member_state::live);
    table.merge(make_message(make_member("a", 3, 11)), at_second(2));
    BOOST_TEST(table.is_superseded());
}

// Guards against a planned leave that is detected only by the heartbeat timeout, and against a member that
// returns through old entries.
BOOST_AUTO_TEST_CASE(leave_is_known_at_once_and_is_final) {
    member_simulation simulation(9, test_seed);
    form(simulation);
    simulation.get_table(3).set_state(member_state::gone);
    simulation.run_round();
    simulation.set_paused(3, true);
    const auto rounds =
        simulation.run_until([&] { return simulation.is_state_agreed(3, member_state::gone); }, change_limit);
    BOOST_TEST(rounds <= change_limit);
    BOOST_TEST(simulation.get_changes_to(member_state::suspect) == 0U);
    simulation.run_rounds(60);
    BOOST_TEST(simulation.is_state_agreed(3, member_state::gone));
    BOOST_TEST(simulation.all_live_known());
}

// Guards against a member that is never chosen as a receiver.
BOOST_AUTO_TEST_CASE(each_pass_reaches_all_members_once_before_any_twice) {
    jacinthvane::member_table table(make_member("own", 0), {}, test_seed, at_second(0));
    constexpr int others = 30;
    for (int i = 0; i < others; ++i) {
        table.merge(make_message(make_member("m" + std::to_string(i), 1)), at_second(0));
    }
    for (int pass = 0; pass < 2; ++pass) {
        std::set<std::string> reached;
        for (int i = 0; i < others / 3; ++i) {
            const auto round = table.begin_round(at_second(0));
            BOOST_TEST(round.receivers.size() == 3U);
            reached.insert(round.receivers.begin(), round.receivers.end());
        }
        BOOST_TEST(reached.size() == static_cast<std::size_t>(others));
    }
}

// Guards against members of a stable fleet that disagree on the owner of a shard, owners in another region
// than the store, and shards that move unnecessarily.
BOOST_AUTO_TEST_CASE(shard_owners_agree_prefer_the_store_and_move_little) {
    constexpr std::uint32_t shards = 64;
    member_simulation simulation(9, test_seed);
    form(simulation);
    const region_id store_region("tn-nord");
    std::map<std::uint32_t, process_id> owners;
    std::set<process_id> distinct;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        owners[shard] = *simulation.get_table(0).get_shard_owner(shard, store_region);
        distinct.insert(owners[shard]);
        for (std::size_t i = 0; i < 9; ++i) {
            BOOST_TEST((simulation.get_table(i).get_shard_owner(shard, store_region) == owners[shard]));
        }
    }
    // The members 0, 1, 4, 5 and 8 are in tn-nord.
    BOOST_TEST(distinct.size() == 5U);
    const auto stopped = simulation.get_table(4).get_own()->process;
    BOOST_TEST(distinct.contains(stopped));
    simulation.set_paused(4, true);
    simulation.run_rounds(30);
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        const auto owner = *simulation.get_table(0).get_shard_owner(shard, store_region);
        BOOST_TEST((owner != stopped));
        BOOST_TEST((owners[shard] == stopped || owner == owners[shard]));
    }
    // Without a live member in the store's region, members of other regions own the shards.
    for (const std::size_t index : {0U, 1U, 5U, 8U}) {
        simulation.set_paused(index, true);
    }
    simulation.run_rounds(30);
    BOOST_TEST(simulation.get_table(2).get_shard_owner(0, store_region).has_value());
}

// Guards against a failure domain with no configuration watcher, or with two.
BOOST_AUTO_TEST_CASE(each_domain_has_one_config_watcher) {
    member_simulation simulation(9, test_seed);
    form(simulation);
    std::map<failure_domain_id, int> watchers;
    for (std::size_t i = 0; i < 9; ++i) {
        const auto own = simulation.get_table(i).get_own();
        watchers[own->place.failure_domain] += simulation.get_table(i).is_config_watcher() ? 1 : 0;
    }
    BOOST_TEST(watchers.size() == 4U);
    for (const auto& [domain, count] : watchers) {
        BOOST_TEST(count == 1);
    }
    // The watcher stops, and the next member of the domain replaces it.
    simulation.set_paused(0, true);
    simulation.run_rounds(30);
    BOOST_TEST(simulation.get_table(4).is_config_watcher());
    BOOST_TEST(!simulation.get_table(8).is_config_watcher());
}

// Guards against loads of gone members that are still counted, and against unbounded entries.
BOOST_AUTO_TEST_CASE(team_loads_are_bounded_and_summed) {
    member_simulation simulation(3, test_seed);
    form(simulation);
    std::vector<team_running> teams;
    for (std::uint32_t i = 0; i < 100; ++i) {
        teams.push_back(team_running{hash_team(team_id("team-" + std::to_string(i))), i});
    }
    for (std::size_t i = 0; i < 3; ++i) {
        simulation.get_table(i).set_load(member_capacity{resource_vector(1000, 1, 0, 1), 2}, teams);
        BOOST_TEST(simulation.get_table(i).get_own()->details->teams.size() == max_gossiped_teams);
    }
    simulation.run_rounds(3);
    BOOST_TEST(simulation.get_table(0).get_running(team_id("team-99")) == 3 * 99U);
    BOOST_TEST(simulation.get_table(0).get_running(team_id("team-1")) == 0U);
    BOOST_TEST(simulation.get_largest_datagram() <= 1200U);
    simulation.set_paused(2, true);
    simulation.run_rounds(30);
    BOOST_TEST(simulation.get_table(0).get_running(team_id("team-99")) == 2 * 99U);
}

// Guards against a report on an upstream that is overridden by an older one.
BOOST_AUTO_TEST_CASE(newest_leaving_report_counts) {
    jacinthvane::member_table table(make_member("own", 0), {}, 1, at_second(0));
    BOOST_TEST(table.report_leaving(leaving_report{upstream_id("u"), 5, true}));
    BOOST_TEST(!table.report_leaving(leaving_report{upstream_id("u"), 5, false}));
    BOOST_TEST(!table.report_leaving(leaving_report{upstream_id("u"), 4, false}));
    BOOST_TEST(table.report_leaving(leaving_report{upstream_id("u"), 6, false}));
    BOOST_TEST(!table.get_leaving_reports().front().is_leaving);
}

BOOST_AUTO_TEST_SUITE_END()
