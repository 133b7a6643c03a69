// Entry point of the unit and property tests; each test_*.cpp beside it tests one component.
#define BOOST_TEST_MODULE lovagerail
#include <boost/test/unit_test.hpp>
