#include "process/migration_gain.hpp"

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;
using std::chrono::milliseconds;

namespace {

// A task of 2.2 s that is half done and runs at a tenth of its full speed.
migration_terms make_terms() {
    migration_terms terms;
    terms.full_time = milliseconds(2200);
    terms.percent = 50;
    terms.speed = 0.1;
    terms.cpu_limit = 0.1;
    terms.stop_time = milliseconds(500);
    terms.restore_time = milliseconds(400);
    return terms;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(migration_gain)

// A task that starves where it runs moves, also if it has to begin again.
BOOST_AUTO_TEST_CASE(starving_tasks_move) {
    const auto gain = get_migration_gain(make_terms());
    BOOST_REQUIRE(gain.has_value());
    // Here 1.1 s of work at a tenth of full speed, there 0.5 s and all of its work.
    BOOST_TEST(gain->count() == 11000 - 2700);
}

// A task without checkpoints that is nearly done would do its work twice: it ends earlier where it is.
BOOST_AUTO_TEST_CASE(does_not_repeat_work_that_is_nearly_done) {
    auto terms = make_terms();
    terms.percent = 90;
    BOOST_TEST(!get_migration_gain(terms).has_value());
    terms.saves_checkpoints = true;
    BOOST_TEST(get_migration_gain(terms).has_value());
    terms.restore_time = milliseconds(4000);
    BOOST_TEST(!get_migration_gain(terms).has_value());
}

// A limit that has just fallen may rise again, so a task that ran at full speed before is not moved for a
// gain that is within the error of the estimates.
BOOST_AUTO_TEST_CASE(does_not_move_for_a_small_gain) {
    auto terms = make_terms();
    terms.speed = 0.9;
    terms.cpu_limit = 0.2;
    BOOST_TEST(!get_migration_gain(terms).has_value());
}

// Without an estimate nothing speaks against a move, as before.
BOOST_AUTO_TEST_CASE(tasks_of_unknown_duration_move) {
    auto terms = make_terms();
    terms.full_time = milliseconds(0);
    BOOST_TEST((get_migration_gain(terms) == milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
