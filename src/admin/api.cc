#include "applehatch/admin/api.h"

#include "documents.h"
#include "url.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace applehatch::admin {

namespace {

using nlohmann::json;
using Segments = std::vector<std::string>;

constexpr int okStatus = 200;
constexpr int badRequestStatus = 400;
constexpr int unauthorizedStatus = 401;
constexpr int notFoundStatus = 404;
constexpr int methodNotAllowedStatus = 405;

auto answer(const json &document) -> Answer
{
    // A context token or chat name may contain invalid UTF-8. The default error handler would throw
    // and end the process, so invalid bytes are replaced.
    return {okStatus, document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

auto problem(int status, std::string_view kind, const std::string &detail) -> Answer
{
    const json document{
        {"type", "about:blank"}, {"status", status}, {"kind", kind}, {"detail", detail}};
    return {status, document.dump(-1, ' ', false, json::error_handler_t::replace)};
}

auto notFound() -> Answer
{
    return problem(notFoundStatus, "unknown-path", "no such resource");
}

/// The resources of one team; the request is already authorized.
class TeamApi
{
public:
    TeamApi(const Request &request, const Source &source, const settings::Team &team)
        : request_(request)
        , source_(source)
        , team_(team)
    { }

    [[nodiscard]] auto handle(const Segments &rest) const -> Answer
    {
        if (rest.size() == 1 && rest[0] == "check")
            return check();
        if (request_.method != "GET")
            return problem(methodNotAllowedStatus, "bad-request", "only GET is answered here");
        if (rest.empty())
            return answer(detail::teamDocument(team_));
        if (rest.size() == 1 && rest[0] == "settings")
            return subtree();
        if (rest[0] == "pools")
            return pools(rest);
        return notFound();
    }

private:
    [[nodiscard]] auto check() const -> Answer
    {
        if (request_.method != "POST")
            return problem(methodNotAllowedStatus, "bad-request", "post the subtree to check");
        const auto result = settings::parseTeam(team_.name, request_.body, team_.index + 1);
        return answer({{"accepted", result.team != nullptr},
                       {"problems", detail::problemsDocument(result.problems)}});
    }

    [[nodiscard]] auto subtree() const -> Answer
    {
        const auto all = source_.subtrees();
        const auto own = std::find_if(all.begin(), all.end(), [this](const auto &status) {
            return status.team == team_.name;
        });
        return own == all.end() ? notFound() : answer(detail::subtreeDocument(*own, source_.now()));
    }

    [[nodiscard]] auto pools(const Segments &rest) const -> Answer
    {
        if (rest.size() == 1) {
            auto all = json::array();
            for (const auto &[name, pool] : team_.pools)
                all.push_back(detail::poolDocument(pool, source_));
            return answer(all);
        }
        const auto pool = team_.pools.find(rest[1]);
        if (pool == team_.pools.end())
            return notFound();
        if (rest.size() == 2)
            return answer(detail::poolDocument(pool->second, source_));
        if (rest.size() == 3 && rest[2] == "upstreams")
            return answer(detail::upstreamsDocument(pool->second, source_));
        if (rest.size() == 3 && rest[2] == "explain")
            return explain(pool->first);
        return notFound();
    }

    [[nodiscard]] auto explain(const std::string &pool) const -> Answer
    {
        if (!source_.explain)
            return problem(notFoundStatus, "unknown-path",
                           "a sidecar routes nothing; ask a router");
        auto fields = detail::queryFields(request_.query);
        if (!fields)
            return problem(badRequestStatus, "bad-request", "the query cannot be decoded");
        const auto &chat = (*fields)["chat"];
        const auto &context = (*fields)["context"];
        const auto candidates = source_.explain(team_.name, pool, chat, context);
        return answer({{"team", team_.name},
                       {"pool", pool},
                       {"chat", chat},
                       {"candidates", detail::candidatesDocument(candidates)}});
    }

    const Request &request_;
    const Source &source_;
    const settings::Team &team_;
};

auto unauthorized() -> Answer
{
    return problem(unauthorizedStatus, "unauthorized", "the token is missing or wrong");
}

// Answers an unknown team like a wrong token, so that team names cannot be probed.
auto teamAnswer(const Request &request, const Source &source, const Segments &segments) -> Answer
{
    const auto settings = source.settings();
    if (!settings)
        return unauthorized();
    const auto team = settings->teams.find(segments[1]);
    if (team == settings->teams.end())
        return unauthorized();
    if (!authorized(*team->second, request.authorization, request.fromLoopback))
        return unauthorized();
    return TeamApi(request, source, *team->second).handle({segments.begin() + 2, segments.end()});
}

} // namespace

auto handle(const Request &request, const Source &source) -> Answer
{
    if (!request.path.starts_with(apiPrefix))
        return notFound();
    const auto segments =
        detail::pathSegments(std::string_view(request.path).substr(apiPrefix.size()));
    if (!segments)
        return problem(badRequestStatus, "bad-request", "the path cannot be decoded");
    if (segments->size() == 1 && segments->front() == "process") {
        if (request.method != "GET")
            return problem(methodNotAllowedStatus, "bad-request", "only GET is answered here");
        return answer(detail::processDocument(source));
    }
    if (segments->size() >= 2 && segments->front() == "teams")
        return teamAnswer(request, source, *segments);
    return notFound();
}

} // namespace applehatch::admin
