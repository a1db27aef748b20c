#include "applehatch/gateway/version-confirmer.h"

#include "applehatch/telemetry/clock.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

using telemetry::steadyNow;

auto nameOf(VersionsConfirmedBy confirmedBy) -> const char *
{
    switch (confirmedBy) {
    case VersionsConfirmedBy::Registry:
        return "registry";
    case VersionsConfirmedBy::Peers:
        return "peers";
    case VersionsConfirmedBy::Nobody:
        break;
    }
    return "nobody";
}

VersionConfirmer::VersionConfirmer(boost::asio::io_context &loop, UpstreamPool &pool,
                                   std::uint32_t seed, VersionConfirmerHooks hooks)
    : loop_(loop)
    , pool_(pool)
    , hooks_(std::move(hooks))
    , random_(seed)
    , timer_(loop.get_executor())
{ }

VersionConfirmer::~VersionConfirmer()
{
    for (const auto &fetch : fetches_)
        fetch->cancel();
}

auto VersionConfirmer::confirm(Done done) -> void
{
    waiting_.push_back(std::move(done));
    const auto isFirst = waiting_.size() == 1;
    if (!isFirst || !inRound_.empty())
        return;
    const auto untilNext = roundStartedAt_ + roundInterval - steadyNow();
    timer_.start(std::max(Duration(0), untilNext), [this] { startRound(); });
}

auto VersionConfirmer::startRound() -> void
{
    inRound_ = std::exchange(waiting_, {});
    roundStartedAt_ = steadyNow();
    isReading_ = hooks_.readRegistry && roundStartedAt_ >= nextRegistryRead_;
    if (!isReading_)
        return askPeers();
    whyNotRegistry_.clear();
    timer_.start(maxRegistryWait, [this] { registryFailed("no answer in time"); });
    hooks_.readRegistry();
}

auto VersionConfirmer::registryAnswered() -> void
{
    if (!std::exchange(isReading_, false))
        return;
    nextRegistryRead_ = Instant();
    endRound(VersionsConfirmedBy::Registry);
}

auto VersionConfirmer::registryFailed(const std::string &why) -> void
{
    if (!std::exchange(isReading_, false))
        return;
    whyNotRegistry_ = why;
    nextRegistryRead_ = steadyNow() + registryRetryDelay;
    askPeers();
}

auto VersionConfirmer::askPeers() -> void
{
    auto peers = hooks_.peers();
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), maxPeersAsked));
    asked_ = peers.size();
    answered_ = 0;
    unanswered_ = asked_;
    timer_.start(asked_ == 0 ? Duration(0) : maxPeerWait, [this] { countPeers(); });
    for (const auto &peer : peers)
        fetches_.push_back(
            PeerFetch::start(loop_, pool_, peer, hooks_.path(), maxPeerWait,
                             [this](const auto &body, const auto &) { takeAnswer(body); }));
}

auto VersionConfirmer::takeAnswer(const std::optional<std::string> &body) -> void
{
    --unanswered_;
    if (body && hooks_.peerAnswered(*body))
        ++answered_;
    if (unanswered_ == 0)
        countPeers();
}

auto VersionConfirmer::countPeers() -> void
{
    for (const auto &fetch : std::exchange(fetches_, {}))
        fetch->cancel();
    const auto isMost = 2 * (answered_ + 1) > asked_ + 1;
    endRound(isMost ? VersionsConfirmedBy::Peers : VersionsConfirmedBy::Nobody);
}

auto VersionConfirmer::endRound(VersionsConfirmedBy confirmedBy) -> void
{
    timer_.stop();
    const auto done = std::exchange(inRound_, {});
    const auto why = confirmedBy == VersionsConfirmedBy::Registry ? std::string()
                                                                  : whyNotRegistry_ + "; "
            + std::to_string(answered_) + " of " + std::to_string(asked_) + " peers answered";
    hooks_.ended(confirmedBy, steadyNow() - roundStartedAt_, done.size(), why);
    for (const auto &each : done)
        boost::asio::post(loop_, [each, confirmedBy] { each(confirmedBy); });
    if (waiting_.empty())
        return;
    const auto untilNext = roundStartedAt_ + roundInterval - steadyNow();
    timer_.start(std::max(Duration(0), untilNext), [this] { startRound(); });
}

} // namespace applehatch::gateway
