#include "applehatch/gateway/upstream-pool.h"

#include "applehatch/telemetry/clock.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace applehatch::gateway {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

auto keyOf(const Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace

// A connection that is being opened, with its timeout.
struct UpstreamPool::Opening
{
    explicit Opening(asio::io_context &loop)
        : socket(loop)
        , timer(loop)
    { }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::shared_ptr<void> token;
    bool settled = false;
};

UpstreamPool::UpstreamPool(asio::io_context &loop)
    : loop_(loop)
{ }

UpstreamPool::~UpstreamPool()
{
    dropIdle();
}

auto UpstreamPool::takeIdle(const Address &address) -> UpstreamConnectionPtr
{
    const auto idle = idle_.find(keyOf(address));
    const auto now = telemetry::steadyNow();
    while (idle != idle_.end() && !idle->second.empty()) {
        const auto last = std::move(idle->second.back());
        idle->second.pop_back();
        if (last.until > now && last.connection->isReusable())
            return last.connection;
        last.connection->abort();
    }
    return nullptr;
}

auto UpstreamPool::reportFailure(const OpenCallback &callback) -> void
{
    asio::post(loop_, [callback] { callback(nullptr); });
}

auto UpstreamPool::open(const Address &address, const OpenCallback &callback) -> void
{
    error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        return reportFailure(callback);
    auto opening = std::make_shared<Opening>(loop_);
    opening->socket.open(asio::ip::tcp::v4(), error);
    if (error)
        return reportFailure(callback);
    ++opened_;
    opening->token = token_;
    const ChannelLimits limits{unacknowledgedTimeout};
    setChannelOptions(opening->socket, limits);
    opening->timer.expires_after(connectTimeout);
    opening->timer.async_wait([opening](error_code aborted) {
        if (aborted || opening->settled)
            return;
        error_code ignored;
        opening->socket.close(ignored);
    });
    opening->socket.async_connect(
        {ip, address.port}, [opening, limits, callback](error_code failed) {
            opening->settled = true;
            opening->timer.cancel();
            // The timeout may have closed the socket in the turn in which it was connected.
            if (failed || !opening->socket.is_open())
                return callback(nullptr);
            const auto connection =
                std::make_shared<UpstreamConnection>(std::move(opening->socket));
            connection->hold(std::move(opening->token));
            connection->start(limits);
            callback(connection);
        });
}

auto UpstreamPool::release(const Address &address, const UpstreamConnectionPtr &connection) -> void
{
    if (!connection->isReusable()) {
        connection->abort();
        return;
    }
    const auto announced = connection->keepAliveTimeout();
    const auto lifetime = announced
        ? std::chrono::duration_cast<Duration>(*announced * keepAliveShare)
        : defaultKeepAlive;
    idle_[keyOf(address)].push_back({connection, telemetry::steadyNow() + lifetime});
}

auto UpstreamPool::drop(const Address &address) -> void
{
    const auto idle = idle_.find(keyOf(address));
    if (idle == idle_.end())
        return;
    for (const auto &each : idle->second)
        each.connection->abort();
    idle_.erase(idle);
}

auto UpstreamPool::dropIdle() -> void
{
    for (const auto &[key, idle] : std::exchange(idle_, {})) {
        for (const auto &each : idle)
            each.connection->abort();
    }
}

auto UpstreamPool::expire(Instant now) -> void
{
    for (auto &[key, idle] : idle_) {
        std::erase_if(idle, [now](const IdleConnection &each) {
            if (each.until > now && each.connection->isReusable())
                return false;
            each.connection->abort();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace applehatch::gateway
