#include "applehatch/gateway/listener.h"

#include "applehatch/telemetry/clock.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Connections that may wait to be accepted; callers of a larger burst wait for seconds.
constexpr int backlog = 1024;
// A turn of the loop that takes longer was not work alone.
constexpr core::Duration maxTurn = std::chrono::milliseconds(30);
// Delay after a failed accept, for example when no file descriptor is free.
constexpr Duration pauseAfterFailure = std::chrono::milliseconds(20);
// Of connections that give way, this share of all is closed at a time.
constexpr std::size_t stillShare = 64;
// A connection that was opened or used within this time is not closed for others.
constexpr Duration minStillTime = std::chrono::milliseconds(250);

} // namespace

Listener::Listener(asio::io_context &loop, CallerHooks hooks, std::optional<core::Duration> maxWait)
    : loop_(loop)
    , acceptor_(loop)
    , pause_(loop)
    , hooks_(std::move(hooks))
    , maxWait_(maxWait)
{ }

Listener::~Listener()
{
    for (const auto &connection : openConnections())
        connection->discard();
}

auto Listener::open(const core::Address &address) -> error_code
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(address.ip, error);
    if (error)
        return error;
    acceptor_.open(tcp::v4(), error);
    if (error)
        return error;
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind({ip, address.port}, error);
    if (error)
        return error;
    acceptor_.listen(backlog, error);
    if (!error)
        acceptor_.non_blocking(true, error);
    if (!error)
        accept();
    return error;
}

auto Listener::accept() -> void
{
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            pause_.expires_after(pauseAfterFailure);
            pause_.async_wait([this](error_code aborted) {
                if (!aborted && acceptor_.is_open())
                    accept();
            });
            return;
        }
        add(std::move(socket));
        acceptAll();
        if (acceptor_.is_open())
            accept();
    });
}

auto Listener::acceptAll() -> void
{
    for (int i = 0; i < backlog; ++i) {
        error_code error;
        tcp::socket socket(loop_);
        acceptor_.accept(socket, error);
        if (error)
            return; // None is left, or the next asynchronous accept reports the failure.
        add(std::move(socket));
    }
}

auto Listener::isFull() const -> bool
{
    return limit_ && size() >= limit_();
}

auto Listener::mayAdd() -> bool
{
    if (!isFull())
        return true;
    sweep();
    if (!isFull())
        return true;
    const auto isMade = closeStill();
    sweep();
    return isMade;
}

auto Listener::closeStill() -> bool
{
    // Some at a time, since all connections are looked at.
    const auto most = std::max<std::size_t>(1, connections_.size() / stillShare);
    const auto latest = telemetry::steadyNow() - minStillTime;
    std::vector<std::pair<CallerConnection::Still, CallerPtr>> still;
    for (auto &connection : openConnections()) {
        const auto state = connection->still();
        if (state && (state->waiting == CallerConnection::Waiting::Close || state->since <= latest))
            still.emplace_back(*state, std::move(connection));
    }
    const auto count = std::min(most, still.size());
    std::partial_sort(still.begin(), still.begin() + static_cast<std::ptrdiff_t>(count),
                      still.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (std::size_t i = 0; i < count; ++i)
        still[i].second->giveWay();
    gaveWay_ += count;
    return count > 0;
}

auto Listener::takeGivenWay() -> std::size_t
{
    return std::exchange(gaveWay_, 0);
}

auto Listener::add(tcp::socket socket) -> void
{
    if (!mayAdd()) {
        ++closedUnread_; // All others are being served.
        return;
    }
    waiting_.push_back({std::move(socket), workTime()});
    if (waiting_.size() == 1)
        scheduleNext();
}

auto Listener::workTime() -> core::Duration
{
    const auto now = telemetry::steadyNow();
    workTime_ += std::min(now - turnAt_.value_or(now), maxTurn);
    turnAt_ = now;
    return workTime_;
}

auto Listener::scheduleNext() -> void
{
    asio::post(loop_, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            startNext();
    });
}

auto Listener::startNext() -> void
{
    const auto now = workTime();
    while (maxWait_ && !waiting_.empty() && now - waiting_.front().acceptedAt > *maxWait_) {
        waiting_.pop_front();
        ++closedUnread_;
    }
    if (waiting_.empty())
        return;
    const auto connection =
        std::make_shared<CallerConnection>(std::move(waiting_.front().socket), hooks_);
    waiting_.pop_front();
    connections_.push_back(connection);
    if (announcesClose_)
        connection->announceClose();
    connection->start();
    if (!waiting_.empty())
        scheduleNext();
}

auto Listener::takeClosedUnread() -> std::size_t
{
    return std::exchange(closedUnread_, 0);
}

auto Listener::openConnections() const -> std::vector<CallerPtr>
{
    std::vector<CallerPtr> all;
    for (const auto &each : connections_) {
        if (auto connection = each.lock())
            all.push_back(std::move(connection));
    }
    return all;
}

auto Listener::announceClose() -> void
{
    announcesClose_ = true;
    for (const auto &connection : openConnections())
        connection->announceClose();
}

auto Listener::closeIdle(core::Duration minQuiet) -> void
{
    for (const auto &connection : openConnections())
        connection->closeIfIdle(minQuiet);
}

auto Listener::stopListening() -> void
{
    acceptAll();
    error_code error;
    acceptor_.close(error);
    pause_.cancel();
    maxWait_.reset();
}

auto Listener::hasUnread() -> bool
{
    if (acceptor_.is_open())
        acceptAll();
    const auto all = openConnections();
    return !waiting_.empty() || std::any_of(all.begin(), all.end(), [](const auto &connection) {
        return connection->hasUnread();
    });
}

auto Listener::refuseIncomplete() -> void
{
    for (const auto &connection : openConnections())
        connection->refuseIncomplete();
}

auto Listener::connections() const -> std::size_t
{
    return openConnections().size();
}

auto Listener::unfinished() const -> std::size_t
{
    const auto all = openConnections();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const auto &connection) { return connection->isUnfinished(); }));
}

auto Listener::port() const -> std::uint16_t
{
    error_code error;
    return acceptor_.local_endpoint(error).port();
}

auto Listener::sweep() -> void
{
    std::erase_if(connections_, [](const auto &each) {
        const auto connection = each.lock();
        return !connection || connection->isClosed();
    });
}

} // namespace applehatch::gateway
