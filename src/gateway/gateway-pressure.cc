// Who gives way when connections or unread answers take more than the process has.
#include "applehatch/gateway/gateway-host.h"

#include "gateway-log.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace applehatch::gateway {

using core::LogLine;
using telemetry::LogLevel;

namespace {

// Shares of all sockets for listeners other than that of callers, so that no crowd at one of them
// takes the others' place.
constexpr std::size_t peerShare = 8;
constexpr std::size_t probeShare = 32;
constexpr std::size_t minConnections = 8;
// For the registry, digests, listening and the loop itself.
constexpr std::size_t ownSockets = 32;

auto shareOf(std::size_t sockets, std::size_t share) -> std::size_t
{
    return std::max(minConnections, sockets / share);
}

} // namespace

auto GatewayHost::limitConnections() -> void
{
    auto listener = listeners_.begin();
    listener->limitConnections([this] { return maxCallerConnections(); });
    const auto limit = [this](std::size_t share) {
        return [this, share] { return shareOf(settings_.maxSockets, share); };
    };
    (++listener)->limitConnections(limit(probeShare));
    (++listener)->limitConnections(limit(peerShare));
    if (++listener != listeners_.end())
        listener->limitConnections(limit(probeShare));
}

auto GatewayHost::maxCallerConnections() const -> std::size_t
{
    const auto sockets = settings_.maxSockets;
    const auto taken = shareOf(sockets, peerShare) + 2 * shareOf(sockets, probeShare) + ownSockets
        + pool_.connections();
    return std::max(minConnections, sockets - std::min(taken, sockets));
}

auto GatewayHost::mayBegin() -> bool
{
    if (callers_->size() <= maxCallerConnections())
        return true;
    callers_->sweep();
    pool_.dropIdle();
    return callers_->size() <= maxCallerConnections() || callers_->closeStill();
}

auto GatewayHost::closeNotReading(Instant now) -> void
{
    if (answers_.hasRoom())
        return;
    std::vector<std::pair<Instant, CallerPtr>> unread;
    for (const auto &listener : listeners_) {
        for (auto &caller : listener.openConnections()) {
            const auto since = caller->unreadSince();
            if (since && now - *since >= telemetry::Progress::stillTime)
                unread.emplace_back(*since, std::move(caller));
        }
    }
    std::sort(unread.begin(), unread.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[since, caller] : unread) {
        if (answers_.hasRoom())
            return;
        caller->abort();
        ++notReading_;
    }
}

auto GatewayHost::noteGivenWay() -> void
{
    std::size_t gaveWay = 0;
    for (auto &listener : listeners_)
        gaveWay += listener.takeGivenWay();
    const auto unbegun = std::exchange(unbegun_, 0);
    const auto unread = std::exchange(notReading_, 0);
    if (gaveWay + unbegun + unread == 0)
        return;
    metrics_.noteEvent("connection-gave-way", gaveWay);
    metrics_.noteEvent("request-without-descriptor", unbegun);
    metrics_.noteEvent("answer-not-read", unread);
    log(LogLine("connections-short")
            .add("gaveWay", static_cast<std::int64_t>(gaveWay))
            .add("refused", static_cast<std::int64_t>(unbegun))
            .add("notRead", static_cast<std::int64_t>(unread))
            .add("callers", static_cast<std::int64_t>(callers_->connections()))
            .add("upstreams", static_cast<std::int64_t>(pool_.connections()))
            .add("sockets", static_cast<std::int64_t>(settings_.maxSockets)),
        LogLevel::Warning);
}

} // namespace applehatch::gateway
