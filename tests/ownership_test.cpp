#include "version/ownership.hpp"

#include <algorithm>
#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "connection/ownership_codec.hpp"
#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

const failure_domain_id domain("domain");

process_id make_process(const std::string& vm, std::uint64_t incarnation = 1) {
    return {vm_id(vm), incarnation};
}

// Makes an ownership in which the first process owns every slice and the others are members without slices.
ownership make_owned(const process_id& owner, const std::vector<process_id>& others = {}) {
    auto value = *join(make_ownership(domain), owner, 1);
    value = claim_unowned_up_to_cap(value, owner);
    for (const auto& other : others) {
        value = *join(value, other, 2);
    }
    return value;
}

std::size_t count_slices(const ownership& value, const process_id& process) {
    return get_slices_of(value, process).size();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership)

// Guards against an unproved takeover that assigns the full share to the claimant while the previous owner
// may still start work (I1).
BOOST_AUTO_TEST_CASE(an_unproved_claim_reserves_a_share_for_the_previous_owner) {
    const auto a = make_process("a");
    const auto b = make_process("b");
    const auto value = make_owned(a, {b});
    const auto claimed = claim_expired(value, 3, a, b, std::nullopt);
    BOOST_REQUIRE(claimed.ok());
    const auto& slice = claimed->slices[3];
    BOOST_TEST((slice.owner == b));
    BOOST_TEST(slice.share_permille == 250);
    BOOST_TEST((slice.reservation == reserved_claim{a, 750}));
    BOOST_TEST(slice.epoch == value.slices[3].epoch + 1);
    BOOST_TEST(check_ownership(*claimed).ok());
}

// Guards against a second reservation on one slice, which would leave no share for the owner.
BOOST_AUTO_TEST_CASE(a_second_unproved_claim_is_refused) {
    const auto a = make_process("a");
    const auto b = make_process("b");
    const auto c = make_process("c");
    const auto claimed = *claim_expired(make_owned(a, {b, c}), 0, a, b, std::nullopt);
    BOOST_TEST((get_error_kind(claim_expired(claimed, 0, b, c, std::nullopt).status()) ==
                jacinthvane::error_kind::version_conflict));
    const auto proved = claim_expired(claimed, 0, b, c, vm_reported_removed{vm_id("b")});
    BOOST_REQUIRE(proved.ok());
    BOOST_TEST(proved->slices[0].share_permille == 250);
    BOOST_TEST((proved->slices[0].reservation == reserved_claim{a, 750}));
}

// Guards against claims with the wrong owner, of an owned or nonexistent slice, or by a process that is not a
// member.
BOOST_AUTO_TEST_CASE(invalid_claims_are_refused) {
    const auto a = make_process("a");
    const auto b = make_process("b");
    const auto value = make_owned(a, {b});
    BOOST_TEST(!claim_unowned(value, 0, b).ok());
    BOOST_TEST(!claim_unowned(value, slices_per_failure_domain, b).ok());
    BOOST_TEST(!claim_unowned(make_ownership(domain), 0, a).ok());
    BOOST_TEST(!claim_expired(value, 0, b, a, std::nullopt).ok());
    BOOST_TEST(!claim_expired(value, 0, a, make_process("stranger"), std::nullopt).ok());
    BOOST_TEST(!claim_expired(value, 0, a, b, vm_reported_removed{vm_id("b")}).ok());
    BOOST_TEST(!hand_over(value, 0, b, a).ok());
    BOOST_TEST(!hand_over(value, 0, a, make_process("stranger")).ok());
    BOOST_TEST(!hand_over(value, 0, a, a).ok());
}

// Guards against a reservation that is released by a proof that is invalid or about another process.
BOOST_AUTO_TEST_CASE(a_reservation_ends_only_by_a_proof_for_its_holder) {
    const auto a = make_process("a", 5);
    const auto b = make_process("b");
    const auto value = *claim_expired(make_owned(a, {b}), 0, a, b, std::nullopt);
    const std::chrono::milliseconds hour(3600000);
    const std::vector<std::pair<end_proof, bool>> cases{
        {holder_handed_over{a}, true},
        {holder_handed_over{b}, false},
        {newer_incarnation{make_process("a", 6)}, true},
        {newer_incarnation{make_process("a", 5)}, false},
        {newer_incarnation{make_process("b", 6)}, false},
        {vm_reported_removed{vm_id("a")}, true},
        {vm_reported_removed{vm_id("b")}, false},
        {operator_statement{vm_id("a"), "operator", "power is off"}, true},
        {operator_statement{vm_id("a"), "operator", ""}, false},
        {operator_statement{vm_id("a"), "", "power is off"}, false},
        {operator_statement{vm_id("b"), "operator", "power is off"}, false},
        {tenure_ended{a, 2 * hour, 2 * hour}, true},
        {tenure_ended{a, hour, 2 * hour}, false},
        {tenure_ended{a, hour, std::chrono::milliseconds(0)}, false},
        {tenure_ended{b, 2 * hour, 2 * hour}, false},
    };
    for (const auto& [proof, is_valid] : cases) {
        const auto released = release_reservation(value, 0, proof);
        BOOST_TEST(released.ok() == is_valid);
        if (released.ok()) {
            BOOST_TEST(released->slices[0].share_permille == 1000);
            BOOST_TEST(!released->slices[0].reservation.has_value());
        }
    }
    BOOST_TEST(!release_reservation(value, 1, holder_handed_over{a}).ok());
}

// Guards against a restarted process whose previous incarnation keeps a reservation, and against an older
// incarnation that rejoins.
BOOST_AUTO_TEST_CASE(a_newer_incarnation_replaces_the_older_one) {
    const auto first = make_process("a", 1);
    const auto second = make_process("a", 2);
    const auto b = make_process("b");
    auto value = make_owned(first, {b});
    value = *claim_expired(value, 0, first, b, std::nullopt);
    const auto joined = join(value, second, 9);
    BOOST_REQUIRE(joined.ok());
    BOOST_TEST(count_slices(*joined, first) == 0U);
    BOOST_TEST(count_slices(*joined, second) == slices_per_failure_domain - 1);
    BOOST_TEST(joined->slices[0].share_permille == 1000);
    BOOST_TEST(find_member(*joined, first) == nullptr);
    BOOST_TEST(!join(*joined, first, 10).ok());
}

// Guards against a process that rejoins after its lease has expired and continues at full share while another
// process writes a takeover. The new lease has to change the value, so that the takeover fails with a
// conflict.
BOOST_AUTO_TEST_CASE(a_new_lease_changes_the_value) {
    const auto a = make_process("a");
    const auto value = make_owned(a);
    const auto joined = join(value, a, 77);
    BOOST_REQUIRE(joined.ok());
    BOOST_TEST((*joined != value));
    BOOST_TEST(joined->slices[0].epoch == value.slices[0].epoch);
}

// Guards against transfers that leave the slices unbalanced, or that move slices back and forth without end.
BOOST_AUTO_TEST_CASE(transfers_balance_the_slices_and_terminate) {
    for (int members = 1; members <= 40; ++members) {
        const auto a = make_process("member-0");
        std::vector<process_id> all{a};
        for (int n = 1; n < members; ++n) {
            all.push_back(make_process("member-" + std::to_string(n)));
        }
        auto value = make_owned(a, {all.begin() + 1, all.end()});
        int moves = 0;
        for (bool has_moved = true; has_moved;) {
            has_moved = false;
            for (const auto& owner : all) {
                for (const auto& transfer : get_transfers(value, owner)) {
                    value = *hand_over(value, transfer.slice, owner, transfer.to);
                    has_moved = true;
                    BOOST_REQUIRE(++moves <= 100);
                }
            }
        }
        for (const auto& member : all) {
            BOOST_TEST(count_slices(value, member) <= get_slice_cap(value));
            BOOST_TEST(count_slices(value, member) >=
                       slices_per_failure_domain / static_cast<std::size_t>(members));
        }
    }
}

// Guards against slices that stay assigned to a process that has left, and against slices that remain
// unowned.
BOOST_AUTO_TEST_CASE(leaving_and_claiming_cover_every_slice) {
    const auto a = make_process("a");
    const auto b = make_process("b");
    const auto c = make_process("c");
    const auto remaining = leave(make_owned(a, {b, c}), a);
    BOOST_TEST(count_slices(remaining, b) == 16U);
    BOOST_TEST(count_slices(remaining, c) == 16U);
    BOOST_TEST(find_member(remaining, a) == nullptr);
    const auto empty = leave(make_owned(a), a);
    BOOST_TEST(count_slices(empty, a) == 0U);
    BOOST_TEST(check_ownership(empty).ok());
    const auto next = claim_unowned_up_to_cap(*join(empty, b, 3), b);
    BOOST_TEST(count_slices(next, b) == slices_per_failure_domain);
}

// Guards against shares that do not add up to 1000 permille, owners that are not members, and fields lost by
// the codec, after any sequence of changes.
BOOST_AUTO_TEST_CASE(random_changes_preserve_the_invariants) {
    std::mt19937_64 random(11);
    const auto draw = [&](std::size_t count) { return static_cast<std::size_t>(random() % count); };
    auto value = make_ownership(domain);
    std::map<std::string, std::uint64_t> incarnations;
    for (int step = 0; step < 5000; ++step) {
        const auto name = "vm-" + std::to_string(draw(5));
        auto process = make_process(name, incarnations[name]);
        const auto slice = draw(slices_per_failure_domain);
        const auto owner = value.slices[slice].owner;
        const auto before = value;
        switch (draw(8)) {
            case 0:
                process.incarnation = ++incarnations[name];
                value = join(value, process, random() % 1000).value_or(value);
                break;
            case 1:
                value = claim_unowned_up_to_cap(value, process);
                break;
            case 2:
                value = leave(value, process);
                break;
            case 3:
                value = take_over(value, process, std::nullopt);
                break;
            case 4:
                value = take_over(value, process, vm_reported_removed{process.vm});
                break;
            case 5:
                value = owner ? claim_expired(value, slice, *owner, process, std::nullopt).value_or(value)
                              : value;
                break;
            case 6:
                value = release_reservation(value, slice, vm_reported_removed{process.vm}).value_or(value);
                break;
            default:
                for (const auto& transfer : get_transfers(value, process)) {
                    value = hand_over(value, transfer.slice, process, transfer.to).value_or(value);
                }
        }
        BOOST_REQUIRE(check_ownership(value).ok());
        for (std::size_t n = 0; n < value.slices.size(); ++n) {
            const auto& record = value.slices[n];
            const auto reserved = record.reservation ? record.reservation->share_permille : 0;
            BOOST_REQUIRE(record.share_permille + reserved == 1000);
            BOOST_REQUIRE((record.owner == before.slices[n].owner) ==
                          (record.epoch == before.slices[n].epoch));
            BOOST_REQUIRE((!record.reservation || record.owner != record.reservation->holder));
        }
        const auto decoded = decode_ownership(encode_ownership(value));
        BOOST_REQUIRE(decoded.ok());
        BOOST_REQUIRE((*decoded == value));
    }
}

// Guards against a damaged value in the store that is accepted as a valid ownership.
BOOST_AUTO_TEST_CASE(damaged_values_are_refused) {
    const auto good = encode_ownership(make_owned(make_process("a")));
    BOOST_TEST(decode_ownership(good).ok());
    BOOST_TEST(!decode_ownership("").ok());
    BOOST_TEST(!decode_ownership("[]").ok());
    BOOST_TEST(!decode_ownership(R"({"failure_domain": "d", "members": [], "slices": []})").ok());
    auto shared = make_owned(make_process("a"));
    shared.slices[0].reservation = reserved_claim{make_process("b"), 750};
    BOOST_TEST(!decode_ownership(encode_ownership(shared)).ok());
    for (std::size_t length = 0; length < good.size(); length += 7) {
        BOOST_TEST(!decode_ownership(good.substr(0, length)).ok());
    }
}

// Guards against processes that compute different slices for an upstream, and against a hash that leaves
// slices empty or assigns most upstreams to a few of them.
BOOST_AUTO_TEST_CASE(upstreams_are_distributed_over_all_slices) {
    std::map<std::size_t, int> counts;
    for (int n = 0; n < 7400; ++n) {
        ++counts[get_slice(upstream_id("upstream-" + std::to_string(n)))];
    }
    BOOST_TEST(counts.size() == slices_per_failure_domain);
    for (const auto& [slice, count] : counts) {
        BOOST_TEST(count < 2 * 7400 / static_cast<int>(slices_per_failure_domain));
    }
}

BOOST_AUTO_TEST_SUITE_END()
