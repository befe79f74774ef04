#include "connection/record_codec.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

const process_id writer{vm_id("entry-1"), 7};

// At least one record of each type, with edge values in its fields.
std::vector<journal_record> make_records() {
    const std::string binary("\0\xff\n", 3);
    const team_id team("racines");
    const job_id job("j1");
    return {
        key_claimed{team, idempotency_key(binary), "digest", writer, ~std::uint64_t{0}, 2},
        key_settled{team, idempotency_key("k"), writer, 1, 2, run_knowledge::ran,
                    stored_response{-1, "text/plain", std::string(max_stored_response_bytes, 'x'), false}},
        job_accepted{job, team, task_kind("archive"), resource_vector(-1, 62'000, 8, 1), false, 1, -2,
                     "application/json", binary},
        generation_started{job, 3, upstream_id("u1")},
        generation_stopped{job, 3, stop_reason::lost, std::nullopt},
        generation_stopped{job, 3, stop_reason::evicted, binary},
        job_finished{job, 4, stored_response{}},
        job_cancelled{job, "operator"},
        job_parked{job, 4, run_knowledge::may_have_run, "lost"},
        job_reopened{job, "operator", ""},
        document_written{"runs/1", 9, binary},
    };
}

journal_batch make_batch() {
    return {.sequence = 17, .mark = {writer, 5}, .elapsed_ms = 20, .records = make_records()};
}

shard_snapshot make_snapshot() {
    shard_table table{shard_limits{}};
    std::uint64_t sequence = 0;
    for (const auto& record : make_records()) {
        table.apply(
            {.sequence = ++sequence, .mark = {writer, sequence}, .elapsed_ms = 3, .records = {record}});
    }
    auto snapshot = table.get_snapshot();
    snapshot.recent_marks = {{1, {writer, 1}}, {2, {writer, 2}}};
    return snapshot;
}

snapshot_head make_head() {
    return {.sequence = 64, .removed_through = 10, .mark = {writer, 64}, .parts = {{1, 2, 3}, {4, 5, 6}}};
}

// Applies random corruption: overwritten, truncated, inserted or erased bytes, and huge lengths.
std::string mutate(std::string bytes, std::mt19937_64& random) {
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = random() % bytes.size();
        switch (random() % 5) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes.resize(at);
                break;
            case 2:
                bytes.insert(at, 1 + random() % 8, static_cast<char>(random()));
                break;
            case 3:
                // A length of nearly 4 GB.
                bytes.replace(at, 4, "\xff\xff\xff\xff");
                break;
            default:
                bytes.erase(at, 1 + random() % 8);
        }
    }
    return bytes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(record_codec)

// Guards against a field that is lost or swapped by encoding and decoding.
BOOST_AUTO_TEST_CASE(values_round_trip) {
    const auto batch = decode_batch(encode_batch(make_batch()));
    BOOST_REQUIRE(batch.ok());
    BOOST_TEST((*batch == make_batch()));
    const auto snapshot = decode_snapshot(encode_snapshot(make_snapshot()));
    BOOST_REQUIRE(snapshot.ok());
    BOOST_TEST((*snapshot == make_snapshot()));
    const auto head = decode_head(encode_head(make_head()));
    BOOST_REQUIRE(head.ok());
    BOOST_TEST((*head == make_head()));
}

// Guards against batches that exceed the size limit because sizes were estimated too low.
BOOST_AUTO_TEST_CASE(encoded_size_is_exact) {
    auto batch = make_batch();
    const auto full = encode_batch(batch).size();
    std::size_t records = 0;
    for (const auto& record : batch.records) {
        records += get_encoded_size(record);
    }
    batch.records.clear();
    BOOST_TEST(full == records + encode_batch(batch).size());
}

// Guards against decoding values of another type or a newer version.
BOOST_AUTO_TEST_CASE(other_types_and_versions_are_refused) {
    auto bytes = encode_batch(make_batch());
    BOOST_TEST(!decode_snapshot(bytes).ok());
    BOOST_TEST(!decode_head(bytes).ok());
    BOOST_TEST(!decode_batch("").ok());
    BOOST_TEST(!decode_batch("B").ok());
    BOOST_TEST(!decode_batch(bytes + "x").ok());
    bytes[1] = 2;
    BOOST_TEST(!decode_batch(bytes).ok());
    auto batch = make_batch();
    batch.elapsed_ms = max_batch_elapsed_ms + 1;
    BOOST_TEST(!decode_batch(encode_batch(batch)).ok());
}

// Guards against a crash, a hang or a huge allocation on corrupt bytes. A value that still decodes must be
// equal after another round trip. Run this test with the address sanitizer as well.
BOOST_AUTO_TEST_CASE(damaged_bytes_give_an_error_or_a_value) {
    constexpr std::uint64_t seed = 20260319;
    constexpr int rounds = 30'000;
    std::mt19937_64 random(seed);
    auto small = make_batch();
    std::get<key_settled>(small.records[1]).answer.body.resize(10);
    const auto batch = encode_batch(small);
    const auto snapshot = encode_snapshot(make_snapshot());
    const auto head = encode_head(make_head());
    int refused = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto damaged_batch = decode_batch(mutate(batch, random));
        refused += damaged_batch.ok() ? 0 : 1;
        if (damaged_batch.ok()) {
            BOOST_REQUIRE((*decode_batch(encode_batch(*damaged_batch)) == *damaged_batch));
        }
        const auto damaged_head = decode_head(mutate(head, random));
        if (damaged_head.ok()) {
            BOOST_REQUIRE((*decode_head(encode_head(*damaged_head)) == *damaged_head));
        }
        if (i % 10 == 0) {
            const auto damaged_snapshot = decode_snapshot(mutate(snapshot, random));
            if (damaged_snapshot.ok()) {
                const jacinthvane::shard_table table(shard_limits{}, *damaged_snapshot);
                BOOST_REQUIRE(table.get_sequence() == damaged_snapshot->sequence);
            }
        }
    }
    BOOST_TEST(refused > rounds / 2);
}

// Guards against a truncated batch being accepted, or its length fields reserving memory for missing bytes.
BOOST_AUTO_TEST_CASE(every_prefix_is_refused) {
    const auto bytes = encode_batch(make_batch());
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
        BOOST_REQUIRE(!decode_batch(std::string_view(bytes).substr(0, length)).ok());
    }
}

BOOST_AUTO_TEST_SUITE_END()
