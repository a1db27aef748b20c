/// Simulates, in virtual time, routers that read one registry and inform each other.
#pragma once

#include "peer-fleet.h"

#include "applehatch/direct/registry-readers.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace applehatch::gateway::testing {

/// The routers decide by the code under test; calls, fetches and the registry are simulated with
/// fixed durations.
class RegistryFleet
{
public:
    RegistryFleet(std::size_t size, std::uint32_t seed, Duration changeBound)
        : fleet(size, seed,
                {[this](std::size_t router, PeerDigest &digest) { fill(router, digest); },
                 [this](std::size_t router, const PeerDigest &digest) { received(router, digest); },
                 [this](std::size_t router) { tick(router); }})
        , maxQuietTime_(direct::RegistryReaders::maxSilence(changeBound))
    {
        for (std::size_t i = 0; i < size; ++i) {
            routers_.emplace_back(direct::readerRank(routerAt(i)));
            // Each router reads the registry once when it starts.
            routers_.back().nextCallAt = fleetStart;
        }
    }

    /// Makes a change in the registry, which answers the waiting watches.
    auto change() -> void
    {
        ++revision_;
        for (auto &router : routers_) {
            const auto isWatching =
                router.call && !router.call->answer.has_value() && !router.isCut;
            if (isWatching)
                router.call->answer = fleet.now + answerTime;
        }
    }

    /// Cuts a router off from the registry without closing connections: calls in progress get no
    /// answer.
    auto cut(std::size_t router) -> void
    {
        auto &each = routers_[router];
        each.isCut = true;
        if (each.call)
            each.call = Call{fleet.now + silenceTimeout, std::nullopt, fleet.now + silenceTimeout};
    }

    /// The routers that report that they read the registry successfully.
    [[nodiscard]] auto readers() -> std::vector<std::size_t>
    {
        std::vector<std::size_t> reading;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (routers_[i].readers.reads() && !fleet.isSilent(i) && ownReport(i))
                reading.push_back(i);
        }
        return reading;
    }

    /// Whether every router that is neither cut off nor silent has the latest revision.
    [[nodiscard]] auto isInForce() const -> bool
    {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            const auto &router = routers_[i];
            if (!router.isCut && !fleet.isSilent(i) && router.revision < revision_)
                return false;
        }
        return true;
    }

    /// Makes a change and returns how long it takes to be in force; stops waiting after `limit`.
    auto timeToApplyChange(Duration limit) -> std::chrono::milliseconds
    {
        change();
        const auto from = fleet.now;
        while (!isInForce() && fleet.now - from < limit)
            fleet.runFor(std::chrono::milliseconds(10));
        return std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - from);
    }

    PeerFleet fleet;
    std::size_t calls = 0; ///< Calls that reached the registry.

private:
    struct Call
    {
        Instant until; ///< When the call is answered without a change.
        std::optional<Instant> answer;
        std::optional<Instant> fails;
    };

    struct Router
    {
        explicit Router(std::uint64_t rank)
            : readers(rank, fleetStart)
        { }

        direct::RegistryReaders readers;
        std::optional<Call> call;
        std::optional<Instant> nextCallAt;
        std::optional<Instant> fetchDoneAt;
        std::uint64_t revision = 1;
        std::uint64_t peerRevision = 1;
        bool isCut = false;
        bool reachable = true;
        bool hasWatched = false;
        bool announcesNextAnswer = false;
    };

    static constexpr Duration answerTime = std::chrono::milliseconds(4);
    // Time until keep-alive probes close a connection that went silent.
    static constexpr Duration silenceTimeout = std::chrono::seconds(3);
    static constexpr Duration connectTimeout = std::chrono::milliseconds(500);
    static constexpr Duration retryDelay = std::chrono::milliseconds(600);
    static constexpr Duration watchSpacing = std::chrono::milliseconds(100);
    static constexpr Duration firstWatchDelay = std::chrono::milliseconds(600);
    static constexpr Duration fetchTime = std::chrono::milliseconds(10);

    auto ownReport(std::size_t router) -> std::optional<direct::ReaderStatus>
    {
        const auto &each = routers_[router];
        if (!each.readers.reads() || !each.reachable)
            return std::nullopt;
        return fleet.table(router).readerTracker().ownStatus(each.revision, fleet.now);
    }

    auto fill(std::size_t router, PeerDigest &digest) -> void
    {
        digest.revision = routers_[router].revision;
        const auto &tracker = fleet.table(router).readerTracker();
        digest.readers = tracker.reportedStatuses(ownReport(router), fleet.now);
    }

    auto tick(std::size_t router) -> void
    {
        auto &each = routers_[router];
        auto &tracker = fleet.table(router).readerTracker();
        if (!each.readers.reads())
            tracker.distrustWhenSilent(maxQuietTime_, fleet.now);
        direct::PeerRanks heard;
        for (const auto &reader : tracker.readers(fleet.now))
            heard.reading.push_back(direct::readerRank(reader.router));
        for (const auto &peer : fleet.table(router).alive(fleet.now))
            heard.alive.push_back(direct::readerRank(peer.address));
        const auto didRead = each.readers.reads();
        const auto reads = each.readers.decide(heard, fleet.now);
        if (reads && !didRead) {
            each.announcesNextAnswer = heard.reading.empty();
            if (!each.call && !each.nextCallAt)
                call(router, direct::RegistryReaders::firstWatchTimeout);
        }
        if (!reads && didRead)
            each.reachable = true;
        advance(router);
        catchUp(router);
    }

    auto call(std::size_t router, Duration wait) -> void
    {
        auto &each = routers_[router];
        each.nextCallAt.reset();
        const auto now = fleet.now;
        if (each.isCut) {
            each.call = Call{now + connectTimeout, std::nullopt, now + connectTimeout};
            return;
        }
        ++calls;
        each.call = Call{now + wait, std::nullopt, std::nullopt};
        if (each.revision < revision_)
            each.call->answer = now + answerTime;
    }

    /// Ends calls that are answered or fail, and starts calls that are due.
    auto advance(std::size_t router) -> void
    {
        auto &each = routers_[router];
        const auto now = fleet.now;
        if (each.call && each.call->fails && *each.call->fails <= now) {
            each.call.reset();
            each.reachable = false;
            each.nextCallAt = now + retryDelay + each.readers.takeoverDelay();
        } else if (each.call && !each.call->fails) {
            const auto changed = each.call->answer && *each.call->answer <= now;
            if (changed || each.call->until <= now)
                answered(router, changed);
        }
        if (!each.nextCallAt || *each.nextCallAt > now)
            return;
        if (each.readers.reads())
            call(router,
                 each.hasWatched ? fleet.table(router).readerTracker().nextWatchTimeout(now)
                                 : Duration(0));
        else
            each.nextCallAt.reset();
    }

    auto answered(std::size_t router, bool changed) -> void
    {
        auto &each = routers_[router];
        each.call.reset();
        each.reachable = true;
        each.nextCallAt = fleet.now + (changed ? watchSpacing : Duration(0));
        if (!std::exchange(each.hasWatched, true))
            each.nextCallAt = fleet.now + firstWatchDelay;
        fleet.table(router).readerTracker().noteAnswer(fleet.now);
        each.revision = std::max(each.revision, revision_);
        const auto toAll = changed || std::exchange(each.announcesNextAnswer, false);
        fleet.send(router, toAll ? PeerFleet::Send::ToAll : PeerFleet::Send::Brief);
    }

    auto received(std::size_t router, const PeerDigest &digest) -> void
    {
        auto &latest = routers_[router].peerRevision;
        latest = std::max(latest, digest.revision);
        for (const auto &reader : digest.readers)
            latest = std::max(latest, reader.revision);
        catchUp(router);
    }

    auto catchUp(std::size_t router) -> void
    {
        auto &each = routers_[router];
        if (each.peerRevision <= each.revision)
            return each.fetchDoneAt.reset();
        if (!each.fetchDoneAt)
            each.fetchDoneAt = fleet.now + fetchTime;
        if (*each.fetchDoneAt > fleet.now)
            return;
        each.fetchDoneAt.reset();
        each.revision = each.peerRevision;
    }

    Duration maxQuietTime_;
    std::vector<Router> routers_;
    std::uint64_t revision_ = 1;
};

} // namespace applehatch::gateway::testing
