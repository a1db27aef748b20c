#include "applehatch/gateway/channel.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace applehatch::gateway {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int maxMissedProbes = 2;
// Received bytes that are dropped when a connection is closed at once; far more than one request.
constexpr int maxDroppedReads = 64;

auto setOption(int fd, int level, int name, int value) -> void
{
    // Without the option the socket still works, but a dead connection is detected later.
    static_cast<void>(setsockopt(fd, level, name, &value, sizeof(value)));
}

} // namespace

auto setChannelOptions(Channel::Socket &socket, ChannelLimits limits) -> void
{
    const auto fd = socket.native_handle();
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(limits.probeInterval.count()));
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(limits.probeInterval.count()));
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, maxMissedProbes);
    const auto unacknowledgedTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(limits.unacknowledgedTimeout);
    if (unacknowledgedTimeout.count() > 0)
        setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(unacknowledgedTimeout.count()));
}

Channel::Channel(Socket socket)
    : socket_(std::move(socket))
{ }

Channel::~Channel() = default;

auto Channel::start(Hooks hooks, ChannelLimits limits) -> void
{
    hooks_ = std::move(hooks);
    setChannelOptions(socket_, limits);
    error_code error;
    socket_.non_blocking(true, error);
    if (error)
        return fail(error);
    waitReadable();
}

auto Channel::waitReadable() -> void
{
    if (reading_ || paused_ || hasEnded())
        return;
    reading_ = true;
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](error_code error) {
        self->reading_ = false;
        if (self->hasEnded())
            return;
        if (error)
            return self->fail(error);
        if (!self->paused_)
            self->readAvailable();
    });
}

auto Channel::readAvailable() -> void
{
    static thread_local std::array<char, Channel::maxReadBytes> buffer;
    error_code error;
    const auto count = socket_.read_some(asio::buffer(buffer.data(), maxRead_), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return waitReadable();
    if (error)
        return fail(error == asio::error::eof ? error_code() : error);
    if (state_ == State::Closing)
        return waitReadable(); // Bytes received while closing are discarded.
    in_.append(buffer.data(), count);
    hooks_.data(in_);
    shrinkIfEmpty(in_);
    waitReadable();
}

auto Channel::write(std::string_view bytes) -> void
{
    if (state_ != State::Open)
        return;
    const auto wasEmpty = out_.empty();
    out_ += bytes;
    if (!writing_)
        flush();
    noteUnsent(wasEmpty);
}

auto Channel::writeWhole(std::string message, ByteShare kept) -> void
{
    if (state_ != State::Open)
        return;
    if (outKept_.bytes() == 0)
        outKept_ = std::move(kept);
    else
        outKept_.add(kept.bytes());
    if (!out_.empty())
        return write(message);
    out_ = std::move(message);
    if (!writing_)
        flush();
    noteUnsent(true);
}

auto Channel::noteUnsent(bool wasEmpty) -> void
{
    if (out_.empty())
        return;
    if (wasEmpty)
        taken_.restart();
    unsentShare_.resize(out_.capacity());
}

auto Channel::flush() -> void
{
    error_code error;
    const auto count =
        socket_.write_some(asio::buffer(out_.data() + sent_, out_.size() - sent_), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again)
        return failLater(error);
    if (!error) {
        sent_ += count;
        taken_.note(count);
        dropSent();
    }
    if (!out_.empty())
        return waitWritable();
    outKept_.release();
    unsentShare_.release();
    shrinkIfEmpty(out_);
    if (state_ == State::Closing) {
        socket_.shutdown(Socket::shutdown_send, error);
        return;
    }
    if (hooks_.flushed)
        hooks_.flushed();
}

auto Channel::dropSent() -> void
{
    if (sent_ < out_.size() - sent_)
        return;
    out_.erase(0, sent_);
    sent_ = 0;
}

auto Channel::waitWritable() -> void
{
    writing_ = true;
    socket_.async_wait(Socket::wait_write, [self = shared_from_this()](error_code error) {
        self->writing_ = false;
        if (self->hasEnded())
            return;
        if (error)
            return self->fail(error);
        self->flush();
    });
}

auto Channel::hasUnread() const -> bool
{
    error_code error;
    return !hasEnded() && socket_.available(error) > 0 && !error;
}

auto Channel::isClosedByPeer() -> bool
{
    if (hasEnded())
        return true;
    std::array<char, 1> byte{};
    error_code error;
    socket_.receive(asio::buffer(byte), Socket::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::try_again;
}

auto Channel::setPaused(bool paused) -> void
{
    paused_ = paused;
    if (!paused)
        waitReadable();
}

auto Channel::close() -> void
{
    if (state_ == State::Failed)
        return release();
    if (state_ != State::Open)
        return;
    state_ = State::Closing;
    dropHooks();
    paused_ = false;
    if (!writing_)
        flush();
    // Keep reading until the peer closes: closing the socket with unread bytes would reset the
    // connection, and the peer could lose an answer that it has not read yet.
    waitReadable();
}

auto Channel::closeNow() -> void
{
    if (state_ == State::Closed)
        return;
    dropReceived();
    release();
}

auto Channel::dropReceived() -> void
{
    static thread_local std::array<char, Channel::maxReadBytes> buffer;
    error_code error;
    // A peer that goes on sending is reset in the end.
    for (int reads = 0; reads < maxDroppedReads && !error; ++reads)
        socket_.read_some(asio::buffer(buffer), error);
}

auto Channel::abort() -> void
{
    if (state_ == State::Closed)
        return;
    error_code error;
    socket_.set_option(asio::socket_base::linger(true, 0), error);
    release();
}

auto Channel::hasUndelivered() -> bool
{
    int queued = 0; // By the kernel, until the peer acknowledges it.
    const auto isKnown =
        socket_.is_open() && ioctl(socket_.native_handle(), SIOCOUTQ, &queued) == 0;
    return unsent() > 0 || (isKnown && queued > 0);
}

auto Channel::fail(error_code error) -> void
{
    if (state_ == State::Closed)
        return;
    const auto ended = std::move(hooks_.ended);
    endedUnsent_ = hasUndelivered();
    release();
    if (ended)
        ended(error);
}

auto Channel::failLater(error_code error) -> void
{
    state_ = State::Failed;
    dropUnsent();
    error_code ignored;
    socket_.close(ignored);
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->fail(error); });
}

auto Channel::release() -> void
{
    state_ = State::Closed;
    dropHooks();
    dropUnsent();
    error_code error;
    socket_.close(error);
}

auto Channel::dropUnsent() -> void
{
    std::string().swap(out_);
    sent_ = 0;
    outKept_.release();
    unsentShare_.release();
}

auto Channel::dropHooks() -> void
{
    // Destroyed later, since one of the hooks may be running and they keep this channel's owner
    // alive.
    asio::post(socket_.get_executor(), [hooks = std::exchange(hooks_, Hooks())] {});
}

} // namespace applehatch::gateway
