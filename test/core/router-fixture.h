/// Test fixture: a router node with a pool of three engines and two service pools, in virtual time.
#pragma once

#include "applehatch/core/router-node.h"
#include "applehatch/core/token.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace applehatch::core::test {

using namespace std::chrono_literals;

inline constexpr Incarnation firstIncarnation = 7; ///< Of each sidecar until it restarts.
inline constexpr Instant start{1000s};
inline constexpr Duration clockOffset = 5000s; ///< Sidecars' clocks minus the router's.

inline auto member(const std::string &pool, const std::string &name, std::uint32_t index)
    -> settings::Member
{
    settings::Member result;
    result.id = settings::upstreamId("ledger", pool, name);
    result.name = name;
    result.dataCenter = index % 2 == 0 ? "bole" : "piassa";
    result.sidecar = {"127.0.1." + std::to_string(index + 1), 7000};
    result.slots = 8;
    return result;
}

inline auto makePool(const std::string &name, settings::PoolKind kind, std::uint32_t members)
    -> Pool
{
    Pool pool;
    pool.team = "ledger";
    pool.name = name;
    pool.kind = kind;
    for (std::uint32_t i = 0; i < members; ++i)
        pool.members.push_back(member(name, "eng-" + std::to_string(i), i));
    return pool;
}

inline auto makeSettings(std::uint32_t engines = 3) -> SettingsPtr
{
    auto team = std::make_shared<settings::Team>();
    team->name = "ledger";
    team->customers["east"] = {"east", 1.0, 0};
    auto drafting = makePool("drafting", settings::PoolKind::Model, engines);
    drafting.models = {"sheet-writer"};
    team->pools["drafting"] = drafting;
    auto jobs = makePool("jobs", settings::PoolKind::Service, 3);
    jobs.pathPrefix = "/jobs";
    team->pools["jobs"] = jobs;
    auto urgent = makePool("urgent", settings::PoolKind::Service, 2);
    urgent.pathPrefix = "/jobs/urgent";
    team->pools["urgent"] = urgent;
    auto settings = std::make_shared<settings::Settings>();
    settings->index = 1;
    settings->teams["ledger"] = team;
    return settings;
}

/// Feeds events to one router node and records its actions.
class Bench
{
public:
    explicit Bench(SettingsPtr settings = makeSettings(), Placement placement = {})
        : node({"router-1", "bole", 42}, std::move(placement))
    {
        feed(SettingsInForce{std::move(settings)});
    }

    auto feed(RouterEvent event) -> std::vector<RouterAction> &
    {
        last = node.handle(std::move(event), now);
        all.insert(all.end(), last.begin(), last.end());
        return last;
    }

    auto from(UpstreamId upstream, Message message) -> std::vector<RouterAction> &
    {
        return feed(FromSidecar{upstream, std::move(message)});
    }

    auto openLink(UpstreamId upstream, Incarnation incarnation = firstIncarnation)
        -> std::vector<RouterAction> &
    {
        return feed(LinkUp{upstream, incarnation, now + clockOffset});
    }

    /// Reports an open link to every engine.
    auto openAllLinks() -> void
    {
        for (const auto &each : engines())
            openLink(each.id);
    }

    [[nodiscard]] auto engines() const -> const std::vector<settings::Member> &
    {
        return node.settings()->teams.at("ledger")->pools.at("drafting").members;
    }

    /// Advances time in ticks of 50 ms. Before each tick a heartbeat arrives from every upstream in
    /// `alive`.
    auto advance(Duration time, const std::vector<UpstreamId> &alive = {}) -> void
    {
        const auto end = now + time;
        while (now < end) {
            now += 50ms;
            for (const auto upstream : alive)
                from(upstream, Heartbeat{firstIncarnation, now + clockOffset});
            feed(Tick{});
        }
    }

    /// Reports the link that the last event requested as open. Returns its upstream.
    auto openRequestedLink() -> UpstreamId
    {
        const auto requested = of<OpenLink>(last);
        BOOST_REQUIRE(!requested.empty());
        const auto upstream = requested.back().upstream;
        openLink(upstream);
        return upstream;
    }

    template <typename Kind>
    [[nodiscard]] static auto of(const std::vector<RouterAction> &actions) -> std::vector<Kind>
    {
        std::vector<Kind> found;
        for (const auto &action : actions) {
            if (const auto *kind = std::get_if<Kind>(&action))
                found.push_back(*kind);
        }
        return found;
    }

    template <typename Kind>
    [[nodiscard]] static auto sent(const std::vector<RouterAction> &actions) -> std::vector<Kind>
    {
        std::vector<Kind> found;
        for (const auto &action : of<SendToSidecar>(actions)) {
            if (const auto *kind = std::get_if<Kind>(&action.message))
                found.push_back(*kind);
        }
        return found;
    }

    [[nodiscard]] auto failures() const -> std::vector<AnswerFailure>
    {
        return of<AnswerFailure>(all);
    }

    /// Returns the answer body passed to the caller so far.
    [[nodiscard]] auto body(const RequestId &request) const -> std::string
    {
        std::string data;
        for (const auto &chunk : of<AnswerChunk>(all)) {
            if (chunk.request == request)
                data += chunk.data;
        }
        return data;
    }

    RouterNode node;
    Instant now = start;
    std::vector<RouterAction> last;
    std::vector<RouterAction> all;
};

inline auto chatRequest(const RequestId &id, std::uint64_t chat = 0) -> CallerRequest
{
    CallerRequest request;
    request.request = id;
    request.terms.team = "ledger";
    request.terms.customer = "east";
    request.terms.model = "sheet-writer";
    request.terms.chat = chat;
    request.call.method = "POST";
    request.call.path = "/v1/chat/completions";
    request.call.body = std::make_shared<const std::string>("body of " + id);
    return request;
}

inline auto serviceRequest(const RequestId &id, const std::string &method,
                           const std::string &path = "/jobs/1") -> CallerRequest
{
    auto request = chatRequest(id);
    request.terms.model.clear();
    request.call.method = method;
    request.call.path = path;
    return request;
}

inline auto streamHead(const RequestId &id, std::uint32_t attempt = 1) -> Head
{
    return {id, attempt, 200, {{"Content-Type", "text/event-stream"}}, false, false};
}

inline auto refusal(const RequestId &id, std::uint32_t attempt, ErrorKind kind, Run run,
                    std::optional<Duration> retryAfter = std::nullopt) -> Refusal
{
    return {id, attempt, {kind, run, "", retryAfter}, 0, {}};
}

} // namespace applehatch::core::test
