#include "chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace applehatch::experiment {

namespace {

constexpr double width = 900;
constexpr double height = 320;
constexpr double left = 60;
constexpr double right = 200; ///< Room for the names of the series.
constexpr double top = 30;
constexpr double bottom = 50;
constexpr double plotWidth = width - left - right;
constexpr double plotHeight = height - top - bottom;
constexpr int ticks = 5;
constexpr double lineHeight = 14;
constexpr double barsShare = 0.8; ///< Of a group's width; the rest keeps groups apart.
constexpr double groupLabelSpace = 14;

constexpr std::array colors{"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd",
                            "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22", "#17becf"};

auto number(double value) -> std::string
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

auto colorOf(std::size_t place) -> std::string
{
    return colors[place % colors.size()];
}

/// The next of 1, 2 or 5 times a power of ten, so that the ticks are round.
auto roundUp(double value) -> double
{
    if (value <= 0) {
        return 1;
    }
    const auto power = std::pow(10, std::floor(std::log10(value)));
    for (const auto step : {1.0, 2.0, 5.0}) {
        if (value <= step * power) {
            return step * power;
        }
    }
    return 10 * power;
}

auto label(double x, double y, const std::string &anchor, const std::string &text) -> std::string
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">"
        + escapeXml(text) + "</text>\n";
}

auto rule(double x1, double y1, double x2, double y2, const std::string &style) -> std::string
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2)
        + "\" y2=\"" + number(y2) + "\" " + style + "/>\n";
}

auto box(double x, double y, double w, double h, const std::string &color, const std::string &tip)
    -> std::string
{
    return "<rect x=\"" + number(x) + "\" y=\"" + number(y) + "\" width=\"" + number(w)
        + "\" height=\"" + number(h) + "\" fill=\"" + color + "\"><title>" + escapeXml(tip)
        + "</title></rect>\n";
}

auto yOf(double value, double most) -> double
{
    return top + plotHeight * (1 - value / most);
}

auto frame(const std::string &title, const std::string &valueName, double most) -> std::string
{
    auto svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " + number(width) + " "
        + number(height) + "\" width=\"" + number(width) + "\" height=\"" + number(height)
        + "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        + label(left, top - 12, "start", title + " (" + valueName + ")");
    for (int tick = 0; tick <= ticks; ++tick) {
        const auto value = most * tick / ticks;
        const auto y = yOf(value, most);
        svg += rule(left, y, left + plotWidth, y, "stroke=\"#ddd\"");
        svg += label(left - 6, y + 4, "end", number(value));
    }
    return svg;
}

auto legendRow(std::size_t place, const std::string &name, const std::string &color) -> std::string
{
    const auto x = left + plotWidth + 12;
    const auto y = top + static_cast<double>(place) * lineHeight;
    return box(x, y, 10, 10, color, name) + label(x + 14, y + 9, "start", name);
}

/// Points that follow each other are joined; a gap starts a new line.
auto path(const LineChart &chart, const Series &series, double most, const std::string &style)
    -> std::string
{
    const auto span = std::max(1e-9, chart.axis.back() - chart.axis.front());
    std::string steps;
    auto joined = false;
    for (std::size_t place = 0; place < series.values.size(); ++place) {
        const auto &value = series.values[place];
        if (value) {
            const auto x = left + plotWidth * (chart.axis[place] - chart.axis.front()) / span;
            steps += (joined ? "L" : "M") + number(x) + " " + number(yOf(*value, most)) + " ";
        }
        joined = value.has_value();
    }
    return "<path fill=\"none\" d=\"" + steps + "\" " + style + "><title>" + escapeXml(series.name)
        + "</title></path>\n";
}

auto mostOf(const LineChart &chart) -> double
{
    double most = 0;
    for (const auto &series : chart.series) {
        for (const auto &value : series.values) {
            most = std::max(most, value.value_or(0));
        }
    }
    return roundUp(most);
}

auto mostOf(const BarChart &chart) -> double
{
    double most = 0;
    for (const auto &group : chart.groups) {
        for (const auto value : group.values) {
            most = std::max(most, value);
        }
    }
    return roundUp(most);
}

auto axisTicks(const LineChart &chart) -> std::string
{
    std::string svg;
    const auto first = chart.axis.front();
    for (int tick = 0; tick <= ticks; ++tick) {
        const auto share = static_cast<double>(tick) / ticks;
        svg += label(left + plotWidth * share, height - bottom + 16, "middle",
                     number(first + (chart.axis.back() - first) * share));
    }
    return svg + label(left + plotWidth / 2, height - 12, "middle", chart.axisName);
}

} // namespace

auto drawSvg(const LineChart &chart) -> std::string
{
    const auto most = mostOf(chart);
    auto svg = frame(chart.title, chart.valueName, most);
    if (!chart.axis.empty()) {
        svg += axisTicks(chart);
        for (std::size_t place = 0; place < chart.series.size(); ++place) {
            const auto &series = chart.series[place];
            const auto color = series.emphasized ? std::string("black") : colorOf(place);
            const std::string dash =
                series.emphasized ? "stroke-dasharray=\"5 3\"" : "opacity=\"0.8\"";
            svg += path(chart, series, most, "stroke=\"" + color + "\" " + dash);
            svg += legendRow(place, series.name, color);
        }
    }
    return svg + "</svg>\n";
}

auto drawSvg(const BarChart &chart) -> std::string
{
    const auto most = mostOf(chart);
    auto svg = frame(chart.title, chart.valueName, most);
    const auto groups = static_cast<double>(std::max<std::size_t>(1, chart.groups.size()));
    const auto groupWidth = plotWidth / groups;
    const auto bars = static_cast<double>(std::max<std::size_t>(1, chart.series.size()));
    const auto barWidth = groupWidth * barsShare / bars;
    for (std::size_t at = 0; at < chart.groups.size(); ++at) {
        const auto &group = chart.groups[at];
        const auto start = left + groupWidth * static_cast<double>(at);
        for (std::size_t place = 0; place < group.values.size(); ++place) {
            const auto value = group.values[place];
            const auto y = yOf(value, most);
            svg += box(start + barWidth * static_cast<double>(place), y, barWidth,
                       top + plotHeight - y, colorOf(place),
                       group.name + ", " + chart.series[place] + ": " + number(value));
        }
        // Two rows of labels, or the names of neighbours would run into each other.
        svg += label(start + groupWidth * barsShare / 2,
                     height - bottom + 16 + groupLabelSpace * static_cast<double>(at % 2), "middle",
                     group.name);
    }
    for (std::size_t place = 0; place < chart.series.size(); ++place) {
        svg += legendRow(place, chart.series[place], colorOf(place));
    }
    return svg + "</svg>\n";
}

auto escapeXml(const std::string &text) -> std::string
{
    std::string escaped;
    for (const auto letter : text) {
        switch (letter) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += letter;
        }
    }
    return escaped;
}

} // namespace applehatch::experiment
