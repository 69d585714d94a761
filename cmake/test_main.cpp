// Entry point shared by the test programs of all packages.
#define BOOST_TEST_MODULE radishpulley
#include <boost/test/unit_test.hpp>
