#include "applehatch/gateway/keeper-query.h"

#include "applehatch/core/log-line.h"
#include "applehatch/gateway/peer-digest.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace applehatch::gateway {

KeeperQuery::KeeperQuery(direct::StreamKey stream, Done done)
    : stream_(stream)
    , done_(std::move(done))
{ }

auto KeeperQuery::start(boost::asio::io_context &loop, UpstreamPool &pool,
                        const std::vector<Address> &peers) -> void
{
    const auto self = shared_from_this();
    if (peers.empty())
        return boost::asio::post(loop, [self] { self->finish(std::nullopt); });
    unanswered_ = peers.size();
    for (const auto &peer : peers) {
        fetches_.push_back(PeerFetch::start(
            loop, pool, peer, std::string(streamPath) + core::hexText(stream_), timeout,
            [self, peer](const auto &body, const std::string &) { self->take(peer, body); }));
    }
}

auto KeeperQuery::take(const Address &peer, const std::optional<std::string> &body) -> void
{
    --unanswered_;
    const auto streams = body ? decodeStreams(*body) : std::nullopt;
    if (streams && !streams->empty() && streams->front().stream == stream_)
        return finish(KeptStream{streams->front(), peer.ip});
    if (unanswered_ == 0)
        finish(std::nullopt);
}

auto KeeperQuery::cancel() -> void
{
    done_ = nullptr;
    finish(std::nullopt);
}

auto KeeperQuery::finish(std::optional<KeptStream> kept) -> void
{
    for (const auto &fetch : std::exchange(fetches_, {}))
        fetch->cancel();
    if (const auto done = std::exchange(done_, nullptr))
        done(std::move(kept));
}

} // namespace applehatch::gateway
