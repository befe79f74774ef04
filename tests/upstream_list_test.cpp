#include <string>

#include <boost/test/unit_test.hpp>

#include "tests/owner_fixture.hpp"

using namespace jacinthvane;

namespace {

// Returns whether the owner's dump shows the text in the line of the upstream.
bool shows(const owner_process& owner, const upstream_entry& entry, const std::string& text) {
    const auto dump = owner.dump_state();
    const auto line = dump.find(entry.id.get() + " runs");
    if (line == std::string::npos) {
        return false;
    }
    return dump.substr(line, dump.find('\n', line) - line).find(text) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_list)

// The list of upstreams of a large fleet takes seconds to write on a slow link. Guards against an owner that
// reads no changes of upstreams meanwhile, and so starts tasks on one that is leaving.
BOOST_AUTO_TEST_CASE(leaving_upstreams_are_seen_while_the_list_cannot_be_written) {
    upstream_process upstreams(3);
    const auto& entries = upstreams.get_entries();
    owner_process owner({entries[0], entries[1]}, owner_options());
    BOOST_REQUIRE(wait_for([&] { return owner.is_loaded(); }));
    memory_cell_store::faults faults;
    faults.is_down = true;
    owner.get_store().set_faults(faults);
    owner.get_registry().set_upstream(entries[2]);
    BOOST_REQUIRE(wait_for([&] { return shows(owner, entries[2], "runs"); }));
    auto leaving = entries[0];
    leaving.is_leaving = true;
    owner.get_registry().set_upstream(leaving);
    BOOST_TEST(wait_for([&] { return shows(owner, leaving, "leaving"); }));
}

// Thousands of upstreams write more entries a second than one read returns. Guards against an owner that
// waits between such reads: it falls behind for good, and sees seconds late that an upstream is leaving.
BOOST_AUTO_TEST_CASE(leaving_upstreams_are_seen_behind_many_other_changes) {
    // Read with a pause of 0.3 s for each 500, they would take longer than the test waits.
    constexpr int other_changes = 120'000;
    upstream_process upstreams(2);
    const auto& entries = upstreams.get_entries();
    owner_process owner(entries, owner_options());
    BOOST_REQUIRE(wait_for([&] { return owner.is_loaded(); }));
    for (int i = 0; i < other_changes; ++i) {
        owner.get_registry().set_upstream(entries[1]);
    }
    auto leaving = entries[0];
    leaving.is_leaving = true;
    owner.get_registry().set_upstream(leaving);
    BOOST_TEST(wait_for([&] { return shows(owner, leaving, "leaving"); }));
}

BOOST_AUTO_TEST_SUITE_END()
