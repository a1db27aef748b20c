#include "experiment-report.h"

#include "chart.h"

#include <functional>
#include <set>

namespace applehatch::experiment {

namespace {

constexpr double percent = 100;

auto nameOf(const Result &result) -> std::string
{
    return result.variant.name + ", seed " + std::to_string(result.seed);
}

auto timelineChart(const Result &result) -> LineChart
{
    const auto &timeline = result.timeline;
    LineChart chart{"Running requests by engine: " + nameOf(result), "s", "requests", {}, {}};
    for (const auto &engine : timeline.engines) {
        chart.series.push_back({engine, {}, false});
    }
    chart.series.push_back({"bound", {}, true});
    for (const auto &sample : timeline.samples) {
        chart.axis.push_back(sample.atSeconds);
        for (std::size_t place = 0; place < sample.running.size(); ++place) {
            chart.series[place].values.emplace_back(sample.running[place]);
        }
        chart.series.back().values.emplace_back(sample.bound);
    }
    return chart;
}

auto reuseChart(const std::vector<Result> &results) -> BarChart
{
    BarChart chart{"Cache reuse", "%", {"of possible", "of all returns"}, {}};
    for (const auto &result : results) {
        chart.groups.push_back(
            {nameOf(result),
             {percent * result.reuse.ofPossible(), percent * result.reuse.ofReturns()}});
    }
    return chart;
}

auto timesChart(const std::vector<Result> &results) -> BarChart
{
    std::set<int> priorities;
    for (const auto &result : results) {
        for (const auto &[priority, figures] : result.times) {
            priorities.insert(priority);
        }
    }
    BarChart chart{"Turns in time", "%", {}, {}};
    for (const auto priority : priorities) {
        chart.series.push_back("priority " + std::to_string(priority));
    }
    for (const auto &result : results) {
        BarChart::Group group{nameOf(result), {}};
        for (const auto priority : priorities) {
            const auto found = result.times.find(priority);
            group.values.push_back(found == result.times.end() ? 0
                                                               : percent * found->second.share());
        }
        chart.groups.push_back(std::move(group));
    }
    return chart;
}

auto controlChart(const std::vector<Result> &results, const std::string &role) -> BarChart
{
    std::set<std::string> kinds;
    for (const auto &result : results) {
        if (const auto found = result.control.find(role); found != result.control.end()) {
            for (const auto &[kind, rate] : found->second) {
                kinds.insert(kind);
            }
        }
    }
    BarChart chart{"Control traffic of a " + role, "bytes/s, median", {}, {}};
    chart.series.assign(kinds.begin(), kinds.end());
    for (const auto &result : results) {
        BarChart::Group group{nameOf(result), {}};
        for (const auto &kind : kinds) {
            const auto found = result.control.find(role);
            const auto has = found != result.control.end() && found->second.contains(kind);
            group.values.push_back(has ? found->second.at(kind).median : 0);
        }
        chart.groups.push_back(std::move(group));
    }
    return chart;
}

} // namespace

auto htmlReport(const std::string &title, const std::vector<Result> &results) -> std::string
{
    const auto heading = escapeXml(title);
    auto page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + heading
        + "</title></head>\n<body>\n<h1>" + heading + "</h1>\n" + drawSvg(reuseChart(results))
        + drawSvg(timesChart(results)) + drawSvg(controlChart(results, "router"))
        + drawSvg(controlChart(results, "sidecar"));
    for (const auto &result : results) {
        page += drawSvg(timelineChart(result));
    }
    return page + "<pre>\n" + escapeXml(table(results)) + "</pre>\n</body></html>\n";
}

} // namespace applehatch::experiment
