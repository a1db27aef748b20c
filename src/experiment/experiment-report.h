/// The plots of an experiment in one HTML file that needs no other.
#pragma once

#include "measures-report.h"

#include <string>
#include <vector>

namespace applehatch::experiment {

/// Running requests per engine over time for each result, and bars that compare the variants.
[[nodiscard]] auto htmlReport(const std::string &title, const std::vector<Result> &results)
    -> std::string;

} // namespace applehatch::experiment
