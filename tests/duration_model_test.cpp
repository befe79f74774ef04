#include "process/duration_model.hpp"

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

namespace {

const std::string queue = "merges";

}  // namespace

BOOST_AUTO_TEST_SUITE(duration_model)

// Without measurements the declared estimate stands, and a few of them change little: a new owner knows none.
BOOST_AUTO_TEST_CASE(begins_with_the_declared_estimate) {
    jacinthvane::duration_model model;
    BOOST_TEST(model.estimate(queue, 1500) == 1500.0);
    BOOST_TEST(model.get_slowest_factor(queue) == 1.0);
    model.learn(queue, 1000, 3000);
    const double estimate = model.estimate(queue, 1000);
    BOOST_TEST((estimate > 1000.0 && estimate < 1100.0));
    BOOST_TEST(model.estimate("other", 1000) == 1000.0);
}

// Guards against jobs that are ranked by declared estimates that say nothing: if they are off by a multiple
// at random, the usual duration of the queue is expected.
BOOST_AUTO_TEST_CASE(ignores_estimates_that_say_nothing) {
    jacinthvane::duration_model model;
    std::mt19937 random(3);
    std::lognormal_distribution<double> duration_ms(std::log(2000.0), 0.3);
    std::lognormal_distribution<double> factor(0.0, 1.0);
    for (int i = 0; i < 2000; ++i) {
        const double measured_ms = duration_ms(random);
        model.learn(queue, static_cast<std::int64_t>(measured_ms * factor(random)), measured_ms);
    }
    for (const std::int64_t declared_ms : {400, 2000, 10000}) {
        const double estimate = model.estimate(queue, declared_ms);
        BOOST_TEST((estimate > 1400.0 && estimate < 2800.0));
    }
}

// Estimates that are proportional to the durations keep their meaning, also if all are too short.
BOOST_AUTO_TEST_CASE(corrects_a_common_factor) {
    jacinthvane::duration_model model;
    for (int i = 0; i < 2000; ++i) {
        const std::int64_t declared_ms = 200 * (1 + i % 20);
        model.learn(queue, declared_ms, 2.5 * static_cast<double>(declared_ms));
    }
    BOOST_TEST(model.estimate(queue, 400) == 1000.0, boost::test_tools::tolerance(0.1));
    BOOST_TEST(model.estimate(queue, 4000) == 10000.0, boost::test_tools::tolerance(0.1));
}

// Measurements and estimates that are missing change nothing.
BOOST_AUTO_TEST_CASE(leaves_out_missing_values) {
    jacinthvane::duration_model model;
    model.learn(queue, 0, 1000);
    model.learn(queue, 1000, 0);
    BOOST_TEST(model.estimate(queue, 700) == 700.0);
    BOOST_TEST(model.estimate(queue, 0) == 0.0);
    model.learn_slowest(queue, 1.5);
    model.learn_slowest(queue, 1.3);
    BOOST_TEST(model.get_slowest_factor(queue) == 1.4, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
