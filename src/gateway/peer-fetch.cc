#include "applehatch/gateway/peer-fetch.h"

#include "status.h"

#include <utility>

namespace applehatch::gateway {

PeerFetch::PeerFetch(boost::asio::io_context &loop, UpstreamPool &pool, Address peer,
                     std::string path, Done done)
    : pool_(pool)
    , peer_(std::move(peer))
    , path_(std::move(path))
    , done_(std::move(done))
    , timer_(loop.get_executor())
{ }

auto PeerFetch::start(boost::asio::io_context &loop, UpstreamPool &pool, Address peer,
                      std::string path, Duration timeout, Done done) -> std::shared_ptr<PeerFetch>
{
    std::shared_ptr<PeerFetch> fetch(
        new PeerFetch(loop, pool, std::move(peer), std::move(path), std::move(done)));
    fetch->connect(timeout);
    return fetch;
}

auto PeerFetch::connect(Duration timeout) -> void
{
    const auto self = shared_from_this();
    timer_.start(timeout, [self] { self->finish(std::nullopt, "no answer in time"); });
    if (const auto idle = pool_.takeIdle(peer_))
        return send(idle);
    pool_.open(peer_, [self](const UpstreamConnectionPtr &connection) {
        if (!connection)
            return self->finish(std::nullopt, "could not connect");
        self->send(connection);
    });
}

auto PeerFetch::send(const UpstreamConnectionPtr &connection) -> void
{
    if (done_ == nullptr)
        return pool_.release(peer_, connection);
    connection_ = connection;
    const auto self = shared_from_this();
    AnswerHooks hooks;
    hooks.head = [self](ResponseHead &head) { self->status_ = head.status; };
    hooks.body = [self](std::string_view bytes) { self->body_.append(bytes); };
    hooks.failed = [self](const std::string &why) { self->finish(std::nullopt, why); };
    hooks.done = [self] {
        self->pool_.release(self->peer_, std::exchange(self->connection_, nullptr));
        if (isSuccess(self->status_))
            return self->finish(std::move(self->body_), {});
        self->finish(std::nullopt, "status " + std::to_string(self->status_));
    };
    WireRequest wire;
    wire.text = "GET " + path_ + " HTTP/1.1\r\nHost: " + peer_.ip + "\r\n\r\n";
    connection->send(std::move(wire), std::move(hooks));
}

auto PeerFetch::cancel() -> void
{
    done_ = nullptr;
    finish(std::nullopt, {});
}

auto PeerFetch::finish(std::optional<std::string> body, const std::string &why) -> void
{
    timer_.stop();
    if (const auto connection = std::exchange(connection_, nullptr))
        connection->abort();
    if (const auto done = std::exchange(done_, nullptr))
        done(std::move(body), why);
}

} // namespace applehatch::gateway
