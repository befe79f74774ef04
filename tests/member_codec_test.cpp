#include <random>
#include <string>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/member_codec.hpp"

using namespace jacinthvane;

namespace {

constexpr std::uint64_t test_seed = 20260314;

member make_member(int number, bool has_details) {
    member entry;
    entry.process = process_id{vm_id("racines-entry-" + std::to_string(number)), 1780000000000U + number};
    entry.place = location{region_id("tn-nord"), failure_domain_id("tunis-a")};
    entry.caller_address = "10.0.0." + std::to_string(number % 256) + ":7400";
    entry.peer_address = "10.0.1." + std::to_string(number % 256) + ":7402";
    entry.membership_address =
        number % 2 == 0 ? "10.0.0." + std::to_string(number % 256) + ":7403" : "[::1]:9";
    entry.state = member_state::live;
    entry.heartbeat = 123456 + static_cast<std::uint64_t>(number);
    entry.config_version = 17;
    entry.capacity = member_capacity{resource_vector(128000, 490000, 12, -1), 3};
    if (has_details) {
        entry.details = member_details{.teams = {{1, 2}, {0xFFFFFFFF, 3}},
                                       .leaving = {{upstream_id("u-1"), 9, true}},
                                       .heard_domains = {failure_domain_id("sfax-a")},
                                       .wanted = {7}};
    }
    return entry;
}

member_round make_round(int others) {
    member_round round;
    round.own = std::make_shared<const member>(make_member(0, true));
    for (int i = 1; i <= others; ++i) {
        round.others.push_back(std::make_shared<const member>(make_member(i, false)));
        round.pulses.push_back(member_pulse{hash_process(round.others.back()->process), 123456U});
    }
    return round;
}

const key_ring keys({"0123456789abcdef"});

}  // namespace

BOOST_AUTO_TEST_SUITE(member_codec)

// Guards against fields that change during transmission and against datagrams that exceed the size limit.
BOOST_AUTO_TEST_CASE(entries_round_trip) {
    for (const int others : {0, 1, 8, 300}) {
        const auto round = make_round(others);
        const auto datagram = encode_members(round, keys);
        BOOST_TEST(datagram.bytes.size() <= max_member_datagram_bytes);
        const auto decoded = decode_members(datagram.bytes, keys);
        const auto* message = std::get_if<member_message>(&decoded);
        BOOST_REQUIRE(message != nullptr);
        BOOST_REQUIRE(message->entries.size() == datagram.other_count + 1);
        BOOST_TEST((message->entries[0] == *round.own));
        for (std::size_t i = 0; i < datagram.other_count; ++i) {
            BOOST_TEST((message->entries[i + 1] == *round.others[i]));
        }
        // Members whose entry did not fit are represented by a pulse while there is space.
        BOOST_TEST((others > 50 ? message->pulses.size() > 50
                                : message->pulses.size() + datagram.other_count == round.others.size()));
    }
}

// Guards against a local entry that is too large to be sent at all: other members would consider its member
// gone.
BOOST_AUTO_TEST_CASE(own_entry_is_reduced_rather_than_dropped) {
    auto own = make_member(0, true);
    for (std::size_t i = 0; i < max_gossiped_teams; ++i) {
        own.details->teams.push_back(team_running{0xFFFFFFFFU, 0xFFFFFFFFU});
    }
    own.details->teams.resize(max_gossiped_teams);
    own.details->leaving.assign(max_gossiped_leaving,
                                leaving_report{upstream_id(std::string(64, 'u')), 1, true});
    member_round round;
    round.own = std::make_shared<const member>(own);
    const auto decoded = decode_members(encode_members(round, keys).bytes, keys);
    const auto* message = std::get_if<member_message>(&decoded);
    BOOST_REQUIRE(message != nullptr);
    BOOST_TEST((message->entries[0].process == own.process));
    BOOST_TEST(message->entries[0].heartbeat == own.heartbeat);
}

// Guards against accepting datagrams signed with an unknown key, and against a key rotation that partitions
// the fleet.
BOOST_AUTO_TEST_CASE(only_known_keys_are_accepted) {
    const key_ring old_and_new({"0123456789abcdef", "fedcba9876543210"});
    const key_ring new_and_old({"fedcba9876543210", "0123456789abcdef"});
    const key_ring other({"another-key-16-bytes"});
    const auto round = make_round(3);
    BOOST_TEST(std::holds_alternative<member_message>(
        decode_members(encode_members(round, old_and_new).bytes, new_and_old)));
    BOOST_TEST(std::holds_alternative<member_message>(
        decode_members(encode_members(round, new_and_old).bytes, old_and_new)));
    const auto refused = decode_members(encode_members(round, other).bytes, old_and_new);
    BOOST_REQUIRE(std::holds_alternative<datagram_fault>(refused));
    BOOST_TEST((std::get<datagram_fault>(refused) == datagram_fault::wrong_signature));
}

// Guards against decoding garbage as members, and against counting a datagram under the wrong fault.
BOOST_AUTO_TEST_CASE(garbage_is_dropped_by_reason) {
    const auto good = encode_members(make_round(3), keys).bytes;
    const auto get_fault = [](const std::string& bytes) {
        return std::get<datagram_fault>(decode_members(bytes, keys));
    };
    BOOST_TEST((get_fault("") == datagram_fault::too_short));
    BOOST_TEST((get_fault(std::string(33, 'x')) == datagram_fault::too_short));
    BOOST_TEST((get_fault(good + std::string(1200, 'x')) == datagram_fault::too_long));
    BOOST_TEST((get_fault("\x09" + good.substr(1)) == datagram_fault::wrong_version));
    auto changed = good;
    changed[20] = static_cast<char>(changed[20] ^ 1);
    BOOST_TEST((get_fault(changed) == datagram_fault::wrong_signature));
    const std::string body = good.substr(0, 40);
    BOOST_TEST((get_fault(body + keys.sign(body)) == datagram_fault::unreadable));
}

// Guards against datagrams that crash the decoder or make it allocate unbounded memory. Modified datagrams
// with the original signature must all be rejected. Modified datagrams with a valid signature, as a faulty
// member may send them, may be decoded or rejected.
BOOST_AUTO_TEST_CASE(mutated_datagrams_are_decoded_safely) {
    std::mt19937_64 random(test_seed);
    const auto good = encode_members(make_round(20), keys).bytes;
    const auto body = good.substr(0, good.size() - key_ring::mac_bytes);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        auto changed = body;
        const auto changes = 1 + random() % 8;
        for (std::uint64_t c = 0; c < changes; ++c) {
            changed[random() % changed.size()] = static_cast<char>(random());
        }
        if (random() % 4 == 0) {
            changed.resize(random() % changed.size());
        }
        if (changed != body) {
            BOOST_REQUIRE(std::holds_alternative<datagram_fault>(
                decode_members(changed + good.substr(body.size()), keys)));
        }
        refused += std::holds_alternative<datagram_fault>(decode_members(changed + keys.sign(changed), keys));
    }
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()
