// Registry handling of the gateway process: own reads, deltas from peers and the reader role.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <map>
#include <utility>

namespace applehatch::gateway {

using core::LogLine;
using telemetry::LogLevel;
using telemetry::steadyNow;

namespace {

// A reader's own watch usually delivers a change sooner than this; after it a peer is asked.
constexpr Duration catchUpDelay = std::chrono::milliseconds(250);
// A router that is behind for this long is logged; usually it follows within some 100 ms.
constexpr Duration behindLogDelay = std::chrono::milliseconds(1000);

} // namespace

auto GatewayHost::deltaSince(std::uint64_t peerRevision) -> const std::string &
{
    const auto isCached = !lastDelta_.text.empty() && lastDelta_.since == peerRevision
        && lastDelta_.revision == replica_.revision();
    if (!isCached)
        lastDelta_ = {peerRevision, replica_.revision(),
                      encodeDelta(replica_.deltaSince(peerRevision))};
    return lastDelta_.text;
}

auto GatewayHost::registryRead(const direct::RegistrySnapshot &snapshot) -> void
{
    if (replica_.apply(snapshot, steadyNow()))
        applyRegistry();
}

auto GatewayHost::registryChanged(const std::vector<direct::RegistryChange> &changes,
                                  std::uint64_t revision) -> void
{
    const auto now = steadyNow();
    noteBriefVersions(changes, now);
    if (replica_.apply(changes, revision, now))
        applyRegistry();
}

auto GatewayHost::registryLost(const std::string &why) -> void
{
    if (replica_.reachable()) {
        metrics_.noteEvent("registry-lost");
        log(LogLine("registry-lost").add("why", why), LogLevel::Warning);
    }
    replica_.noteLost();
}

auto GatewayHost::registryAnswered() -> void
{
    registryRegained();
    mesh_.readerTracker().noteAnswer(steadyNow());
    // If no reader was known, all peers are notified; otherwise the next router in rank would start
    // reading as well.
    if (std::exchange(reportNextAnswer_, false))
        mesh_.advertiseToAll();
    else
        mesh_.advertiseToSome();
}

auto GatewayHost::nextWatchTimeout() const -> Duration
{
    return mesh_.table().readerTracker().nextWatchTimeout(steadyNow());
}

auto GatewayHost::registryRegained() -> void
{
    if (!replica_.reachable()) {
        metrics_.noteEvent("registry-regained");
        log(LogLine("registry-regained")
                .add("revision", static_cast<std::int64_t>(replica_.revision())));
    }
    replica_.noteRegained(steadyNow());
}

auto GatewayHost::applyRegistry() -> void
{
    auto decoded = decoder_(replica_.items());
    for (const auto &problem : decoded.problems) {
        metrics_.noteEvent("registry-entry-unusable");
        log(LogLine("registry-entry-unusable").add("why", problem), LogLevel::Warning);
    }
    if (decoded.configuration && dispatcher_.setConfiguration(decoded.configuration)) {
        metrics_.noteEvent("configuration");
        log(LogLine("configuration")
                .add("version", static_cast<std::int64_t>(decoded.configuration->version))
                .add("revision", static_cast<std::int64_t>(replica_.revision())));
    }
    logUpstreamChanges(decoded.upstreams);
    const auto now = steadyNow();
    noteVersions(decoded.upstreams, now);
    noteTurnedCold(dispatcher_.setUpstreams(std::move(decoded.upstreams), now));
    if (decoded.evacuated != dispatcher_.evacuated())
        applyEvacuations(std::move(decoded.evacuated), now);
    if (isActiveReader() && !readers_.isRedundant())
        mesh_.advertiseToAll();
    releaseEarly(steadyNow());
}

auto GatewayHost::applyEvacuations(direct::DataCenters evacuated, Instant now) -> void
{
    const auto before = dispatcher_.evacuated();
    const auto note = [this](const char *event, const std::string &dataCenter) {
        const auto &upstreams = dispatcher_.upstreams();
        const auto affected =
            std::count_if(upstreams.begin(), upstreams.end(),
                          [&](const auto &upstream) { return upstream.dataCenter == dataCenter; });
        metrics_.noteEvent(event);
        log(LogLine(event)
                .add("dataCenter", dataCenter)
                .add("upstreams", affected)
                .add("revision", static_cast<std::int64_t>(replica_.revision()))
                .add("sinceAnswerMs", sinceAnswerMs(steadyNow())));
    };
    for (const auto &dataCenter : evacuated) {
        if (!before.contains(dataCenter))
            note("evacuated", dataCenter);
    }
    for (const auto &dataCenter : before) {
        if (!evacuated.contains(dataCenter))
            note("evacuation-over", dataCenter);
    }
    noteTurnedCold(dispatcher_.setEvacuated(std::move(evacuated), now));
}

auto GatewayHost::noteTurnedCold(const std::vector<direct::TurnedCold> &upstreams) -> void
{
    for (const auto &upstream : upstreams) {
        metrics_.noteEvent("upstream-cold");
        log(LogLine("upstream-cold")
                .add("upstream", upstream.instance)
                .add("forMs", core::millisecondsOf(upstream.left))
                .add("why", upstream.wasEvacuated ? "was evacuated" : "its entry")
                .add("revision", static_cast<std::int64_t>(replica_.revision())));
    }
}

auto GatewayHost::logUpstreamChanges(const direct::UpstreamList &upstreams) -> void
{
    std::map<direct::UpstreamId, direct::Upstream> before;
    for (const auto &upstream : dispatcher_.upstreams())
        before[upstream.id] = upstream;
    const auto revision = static_cast<std::int64_t>(replica_.revision());
    for (const auto &upstream : upstreams) {
        const auto previous = before.find(upstream.id);
        const auto isNews = previous == before.end() || previous->second.state != upstream.state
            || previous->second.version != upstream.version;
        if (isNews)
            log(LogLine("upstream")
                    .add("upstream", upstream.instance)
                    .add("service", upstream.service)
                    .add("version", upstream.version)
                    .add("address",
                         upstream.address.ip + ':' + std::to_string(upstream.address.port))
                    .add("state", direct::stateName(upstream.state))
                    .add("revision", revision));
        if (previous != before.end())
            before.erase(previous);
    }
    for (const auto &[id, upstream] : before) {
        log(LogLine("upstream-gone").add("upstream", upstream.instance).add("revision", revision));
        pool_.drop(upstream.address);
    }
}

auto GatewayHost::onPeerDigest(const PeerDigest &digest) -> void
{
    const auto now = steadyNow();
    notePeerCrashes(digest, now);
    notePeerParts(digest, now);
    notePeerStreams(digest, now);
    if (!digest.brief) {
        const auto peer = PeerTable::rankOf(digest.sender);
        dispatcher_.loads().notePeer(peer, digest.loads, now);
        dispatcher_.backlog().notePeer(peer, digest.loads, now);
        askForCrashMemory(digest, now);
        tellNewPeer(digest, now);
        dispatcher_.contexts().notePeer(digest.contexts, now);
    }
    catchUp(now);
}

auto GatewayHost::catchUp(Instant now) -> void
{
    const auto newest = mesh_.newestRevision(now);
    noteBehind(newest, now);
    if (!behindSince_)
        return;
    if (!dispatcher_.ready() || !isActiveReader() || now - *behindSince_ >= catchUpDelay)
        mesh_.fetchNewer(replica_.revision());
}

auto GatewayHost::noteBehind(std::uint64_t newest, Instant now) -> void
{
    const auto isBehind = newest > replica_.revision();
    const auto since = behindSince_.value_or(now);
    if (isBehind && now - since < behindLogDelay) {
        behindSince_ = since;
        return;
    }
    if (isBehind != isBehindLogged_) {
        const auto *event = isBehind ? "registry-behind" : "registry-caught-up";
        metrics_.noteEvent(event);
        log(LogLine(event)
                .add("revision", static_cast<std::int64_t>(replica_.revision()))
                .add("newest", static_cast<std::int64_t>(newest))
                .add("sinceMs", core::millisecondsOf(now - since)),
            isBehind ? LogLevel::Warning : LogLevel::Info);
    }
    isBehindLogged_ = isBehind;
    if (!isBehind)
        behindSince_.reset();
}

auto GatewayHost::isActiveReader() const -> bool
{
    return readers_.reads() && replica_.reachable() && replica_.revision() > 0;
}

auto GatewayHost::watchableRevision() const -> std::optional<std::uint64_t>
{
    if (replica_.revision() == 0)
        return std::nullopt;
    return replica_.revision();
}

auto GatewayHost::updateReaderRole(Instant now) -> void
{
    noteRegistrySilence(now);
    direct::PeerRanks heard;
    for (const auto &reader : mesh_.readerTracker().readers(now))
        heard.reading.push_back(direct::readerRank(reader.router));
    for (const auto &peer : mesh_.table().alive(now))
        heard.alive.push_back(PeerTable::rankOf(peer.address));
    const auto before = readers_.reads();
    const auto reads = readers_.decide(heard, now);
    if (reads == before)
        return;
    noteReaderRole(reads, heard.reading.size(), now);
    reportNextAnswer_ = reads && heard.reading.empty();
    // Reports of the readers count as much as answers of the registry itself.
    if (!reads)
        registryRegained();
    if (readerRoleHook_)
        readerRoleHook_(reads);
}

auto GatewayHost::noteRegistrySilence(Instant now) -> void
{
    const auto limit = direct::RegistryReaders::maxSilence(settings_.maxPropagationTime);
    // A reader notices a silent registry by its own requests.
    if (readers_.reads() || !mesh_.readerTracker().distrustWhenSilent(limit, now))
        return;
    metrics_.noteEvent("registry-quiet");
    log(LogLine("registry-quiet").add("sinceAnswerMs", sinceAnswerMs(now)));
}

auto GatewayHost::noteReaderRole(bool reads, std::size_t readers, Instant now) -> void
{
    const auto *event = reads ? "registry-turn" : "registry-turn-over";
    metrics_.noteEvent(event);
    log(LogLine(event)
            .add("readers", static_cast<std::int64_t>(readers))
            .add("sinceAnswerMs", sinceAnswerMs(now))
            .add("revision", static_cast<std::int64_t>(replica_.revision())));
}

auto GatewayHost::sinceAnswerMs(Instant now) const -> std::int64_t
{
    constexpr std::int64_t never = -1;
    const auto since = mesh_.table().readerTracker().timeSinceAnswer(now);
    return since ? core::millisecondsOf(*since) : never;
}

auto GatewayHost::onPeerDelta(const direct::RegistryDelta &delta) -> void
{
    const auto before = replica_.revision();
    // A killed and restarted peer may have lost the revision that it advertised. It is asked again
    // at the next tick: if retried at once, two routers would ask each other hundreds of times
    // while the whole fleet restarts.
    if (!replica_.apply(delta, steadyNow()))
        return;
    metrics_.noteEvent("registry-from-peer");
    log(LogLine("registry-from-peer")
            .add("revision", static_cast<std::int64_t>(delta.revision))
            .add("before", static_cast<std::int64_t>(before))
            .add("changes", static_cast<std::int64_t>(delta.changes.size())));
    applyRegistry();
    catchUp(steadyNow());
}

} // namespace applehatch::gateway
