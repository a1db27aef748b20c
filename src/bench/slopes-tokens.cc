// Tokens on their way: codec, sidecar node, router node.
#include "applehatch/core/router-node.h"
#include "applehatch/core/sidecar-node.h"
#include "applehatch/wire/codec.h"
#include "slopes.h"

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};
constexpr Incarnation life = 7;
constexpr std::size_t tokens = 20000;
// Tokens a second of one router and of one sidecar at full size.
constexpr double routerShare = 2400000.0 / 390;

auto chunk(std::size_t bytes, std::uint64_t offset = 0) -> Chunk
{
    return {"router-123-4567890", offset, std::string(bytes, 'x')};
}

auto perToken(const std::function<void()> &work) -> double
{
    return microsecondsOf(work) / tokens;
}

auto measureCodec() -> void
{
    const std::vector<std::size_t> bytes{16, 64, 256, 1024};
    measureSlope({"chunk.bytes", "token_bytes", "bytes", 64}, bytes, [](std::size_t size) {
        return static_cast<double>(wire::encodeMessage(chunk(size)).size());
    });
    measureSlope({"chunk.encode", "token_bytes", "us", 64}, bytes, [](std::size_t size) {
        const Message message = chunk(size);
        return perToken([&] {
            for (std::size_t i = 0; i < tokens; ++i)
                (void)wire::encodeMessage(message);
        });
    });
    measureSlope({"chunk.decode", "token_bytes", "us", 64}, bytes, [](std::size_t size) {
        const auto encoded = wire::encodeMessage(chunk(size));
        return perToken([&] {
            for (std::size_t i = 0; i < tokens; ++i)
                (void)wire::decodeMessage(encoded);
        });
    });
}

/// Microseconds for one token at the router node, with `streams` open.
auto routerToken(std::size_t streams) -> double
{
    const auto pool = poolOf(1);
    RouterNode node({"router-1", "dc-0", 42});
    (void)node.handle(SettingsInForce{settingsOf({pool})}, start);
    const auto upstream = pool.members[0].id;
    (void)node.handle(LinkUp{upstream, life, start}, start);
    std::vector<RequestId> ids;
    for (std::size_t i = 0; i < streams; ++i) {
        CallerRequest request;
        request.request = "router-123-" + std::to_string(i);
        request.terms.team = "ledger";
        request.terms.customer = "customer-1";
        request.terms.model = "model-drafting";
        request.call.stream = true;
        request.call.body = std::make_shared<const std::string>("body");
        ids.push_back(request.request);
        (void)node.handle(std::move(request), start);
        (void)node.handle(
            FromSidecar{upstream,
                        Head{ids.back(), 1, 200, {{"Content-Type", "text/event-stream"}}}},
            start);
    }
    const std::string token = "data: " + std::string(56, 'x') + "\n\n";
    std::uint64_t offset = 0;
    std::size_t next = 0;
    return perToken([&] {
        for (std::size_t i = 0; i < tokens; ++i) {
            (void)node.handle(FromSidecar{upstream, Chunk{ids[next], offset, token}}, start);
            if (++next == streams) {
                next = 0;
                offset += token.size();
            }
        }
    });
}

/// Control bytes that a router sends for one answer of `bytes`, taken by its caller as it comes.
auto bytesAcknowledging(std::size_t bytes) -> double
{
    constexpr std::size_t reportedEach = 32U << 10U; // As the host reports a caller's progress.
    const auto pool = poolOf(1);
    RouterNode node({"router-1", "dc-0", 42});
    (void)node.handle(SettingsInForce{settingsOf({pool})}, start);
    const auto upstream = pool.members[0].id;
    (void)node.handle(LinkUp{upstream, life, start}, start);
    CallerRequest request;
    request.request = "router-123-4567890";
    request.terms.team = "ledger";
    request.terms.customer = "customer-1";
    request.terms.model = "model-drafting";
    request.call.body = std::make_shared<const std::string>("body");
    const auto id = request.request;
    (void)node.handle(std::move(request), start);
    (void)node.handle(FromSidecar{upstream, Head{id, 1, 200, {}, false, false}}, start);
    std::size_t sent = 0;
    const auto give = [&](RouterEvent event) {
        for (const auto &action : node.handle(std::move(event), start)) {
            const auto *message = std::get_if<SendToSidecar>(&action);
            if (message != nullptr)
                sent += wire::encodeMessage(message->message).size();
        }
    };
    const std::string body(bytes, 'x');
    give(FromSidecar{upstream, Chunk{id, 0, body}});
    for (auto taken = reportedEach; taken < bytes; taken += reportedEach)
        give(CallerConsumed{id, taken});
    give(FromSidecar{upstream, End{id, bytes, stableHash(body), {}}});
    give(CallerConsumed{id, bytes});
    return static_cast<double>(sent);
}

/// Microseconds for one token at the sidecar node, with `streams` open.
auto sidecarToken(std::size_t streams) -> double
{
    auto pool = poolOf(1);
    pool.members[0].slots = 10000;
    SidecarNode node({"ledger", "drafting", "eng-0", "dc-0", life, 1});
    (void)node.handle(SettingsInForce{settingsOf({pool})}, start);
    (void)node.handle(UpstreamReport{true, "epoch", 0, 0, {"model-drafting"}, 0}, start);
    (void)node.handle(PeerLinkUp{1}, start);
    std::vector<RunId> runs;
    for (std::size_t i = 0; i < streams; ++i) {
        Submit submit;
        submit.request = "router-123-" + std::to_string(i);
        submit.attempt = 1;
        submit.target = life;
        submit.notAfter = start + 600s;
        submit.terms.team = "ledger";
        submit.terms.customer = "customer-1";
        submit.terms.pool = "drafting";
        submit.terms.fingerprint = i + 1;
        for (const auto &action : node.handle(FromPeer{1, submit}, start)) {
            if (const auto *run = std::get_if<StartRun>(&action))
                runs.push_back(run->run);
        }
        if (!runs.empty())
            (void)node.handle(RunHead{runs.back(), 200, {}, false}, start);
    }
    const std::string token(64, 'x');
    std::size_t next = 0;
    return perToken([&] {
        for (std::size_t i = 0; i < tokens; ++i) {
            (void)node.handle(RunChunk{runs[next], token}, start);
            next = (next + 1) % runs.size();
        }
    });
}

} // namespace

auto measureTokens() -> void
{
    measureCodec();
    const std::vector<std::size_t> streams{30, 100, 300, 1000};
    measureSlope({"router.token", "streams", "us_per_token", 302}, streams, routerToken);
    measureSlope({"sidecar.token", "streams", "us_per_token", 161}, streams, sidecarToken);
    // An answer of 320 tokens of 64 bytes at full size.
    measureSlope({"router.acknowledges", "answer_bytes", "bytes_for_one_answer", 20480},
                 {5120, 20480, 81920, 327680, 1310720}, bytesAcknowledging);
    measureSlope({"chunk.encode.rate", "tokens_per_second", "us_per_second", routerShare},
                 {2000, 6000, 20000}, [](std::size_t rate) {
                     const Message message = chunk(64);
                     return microsecondsOf([&] {
                         for (std::size_t i = 0; i < rate; ++i)
                             (void)wire::decodeMessage(wire::encodeMessage(message));
                     });
                 });
}

} // namespace applehatch::bench
