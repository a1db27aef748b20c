/// Calls to plain services that must run exactly once.
#pragma once

#include "measures-workload.h"

#include <set>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// One call as its caller saw it.
struct ServiceCall
{
    std::string key;
    bool answered = false;
    int sends = 0;
};

/// What the services wrote down about all calls.
struct CallFigures
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t resent = 0;        ///< Sent more than once.
    std::size_t ranOnce = 0;       ///< Of the answered ones.
    std::size_t ranTwice = 0;      ///< Of all; each is a fault.
    std::size_t answeredUnrun = 0; ///< Each is a fault.
    std::size_t unanswered = 0;    ///< Given up; ran once or never.
};

/// Calls at `callsPerSecond` for `length`, each with a key of its own, sent again with the same key
/// until it is answered or was sent six times.
[[nodiscard]] auto driveCalls(Fleet &fleet, const Deployment &deployment, milliseconds length,
                              std::uint64_t seed) -> std::vector<ServiceCall>;

/// Compares what callers saw with the runs that services began.
[[nodiscard]] auto countCalls(const std::vector<ServiceCall> &calls,
                              const std::vector<RunEntry> &runs) -> CallFigures;

} // namespace applehatch::experiment
