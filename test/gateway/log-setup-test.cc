#include "support/log-setup.h"

#include <boost/test/unit_test.hpp>

using applehatch::test_support::LogSetup;

BOOST_GLOBAL_FIXTURE(LogSetup);
