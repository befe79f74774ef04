#include "request/retry_policy.hpp"

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

const time_point start = time_point(std::chrono::hours(1));

failed_attempt make_failed_attempt(error_kind error, run_knowledge run, bool is_idempotent) {
    return {.error = error,
            .run = run,
            .is_idempotent = is_idempotent,
            .deadline = start + milliseconds(5000),
            .expected_run = milliseconds(100)};
}

bool is_granted(const retry_decision& decision) {
    return std::holds_alternative<retry_attempt>(decision);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_policy)

// Guards against a non-idempotent request that runs twice (I6): it is retried only if it is known not to have
// run.
BOOST_AUTO_TEST_CASE(non_idempotent_request_is_repeated_only_if_not_run) {
    for (const auto& mapping : get_all_error_mappings()) {
        for (const auto run : {run_knowledge::may_have_run, run_knowledge::ran}) {
            jacinthvane::retry_policy policy;
            BOOST_TEST(!is_granted(policy.decide(make_failed_attempt(mapping.kind, run, false), start)));
        }
    }
    jacinthvane::retry_policy policy;
    BOOST_TEST(is_granted(policy.decide(
        make_failed_attempt(error_kind::upstream_too_late, run_knowledge::not_run, false), start)));
    BOOST_TEST(is_granted(policy.decide(
        make_failed_attempt(error_kind::upstream_lost, run_knowledge::may_have_run, true), start)));
}

// Guards against retries that multiply the load when everything fails: they are at most 10% of the requests
// plus the burst.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget) {
    const retry_settings settings;
    jacinthvane::retry_policy policy(settings);
    int granted = 0;
    const auto failure = make_failed_attempt(error_kind::upstream_failed, run_knowledge::ran, true);
    for (int number = 0; number < 10000; ++number) {
        policy.record_request();
        granted += is_granted(policy.decide(failure, start)) ? 1 : 0;
        granted += is_granted(policy.decide(failure, start)) ? 1 : 0;
    }
    BOOST_TEST(granted <= 1000 + settings.burst);
    BOOST_TEST(granted >= 990);
}

// Guards against retries that cannot finish in time, unlimited retries, and retries of a request that would
// be refused again.
BOOST_AUTO_TEST_CASE(useless_attempts_are_refused) {
    jacinthvane::retry_policy policy;
    auto failure = make_failed_attempt(error_kind::upstream_failed, run_knowledge::ran, true);
    failure.deadline = start + milliseconds(110);
    BOOST_TEST((std::get<retry_refusal>(policy.decide(failure, start)) == retry_refusal::no_time));
    failure = make_failed_attempt(error_kind::upstream_failed, run_knowledge::ran, true);
    failure.attempts = 3;
    BOOST_TEST((std::get<retry_refusal>(policy.decide(failure, start)) == retry_refusal::too_many_attempts));
    failure = make_failed_attempt(error_kind::bad_request, run_knowledge::not_run, true);
    BOOST_TEST((std::get<retry_refusal>(policy.decide(failure, start)) == retry_refusal::not_useful));
}

// Guards against a hop that continues to work after its caller has timed out.
BOOST_AUTO_TEST_CASE(deadline_shrinks_with_each_hop) {
    const jacinthvane::retry_policy policy;
    auto deadline = start + milliseconds(200);
    for (int hop = 0; hop < 5; ++hop) {
        const auto next = policy.shrink_deadline(deadline, start, milliseconds(12));
        BOOST_TEST((next < deadline));
        BOOST_TEST((next >= start));
        deadline = next;
    }
    BOOST_TEST((policy.shrink_deadline(start - milliseconds(5), start, milliseconds(1)) <= start));
}

BOOST_AUTO_TEST_SUITE_END()
