/// Plots as SVG, without scripts or outside files.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// One line of a plot; a point without a value leaves a gap.
struct Series
{
    std::string name;
    std::vector<std::optional<double>> values; ///< One for each place on the axis.
    bool emphasized = false;                   ///< Drawn dashed and in black.
};

/// Lines over one axis that all series share.
struct LineChart
{
    std::string title;
    std::string axisName; ///< With its unit.
    std::string valueName;
    std::vector<double> axis;
    std::vector<Series> series;
};

/// Groups of bars; each group has one value for each name of `series`.
struct BarChart
{
    struct Group
    {
        std::string name;
        std::vector<double> values;
    };

    std::string title;
    std::string valueName; ///< With its unit.
    std::vector<std::string> series;
    std::vector<Group> groups;
};

[[nodiscard]] auto drawSvg(const LineChart &chart) -> std::string;
[[nodiscard]] auto drawSvg(const BarChart &chart) -> std::string;

/// `text` with the characters replaced that mean something in XML.
[[nodiscard]] auto escapeXml(const std::string &text) -> std::string;

} // namespace applehatch::experiment
