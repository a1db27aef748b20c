#include "applehatch/settings/check.h"

namespace applehatch::settings {

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
        return {"accepted\n", 0};
    }
    return {printProblems(result.problems), 1};
}

} // namespace applehatch::settings
