/// Fetching of a resource from a peer over HTTP.
#pragma once

#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace applehatch::gateway {

/// One request to a peer. It keeps itself alive until it has ended.
class PeerFetch : public std::enable_shared_from_this<PeerFetch>
{
public:
    /// Called once at the end: with the body, or with none and the cause.
    using Done = std::function<void(std::optional<std::string> body, const std::string &why)>;

    /// Asks `peer` for `path`. The event loop calls `done` later, after `timeout` at the latest.
    [[nodiscard]] static auto start(boost::asio::io_context &loop, UpstreamPool &pool, Address peer,
                                    std::string path, Duration timeout, Done done)
        -> std::shared_ptr<PeerFetch>;

    /// Ends the request without calling `done`.
    auto cancel() -> void;
    [[nodiscard]] auto peer() const -> const Address & { return peer_; }

private:
    PeerFetch(boost::asio::io_context &loop, UpstreamPool &pool, Address peer, std::string path,
              Done done);

    auto connect(Duration timeout) -> void;
    auto send(const UpstreamConnectionPtr &connection) -> void;
    auto finish(std::optional<std::string> body, const std::string &why) -> void;

    UpstreamPool &pool_;
    Address peer_;
    std::string path_;
    Done done_;
    Timer timer_;
    UpstreamConnectionPtr connection_;
    int status_ = 0;
    std::string body_;
};

} // namespace applehatch::gateway
