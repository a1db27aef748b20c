#include "applehatch/gateway/upstream-connection.h"

#include <boost/asio/post.hpp>

#include <charconv>
#include <utility>

namespace applehatch::gateway {

namespace {

// An upstream that sends more answers to earlier requests than this will not get back in sync.
constexpr int maxSkippedAnswers = 3;
constexpr int firstFinalStatus = 200;

auto parseSeconds(std::string_view text) -> std::optional<Duration>
{
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = text.substr(at + name.size());
    int seconds = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

UpstreamConnection::UpstreamConnection(Channel::Socket socket)
    : channel_(std::make_shared<Channel>(std::move(socket)))
{ }

auto UpstreamConnection::start(ChannelLimits limits) -> void
{
    const auto self = shared_from_this();
    Channel::Hooks hooks;
    hooks.data = [self](std::string &bytes) { self->read(bytes); };
    hooks.ended = [self](boost::system::error_code error) { self->ended(error); };
    channel_->start(std::move(hooks), limits);
}

auto UpstreamConnection::isReusable() const -> bool
{
    return channel_->isOpen() && !busy_ && keepAlive_ && channel_->unsent() == 0;
}

auto UpstreamConnection::send(WireRequest request, AnswerHooks hooks) -> void
{
    busy_ = true;
    skippedAnswers_ = 0;
    interimAnswers_ = 0;
    request_ = std::move(request);
    hooks_ = std::move(hooks);
    beginAnswer();
    if (!channel_->isOpen()) {
        boost::asio::post(channel_->executor(), [self = shared_from_this()] {
            if (self->busy_)
                self->failWith("connection was closed");
        });
        return;
    }
    channel_->writeWhole(std::exchange(request_.text, {}), std::move(request_.kept));
}

auto UpstreamConnection::beginAnswer() -> void
{
    isStaleAnswer_ = false;
    informational_ = false;
    ResponseReader::Hooks hooks;
    hooks.head = [this](ResponseHead &head) { takeHead(head); };
    hooks.body = [this](std::string_view bytes) {
        if (busy_ && !isStaleAnswer_)
            hooks_.body(bytes);
    };
    reader_.emplace(std::move(hooks), request_.isHead);
}

auto UpstreamConnection::takeHead(ResponseHead &head) -> void
{
    informational_ = head.status < firstFinalStatus;
    if (informational_)
        return;
    // An upstream may send a second answer to an earlier request instead of the expected one. The
    // echoed request id detects this; otherwise a caller would get an answer meant for another.
    const auto *id = request_.idHeader.empty() ? nullptr : head.headers.find(request_.idHeader);
    isStaleAnswer_ = !request_.idHeader.empty() && (id == nullptr || *id != request_.id);
    if (isStaleAnswer_)
        return;
    keepAlive_ = head.keepAlive;
    noteKeepAlive(head.headers);
    if (busy_)
        hooks_.head(head);
}

auto UpstreamConnection::noteKeepAlive(const HeaderList &headers) -> void
{
    const auto *value = headers.find("Keep-Alive");
    if (value != nullptr)
        keepAliveTimeout_ = parseSeconds(*value);
}

auto UpstreamConnection::read(std::string &bytes) -> void
{
    const auto self = shared_from_this();
    while (busy_) {
        const auto result = reader_->feed(bytes);
        if (!busy_)
            break;
        if (result == ReadState::Failed)
            return failWith("invalid response");
        if (result == ReadState::NeedMore) {
            if (bytes.size() > maxUnparsedBytes)
                failWith("bytes without end that are no answer");
            return;
        }
        if (!informational_ && !isStaleAnswer_) {
            // Bytes after a complete answer belong to no request, and the next answer could not be
            // distinguished from them.
            if (!bytes.empty())
                keepAlive_ = false;
            return finish();
        }
        if (informational_ && ++interimAnswers_ > maxInterimAnswers)
            return failWith("too many interim answers");
        if (isStaleAnswer_ && ++skippedAnswers_ > maxSkippedAnswers)
            return failWith("too many answers to earlier requests");
        beginAnswer();
    }
    if (!bytes.empty())
        abort(); // Unsolicited bytes.
}

auto UpstreamConnection::finish() -> void
{
    busy_ = false;
    // Whoever paused this answer does not know the next one.
    channel_->setPaused(false);
    const auto hooks = std::exchange(hooks_, AnswerHooks());
    hooks.done();
}

auto UpstreamConnection::failWith(std::string why) -> void
{
    const auto self = shared_from_this();
    keepAlive_ = false;
    const auto wasBusy = std::exchange(busy_, false);
    const auto hooks = std::exchange(hooks_, AnswerHooks());
    channel_->abort();
    if (wasBusy)
        hooks.failed(std::move(why));
}

auto UpstreamConnection::ended(boost::system::error_code error) -> void
{
    const auto self = shared_from_this();
    if (!busy_)
        return; // The pool detects that the connection is closed.
    if (error)
        return failWith("connection broke: " + error.message());
    // Nobody answers what has not been read, and only this end would tell that the answer is whole.
    if (channel_->endedUnsent())
        return failWith("connection closed before the request was read");
    const auto result = reader_->feedEnd();
    if (result == ReadState::Done && !isStaleAnswer_ && !informational_ && busy_) {
        keepAlive_ = false;
        return finish();
    }
    failWith("connection closed before the answer was complete");
}

auto UpstreamConnection::abort() -> void
{
    const auto self = shared_from_this();
    busy_ = false;
    keepAlive_ = false;
    // Destroyed later, since the hooks may own the caller of this function.
    boost::asio::post(channel_->executor(), [hooks = std::exchange(hooks_, AnswerHooks())] {});
    channel_->abort();
}

} // namespace applehatch::gateway
