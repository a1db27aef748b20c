#include "problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace applehatch::router {

namespace {

using std::chrono::seconds;

constexpr auto shortestRetry = seconds(1);

auto document(const core::Failure &failure, const core::RequestId &request) -> std::string
{
    const auto &answer = core::answerFor(failure.kind);
    nlohmann::ordered_json json;
    json["type"] = "urn:applehatch:error:" + std::string(answer.name);
    json["title"] = answer.title;
    json["status"] = answer.status;
    json["kind"] = answer.name;
    json["run"] = core::runName(failure.run);
    json["detail"] = failure.detail;
    json["request"] = request;
    // The detail can quote bytes from the caller, which need not be valid UTF-8.
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

auto retryAfter(const core::Failure &failure) -> std::string
{
    const auto wait = std::chrono::ceil<seconds>(failure.retryAfter.value_or(shortestRetry));
    return std::to_string(std::max(wait, shortestRetry).count());
}

} // namespace

auto problemAnswer(const core::Failure &failure, const core::RequestId &request) -> ProblemAnswer
{
    const auto &answer = core::answerFor(failure.kind);
    ProblemAnswer problem{
        answer.status,
        {{"Content-Type", "application/problem+json"}, {"Applehatch-Request", request}},
        document(failure, request)};
    if (answer.mayRepeat)
        problem.headers.emplace_back("Retry-After", retryAfter(failure));
    return problem;
}

auto problemEvent(const core::Failure &failure, const core::RequestId &request) -> std::string
{
    return "event: error\ndata: " + document(failure, request) + "\n\n";
}

} // namespace applehatch::router
