/// Simulates, in virtual time, routers that send each other digests; digests are lost and delayed.
#pragma once

#include "applehatch/gateway/peer-table.h"

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace applehatch::gateway::testing {

inline constexpr auto fleetStart = Instant(std::chrono::seconds(100));
inline constexpr Duration digestInterval = std::chrono::milliseconds(200);

inline auto routerAt(std::size_t number) -> Address
{
    return {"10.0." + std::to_string(number / 250) + '.' + std::to_string(1 + number % 250), 7000};
}

/// A simulated fleet in which every router knows all others at the start.
class PeerFleet
{
public:
    struct Hooks
    {
        /// Sets the fields of a digest that the router reports in addition to those of the mesh.
        std::function<void(std::size_t router, PeerDigest &)> fill;
        std::function<void(std::size_t router, const PeerDigest &)> received =
            [](std::size_t, const PeerDigest &) {};
        std::function<void(std::size_t router)> tick = [](std::size_t) {};
    };

    PeerFleet(std::size_t size, std::uint32_t seed, Hooks hooks)
        : hooks_(std::move(hooks))
        , random_(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            tables_.emplace_back(routerAt(i), digestInterval, initialIncarnation);
        sequences_.resize(size);
        silent_.resize(size);
        PeerDigest greeting;
        greeting.incarnation = initialIncarnation;
        for (std::size_t i = 0; i < size; ++i) {
            nextTick_.push_back(fleetStart + randomDelay(tickInterval));
            nextDigest_.push_back(fleetStart + randomDelay(digestInterval));
            greeting.sender = routerAt(i);
            for (std::size_t to = 0; to < size; ++to)
                tables_[to].apply(greeting, fleetStart);
        }
    }

    /// Advances time in steps of a few milliseconds, by which a router's loop may be late.
    auto runFor(Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += step) {
            deliver();
            for (std::size_t i = 0; i < tables_.size(); ++i) {
                if (!silent_[i])
                    runRouter(i);
            }
        }
    }

    enum class Send { Whole, Brief, ToAll };

    /// Sends a whole digest to the next routers (`Whole`), or one that holds the registry's state
    /// alone to the next routers (`Brief`) or to all (`ToAll`).
    auto send(std::size_t from, Send kind) -> void
    {
        auto digest = std::make_shared<PeerDigest>();
        digest->sender = routerAt(from);
        digest->incarnation = initialIncarnation;
        digest->sequence = ++sequences_[from];
        digest->brief = kind != Send::Whole;
        hooks_.fill(from, *digest);
        auto &table = tables_[from];
        const auto targets = kind == Send::Whole ? table.nextTargets(now)
            : kind == Send::Brief                ? table.nextBriefTargets(now)
                                                 : table.targets(now);
        for (const auto &target : targets)
            post(target, digest);
    }

    /// Sends a digest that holds what `fill` sets to one router.
    auto tell(std::size_t from, const Address &to, const std::function<void(PeerDigest &)> &fill)
        -> void
    {
        auto digest = std::make_shared<PeerDigest>();
        digest->sender = routerAt(from);
        digest->incarnation = initialIncarnation;
        digest->sequence = ++sequences_[from];
        digest->brief = true;
        digest->isNote = true;
        fill(*digest);
        post(to, digest);
    }

    /// Addresses of all routers but one.
    [[nodiscard]] auto othersThan(std::size_t router) const -> std::vector<Address>
    {
        std::vector<Address> others;
        for (std::size_t i = 0; i < tables_.size(); ++i) {
            if (i != router)
                others.push_back(routerAt(i));
        }
        return others;
    }

    /// Makes a router neither send nor receive from now on, as after a kill or while it is frozen;
    /// or ends that.
    auto silence(std::size_t router, bool silent = true) -> void { silent_[router] = silent; }
    auto table(std::size_t router) -> PeerTable & { return tables_[router]; }
    [[nodiscard]] auto size() const -> std::size_t { return tables_.size(); }
    [[nodiscard]] auto isSilent(std::size_t router) const -> bool { return silent_[router]; }

    Instant now = fleetStart;

private:
    struct Datagram
    {
        Instant arrival;
        std::size_t to = 0;
        std::shared_ptr<const PeerDigest> digest;

        auto operator<(const Datagram &other) const -> bool { return arrival > other.arrival; }
    };

    static constexpr Duration step = std::chrono::milliseconds(5);
    static constexpr Duration tickInterval = std::chrono::milliseconds(100);
    static constexpr Duration maxTransitTime = std::chrono::milliseconds(8);
    static constexpr double lossRate = 0.02;
    static constexpr std::uint64_t initialIncarnation = 1;

    auto randomDelay(Duration maxDelay) -> Duration
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(random_));
    }

    auto post(const Address &target, const std::shared_ptr<const PeerDigest> &digest) -> void
    {
        if (std::bernoulli_distribution(lossRate)(random_))
            return;
        unsigned high = 0;
        unsigned low = 0;
        std::sscanf(target.ip.c_str(), "10.0.%u.%u", &high, &low);
        datagrams_.push({now + randomDelay(maxTransitTime), high * 250 + low - 1, digest});
    }

    auto deliver() -> void
    {
        while (!datagrams_.empty() && datagrams_.top().arrival <= now) {
            const auto datagram = datagrams_.top();
            datagrams_.pop();
            if (silent_[datagram.to])
                continue;
            const auto isNews = tables_[datagram.to].apply(*datagram.digest, now);
            if (isNews || datagram.digest->isNote)
                hooks_.received(datagram.to, *datagram.digest);
        }
    }

    auto runRouter(std::size_t router) -> void
    {
        if (nextDigest_[router] <= now) {
            nextDigest_[router] = now + digestInterval;
            send(router, Send::Whole);
        }
        if (nextTick_[router] <= now) {
            nextTick_[router] = now + tickInterval;
            hooks_.tick(router);
        }
    }

    Hooks hooks_;
    std::minstd_rand random_;
    std::vector<PeerTable> tables_;
    std::vector<std::uint64_t> sequences_;
    std::vector<bool> silent_;
    std::vector<Instant> nextTick_;
    std::vector<Instant> nextDigest_;
    std::priority_queue<Datagram> datagrams_;
};

} // namespace applehatch::gateway::testing
