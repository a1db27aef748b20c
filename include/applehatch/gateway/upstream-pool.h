/// Pool of idle connections to upstreams.
#pragma once

#include "applehatch/core/identity.h"
#include "applehatch/gateway/upstream-connection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace applehatch::gateway {

using core::Address;
using core::Instant;
using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Provides connections to upstreams, reusing idle ones. Never calls back inside a call.
class UpstreamPool
{
public:
    /// A host that does not accept a connection within this time is down or unreachable. A live one
    /// accepts it within a few milliseconds; one lost packet adds a second.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(700);
    /// Corresponds to four lost packets in a row. A request on a connection that went silent fails
    /// after this time.
    static constexpr Duration unacknowledgedTimeout = std::chrono::milliseconds(1500);
    /// Fraction of the upstream's `Keep-Alive` timeout during which an idle connection is reused:
    /// if a request crosses the upstream's close, it is unknown whether it ran.
    static constexpr double keepAliveShare = 0.7;
    /// Used if the upstream sends no `Keep-Alive` timeout.
    static constexpr Duration defaultKeepAlive = std::chrono::seconds(4);

    /// Receives the connection, or null if none could be opened.
    using OpenCallback = std::function<void(const UpstreamConnectionPtr &)>;

    explicit UpstreamPool(boost::asio::io_context &loop);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    auto operator=(const UpstreamPool &) -> UpstreamPool & = delete;

    /// Returns an idle connection, or null if there is none; then one has to be opened.
    [[nodiscard]] auto takeIdle(const Address &address) -> UpstreamConnectionPtr;
    /// Opens a connection. The event loop calls `callback` later, also when that fails at once.
    auto open(const Address &address, const OpenCallback &callback) -> void;
    /// Returns a connection to the pool after its answer is complete; aborts it if not reusable.
    auto release(const Address &address, const UpstreamConnectionPtr &connection) -> void;
    /// Closes all idle connections to an address that was found silent or gone.
    auto drop(const Address &address) -> void;
    /// Closes idle connections that have expired or are no longer usable.
    auto expire(Instant now) -> void;

    /// Number of connection attempts since the start.
    [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }
    /// Number of connections that are open, or being opened, idle or in use.
    [[nodiscard]] auto connections() const -> std::size_t
    {
        return static_cast<std::size_t>(token_.use_count()) - 1;
    }
    /// Closes all idle connections, since their descriptors are needed.
    auto dropIdle() -> void;

private:
    struct IdleConnection
    {
        UpstreamConnectionPtr connection;
        Instant until;
    };
    struct Opening;

    /// Calls `callback` without a connection, later.
    auto reportFailure(const OpenCallback &callback) -> void;

    boost::asio::io_context &loop_;
    std::map<std::string, std::vector<IdleConnection>> idle_; // Most recently used last.
    std::uint64_t opened_ = 0;
    /// Held by each connection, so that its uses tell how many there are.
    std::shared_ptr<void> token_ = std::make_shared<bool>(true);
};

} // namespace applehatch::gateway
