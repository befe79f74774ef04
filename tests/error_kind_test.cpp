#include "process/error_kind.hpp"

#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthvane;

BOOST_AUTO_TEST_SUITE(error_kind)

// Guards against a kind that is added without a row: the table is indexed by the value of the kind.
BOOST_AUTO_TEST_CASE(each_kind_has_its_own_row) {
    std::set<std::string> names;
    int position = 0;
    for (const auto& mapping : get_all_error_mappings()) {
        BOOST_TEST(static_cast<int>(mapping.kind) == position);
        BOOST_TEST(names.insert(std::string(mapping.name)).second);
        ++position;
    }
    BOOST_TEST(position == static_cast<int>(jacinthvane::error_kind::internal) + 1);
}

// Guards against reporting "not-run" to a caller although the status was made with another value.
BOOST_AUTO_TEST_CASE(run_knowledge_travels_with_the_status) {
    const auto status = make_error(jacinthvane::error_kind::no_capacity, "full", run_knowledge::may_have_run);
    BOOST_TEST((get_error_kind(status) == jacinthvane::error_kind::no_capacity));
    BOOST_TEST((get_run_knowledge(status) == run_knowledge::may_have_run));
    BOOST_TEST((get_run_knowledge(absl::InternalError("foreign")) == run_knowledge::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()
