#include "applehatch/telemetry/logger.h"

#include <boost/test/unit_test.hpp>

namespace {

struct LogSetup
{
    LogSetup() { applehatch::telemetry::startLog(); }
};

} // namespace

BOOST_GLOBAL_FIXTURE(LogSetup);
