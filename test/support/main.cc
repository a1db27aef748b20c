#define BOOST_TEST_MODULE applehatch
#include <boost/test/unit_test.hpp>
