/// Routers that read one registry and tell each other, in virtual time.
#pragma once

#include "peer-fleet.h"

#include "applehatch/direct/registry-readers.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace applehatch::gateway::testing {

/// The decisions are the product's; calls, news and the registry are played with fixed times.
class RegistryFleet
{
public:
    RegistryFleet(std::size_t size, std::uint32_t seed, Duration changeWithin)
        : fleet(size, seed,
                {[this](std::size_t router, PeerDigest &digest) { fill(router, digest); },
                 [this](std::size_t router, const PeerDigest &digest) { heard(router, digest); },
                 [this](std::size_t router) { tick(router); }})
        , quietFor_(direct::RegistryReaders::quietFor(changeWithin))
    {
        for (std::size_t i = 0; i < size; ++i) {
            routers_.emplace_back(direct::readerRank(routerAt(i)));
            routers_.back().callsAt = fleetStart; // Each reads the registry once at its start.
        }
    }

    /// A change is accepted; watches that wait are answered.
    auto change() -> void
    {
        ++revision_;
        for (auto &router : routers_) {
            const auto hears = router.call && !router.call->answer.has_value() && !router.isCut;
            if (hears)
                router.call->answer = fleet.now + answerTime;
        }
    }

    /// Cuts a router off from the registry, in silence: calls under way stay without an answer.
    auto cut(std::size_t router) -> void
    {
        auto &each = routers_[router];
        each.isCut = true;
        if (each.call)
            each.call = Call{fleet.now + silenceSeen, std::nullopt, fleet.now + silenceSeen};
    }

    /// Those that read with success, by their own word.
    [[nodiscard]] auto readers() -> std::vector<std::size_t>
    {
        std::vector<std::size_t> reading;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (routers_[i].readers.reads() && !fleet.isSilent(i) && ownWord(i))
                reading.push_back(i);
        }
        return reading;
    }

    /// Every router that is neither cut off nor silent has the newest revision.
    [[nodiscard]] auto isInForce() const -> bool
    {
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            const auto &router = routers_[i];
            if (!router.isCut && !fleet.isSilent(i) && router.revision < revision_)
                return false;
        }
        return true;
    }

    /// How long a change made now takes to be in force; at most `limit`.
    auto changeTakes(Duration limit) -> std::chrono::milliseconds
    {
        change();
        const auto from = fleet.now;
        while (!isInForce() && fleet.now - from < limit)
            fleet.runFor(std::chrono::milliseconds(10));
        return std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - from);
    }

    PeerFleet fleet;
    std::size_t calls = 0; ///< That reached the registry.

private:
    struct Call
    {
        Instant until; ///< Answered then without a change.
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
        std::optional<Instant> callsAt;
        std::optional<Instant> fetchedAt;
        std::uint64_t revision = 1;
        std::uint64_t heardRevision = 1;
        bool isCut = false;
        bool reachable = true;
        bool hasWatched = false;
        bool tellsNextAnswer = false;
    };

    static constexpr Duration answerTime = std::chrono::milliseconds(4);
    // A connection that went silent is given up by its keep-alive probes.
    static constexpr Duration silenceSeen = std::chrono::seconds(3);
    static constexpr Duration noConnection = std::chrono::milliseconds(500);
    static constexpr Duration retryPause = std::chrono::milliseconds(600);
    static constexpr Duration watchSpacing = std::chrono::milliseconds(100);
    static constexpr Duration firstWatchAfter = std::chrono::milliseconds(600);
    static constexpr Duration fetchTime = std::chrono::milliseconds(10);

    auto ownWord(std::size_t router) -> std::optional<direct::ReaderWord>
    {
        const auto &each = routers_[router];
        if (!each.readers.reads() || !each.reachable)
            return std::nullopt;
        return fleet.table(router).readerBook().ownWord(each.revision, fleet.now);
    }

    auto fill(std::size_t router, PeerDigest &digest) -> void
    {
        digest.revision = routers_[router].revision;
        const auto &book = fleet.table(router).readerBook();
        digest.readers = book.told(ownWord(router), fleet.now);
    }

    auto tick(std::size_t router) -> void
    {
        auto &each = routers_[router];
        auto &book = fleet.table(router).readerBook();
        if (!each.readers.reads())
            book.setAsideWhenQuiet(quietFor_, fleet.now);
        direct::HeardRanks heard;
        for (const auto &reader : book.readers(fleet.now))
            heard.reading.push_back(direct::readerRank(reader.router));
        for (const auto &peer : fleet.table(router).alive(fleet.now))
            heard.alive.push_back(direct::readerRank(peer.address));
        const auto before = each.readers.reads();
        const auto reads = each.readers.decide(heard, fleet.now);
        if (reads && !before) {
            each.tellsNextAnswer = heard.reading.empty();
            if (!each.call && !each.callsAt)
                call(router, direct::RegistryReaders::proofWait);
        }
        if (!reads && before)
            each.reachable = true;
        advance(router);
        catchUp(router);
    }

    auto call(std::size_t router, Duration wait) -> void
    {
        auto &each = routers_[router];
        each.callsAt.reset();
        const auto now = fleet.now;
        if (each.isCut) {
            each.call = Call{now + noConnection, std::nullopt, now + noConnection};
            return;
        }
        ++calls;
        each.call = Call{now + wait, std::nullopt, std::nullopt};
        if (each.revision < revision_)
            each.call->answer = now + answerTime;
    }

    /// Ends calls that are answered or fail, and begins those that are due.
    auto advance(std::size_t router) -> void
    {
        auto &each = routers_[router];
        const auto now = fleet.now;
        if (each.call && each.call->fails && *each.call->fails <= now) {
            each.call.reset();
            each.reachable = false;
            each.callsAt = now + retryPause + each.readers.delay();
        } else if (each.call && !each.call->fails) {
            const auto changed = each.call->answer && *each.call->answer <= now;
            if (changed || each.call->until <= now)
                answered(router, changed);
        }
        if (!each.callsAt || *each.callsAt > now)
            return;
        if (each.readers.reads())
            call(router,
                 each.hasWatched ? fleet.table(router).readerBook().nextWatch(now) : Duration(0));
        else
            each.callsAt.reset();
    }

    auto answered(std::size_t router, bool changed) -> void
    {
        auto &each = routers_[router];
        each.call.reset();
        each.reachable = true;
        each.callsAt = fleet.now + (changed ? watchSpacing : Duration(0));
        if (!std::exchange(each.hasWatched, true))
            each.callsAt = fleet.now + firstWatchAfter;
        fleet.table(router).readerBook().beat(fleet.now);
        each.revision = std::max(each.revision, revision_);
        const auto toAll = changed || std::exchange(each.tellsNextAnswer, false);
        fleet.send(router, toAll ? PeerFleet::Send::ToAll : PeerFleet::Send::Brief);
    }

    auto heard(std::size_t router, const PeerDigest &digest) -> void
    {
        auto &newest = routers_[router].heardRevision;
        newest = std::max(newest, digest.revision);
        for (const auto &reader : digest.readers)
            newest = std::max(newest, reader.revision);
        catchUp(router);
    }

    auto catchUp(std::size_t router) -> void
    {
        auto &each = routers_[router];
        if (each.heardRevision <= each.revision)
            return each.fetchedAt.reset();
        if (!each.fetchedAt)
            each.fetchedAt = fleet.now + fetchTime;
        if (*each.fetchedAt > fleet.now)
            return;
        each.fetchedAt.reset();
        each.revision = each.heardRevision;
    }

    Duration quietFor_;
    std::vector<Router> routers_;
    std::uint64_t revision_ = 1;
};

} // namespace applehatch::gateway::testing
