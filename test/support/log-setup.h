/// Global fixture of tests whose log is worth reading when they fail.
#pragma once

#include "applehatch/telemetry/logger.h"

namespace applehatch::test_support {

struct LogSetup
{
    LogSetup() { telemetry::startLog(); }
};

} // namespace applehatch::test_support
