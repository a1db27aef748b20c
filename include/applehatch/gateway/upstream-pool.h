/// Kept connections to upstreams.
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

/// Gives a connection to an address: a kept one, else a new one.
class UpstreamPool
{
public:
    /// A host that takes no connection within this is down or out of reach; a live one takes it
    /// within a few milliseconds, one lost packet costs a second on top of that.
    static constexpr Duration connectTimeout = std::chrono::milliseconds(700);
    /// Four lost packets in a row; a request on a connection that went silent is told so then.
    static constexpr Duration unacknowledgedTimeout = std::chrono::milliseconds(1500);
    /// Share of the time told in `Keep-Alive` for which a connection is used again: a request that
    /// crosses the upstream's close may or may not have run.
    static constexpr double keepAliveShare = 0.7;
    /// Where the upstream tells no time.
    static constexpr Duration defaultKeepAlive = std::chrono::seconds(4);

    /// Gets the connection, or null when none could be opened.
    using AcquireCallback = std::function<void(UpstreamConnectionPtr, bool isNew)>;

    explicit UpstreamPool(boost::asio::io_context &loop);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    auto operator=(const UpstreamPool &) -> UpstreamPool & = delete;

    auto acquire(const Address &address, const AcquireCallback &callback) -> void;
    /// Takes a connection back whose answer is whole.
    auto release(const Address &address, const UpstreamConnectionPtr &connection) -> void;
    /// Closes the kept connections to an address, when it was found silent or gone.
    auto drop(const Address &address) -> void;
    auto expire(Instant now) -> void;

    [[nodiscard]] auto opened() const -> std::uint64_t { return opened_; }

private:
    struct IdleConnection
    {
        UpstreamConnectionPtr connection;
        Instant until;
    };
    struct Opening;

    auto open(const Address &address, const AcquireCallback &callback) -> void;

    boost::asio::io_context &loop_;
    std::map<std::string, std::vector<IdleConnection>> idle_; // The one used last comes last.
    std::uint64_t opened_ = 0;
};

} // namespace applehatch::gateway
