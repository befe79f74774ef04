#define BOOST_TEST_MODULE jacinthvane
#include <boost/test/unit_test.hpp>
