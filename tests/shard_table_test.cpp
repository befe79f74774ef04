#include "process/shard_table.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/error_kind.hpp"

using namespace jacinthvane;

namespace {

using kind = jacinthvane::error_kind;

const team_id team("lakeshore");
const process_id claimant{vm_id("e1"), 1};
const job_id job("j1");

journal_record make_claim(const std::string& key, std::uint64_t generation = 1, std::uint64_t number = 1) {
    return key_claimed{team, idempotency_key(key), "digest", claimant, number, generation};
}

journal_record make_settlement(const std::string& key, run_knowledge run, std::uint64_t generation = 1,
                               const std::string& body = "answer", std::uint64_t number = 1) {
    return key_settled{team,
                       idempotency_key(key),
                       claimant,
                       number,
                       generation,
                       run,
                       stored_response{200, "text/plain", body, true}};
}

journal_record make_job(const std::string& id, bool is_idempotent = true) {
    return job_accepted{.job = job_id(id),
                        .team = team,
                        .kind = task_kind("nesting"),
                        .size = {},
                        .is_idempotent = is_idempotent,
                        .content_type = "text/plain",
                        .body = "body"};
}

journal_record make_start(std::uint64_t generation) {
    return generation_started{job, generation, upstream_id("u1")};
}

journal_record make_stop(std::uint64_t generation, stop_reason reason,
                         std::optional<std::string> checkpoint = std::nullopt) {
    return generation_stopped{job, generation, reason, std::move(checkpoint)};
}

journal_record make_finish(std::uint64_t generation) {
    return job_finished{job, generation, stored_response{200, "text/plain", "result", true}};
}

class table_fixture {
public:
    explicit table_fixture(shard_limits limits = {}) : table(limits) {}

    // Appends the record as a separate batch if the table allows it.
    absl::Status append(const journal_record& record, std::int64_t elapsed_ms = 0) {
        auto status = table.validate(record, elapsed_ms);
        if (status.ok()) {
            table.apply({.sequence = table.get_sequence() + 1,
                         .mark = {claimant, table.get_sequence() + 1},
                         .elapsed_ms = elapsed_ms,
                         .records = {record}});
        }
        return status;
    }

    bool accepts(const journal_record& record, std::int64_t elapsed_ms = 0) {
        return append(record, elapsed_ms).ok();
    }

    bool refuses(const journal_record& record, kind expected) {
        const auto status = append(record);
        return !status.ok() && get_error_kind(status) == expected;
    }

    shard_table table;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shard_table)

// Guards against a key that is claimed twice, or resolved by a record of a different claim (I6).
BOOST_AUTO_TEST_CASE(key_is_claimed_once_for_each_generation) {
    table_fixture f;
    BOOST_TEST(f.accepts(make_claim("k")));
    BOOST_TEST(f.refuses(make_claim("k"), kind::duplicate_in_progress));
    BOOST_TEST(f.refuses(make_claim("k", 2), kind::duplicate_in_progress));
    auto other = std::get<key_claimed>(make_claim("k"));
    other.digest = "other";
    BOOST_TEST(f.refuses(other, kind::key_reused));
    BOOST_TEST(f.refuses(make_settlement("k", run_knowledge::ran, 1, "", 2), kind::version_conflict));
    BOOST_TEST(f.refuses(make_settlement("k", run_knowledge::ran, 2), kind::version_conflict));
    BOOST_TEST(f.refuses(make_settlement("unknown", run_knowledge::ran), kind::not_found));
    const std::string large(max_stored_response_bytes + 1, 'x');
    BOOST_TEST(f.refuses(make_settlement("k", run_knowledge::ran, 1, large), kind::body_too_large));
    BOOST_TEST(f.accepts(make_settlement("k", run_knowledge::not_run)));
    BOOST_TEST(f.refuses(make_settlement("k", run_knowledge::ran), kind::version_conflict));
    BOOST_TEST(f.refuses(make_claim("k", 1), kind::version_conflict));
    BOOST_TEST(f.accepts(make_claim("k", 2)));
    BOOST_TEST(f.accepts(make_settlement("k", run_knowledge::may_have_run, 2)));
    BOOST_TEST(f.refuses(make_claim("k", 3), kind::version_conflict));
}

// Guards against two teams that share a key, also if their concatenated names and keys are equal.
BOOST_AUTO_TEST_CASE(keys_of_teams_are_separate) {
    table_fixture f;
    BOOST_TEST(f.accepts(key_claimed{team_id("a"), idempotency_key("bc"), "d", claimant, 1, 1}));
    BOOST_TEST(f.accepts(key_claimed{team_id("ab"), idempotency_key("c"), "d", claimant, 2, 1}));
    const auto first = get_subject(key_claimed{team_id("a"), idempotency_key("bc"), "d", claimant, 1, 1});
    const auto second = get_subject(key_claimed{team_id("ab"), idempotency_key("c"), "d", claimant, 2, 1});
    BOOST_TEST(first != second);
}

// Guards against keys that are dropped too early, and against a shard that grows without bound or stays full
// forever (design 2.3).
BOOST_AUTO_TEST_CASE(keys_have_a_retention_and_a_bound) {
    constexpr std::int64_t hour = 3600 * 1000;
    shard_limits limits;
    limits.max_keys = 3;
    table_fixture f(limits);
    BOOST_TEST(f.accepts(make_claim("k1")));
    BOOST_TEST(f.accepts(make_claim("k2"), 12 * hour));
    BOOST_TEST(f.accepts(make_settlement("k1", run_knowledge::not_run)));
    BOOST_TEST(f.accepts(make_claim("k3")));
    BOOST_TEST(f.refuses(make_claim("k4"), kind::overloaded));
    BOOST_TEST(f.accepts(make_claim("k1", 2)));
    const auto status = f.table.validate(make_claim("k4"), 24 * hour, 2);
    BOOST_TEST(status.ok());
    const auto full = f.table.validate(make_claim("k4"), 24 * hour, 3);
    BOOST_TEST((get_error_kind(full) == kind::overloaded));
    BOOST_TEST(!f.table.validate(make_claim("k2"), 24 * hour - 1).ok());
    BOOST_TEST(f.accepts(make_claim("k2"), 24 * hour));
    BOOST_TEST(f.table.get_sizes().keys == 1U);
}

// Guards against stored responses that fill the memory, and against a request that runs again because its
// response was dropped.
BOOST_AUTO_TEST_CASE(oldest_responses_are_dropped_first) {
    shard_limits limits;
    limits.max_key_response_bytes = 20;
    table_fixture f(limits);
    for (const auto* key : {"k3", "k2", "k1"}) {
        BOOST_TEST(f.accepts(make_claim(key), 1));
        BOOST_TEST(f.accepts(make_settlement(key, run_knowledge::ran, 1, "0123456789"), 1));
    }
    BOOST_TEST(f.table.get_sizes().key_response_bytes == 20U);
    const auto oldest = f.table.find_key(team, idempotency_key("k3"));
    BOOST_TEST(!oldest->answer.is_kept);
    BOOST_TEST((oldest->run == run_knowledge::ran));
    BOOST_TEST(f.table.find_key(team, idempotency_key("k1"))->answer.is_kept);
    BOOST_TEST(f.refuses(make_claim("k3", 2), kind::version_conflict));
}

// Guards against a job that runs on two upstreams, resumes twice, or is lost when it changes its state (I2,
// I3, I10).
BOOST_AUTO_TEST_CASE(job_follows_its_generations) {
    table_fixture f;
    BOOST_TEST(f.refuses(make_start(1), kind::not_found));
    BOOST_TEST(f.accepts(make_job("j1")));
    BOOST_TEST(f.refuses(make_job("j1"), kind::version_conflict));
    BOOST_TEST(f.refuses(make_start(2), kind::version_conflict));
    BOOST_TEST(f.accepts(make_start(1)));
    BOOST_TEST(f.refuses(make_start(1), kind::version_conflict));
    BOOST_TEST(f.refuses(make_start(2), kind::version_conflict));
    BOOST_TEST(f.refuses(make_stop(2, stop_reason::evicted), kind::version_conflict));
    BOOST_TEST(f.accepts(make_stop(1, stop_reason::evicted, "c1")));
    BOOST_TEST(f.refuses(make_stop(1, stop_reason::evicted, "c1"), kind::version_conflict));
    BOOST_TEST(f.refuses(make_finish(1), kind::version_conflict));
    BOOST_TEST(f.table.find_job(job)->evictions == 1U);
    BOOST_TEST((f.table.find_job(job)->checkpoint == "c1"));
    BOOST_TEST(f.accepts(make_start(2)));
    BOOST_TEST(f.refuses(make_finish(1), kind::version_conflict));
    BOOST_TEST(f.accepts(make_finish(2)));
    BOOST_TEST(f.refuses(make_start(3), kind::version_conflict));
    BOOST_TEST(f.table.get_open_jobs().empty());
    BOOST_TEST(f.table.list_jobs(team).size() == 1U);
    BOOST_TEST(f.table.find_job(job)->accepted->body.empty());
}

struct restart_case {
    const char* name;
    bool is_idempotent;
    stop_reason reason;
    std::optional<std::string> checkpoint;
    bool may_start;
};

// Guards against a non-idempotent job that runs a second time (I6), and an idempotent one that is not
// resumed.
BOOST_AUTO_TEST_CASE(restart_depends_on_what_may_have_run) {
    const std::vector<restart_case> cases = {
        {"refused start", false, stop_reason::not_started, std::nullopt, true},
        {"checkpointed", false, stop_reason::evicted, "c1", true},
        {"evicted without checkpoint", false, stop_reason::evicted, std::nullopt, false},
        {"failed", false, stop_reason::failed, std::nullopt, false},
        {"overran", false, stop_reason::overran, std::nullopt, false},
        {"lost", false, stop_reason::lost, std::nullopt, false},
        {"idempotent, evicted", true, stop_reason::evicted, std::nullopt, true},
        {"idempotent, failed", true, stop_reason::failed, std::nullopt, true},
        {"idempotent, lost", true, stop_reason::lost, std::nullopt, true},
    };
    for (const auto& item : cases) {
        BOOST_TEST_CONTEXT(item.name) {
            table_fixture f;
            BOOST_TEST(f.accepts(make_job("j1", item.is_idempotent)));
            BOOST_TEST(f.accepts(make_start(1)));
            BOOST_TEST(f.accepts(make_stop(1, item.reason, item.checkpoint)));
            BOOST_TEST(f.table.check_start(job).ok() == item.may_start);
            BOOST_TEST(f.accepts(make_start(2)) == item.may_start);
            if (item.may_start) {
                // Whether a job may start also depends on the generations before the last one.
                BOOST_TEST(f.accepts(make_stop(2, stop_reason::lost)));
                BOOST_TEST(f.accepts(make_start(3)) == item.is_idempotent);
            } else {
                BOOST_TEST((get_run_knowledge(f.table.check_start(job)) == run_knowledge::may_have_run));
                BOOST_TEST(f.accepts(job_parked{job, 1, run_knowledge::may_have_run, "lost"}));
                BOOST_TEST(f.accepts(job_reopened{job, "operator", "checked by hand"}));
                BOOST_TEST(f.accepts(make_start(2)));
            }
        }
    }
}

// Guards against a job that is retried forever, and a parked job that is lost or starts without an operator.
BOOST_AUTO_TEST_CASE(failing_job_is_parked_until_it_is_reopened) {
    table_fixture f;
    BOOST_TEST(f.accepts(make_job("j1")));
    for (std::uint64_t generation = 1; generation <= 5; ++generation) {
        BOOST_TEST(f.accepts(make_start(generation)));
        const auto reason = generation % 2 == 0 ? stop_reason::failed : stop_reason::overran;
        BOOST_TEST(f.accepts(make_stop(generation, reason)));
    }
    BOOST_TEST(f.refuses(make_start(6), kind::version_conflict));
    BOOST_TEST(f.accepts(job_parked{job, 5, run_knowledge::ran, "5 failures"}));
    BOOST_TEST(f.refuses(make_start(6), kind::version_conflict));
    BOOST_TEST(f.table.get_open_jobs().size() == 1U);
    BOOST_TEST(f.accepts(job_reopened{job, "operator", "fixed input"}));
    BOOST_TEST(f.accepts(make_start(6)));
    BOOST_TEST(f.accepts(job_parked{job, 6, run_knowledge::may_have_run, "upstream unreachable"}));
    BOOST_TEST(f.accepts(make_finish(6)));
    BOOST_TEST((f.table.find_job(job)->state == job_state::finished));
}

// Guards against a cancelled job that starts, and against capacity that is freed before the stop is
// confirmed.
BOOST_AUTO_TEST_CASE(cancellation_waits_for_the_stop) {
    table_fixture f;
    BOOST_TEST(f.accepts(make_job("j1")));
    BOOST_TEST(f.accepts(make_start(1)));
    BOOST_TEST(f.accepts(job_cancelled{job, "operator"}));
    BOOST_TEST((f.table.find_job(job)->state == job_state::cancelling));
    BOOST_TEST(f.refuses(job_cancelled{job, "operator"}, kind::version_conflict));
    BOOST_TEST(f.refuses(job_parked{job, 1, run_knowledge::ran, "late"}, kind::version_conflict));
    BOOST_TEST(f.accepts(make_stop(1, stop_reason::evicted)));
    BOOST_TEST((f.table.find_job(job)->state == job_state::cancelled));
    BOOST_TEST(f.refuses(make_start(2), kind::version_conflict));
    BOOST_TEST(f.accepts(make_job("j2")));
    BOOST_TEST(f.accepts(job_cancelled{job_id("j2"), "operator"}));
    BOOST_TEST((f.table.find_job(job_id("j2"))->state == job_state::cancelled));
}

// Guards against a lost update of a document, and against unbounded documents.
BOOST_AUTO_TEST_CASE(documents_are_replaced_by_revision) {
    shard_limits limits;
    limits.max_document_bytes = 10;
    table_fixture f(limits);
    BOOST_TEST(f.accepts(document_written{"runs/1", 1, "abc"}));
    BOOST_TEST(f.refuses(document_written{"runs/1", 1, "abd"}, kind::version_conflict));
    BOOST_TEST(f.accepts(document_written{"runs/1", 2, "abd"}));
    BOOST_TEST(f.refuses(document_written{"runs/2", 1, "12345678"}, kind::overloaded));
    BOOST_TEST(f.accepts(document_written{"audit/1", 1, "1234"}));
    BOOST_TEST(f.table.list_documents("runs/").size() == 1U);
    BOOST_TEST(f.accepts(document_written{"runs/1", 3, ""}));
    BOOST_TEST(f.table.get_sizes().document_bytes == 4U);
}

// Guards against a table that differs after a snapshot was taken and loaded in the middle of its history, and
// against sums that deviate from the entries.
BOOST_AUTO_TEST_CASE(snapshot_in_the_middle_gives_the_same_table) {
    shard_limits limits;
    limits.max_keys = 20;
    limits.max_key_response_bytes = 60;
    limits.retention_ms = 200;
    std::mt19937_64 random(20260314);
    table_fixture uninterrupted(limits);
    table_fixture reloaded(limits);
    std::size_t accepted = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto key = "k" + std::to_string(random() % 30);
        const auto generation = 1 + random() % 3;
        const auto entry = uninterrupted.table.find_job(job);
        const auto job_generation = (entry ? entry->generation : 0) + random() % 2;
        const auto document = uninterrupted.table.find_document("d1");
        const auto revision = (document ? document->revision : 0) + random() % 2;
        const std::vector<std::function<journal_record()>> makers = {
            [&] { return make_claim(key, generation); },
            [&] { return make_settlement(key, static_cast<run_knowledge>(random() % 3), generation); },
            [&] { return make_job("j" + std::to_string(random() % 3), random() % 2 == 0); },
            [&] { return make_start(job_generation); },
            [&] { return make_stop(job_generation, static_cast<stop_reason>(random() % 5)); },
            [&] { return make_finish(job_generation); },
            [&] {
                return job_cancelled{job, "operator"};
            },
            [&] {
                return job_parked{job, job_generation, run_knowledge::may_have_run, "lost"};
            },
            [&] {
                return job_reopened{job, "operator", "checked"};
            },
            [&] {
                return document_written{"d1", revision, random() % 4 == 0 ? "" : key};
            },
        };
        const auto record = makers[random() % makers.size()]();
        const auto elapsed = static_cast<std::int64_t>(random() % 3);
        const auto status = uninterrupted.append(record, elapsed);
        BOOST_REQUIRE(status == reloaded.append(record, elapsed));
        accepted += status.ok() ? 1 : 0;
        if (random() % 100 == 0) {
            reloaded.table = jacinthvane::shard_table(limits, reloaded.table.get_snapshot());
            BOOST_REQUIRE((reloaded.table.get_snapshot() == uninterrupted.table.get_snapshot()));
            BOOST_REQUIRE((reloaded.table.get_sizes() == uninterrupted.table.get_sizes()));
        }
    }
    BOOST_TEST(accepted > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
