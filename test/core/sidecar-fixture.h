/// A sidecar node in virtual time, for tests of its decisions.
#pragma once

#include "applehatch/core/rendezvous.h"
#include "applehatch/core/run-once.h"
#include "applehatch/core/sidecar-node.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace applehatch::core::test::sidecar {

using namespace std::chrono_literals;

inline constexpr LinkId routerLink = 1;

inline auto poolOf(std::uint32_t members, std::uint32_t slots) -> Pool
{
    Pool pool;
    pool.team = "tai";
    pool.name = "jobs";
    for (std::uint32_t number = 0; number < members; ++number) {
        settings::Member member;
        member.name = "m" + std::to_string(number);
        member.id = settings::upstreamId(pool.team, pool.name, member.name);
        member.dataCenter = "dc";
        member.sidecar.ip = "127.0.1." + std::to_string(number + 1);
        member.slots = slots;
        pool.members.push_back(member);
    }
    return pool;
}

inline auto settingsOf(const Pool &pool, SettingsIndex index = 1,
                       std::map<std::string, settings::Customer> customers = {}) -> SettingsPtr
{
    auto team = std::make_shared<settings::Team>();
    team->name = pool.team;
    team->index = index;
    team->pools[pool.name] = pool;
    team->customers = std::move(customers);
    auto made = std::make_shared<settings::Settings>();
    made->index = index;
    made->teams[pool.team] = team;
    return made;
}

/// The sidecar of member 0, with settings in force, a serving upstream and one link up.
class Sidecar
{
public:
    explicit Sidecar(Pool pool, SidecarLimits limits = {}, Incarnation incarnation = 7)
        : pool_(std::move(pool))
        , incarnation_(incarnation)
        , node_({"tai", "jobs", "m0", "dc", incarnation, 1}, limits)
    {
        give(SettingsInForce{settingsOf(pool_)});
        report("epoch-1");
        give(PeerLinkUp{routerLink});
    }

    auto give(SidecarEvent event) -> Sidecar &
    {
        last = node_.handle(std::move(event), now);
        all.insert(all.end(), last.begin(), last.end());
        return *this;
    }

    /// Advances time with the host's ticks.
    auto pass(Duration time, Duration step = 50ms) -> Sidecar &
    {
        std::vector<SidecarAction> seen;
        for (const auto end = now + time; now < end;) {
            now += std::min(step, Duration(end - now));
            give(Tick{});
            seen.insert(seen.end(), last.begin(), last.end());
        }
        last = seen;
        return *this;
    }

    /// Advances time while the router sends its heartbeats.
    auto passWithHeartbeats(Duration time) -> Sidecar &
    {
        std::vector<SidecarAction> seen;
        for (const auto end = now + time; now < end;) {
            pass(std::min<Duration>(1s, end - now));
            seen.insert(seen.end(), last.begin(), last.end());
            from(Heartbeat{});
        }
        last = seen;
        return *this;
    }

    auto report(const std::string &epoch, std::vector<std::string> models = {},
                std::uint64_t fence = 0) -> Sidecar &
    {
        return give(UpstreamReport{!epoch.empty(), epoch, 0, 0, std::move(models), fence});
    }

    auto from(Message message, LinkId link = routerLink) -> Sidecar &
    {
        return give(FromPeer{link, std::move(message)});
    }

    [[nodiscard]] auto request(const RequestId &id, std::uint32_t attempt = 1) const -> Submit
    {
        Submit submit;
        submit.request = id;
        submit.attempt = attempt;
        submit.target = incarnation_;
        submit.notAfter = now + 60s;
        submit.terms.team = "tai";
        submit.terms.customer = "c1";
        submit.terms.pool = "jobs";
        submit.terms.fingerprint = stableHash(id);
        return submit;
    }

    [[nodiscard]] auto keyed(const RequestId &id, const std::string &key) const -> Submit
    {
        auto submit = request(id);
        submit.terms.idempotencyKey = key;
        submit.terms.runOnce = true;
        submit.terms.fingerprint = stableHash(key);
        submit.terms.firstSend = true;
        return submit;
    }

    /// Returns the actions of one kind in the last step.
    template <typename Kind>
    [[nodiscard]] auto did() const -> std::vector<Kind>
    {
        return pick<Kind>(last);
    }

    template <typename Kind>
    [[nodiscard]] static auto pick(const std::vector<SidecarAction> &actions) -> std::vector<Kind>
    {
        std::vector<Kind> found;
        for (const auto &action : actions) {
            if (const auto *kind = std::get_if<Kind>(&action))
                found.push_back(*kind);
        }
        return found;
    }

    /// Returns the messages of one kind sent over `link` in the last step.
    template <typename Kind>
    [[nodiscard]] auto sent(LinkId link = routerLink) const -> std::vector<Kind>
    {
        std::vector<Kind> found;
        for (const auto &action : did<SendToPeer>()) {
            const auto *kind = std::get_if<Kind>(&action.message);
            if (action.link == link && kind != nullptr)
                found.push_back(*kind);
        }
        return found;
    }

    /// Returns the only refusal of the last step.
    [[nodiscard]] auto refusal(LinkId link = routerLink) const -> Refusal
    {
        const auto refusals = sent<Refusal>(link);
        BOOST_REQUIRE(refusals.size() == 1U);
        return refusals.front();
    }

    /// Returns the run started in the last step.
    [[nodiscard]] auto started() const -> RunId
    {
        const auto starts = did<StartRun>();
        BOOST_REQUIRE(starts.size() == 1U);
        return starts.front().run;
    }

    /// Submits the request and returns its run, which must start.
    auto run(Submit submit) -> RunId
    {
        from(std::move(submit));
        return started();
    }

    auto answer(RunId run, const std::string &body) -> Sidecar &
    {
        give(RunHead{run, 200, {}, false});
        give(RunChunk{run, body});
        return give(RunEnd{run});
    }

    /// Delivers a digest that reports another member's load.
    auto receiveLoad(std::size_t member, std::uint32_t load,
                     UpstreamState state = UpstreamState::Serving) -> Sidecar &
    {
        const auto &reported = pool_.members.at(member);
        Digest digest;
        digest.entries = {{reported.id, 1, ++version_, load, 0, reported.slots, state, 0us}};
        return give(DigestReceived{digest});
    }

    auto node() -> SidecarNode & { return node_; }
    [[nodiscard]] auto pool() const -> const Pool & { return pool_; }
    [[nodiscard]] auto id(std::size_t member) const -> UpstreamId
    {
        return pool_.members.at(member).id;
    }

    Instant now{1000s};
    std::vector<SidecarAction> last;
    std::vector<SidecarAction> all;

private:
    Pool pool_;
    Incarnation incarnation_;
    SidecarNode node_;
    std::uint32_t version_ = 0;
};

/// Returns the error name and the run state of a refusal, for comparison in tables.
inline auto outcomeOf(const Refusal &refusal) -> std::string
{
    return std::string(answerFor(refusal.failure.kind).name) + '/'
        + std::string(runName(refusal.failure.run));
}

} // namespace applehatch::core::test::sidecar
