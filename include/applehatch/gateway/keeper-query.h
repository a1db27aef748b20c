/// Asks the routers that keep a stream what began it.
#pragma once

#include "applehatch/gateway/exchange.h"
#include "applehatch/gateway/peer-fetch.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::gateway {

/// One question to several peers at a time; the first that knows decides.
class KeeperQuery : public std::enable_shared_from_this<KeeperQuery>
{
public:
    /// Called once at the end, with none if no peer knows.
    using Done = std::function<void(std::optional<KeptStream>)>;
    /// A live peer answers within a few milliseconds; callers wait for this.
    static constexpr Duration timeout = std::chrono::milliseconds(150);

    KeeperQuery(direct::StreamKey stream, Done done);

    auto start(boost::asio::io_context &loop, UpstreamPool &pool, const std::vector<Address> &peers)
        -> void;
    /// Ends the question without calling back.
    auto cancel() -> void;

private:
    auto take(const Address &peer, const std::optional<std::string> &body) -> void;
    auto finish(std::optional<KeptStream> kept) -> void;

    direct::StreamKey stream_;
    Done done_;
    std::size_t unanswered_ = 0;
    std::vector<std::shared_ptr<PeerFetch>> fetches_;
};

/// Path at which a router tells what began a stream; the stream's key in hexadecimal follows.
inline constexpr std::string_view streamPath = "/streams/";

} // namespace applehatch::gateway
