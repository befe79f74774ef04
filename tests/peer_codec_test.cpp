#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "connection/peer_codec.hpp"

using namespace jacinthvane;

namespace {

constexpr std::uint64_t test_seed = 20260319;

const time_point sent_at{std::chrono::hours(5)};
// The receiver's clock is unrelated to the sender's clock.
const time_point received_at{std::chrono::hours(900)};
constexpr std::chrono::milliseconds time_left{1500};

task_start make_start() {
    task_start start;
    start.spec = task_spec{.task = task_id("t-1"),
                           .team = team_id("imports"),
                           .kind = task_kind("gedcom-import"),
                           .work_class = task_class::batch,
                           .size = resource_vector(4000, 8192, 1, 1),
                           .is_idempotent = false,
                           .body = std::string(3000, '\0') + "end"};
    start.generation = 3;
    start.resume_from = "checkpoint-2";
    start.deadline = sent_at + time_left;
    return start;
}

const task_response response{
    .task = task_id("t-1"), .status = 418, .content_type = "text/plain", .body = "x"};

std::vector<peer_request> make_requests() {
    const team_id team("imports");
    const process_id claimant{vm_id("e-1"), 4};
    return {
        dispatch_request{make_start(), 2, idempotency_key("k")},
        claim_key_request{3, team, idempotency_key("k"), "digest", claimant, sent_at + time_left},
        settle_key_request{3, team, idempotency_key("k"), 7, 1, claimant, run_knowledge::ran, response},
        submit_job_request{3, job_id("j"), make_start().spec, std::nullopt, "digest", sent_at + time_left,
                           sent_at + time_left},
        query_job_request{job_id("j"), team},
        cancel_job_request{job_id("j"), team},
        start_task_request{make_start(), upstream_id("u")},
        stop_task_request{upstream_id("u"), task_id("t"), 2, 1},
        checkpoint_task_request{upstream_id("u"), task_id("t"), 2},
        query_task_request{upstream_id("u"), task_id("t"), 2, 1},
        task_report_request{job_id("j"), upstream_id("u"), task_id("t"), 2, work_state::failed, "c", response,
                            "r"},
        fetch_config_request{9},
        announce_leaving_request{{upstream_id("u"), upstream_id("v")}, {vm_id("e-1")}, 12},
        reserve_task_request{make_start()},
    };
}

std::vector<peer_reply> make_replies() {
    return {
        error_reply{error_kind::overloaded, "full", run_knowledge::not_run},
        accepted_reply{},
        dispatch_reply{response, upstream_id("u")},
        claim_key_reply{claim_outcome::settled, 7, 2, run_knowledge::ran, response},
        job_reply{job_id("j"), work_state::parked, 6, upstream_id("u"), run_knowledge::may_have_run, "why", 3,
                  5, response},
        task_reply{upstream_id("u"), task_id("t"), 2, work_state::running, "c", std::nullopt},
        fetch_config_reply{9, "{\"version\":9}"},
    };
}

struct deadline_mover {
    void operator()(dispatch_request& item) const { item.start.deadline = received_at + time_left; }
    void operator()(start_task_request& item) const { item.start.deadline = received_at + time_left; }
    void operator()(reserve_task_request& item) const { item.start.deadline = received_at + time_left; }
    void operator()(claim_key_request& item) const { item.deadline = received_at + time_left; }
    void operator()(submit_job_request& item) const {
        item.finish_by = received_at + time_left;
        item.deadline = received_at + time_left;
    }
    void operator()(auto&) const {}
};

// Returns the same request with all deadlines converted from the sender's clock to the receiver's clock.
peer_request move_deadlines(peer_request request) {
    std::visit(deadline_mover{}, request);
    return request;
}

std::string mutate(std::string bytes, std::mt19937_64& random) {
    const auto changes = 1 + random() % 6;
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0 && !bytes.empty()) {
        bytes.resize(random() % bytes.size());
    }
    return bytes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_codec)

// Guards against fields that change during transmission, and against deadlines that are interpreted with the
// wrong clock.
BOOST_AUTO_TEST_CASE(messages_round_trip) {
    BOOST_TEST(make_requests().size() == std::variant_size_v<peer_request>);
    for (const auto& request : make_requests()) {
        const auto decoded = decode_request(encode_request(request, sent_at), received_at);
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == move_deadlines(request)));
    }
    BOOST_TEST(make_replies().size() == std::variant_size_v<peer_reply>);
    for (const auto& reply : make_replies()) {
        const auto decoded = decode_reply(encode_reply(reply, sent_at), received_at);
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((*decoded == reply));
    }
}

// Guards against a past deadline, or one in the far future, being decoded as a different deadline through
// overflow.
BOOST_AUTO_TEST_CASE(deadlines_are_clamped) {
    dispatch_request request;
    request.start.deadline = sent_at - std::chrono::hours(1);
    auto decoded = decode_request(encode_request(request, sent_at), received_at);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((std::get<dispatch_request>(*decoded).start.deadline == received_at));
    request.start.deadline = time_point::max();
    decoded = decode_request(encode_request(request, sent_at), received_at);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((std::get<dispatch_request>(*decoded).start.deadline > received_at + std::chrono::hours(24)));
}

// Guards against malformed messages that crash the decoder or make it allocate unbounded memory.
BOOST_AUTO_TEST_CASE(mutated_messages_are_decoded_safely) {
    std::mt19937_64 random(test_seed);
    int refused = 0;
    for (int i = 0; i < 1500; ++i) {
        for (const auto& request : make_requests()) {
            refused +=
                decode_request(mutate(encode_request(request, sent_at), random), received_at).ok() ? 0 : 1;
        }
        for (const auto& reply : make_replies()) {
            refused += decode_reply(mutate(encode_reply(reply, sent_at), random), received_at).ok() ? 0 : 1;
        }
    }
    BOOST_TEST(refused > 0);
    // A length close to the maximum must be rejected without allocating that much memory.
    const std::string huge_length("\x0c\x00\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", 12);
    BOOST_TEST(!decode_request(huge_length, received_at).ok());
}

// Guards against accepting frames that were modified, replayed, reordered or signed with another key.
BOOST_AUTO_TEST_CASE(frames_are_accepted_only_unchanged_and_in_order) {
    const peer_frame frame{.kind = frame_kind::request,
                           .lane = peer_lane::bulk,
                           .is_last = false,
                           .correlation_id = 77,
                           .payload = std::string(max_chunk_bytes, 'p')};
    frame_codec sender("key");
    const auto first = sender.encode(frame);
    const auto second = sender.encode(peer_frame{});
    BOOST_TEST(first.size() == frame_length_bytes + max_frame_bytes);
    std::size_t used = 0;
    {
        frame_codec receiver("key");
        const auto both = first + second;
        const auto decoded = receiver.decode(both, used);
        BOOST_REQUIRE((decoded.ok() && decoded->has_value()));
        BOOST_TEST((**decoded == frame));
        const auto next = receiver.decode(std::string_view(both).substr(used), used);
        BOOST_REQUIRE((next.ok() && next->has_value()));
        BOOST_TEST((**next == peer_frame{}));
        // A replay of the second frame must be rejected.
        BOOST_TEST(!receiver.decode(second, used).ok());
    }
    {
        frame_codec receiver("key");
        BOOST_TEST(!receiver.decode(second, used).ok());
    }
    {
        frame_codec receiver("other key");
        BOOST_TEST(!receiver.decode(first, used).ok());
    }
    for (std::size_t length = 0; length < first.size(); length += 97) {
        frame_codec receiver("key");
        const auto partial = receiver.decode(std::string_view(first).substr(0, length), used);
        BOOST_REQUIRE(partial.ok());
        BOOST_TEST(!partial->has_value());
    }
    std::mt19937_64 random(test_seed);
    for (int i = 0; i < 5000; ++i) {
        auto changed = second;
        changed[random() % changed.size()] ^= static_cast<char>(1U << (random() % 8));
        frame_codec receiver("key");
        frame_codec skipped("key");
        static_cast<void>(receiver.decode(first, used));
        const auto decoded = receiver.decode(changed, used);
        // A modified length may make the decoder wait for more bytes, but no modified frame may be delivered.
        BOOST_REQUIRE((!decoded.ok() || !decoded->has_value()));
    }
}

// Guards against accepting a hello that is signed with an unknown key or belongs to another link.
BOOST_AUTO_TEST_CASE(hellos_are_bound_to_key_and_nonce) {
    const key_ring keys({"0123456789abcdef", "fedcba9876543210"});
    const peer_hello hello{.nonce = std::string(nonce_bytes, 'n'), .region = region_id("tn-sud")};
    const auto bytes = encode_hello(hello, "client nonce", keys, 1);
    std::size_t key_index = 0;
    const auto decoded = decode_hello(bytes, "client nonce", keys, key_index);
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST((*decoded == hello));
    BOOST_TEST(key_index == 1U);
    BOOST_TEST(!decode_hello(bytes, "another nonce", keys, key_index).ok());
    BOOST_TEST(!decode_hello(bytes, "client nonce", key_ring({"0123456789abcdef"}), key_index).ok());
    std::mt19937_64 random(test_seed);
    for (int i = 0; i < 5000; ++i) {
        const auto changed = mutate(bytes, random);
        if (changed != bytes) {
            BOOST_REQUIRE(!decode_hello(changed, "client nonce", keys, key_index).ok());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
