/// A router node with a pool of three engines and a service, driven in virtual time.
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

inline constexpr Incarnation life = 7;
inline constexpr Instant start{1000s};
inline constexpr Duration clockOffset = 5000s; ///< Sidecars' clocks minus the router's.

inline auto member(const std::string &pool, const std::string &name, std::uint32_t index)
    -> settings::Member
{
    settings::Member made;
    made.id = settings::upstreamId("ledger", pool, name);
    made.name = name;
    made.dataCenter = index % 2 == 0 ? "bole" : "piassa";
    made.sidecar = {"127.0.1." + std::to_string(index + 1), 7000};
    made.slots = 8;
    return made;
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

/// Drives one node and keeps what it did.
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

    auto up(UpstreamId upstream, Incarnation incarnation = life) -> std::vector<RouterAction> &
    {
        return feed(LinkUp{upstream, incarnation, now + clockOffset});
    }

    /// Ticks every 50 ms for `time`, answering heartbeats of `alive` upstreams.
    auto pass(Duration time, const std::vector<UpstreamId> &alive = {}) -> void
    {
        const auto end = now + time;
        while (now < end) {
            now += 50ms;
            for (const auto upstream : alive)
                from(upstream, Heartbeat{life, now + clockOffset});
            feed(Tick{});
        }
    }

    /// Opens whatever link the last event asked for.
    auto openAsked() -> UpstreamId
    {
        const auto asked = of<OpenLink>(last);
        BOOST_REQUIRE(!asked.empty());
        const auto upstream = asked.back().upstream;
        up(upstream);
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

    /// What a caller would have been given.
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
