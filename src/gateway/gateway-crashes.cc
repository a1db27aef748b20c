// What gateways tell one another of requests that crash upstreams.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"
#include "parts-text.h"

#include "applehatch/direct/keepers.h"
#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace applehatch::gateway {

using core::LogLine;
using telemetry::LogLevel;
using telemetry::steadyNow;

namespace {

// A peer usually answers within milliseconds.
constexpr Duration crashMemoryTimeout = std::chrono::milliseconds(800);
// The memory of a peer that started at nearly the same moment holds nothing that is worth a call.
constexpr Duration minMemoryGain = std::chrono::milliseconds(500);

auto eventOf(direct::PartChange::Kind kind) -> std::string
{
    switch (kind) {
    case direct::PartChange::Kind::Suspected:
        return "part-suspected";
    case direct::PartChange::Kind::Convicted:
        return "part-convicted";
    case direct::PartChange::Kind::Cleared:
        return "part-cleared";
    }
    return "part-unknown";
}

// What led to a change of the belief in a part.
struct ChangeReason
{
    direct::PartChange::Kind kind;
    std::vector<direct::PartBreak> breaks;
    std::optional<Duration> answerAge;
};

auto isBefore(const direct::PartBreak &left, const direct::PartBreak &right) -> bool
{
    return std::tie(left.upstream, left.request, left.sentAt, left.at)
        < std::tie(right.upstream, right.request, right.sentAt, right.at);
}

struct ReasonOrder
{
    auto operator()(const ChangeReason &left, const ChangeReason &right) const -> bool
    {
        const auto leftRest = std::tie(left.kind, left.answerAge);
        const auto rightRest = std::tie(right.kind, right.answerAge);
        if (leftRest != rightRest)
            return leftRest < rightRest;
        return std::lexicographical_compare(left.breaks.begin(), left.breaks.end(),
                                            right.breaks.begin(), right.breaks.end(), isBefore);
    }
};

using PartsByReason = std::map<ChangeReason, std::vector<direct::PartKey>, ReasonOrder>;

// Joins what changed for the same reason: a prompt may have thousands of parts, which share one
// line of the log.
auto partsByReason(std::vector<direct::PartChange> changes) -> PartsByReason
{
    PartsByReason parts;
    for (auto &change : changes)
        parts[{change.kind, std::move(change.breaks), change.answerAge}].push_back(change.part);
    return parts;
}

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

auto GatewayHost::notePeerParts(const PeerDigest &digest, Instant now) -> void
{
    for (const auto &report : digest.parts) {
        if (const auto answer = dispatcher_.parts().notePeer(report, now))
            tellKeepers(*answer);
    }
    if (!digest.parts.empty())
        logPartChanges(digest.sender.ip);
}

auto GatewayHost::logPartChanges(const std::string &source) -> void
{
    const auto now = steadyNow();
    for (const auto &[why, parts] : partsByReason(dispatcher_.parts().takeChanges(now))) {
        const auto event = eventOf(why.kind);
        metrics_.noteEvent(event, parts.size());
        std::string breaks;
        for (const auto &known : why.breaks) {
            const auto *upstream = dispatcher_.findUpstream(known.upstream);
            breaks += (breaks.empty() ? "" : ", ")
                + (upstream == nullptr ? core::hexText(known.upstream) : upstream->instance) + " "
                + core::millisecondsText(now - known.at) + " ago under "
                + core::hexText(known.request);
        }
        log(LogLine(event)
                .add("part", partsText(parts))
                .add("crashes", static_cast<std::int64_t>(why.breaks.size()))
                .add("breaks", breaks)
                .add("answeredMs", why.answerAge ? core::millisecondsOf(*why.answerAge) : -1)
                .add("from", source));
    }
}

auto GatewayHost::isFirstKeeper(direct::PartKey part) const -> bool
{
    auto routers = lastingPeers(steadyNow());
    routers.push_back(settings_.peers);
    return direct::keepersOf(part, std::move(routers), 1).front() == settings_.peers;
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
    dispatcher_.adopt(*memory, now);
    logPartChanges(peer.ip);
    metrics_.noteEvent("crash-memory");
    log(LogLine("crash-memory")
            .add("peer", peer.ip)
            .add("reports", static_cast<std::int64_t>(memory->reports.size()))
            .add("parts", static_cast<std::int64_t>(memory->parts.size()))
            .add("beforeMs", core::millisecondsOf(before))
            .add("reachesMs", core::millisecondsOf(memory->age)));
}

} // namespace applehatch::gateway
