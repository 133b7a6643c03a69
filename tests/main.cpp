// Entry point of the unit and property tests; each other file here tests one part.
#define BOOST_TEST_MODULE lovagerail
#include <boost/test/unit_test.hpp>
