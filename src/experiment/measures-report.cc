#include "measures-report.h"

#include <array>
#include <cstdio>

namespace applehatch::experiment {

namespace {

using nlohmann::json;

constexpr double percent = 100;

template <typename... Values>
auto format(const char *pattern, Values... values) -> std::string
{
    std::array<char, 512> line{};
    std::snprintf(line.data(), line.size(), pattern, values...);
    return line.data();
}

auto rateOf(const ControlRates &control, const std::string &role) -> Rate
{
    const auto found = control.find(role);
    return found == control.end() ? Rate{} : found->second.at("total");
}

auto row(const Result &result) -> std::string
{
    const auto &reuse = result.reuse;
    const auto &skew = result.skew;
    const auto router = rateOf(result.control, "router");
    const auto sidecar = rateOf(result.control, "sidecar");
    return format("| %s | %.2f | %zu | %.1f | %.1f | %.0f | %.0f | %zu/%zu | %.2f | %.2f | %zu | "
                  "%zu | %zu | %.0f/%.0f | %.0f/%.0f |\n",
                  result.variant.name.c_str(), result.loadMultiple, reuse.returns,
                  percent * reuse.ofPossible(), percent * reuse.ofReturns(),
                  quantile(reuse.firstByteMs, 0.5), quantile(reuse.firstByteMs, 0.95),
                  reuse.refusals, reuse.unanswered, skew.worst, skew.p99, skew.overRaw,
                  skew.overRounded, skew.samples, router.median, router.worst, sidecar.median,
                  sidecar.worst);
}

auto callRow(const Result &result) -> std::string
{
    const auto &calls = result.calls;
    std::string times;
    for (const auto &[priority, figures] : result.times) {
        times += format("%d: %.1f ", priority, percent * figures.share());
    }
    return format("| %s | %llu | %zu | %zu | %zu | %zu | %zu | %zu | %s |\n",
                  result.variant.name.c_str(), static_cast<unsigned long long>(result.seed),
                  calls.sent, calls.resent, calls.ranOnce, calls.ranTwice, calls.answeredUnrun,
                  calls.unanswered, times.c_str());
}

auto callTable(const std::vector<Result> &results) -> std::string
{
    std::string text =
        "\n| variant | seed | run-once calls | sent again | answered, ran once | ran "
        "twice | answered, not run | unanswered | turns in time %, by priority |\n"
        "|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &result : results) {
        text += callRow(result);
    }
    return text;
}

auto timesJson(const std::map<int, TimeFigures> &times) -> json
{
    auto list = json::array();
    for (const auto &[priority, figures] : times) {
        list.push_back(
            {{"priority", priority}, {"turns", figures.turns}, {"inTime", figures.inTime}});
    }
    return list;
}

auto callsJson(const CallFigures &calls) -> json
{
    return {{"sent", calls.sent},
            {"answered", calls.answered},
            {"resent", calls.resent},
            {"ranOnce", calls.ranOnce},
            {"ranTwice", calls.ranTwice},
            {"answeredUnrun", calls.answeredUnrun},
            {"unanswered", calls.unanswered}};
}

auto kindRows(const ControlRates &control) -> std::string
{
    std::string rows;
    for (const auto &[role, kinds] : control) {
        for (const auto &[kind, rate] : kinds) {
            rows += format("| %s | %s | %.0f | %.0f |\n", role.c_str(), kind.c_str(), rate.median,
                           rate.worst);
        }
    }
    return rows;
}

} // namespace

auto jsonLine(const Result &result) -> std::string
{
    auto control = json::object();
    for (const auto &[role, kinds] : result.control) {
        for (const auto &[kind, rate] : kinds) {
            control[role][kind] = {{"median", rate.median}, {"worst", rate.worst}};
        }
    }
    const auto &reuse = result.reuse;
    const auto &skew = result.skew;
    const json line = {{"deployment", result.deployment},
                       {"variant", result.variant.name},
                       {"seed", result.seed},
                       {"seconds", result.seconds},
                       {"loadMultiple", result.loadMultiple},
                       {"reuse",
                        {{"returns", reuse.returns},
                         {"possible", reuse.possible},
                         {"found", reuse.found},
                         {"ofPossible", reuse.ofPossible()},
                         {"refusals", reuse.refusals},
                         {"unanswered", reuse.unanswered},
                         {"firstByteMs",
                          {{"p50", quantile(reuse.firstByteMs, 0.5)},
                           {"p95", quantile(reuse.firstByteMs, 0.95)}}}}},
                       {"skew",
                        {{"samples", skew.samples},
                         {"worst", skew.worst},
                         {"p99", skew.p99},
                         {"overRaw", skew.overRaw},
                         {"overRounded", skew.overRounded},
                         {"meanRunning", skew.meanRunning}}},
                       {"times", timesJson(result.times)},
                       {"calls", callsJson(result.calls)},
                       {"controlBytesPerSecond", control}};
    return line.dump();
}

auto table(const std::vector<Result> &results) -> std::string
{
    std::string text =
        "| variant | multiple | returns | reuse % of possible | % of all returns | first byte ms "
        "p50 | p95 | refused/unanswered | skew worst | p99 | over raw | over rounded | samples | "
        "router control B/s median/worst | sidecar median/worst |\n"
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &result : results) {
        text += row(result);
    }
    text += callTable(results);
    if (!results.empty()) {
        text += "\n| role | control kind (" + results.front().variant.name
            + ") | median B/s | worst B/s |\n|---|---|---|---|\n"
            + kindRows(results.front().control);
    }
    return text;
}

} // namespace applehatch::experiment
