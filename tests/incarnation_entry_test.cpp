#include <chrono>
#include <set>
#include <string>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "tests/cell_fixture.hpp"

using namespace jacinthvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Upstreams that come back under their id as another kind: labels, capacity and service belong to one
// incarnation, and reports may show the next one before the platform's entry does.

namespace {

constexpr std::int64_t second_boot = 2;

// One upstream with label "a", and tasks that need this label.
struct entry_fixture {
    entry_fixture() : cell(1) {
        cell.registers_restarts = false;
        cell.run_for(milliseconds(200));
    }

    void add_tasks(std::uint32_t tasks, std::int64_t processors_milli = 1000) {
        auto step = cell_fixture::make_step(tasks, processors_milli);
        step.required_label = "a";
        cell.add_job("job", cell_fixture::make_job({step}), 500);
    }

    // The upstream comes back, and a report shows it.
    void restart(std::int64_t boot = second_boot) {
        cell.upstreams.restart(get_entry().id, boot);
        cell.run_for(milliseconds(100));
        BOOST_REQUIRE_EQUAL(cell.scheduler->find_upstream(get_entry().id)->boot_unix_ms, boot);
    }

    // The platform lists what the new incarnation says of itself.
    void list(const std::vector<std::string>& labels, std::int64_t boot = second_boot) {
        auto entry = get_entry();
        entry.labels = labels;
        entry.boot_unix_ms = boot;
        list(entry);
    }

    void list(const upstream_entry& entry) {
        get_entry() = entry;
        cell.scheduler->list_upstream(entry, cell.clock->get_now());
    }

    std::size_t count_starts() {
        cell.run_for(milliseconds(500));
        return cell.upstreams.get_start_count();
    }

    upstream_entry& get_entry() { return cell.entries.front(); }

    cell_fixture cell;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(incarnation_entry)

// Guards against tasks that start with the labels of the previous incarnation.
BOOST_AUTO_TEST_CASE(no_task_starts_before_the_entry_of_the_incarnation_is_read) {
    entry_fixture fixture;
    fixture.restart();
    fixture.add_tasks(1);
    BOOST_TEST(fixture.count_starts() == 0U);
    fixture.list({"b", "rack0"});
    BOOST_TEST(fixture.count_starts() == 0U);
}

// Guards against a sound upstream that stays unused: its entry differs in nothing but the incarnation.
BOOST_AUTO_TEST_CASE(tasks_start_as_soon_as_the_entry_is_read) {
    entry_fixture fixture;
    fixture.restart();
    fixture.add_tasks(1);
    fixture.list({"a", "rack0"});
    fixture.cell.run_for(milliseconds(20));
    BOOST_TEST(fixture.cell.upstreams.get_start_count() == 1U);
}

// Guards against a wait for an entry that has been read before the report.
BOOST_AUTO_TEST_CASE(an_entry_that_is_read_before_the_report_counts) {
    entry_fixture fixture;
    fixture.cell.upstreams.restart(fixture.get_entry().id, second_boot);
    fixture.list({"a", "rack0"});
    fixture.add_tasks(1);
    BOOST_TEST(fixture.count_starts() == 1U);
}

// Guards against an entry of the previous incarnation that is read after the report, as in a list of changes
// that has been on its way.
BOOST_AUTO_TEST_CASE(an_entry_of_the_previous_incarnation_is_ignored) {
    entry_fixture fixture;
    fixture.restart();
    fixture.add_tasks(1);
    fixture.list({"a", "rack0"}, 1);
    BOOST_TEST(fixture.count_starts() == 0U);
    BOOST_TEST(fixture.cell.scheduler->find_upstream(fixture.get_entry().id)->boot_unix_ms == second_boot);
    fixture.list({"a", "rack0"});
    BOOST_TEST(fixture.count_starts() == 1U);
}

// Guards against more runs than the new incarnation has room for, or in another service.
BOOST_AUTO_TEST_CASE(capacity_and_service_are_those_of_the_incarnation) {
    for (const bool changes_service : {false, true}) {
        entry_fixture fixture;
        fixture.restart();
        fixture.add_tasks(4, 4000);
        BOOST_TEST(fixture.count_starts() == 0U);
        auto entry = fixture.get_entry();
        entry.boot_unix_ms = second_boot;
        entry.capacity = resource_vector(8000, 64000, 0, 0);
        entry.service = changes_service ? "other" : entry.service;
        fixture.list(entry);
        fixture.cell.run_for(milliseconds(100));
        BOOST_TEST(fixture.cell.upstreams.count_running() == (changes_service ? 0U : 2U));
    }
}

// Guards against a start that waits for its record, or is repeated, while the upstream becomes another kind.
BOOST_AUTO_TEST_CASE(starts_that_were_not_sent_are_withdrawn) {
    entry_fixture fixture;
    fixture.cell.delays_commits = true;
    auto step = cell_fixture::make_step(1);
    step.required_label = "a";
    step.is_long_running = true;
    fixture.cell.add_job("job", cell_fixture::make_job({step}));
    fixture.cell.run_for(milliseconds(100));
    fixture.restart();
    fixture.cell.delays_commits = false;
    BOOST_TEST(fixture.count_starts() == 0U);
}

// Guards against the same after a takeover: the stored list names the new incarnation with what was known of
// the previous one, and the platform still lists that one.
BOOST_AUTO_TEST_CASE(the_next_owner_waits_for_the_entry_too) {
    for (const bool is_listed : {false, true}) {
        entry_fixture fixture;
        auto& cell = fixture.cell;
        fixture.restart();
        const auto previous = fixture.get_entry();
        auto recorded = previous;
        recorded.boot_unix_ms = second_boot;
        cell.entries = {recorded};
        cell.take_over_from_list();
        if (is_listed) {
            cell.scheduler->list_upstream(previous, cell.clock->get_now());
        }
        fixture.add_tasks(1);
        BOOST_TEST(fixture.count_starts() == 0U);
        fixture.list({"a", "rack0"});
        BOOST_TEST(fixture.count_starts() == 1U);
    }
}

// Guards against polls of an address at which the upstream is no more, and against tasks there before its new
// entry is read.
BOOST_AUTO_TEST_CASE(a_restart_at_another_address_is_learned_from_the_entry) {
    entry_fixture fixture;
    auto& cell = fixture.cell;
    cell.upstreams.set_partitioned(fixture.get_entry().id, true);
    cell.run_for(milliseconds(200));
    fixture.add_tasks(1);
    BOOST_TEST(fixture.count_starts() == 0U);
    cell.upstreams.restart(fixture.get_entry().id, second_boot);
    auto entry = fixture.get_entry();
    entry.address = "elsewhere";
    entry.boot_unix_ms = second_boot;
    fixture.list(entry);
    BOOST_TEST(fixture.count_starts() == 1U);
    BOOST_TEST(cell.scheduler->find_upstream(entry.id)->entry.address == "elsewhere");
}

// Guards against an owner that does not look for the entry: it is told once of each incarnation that a report
// shows, and expects the entry until it is read.
BOOST_AUTO_TEST_CASE(a_missed_entry_is_looked_for) {
    entry_fixture fixture;
    auto& scheduler = *fixture.cell.scheduler;
    BOOST_TEST(!scheduler.take_missed_entries());
    fixture.restart();
    BOOST_TEST(scheduler.take_missed_entries());
    BOOST_TEST(!scheduler.take_missed_entries());
    BOOST_TEST(scheduler.has_missing_entries(fixture.cell.clock->get_now()));
    fixture.list({"a", "rack0"});
    BOOST_TEST(!scheduler.has_missing_entries(fixture.cell.clock->get_now()));
    fixture.restart(second_boot + 1);
    BOOST_TEST(!scheduler.has_missing_entries(fixture.cell.clock->get_now() + seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
