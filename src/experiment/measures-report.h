/// The figures of one variant, as a line of JSON and as a row of a table.
#pragma once

#include "measures-sampling.h"

#include <string>
#include <vector>

namespace applehatch::experiment {

/// One way to route the same workload.
struct Variant
{
    std::string name;
    std::string placement = "default";
    bool echoToken = true;
    double loadMultiple = 0; ///< 0 takes the deployment's own.
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
};

/// One object on one line.
[[nodiscard]] auto jsonLine(const Result &result) -> std::string;

/// A Markdown table of all variants, and one of the first variant's control traffic by kind.
[[nodiscard]] auto table(const std::vector<Result> &results) -> std::string;

} // namespace applehatch::experiment
