#include "process/connection_budget.hpp"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "process/metrics.hpp"
#include "process/response_budget.hpp"

using namespace jacinthvane;

namespace {

constexpr std::size_t kib = 1024;
// What a connection holds at least.
constexpr std::size_t fixed = 8 * kib;

struct budget_fixture {
    metrics counters;
    std::shared_ptr<rejection_log> log = std::make_shared<rejection_log>(&counters);
    std::vector<int> evicted;

    connection_budget::handle add(connection_budget& budget, std::size_t group, int number) {
        return budget.add(group, [this, number] { evicted.push_back(number); });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(remote_limits, budget_fixture)

// Guards against a crowd of connections that keeps others out, and against the eviction of a request that may
// run: a response could no longer say truthfully what became of it.
BOOST_AUTO_TEST_CASE(evicts_idle_then_slowest_connections_and_no_request_in_progress) {
    connection_budget budget({kib * kib, 3}, log);
    const auto group = budget.add_group();
    const auto slow = add(budget, group, 1);
    const auto answering = add(budget, group, 2);
    const auto idle = add(budget, group, 3);
    BOOST_TEST(budget.enter(slow, connection_phase::reading));
    BOOST_TEST(budget.enter(answering, connection_phase::answering));
    const auto first = add(budget, group, 4);
    BOOST_TEST((evicted == std::vector<int>{3}));
    BOOST_TEST(!budget.enter(idle, connection_phase::reading));
    BOOST_TEST(budget.enter(first, connection_phase::answering));
    const auto second = add(budget, group, 5);
    BOOST_TEST((evicted == std::vector<int>{3, 1}));
    BOOST_TEST(budget.is_evicted(slow));
    BOOST_TEST(budget.enter(second, connection_phase::answering));
    BOOST_TEST((add(budget, group, 6) == nullptr));
    BOOST_TEST(budget.get_connections() == 3U);
    BOOST_TEST(log->get_count(rejection::evicted_idle) == 1U);
    BOOST_TEST(log->get_count(rejection::connection_refused) == 1U);
    const auto text = counters.write_text();
    BOOST_TEST(text.find("jacinthvane_remote_sides_rejected_total{kind=\"evicted_slow\"} 1") !=
               std::string::npos);
}

// Guards against memory that is counted twice or never returned: the process would refuse everything later.
BOOST_AUTO_TEST_CASE(memory_is_taken_from_the_slowest_and_returned) {
    connection_budget budget({2 * fixed + 10 * kib, 10}, log);
    const auto group = budget.add_group();
    const auto slow = add(budget, group, 1);
    const auto fast = add(budget, group, 2);
    BOOST_TEST(budget.enter(slow, connection_phase::reading));
    BOOST_TEST(budget.enter(fast, connection_phase::reading));
    BOOST_TEST(budget.resize(slow, 9 * kib));
    // The slowest gets no more at the expense of the others.
    BOOST_TEST(!budget.resize(slow, 11 * kib));
    BOOST_TEST(budget.resize(fast, 5 * kib));
    BOOST_TEST((evicted == std::vector<int>{1}));
    BOOST_TEST(budget.get_used_bytes() == fixed + 5 * kib);
    budget.remove(slow);
    budget.remove(fast);
    BOOST_TEST(budget.get_used_bytes() == 0U);
    BOOST_TEST(budget.get_connections() == 0U);
}

// Guards against a crowd on the caller port that ends the connections of the balancer and of other processes.
BOOST_AUTO_TEST_CASE(connections_of_a_smaller_port_stay) {
    connection_budget budget({kib * kib, 3}, log);
    const auto callers = budget.add_group();
    const auto readiness = budget.add_group();
    const auto balancer = add(budget, readiness, 1);
    const auto first = add(budget, callers, 2);
    const auto second = add(budget, callers, 3);
    const auto third = add(budget, callers, 4);
    BOOST_TEST((evicted == std::vector<int>{2}));
    BOOST_TEST(budget.enter(balancer, connection_phase::reading));
}

// Guards against requests in progress on one port, which are not evicted, that shut the other ports.
BOOST_AUTO_TEST_CASE(one_port_does_not_get_all_connections) {
    connection_budget budget({kib * kib, 4}, log);
    const auto callers = budget.add_group();
    const auto readiness = budget.add_group();
    std::vector<connection_budget::handle> answering;
    for (int i = 0; i < 3; ++i) {
        answering.push_back(add(budget, callers, i));
        BOOST_TEST(budget.enter(answering.back(), connection_phase::answering));
    }
    BOOST_TEST((add(budget, callers, 3) == nullptr));
    BOOST_TEST((add(budget, readiness, 4) != nullptr));
    BOOST_TEST(evicted.empty());
}

// Guards against one endless response that ends the responses of the other servers.
BOOST_AUTO_TEST_CASE(largest_response_ends_when_the_memory_is_exhausted) {
    const auto budget = std::make_shared<response_budget>(100 * kib, log);
    int ended = 0;
    response_budget::share small(budget, [&] { ended = 1; });
    {
        response_budget::share large(budget, [&] { ended = 2; });
        BOOST_TEST(small.resize(10 * kib));
        BOOST_TEST(large.resize(85 * kib));
        BOOST_TEST(small.resize(20 * kib));
        BOOST_TEST(ended == 2);
        BOOST_TEST(!large.resize(1 * kib));
        BOOST_TEST(budget->get_used_bytes() == 20 * kib);
    }
    BOOST_TEST(!small.resize(101 * kib));
    BOOST_TEST(budget->get_used_bytes() == 0U);
    BOOST_TEST(log->get_count(rejection::response_memory) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
