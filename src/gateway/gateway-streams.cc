// Streams that may be taken up: what gateways tell one another of them, and which versions served.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/direct/keepers.h"
#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace applehatch::gateway {

using core::LogLine;
using telemetry::LogLevel;
using telemetry::steadyNow;

namespace {

// More than are told, since the views of two gateways differ a little.
constexpr std::size_t keepersToAsk = direct::keeperCount + 2;

auto joined(const std::vector<std::string> &texts) -> std::string
{
    std::string all;
    for (const auto &text : texts)
        all += (all.empty() ? "" : " ") + (text.empty() ? "-" : text);
    return all;
}

} // namespace

auto GatewayHost::noteVersions(const direct::UpstreamList &upstreams, Instant now) -> void
{
    auto &streams = dispatcher_.streams();
    streams.choice().setUpstreams(upstreams, replica_.revision(), now);
    if (!firstRevision_)
        firstRevision_ = replica_.revision();
    for (const auto &service : streams.setUpstreams(upstreams, now)) {
        const auto running = streams.ownReports(service, now);
        metrics_.noteEvent("several-versions");
        log(LogLine("several-versions")
                .add("service", service)
                .add("versions", joined(streams.versionsOf(service, now)))
                .add("streams", static_cast<std::int64_t>(running.size()))
                .add("revision", static_cast<std::int64_t>(replica_.revision())));
        for (const auto &report : running)
            tellKeepers(report);
    }
}

auto GatewayHost::notePeerStreams(const PeerDigest &digest, Instant now) -> void
{
    auto &streams = dispatcher_.streams();
    for (const auto &service : digest.mixedServices)
        streams.notePeerMixed(service, now);
    // An older list may not have the versions that this router knows yet.
    const auto isAsNew = firstRevision_ && digest.revision >= *firstRevision_;
    if (!digest.brief && isAsNew && streams.notePeerKnownSince(now - digest.versionsAge))
        log(LogLine("versions-known-by-peer")
                .add("peer", digest.sender.ip)
                .add("reachesMs", core::millisecondsOf(digest.versionsAge))
                .add("mixedServices", static_cast<std::int64_t>(digest.mixedServices.size())));
    for (const auto &report : digest.streams)
        streams.notePeer(report, now);
}

auto GatewayHost::tellNewPeer(const PeerDigest &digest, Instant now) -> void
{
    auto &incarnation = peerIncarnations_[PeerTable::rankOf(digest.sender)];
    if (std::exchange(incarnation, digest.incarnation) == digest.incarnation)
        return;
    const direct::KeeperChoice choice(lastingPeers(now));
    AddressedNotes notes;
    notes.to = digest.sender;
    const auto send = [&] {
        if (!notes.streams.empty())
            mesh_.sendNotes(notes);
        notes.streams.clear();
    };
    for (const auto &service : dispatcher_.streams().mixedServices(now)) {
        for (auto &report : dispatcher_.streams().ownReports(service, now)) {
            const auto keepers = choice.keepersOf(report.stream);
            if (std::find(keepers.begin(), keepers.end(), digest.sender) == keepers.end())
                continue;
            notes.streams.push_back(std::move(report));
            if (notes.streams.size() == KeeperOutbox::maxNotes)
                send();
        }
    }
    send();
}

auto GatewayHost::askKeepers(direct::StreamKey stream,
                             std::function<void(std::optional<KeptStream>)> done) -> void
{
    auto routers = std::vector<Address>{settings_.peers};
    for (const auto &row : mesh_.table().alive(steadyNow()))
        routers.push_back(row.address);
    auto keepers = direct::keepersOf(stream, std::move(routers), keepersToAsk);
    std::erase(keepers, settings_.peers);
    std::erase_if(queries_, [](const auto &query) { return query.expired(); });
    const auto query = std::make_shared<KeeperQuery>(stream, std::move(done));
    queries_.push_back(query);
    query->start(loop_, pool_, keepers);
}

auto GatewayHost::registryHistoryRead(const direct::RegistryHistory &history) -> void
{
    const auto now = steadyNow();
    auto &streams = dispatcher_.streams();
    const auto isWhole = noteChanges(history.changes, false, now);
    streams.choice().noteKnownSince(now - history.reach, history.since);
    if (isWhole)
        streams.noteKnownSince(now - history.reach);
    metrics_.noteEvent("versions-history");
    log(LogLine("versions-history")
            .add("outcome", isWhole ? "known" : "an engine left whose version is not known")
            .add("reachesMs", core::millisecondsOf(streams.ownKnowledge(now)))
            .add("changes", static_cast<std::int64_t>(history.changes.size()))
            .add("calls", static_cast<std::int64_t>(history.calls))
            .add("revision", static_cast<std::int64_t>(replica_.revision())));
    history_.ended(true);
}

auto GatewayHost::registryHistoryFailed(const std::string &why) -> void
{
    metrics_.noteEvent("versions-history-failed");
    log(LogLine("versions-history-failed").add("why", why), LogLevel::Warning);
    history_.ended(false);
}

auto GatewayHost::noteBriefVersions(const std::vector<direct::RegistryChange> &changes, Instant now)
    -> void
{
    std::set<std::string_view> keys;
    for (const auto &change : changes)
        keys.insert(change.item.key);
    // Entries that changed once are in the list that follows, or were in the one before.
    if (keys.size() < changes.size())
        noteChanges(changes, true, now);
}

auto GatewayHost::noteChanges(const std::vector<direct::RegistryChange> &changes, bool isSequel,
                              Instant now) -> bool
{
    auto &streams = dispatcher_.streams();
    // A copy, so that the cache of the other keeps to what is in force.
    auto decoder = decoder_;
    std::map<std::string, std::optional<direct::Upstream>> written; // None if it takes no requests.
    auto isWhole = true;
    for (const auto &[item, removed] : changes) {
        const auto known = written.find(item.key);
        const auto upstream = removed ? std::nullopt : writtenUpstream(item, decoder);
        if (upstream)
            streams.noteServed({upstream->service, upstream->version}, now);
        // An entry that could never be read named no upstream, so nothing was sent there.
        const auto wasWrittenBefore = removed || item.created != item.revision;
        if (known != written.end() && known->second) {
            const auto &before = *known->second;
            streams.choice().noteServed(before, {before.entryRevision, item.revision}, now);
        } else if (known == written.end() && !isSequel && wasWrittenBefore) {
            isWhole = isWhole && upstream;
            if (upstream)
                streams.choice().notePossible(*upstream, {0, item.revision}, now);
            else
                streams.choice().noteUnknown(instanceOf(item.key), {0, item.revision}, now);
        }
        const auto isReady = upstream && upstream->state == direct::UpstreamState::Ready;
        written[item.key] = isReady ? upstream : std::nullopt;
    }
    return isWhole;
}

auto GatewayHost::writtenUpstream(const direct::RegistryItem &item, RegistryDecoder &decoder)
    -> std::optional<direct::Upstream>
{
    auto decoded = decoder({{item.key, {item.value, item.revision, std::nullopt}}});
    return decoded.upstreams.empty() ? std::nullopt
                                     : std::optional(std::move(decoded.upstreams.front()));
}

auto GatewayHost::instanceOf(const std::string &key) const -> std::string
{
    return vocabulary_.instanceOf ? vocabulary_.instanceOf(key) : key;
}

auto GatewayHost::streamAnswer(std::string_view key) const -> std::string
{
    direct::StreamKey stream = 0;
    constexpr int hexadecimal = 16;
    const auto *end = key.data() + key.size();
    StreamReports known;
    if (std::from_chars(key.data(), end, stream, hexadecimal).ptr == end) {
        if (auto report = dispatcher_.streams().report(stream, steadyNow()))
            known.push_back(std::move(*report));
    }
    return encodeStreams(known);
}

auto GatewayHost::confirmerHooks() -> VersionConfirmerHooks
{
    VersionConfirmerHooks hooks;
    hooks.peers = [this] { return mesh_.table().targets(steadyNow()); };
    hooks.path = [this] { return std::string(deltaPath) + std::to_string(replica_.revision()); };
    hooks.peerAnswered = [this](const std::string &body) {
        const auto delta = decodeDelta(body);
        if (delta)
            onPeerDelta(*delta);
        return delta.has_value();
    };
    hooks.ended = [this](VersionsConfirmedBy confirmedBy, Duration took, std::size_t waiting,
                         const std::string &why) {
        const auto isConfirmed = confirmedBy != VersionsConfirmedBy::Nobody;
        const auto *event = isConfirmed ? "versions-confirmed" : "versions-unconfirmed";
        metrics_.noteEvent(event);
        log(LogLine(event)
                .add("by", nameOf(confirmedBy))
                .add("streams", static_cast<std::int64_t>(waiting))
                .add("tookMs", core::millisecondsOf(took))
                .add("revision", static_cast<std::int64_t>(replica_.revision()))
                .add("why", why),
            isConfirmed ? LogLevel::Info : LogLevel::Warning);
    };
    return hooks;
}

} // namespace applehatch::gateway
