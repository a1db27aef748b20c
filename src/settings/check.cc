#include "applehatch/settings/check.h"

#include "limits.h"
#include "reader.h"

#include <algorithm>
#include <cmath>

namespace applehatch::settings {

namespace {

/// Returns the largest `loadMultiple` that keeps every upstream with free slots at or below its
/// even share of the load, rounded up, when one request arrives while half of each upstream's slots
/// are in use. Returns nothing for a pool in which these bounds leave no slot free.
auto evenSpreadMultiple(const Pool &pool) -> std::optional<double>
{
    if (pool.members.size() < 2)
        return std::nullopt;
    std::uint64_t slots = 0;
    std::uint64_t load = 1;
    for (const auto &member : pool.members) {
        slots += member.slots;
        load += member.slots / 2;
    }
    std::optional<double> minMultiple;
    for (const auto &member : pool.members) {
        const auto share = load * member.slots;
        const auto roundedShare = (share + slots - 1) / slots;
        if (roundedShare >= member.slots)
            continue;
        const auto multiple =
            static_cast<double>(roundedShare * slots) / static_cast<double>(share);
        minMultiple = std::min(minMultiple.value_or(multiple), multiple);
    }
    return minMultiple;
}

/// Returns the smallest number with two decimal places above `multiple`.
auto nextHundredth(double multiple) -> double
{
    constexpr double places = 100;
    auto hundredths = std::floor(multiple * places);
    while (hundredths / places <= multiple)
        ++hundredths;
    return hundredths / places;
}

} // namespace

auto settingsWarnings(const Team &team, const std::string &text) -> std::vector<Problem>
{
    Report report(parseDocument(text, maxTextBytes).locations);
    for (const auto &[name, pool] : team.pools) {
        const auto evenMultiple = evenSpreadMultiple(pool);
        if (!evenMultiple || pool.loadMultiple > *evenMultiple)
            continue;
        report.add(joinPath(joinPath("pools", name), "loadMultiple"),
                   "at least " + describe(nextHundredth(*evenMultiple))
                       + ", as otherwise, with half the slots in use, each upstream that holds its "
                         "even share, rounded up, refuses the next request",
                   describe(pool.loadMultiple));
    }
    auto warnings = report.problems();
    for (auto &warning : warnings)
        warning.expected = "warning: " + warning.expected;
    return warnings;
}

auto printProblems(const std::vector<Problem> &problems) -> std::string
{
    std::string text;
    for (const auto &problem : problems) {
        text += problem.line ? std::to_string(*problem.line) : "-";
        text += ": " + (problem.path.empty() ? "." : problem.path) + ": ";
        text += problem.expected + '\n';
    }
    return text;
}

auto checkSettings(const std::string &text) -> CheckReport
{
    const auto result = parseTeam("check", text, 0);
    if (result.problems.empty()) {
        return {printProblems(settingsWarnings(*result.team, text)) + "accepted\n", 0};
    }
    return {printProblems(result.problems), 1};
}

} // namespace applehatch::settings
