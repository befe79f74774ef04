#include "version/relay_choice.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

constexpr std::uint64_t seed = 20261205;
constexpr std::size_t max_copies = 8;

std::vector<live_peer> make_peers(std::mt19937_64& random, std::size_t count) {
    const std::vector<std::int64_t> links{10, 10, 10, 200};
    std::vector<live_peer> peers;
    for (std::size_t i = 0; i < count; ++i) {
        const auto region = "region-" + std::to_string(random() % 2);
        const auto domain = region + "-" + std::to_string(random() % 3);
        const auto name = "vm-" + std::to_string(i);
        const auto link = links[random() % links.size()];
        peers.push_back({name, name, {region_id(region), failure_domain_id(domain)}, link, link * 3});
    }
    return peers;
}

std::vector<live_peer> without(const std::vector<live_peer>& peers, const std::string& process) {
    auto others = peers;
    std::erase_if(others, [&](const live_peer& peer) { return peer.process == process; });
    return others;
}

// The relay of each process; processes without one are missing.
std::map<std::string, live_peer> choose_all(const std::vector<live_peer>& peers) {
    std::map<std::string, live_peer> relays;
    for (const auto& peer : peers) {
        if (const auto relay = choose_relay(peer, without(peers, peer.process))) {
            relays.emplace(peer.process, *relay);
        }
    }
    return relays;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_choice)

// Guards against a configuration that crosses a link between regions or failure domains more often than
// needed, against a relay that sends more copies than its link carries, and against a long chain of relays.
BOOST_AUTO_TEST_CASE(processes_of_a_region_form_a_wide_tree_with_one_reader) {
    std::mt19937_64 random(seed);
    for (const std::size_t count : {1U, 2U, 9U, 44U, 440U}) {
        const auto peers = make_peers(random, count);
        const auto relays = choose_all(peers);
        std::map<std::string, std::size_t> readers;
        std::map<std::string, std::size_t> copies;
        std::map<std::string, std::size_t> crossings;
        std::size_t deepest = 0;
        for (const auto& peer : peers) {
            std::size_t depth = 0;
            for (auto at = relays.find(peer.process); at != relays.end();
                 at = relays.find(at->second.process)) {
                ++depth;
                BOOST_REQUIRE(depth <= peers.size());
            }
            deepest = std::max(deepest, depth);
            const auto relay = relays.find(peer.process);
            if (relay == relays.end()) {
                ++readers[peer.place.region.get()];
                continue;
            }
            BOOST_TEST((relay->second.place.region == peer.place.region));
            ++copies[relay->second.process];
            const bool is_crossing = relay->second.place.failure_domain != peer.place.failure_domain;
            crossings[peer.place.region.get()] += is_crossing ? 1 : 0;
        }
        for (const auto& [region, number] : readers) {
            BOOST_TEST(number == 1U);
            BOOST_TEST(crossings[region] <= 2U);
        }
        for (const auto& [process, number] : copies) {
            BOOST_TEST(number <= max_copies);
        }
        BOOST_TEST(deepest <= 6U);
    }
}

// Guards against processes that wait for one another because each takes the other one for its relay, while
// they know different peers.
BOOST_AUTO_TEST_CASE(processes_that_know_different_peers_form_no_cycle) {
    std::mt19937_64 random(seed);
    for (int round = 0; round < 200; ++round) {
        const auto peers = make_peers(random, 12);
        std::map<std::string, std::string> relays;
        for (const auto& peer : peers) {
            auto known = without(peers, peer.process);
            std::erase_if(known, [&](const live_peer&) { return random() % 3 == 0; });
            if (const auto relay = choose_relay(peer, known)) {
                relays[peer.process] = relay->process;
            }
        }
        for (const auto& peer : peers) {
            std::size_t steps = 0;
            for (auto at = relays.find(peer.process); at != relays.end(); at = relays.find(at->second)) {
                BOOST_REQUIRE(++steps <= peers.size());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
