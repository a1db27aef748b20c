// What gateways tell one another of requests that crash upstreams.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/telemetry/clock.h"

namespace applehatch::gateway {

using core::LogLine;
using telemetry::LogLevel;
using telemetry::steadyNow;

namespace {

// A peer usually answers within milliseconds.
constexpr Duration crashMemoryTimeout = std::chrono::milliseconds(800);
// The memory of a peer that started at nearly the same moment holds nothing that is worth a call.
constexpr Duration minMemoryGain = std::chrono::milliseconds(500);

} // namespace

auto GatewayHost::notePeerCrashes(const PeerDigest &digest, Instant now) -> void
{
    auto &suspects = dispatcher_.suspects();
    for (const auto &report : digest.crashes) {
        if (!suspects.notePeer(report, now))
            continue;
        const auto *upstream = dispatcher_.findUpstream(report.upstream);
        metrics_.noteEvent("crash-learned");
        log(LogLine("crash-learned")
                .add("fingerprint", core::hexText(report.fingerprint))
                .add("upstream",
                     upstream == nullptr ? core::hexText(report.upstream) : upstream->instance)
                .add("peer", digest.sender.ip)
                .add("ageMs", core::millisecondsOf(report.age))
                .add("crashes",
                     static_cast<std::int64_t>(suspects.crashes(report.fingerprint, now))));
    }
}

auto GatewayHost::askForCrashMemory(const PeerDigest &digest, Instant now) -> void
{
    const auto &suspects = dispatcher_.suspects();
    const auto gain = digest.crashMemoryAge - suspects.memoryAge(now);
    if (crashMemoryFetch_ || !suspects.isNew(now) || gain < minMemoryGain)
        return;
    const auto peer = digest.sender;
    crashMemoryFetch_ = PeerFetch::start(
        loop_, pool_, peer, std::string(crashMemoryPath), crashMemoryTimeout,
        [this, peer](const std::optional<std::string> &body, const std::string &why) {
            crashMemoryFetch_ = nullptr;
            adoptCrashMemory(peer, body, why);
        });
}

auto GatewayHost::adoptCrashMemory(const Address &peer, const std::optional<std::string> &body,
                                   const std::string &why) -> void
{
    const auto memory = body ? decodeCrashMemory(*body) : std::nullopt;
    if (!memory) {
        metrics_.noteEvent("crash-memory-failed");
        log(LogLine("crash-memory-failed")
                .add("peer", peer.ip)
                .add("why", body ? "invalid response" : why),
            LogLevel::Warning);
        return;
    }
    const auto now = steadyNow();
    const auto before = dispatcher_.suspects().memoryAge(now);
    dispatcher_.suspects().adopt(*memory, now);
    metrics_.noteEvent("crash-memory");
    log(LogLine("crash-memory")
            .add("peer", peer.ip)
            .add("reports", static_cast<std::int64_t>(memory->reports.size()))
            .add("beforeMs", core::millisecondsOf(before))
            .add("reachesMs", core::millisecondsOf(memory->age)));
}

} // namespace applehatch::gateway
