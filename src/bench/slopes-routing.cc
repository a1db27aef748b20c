// A routing decision, the requests a router holds, its log.
#include "applehatch/core/router-node.h"
#include "applehatch/wire/codec.h"
#include "slopes.h"

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};
constexpr Incarnation life = 7;

auto requestOf(std::size_t number, bool chat) -> CallerRequest
{
    CallerRequest request;
    request.request = "router-123-" + std::to_string(number);
    request.terms.team = "ledger";
    request.terms.customer = "customer-1";
    request.terms.model = "model-drafting";
    request.terms.chat = chat ? stableHash(request.request) : 0;
    request.call.method = "POST";
    request.call.path = "/v1/chat/completions";
    request.call.stream = true;
    request.call.body = std::make_shared<const std::string>(2000, 'x');
    return request;
}

/// A router that knows all of its pool and has every link open.
auto routerBefore(std::size_t members) -> std::unique_ptr<RouterNode>
{
    const auto pool = poolOf(members);
    auto node = std::make_unique<RouterNode>(RouterIdentity{"router-1", "dc-0", 42});
    (void)node->handle(SettingsInForce{settingsOf({pool}, 4200)}, start);
    (void)node->handle(DigestReceived{{1, entriesOf(pool), {}, {}, false}}, start);
    for (const auto &member : pool.members)
        (void)node->handle(LinkUp{member.id, life, start}, start);
    return node;
}

/// Microseconds of one request from its arrival to its submit, at 19 requests a second.
auto decision(std::size_t members) -> double
{
    constexpr std::size_t requests = 400;
    auto node = routerBefore(members);
    std::size_t number = 0;
    auto now = start;
    return microsecondsOf([&] {
               for (std::size_t i = 0; i < requests; ++i) {
                   now += 52ms;
                   (void)node->handle(requestOf(number++, true), now);
               }
           })
        / requests;
}

auto heldRequests(std::size_t requests) -> double
{
    auto node = routerBefore(18);
    return heapOf([&] {
        for (std::size_t i = 0; i < requests; ++i)
            (void)node->handle(requestOf(i, true), start);
        return 0;
    });
}

auto tickWithRequests(std::size_t requests) -> double
{
    auto node = routerBefore(18);
    auto now = start;
    for (std::size_t i = 0; i < requests; ++i)
        (void)node->handle(requestOf(i, true), now);
    constexpr int ticks = 40;
    return microsecondsOf([&] {
               for (int tick = 0; tick < ticks; ++tick) {
                   now += 1ms; // Too little for anything to fall due.
                   (void)node->handle(Tick{}, now);
               }
           })
        / ticks * 20;
}

auto logBytes(std::size_t requests) -> double
{
    auto node = routerBefore(100);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < requests; ++i) {
        for (const auto &action : node->handle(requestOf(i, true), start)) {
            if (const auto *log = std::get_if<WriteLog>(&action))
                bytes += log->line.text().size() + 1;
        }
    }
    return static_cast<double>(bytes);
}

} // namespace

auto measureRouting() -> void
{
    measureSlope({"router.decision", "members", "us_per_request", 730}, {18, 100, 365, 730},
                 decision);
    const std::vector<std::size_t> requests{100, 300, 1000};
    measureSlope({"router.requests.memory", "requests_in_flight", "heap_bytes", 302}, requests,
                 heldRequests);
    measureSlope({"router.requests.tick", "requests_in_flight", "us_per_second", 302}, requests,
                 tickWithRequests);
    measureSlope({"router.log", "requests", "bytes", 19.2}, requests, logBytes);
}

} // namespace applehatch::bench
