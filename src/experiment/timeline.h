/// Running requests of each engine over the time of a run, against the bound.
#pragma once

#include "measures-sampling.h"

#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// All engines at one moment.
struct TimelineSample
{
    double atSeconds = 0;                    ///< Since the start of the run.
    std::vector<std::optional<int>> running; ///< By engine; none while it is not live.
    double bound = 0; ///< `loadMultiple` x mean of the live ones, rounded up, at least 1.
};

struct Timeline
{
    std::vector<std::string> engines;
    std::vector<TimelineSample> samples;
};

/// A sample every `period`.
[[nodiscard]] auto measureTimeline(const EngineEvents &events, const LiveSpans &live,
                                   const Window &window, double loadMultiple, milliseconds period)
    -> Timeline;

} // namespace applehatch::experiment
