// Links between routers and sidecars with answers on the way: ticks and signs of life.
#include "applehatch/core/router-node.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/codec.h"
#include "slopes.h"

#include <map>

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};
constexpr std::size_t ticksPerSecond = 20;
// One period of a sidecar's clock readings, so that each link has its share of them.
constexpr std::size_t measuredSeconds = 60;
const std::string token(64, 'x');
constexpr Incarnation life = 7;

struct Cost
{
    double microseconds = 0;
    double bytes = 0;
};

auto controlBytes(const Message &message) -> std::size_t
{
    if (!wire::isControlKind(wire::kindName(message)))
        return 0;
    return wire::encodeMessage(message).size();
}

auto callerRequest(std::size_t number, const std::string &model) -> CallerRequest
{
    CallerRequest request;
    request.request = "router-123-" + std::to_string(number);
    request.terms.team = "ledger";
    request.terms.customer = "customer-1";
    request.terms.model = model;
    request.terms.chat = stableHash(request.request);
    request.call.method = "POST";
    request.call.path = "/v1/chat/completions";
    request.call.stream = true;
    request.call.body = std::make_shared<const std::string>(2000, 'x');
    request.deadline = 600s;
    return request;
}

/// A router with one open stream at each of `links` upstreams, for a while.
auto routerWithLinks(std::size_t links) -> Cost
{
    auto pool = poolOf(links);
    pool.maxDeadline = 600s;
    RouterNode node({"router-1", "dc-0", 42});
    auto now = start;
    (void)node.handle(SettingsInForce{settingsOf({pool})}, now);
    (void)node.handle(DigestReceived{{1, entriesOf(pool), {}, {}, false}}, now);
    for (const auto &member : pool.members)
        (void)node.handle(LinkUp{member.id, life, now}, now);
    std::map<UpstreamId, std::string> running;
    for (std::size_t i = 0; running.size() < links && i < links * 30; ++i) {
        auto request = callerRequest(i, "model-drafting");
        const auto id = request.request;
        for (const auto &action : node.handle(std::move(request), now)) {
            const auto *sent = std::get_if<SendToSidecar>(&action);
            if (sent == nullptr || !std::holds_alternative<Submit>(sent->message))
                continue;
            if (running.try_emplace(sent->upstream, id).second)
                (void)node.handle(FromSidecar{sent->upstream, Head{id, 1, 200, {}, false, false}},
                                  now);
            else
                (void)node.handle(FromSidecar{sent->upstream,
                                              Refusal{id,
                                                      1,
                                                      {ErrorKind::DeadlineExceeded, Run::NotRun, "",
                                                       std::nullopt},
                                                      0,
                                                      {}}},
                                  now);
        }
    }
    std::size_t bytes = 0;
    std::chrono::nanoseconds taken{0};
    for (std::size_t tick = 0; tick < measuredSeconds * ticksPerSecond; ++tick) {
        now += 50ms;
        for (const auto &[upstream, id] : running)
            (void)node.handle(FromSidecar{upstream, Chunk{id, tick * token.size(), token}}, now);
        if (tick == 0) {
            for (const auto &[upstream, id] : running) {
                const Message reading = Heartbeat{life, now};
                bytes += controlBytes(reading);
                (void)node.handle(FromSidecar{upstream, reading}, now);
            }
        }
        const auto begin = processorTime();
        const auto actions = node.handle(Tick{}, now);
        taken += processorTime() - begin;
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<SendToSidecar>(&action))
                bytes += controlBytes(sent->message);
        }
    }
    return {std::chrono::duration<double, std::micro>(taken).count() / measuredSeconds,
            static_cast<double>(bytes) / measuredSeconds};
}

/// A sidecar that runs one stream for each of `links` routers.
auto sidecarWithLinks(std::size_t links) -> Cost
{
    auto pool = poolOf(1);
    pool.members[0].slots = 1000;
    SidecarNode node({"ledger", "drafting", "eng-0", "dc-0", life, 1});
    auto now = start;
    (void)node.handle(SettingsInForce{settingsOf({pool})}, now);
    (void)node.handle(UpstreamReport{true, "epoch", 0, 0, {"model-drafting"}, 0}, now);
    std::vector<RunId> runs;
    for (LinkId link = 1; link <= links; ++link) {
        (void)node.handle(PeerLinkUp{link}, now);
        Submit submit;
        submit.request = "router-123-" + std::to_string(link);
        submit.attempt = 1;
        submit.target = life;
        submit.notAfter = now + 600s;
        submit.terms.team = "ledger";
        submit.terms.customer = "customer-1";
        submit.terms.pool = "drafting";
        submit.terms.fingerprint = link;
        for (const auto &action : node.handle(FromPeer{link, submit}, now)) {
            const auto *run = std::get_if<StartRun>(&action);
            if (run == nullptr)
                continue;
            runs.push_back(run->run);
            (void)node.handle(RunHead{run->run, 200, {}, false}, now);
        }
    }
    std::size_t bytes = 0;
    std::chrono::nanoseconds taken{0};
    for (std::size_t tick = 0; tick < measuredSeconds * ticksPerSecond; ++tick) {
        now += 50ms;
        for (const auto run : runs)
            (void)node.handle(RunChunk{run, token}, now);
        for (LinkId link = 1; tick % (ticksPerSecond / 2) == 0 && link <= links; ++link)
            (void)node.handle(PeerResponded{link}, now);
        const auto begin = processorTime();
        const auto actions = node.handle(Tick{}, now);
        taken += processorTime() - begin;
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<SendToPeer>(&action))
                bytes += controlBytes(sent->message);
        }
    }
    return {std::chrono::duration<double, std::micro>(taken).count() / measuredSeconds,
            static_cast<double>(bytes) / measuredSeconds};
}

} // namespace

auto measureLinks() -> void
{
    const std::vector<std::size_t> sidecars{18, 100, 365, 730};
    measureSlope(
        {"router.links.heartbeats", "links_with_a_stream", "bytes_per_second_both_ways", 247},
        sidecars, [](std::size_t size) { return routerWithLinks(size).bytes; });
    measureSlope({"router.links.tick", "links_with_a_stream", "us_per_second", 247}, sidecars,
                 [](std::size_t size) { return routerWithLinks(size).microseconds; });
    const std::vector<std::size_t> routers{4, 50, 200, 390};
    measureSlope(
        {"sidecar.links.heartbeats", "links_with_a_stream", "bytes_per_second_both_ways", 132},
        routers, [](std::size_t size) { return sidecarWithLinks(size).bytes; });
    measureSlope({"sidecar.links.tick", "links_with_a_stream", "us_per_second", 132}, routers,
                 [](std::size_t size) { return sidecarWithLinks(size).microseconds; });
}

} // namespace applehatch::bench
