/// The figures of one variant, as a line of JSON and as a row of a table.
#pragma once

#include "measures-calls.h"
#include "measures-sampling.h"
#include "measures-times.h"
#include "timeline.h"

#include <string>
#include <vector>

namespace applehatch::experiment {

/// One way to route the same workload.
struct Variant
{
    std::string name;
    std::string placement = "default";
    bool echoToken = true;
    nlohmann::json pool = nlohmann::json::object(); ///< Differs from the deployment's in these.
};

struct Result
{
    Variant variant;
    std::string deployment;
    std::uint64_t seed = 0;
    std::int64_t seconds = 0;
    double loadMultiple = 0;
    Reuse reuse;
    Skew skew;
    ControlRates control;
    std::map<int, TimeFigures> times; ///< By priority.
    CallFigures calls;
    Timeline timeline;
};

/// One object on one line.
[[nodiscard]] auto jsonLine(const Result &result) -> std::string;

/// A Markdown table of all variants, of their calls and times, and of the first one's control
/// bytes.
[[nodiscard]] auto table(const std::vector<Result> &results) -> std::string;

} // namespace applehatch::experiment
