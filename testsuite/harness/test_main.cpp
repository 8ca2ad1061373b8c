/// \file
/// Entry point of every test program.
#define BOOST_TEST_MODULE damaskworks
#include <boost/test/unit_test.hpp>
