/// Client side of a connection to an upstream: one request at a time, with a streamed answer.
#pragma once

#include "applehatch/direct/directory.h"
#include "applehatch/gateway/channel.h"
#include "applehatch/gateway/http-message.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::gateway {

/// Callbacks for one request. Unless it is aborted, exactly one of `done` and `failed` ends it.
struct AnswerHooks
{
    std::function<void(ResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    /// The connection failed or the response was invalid. The request may have run.
    std::function<void(std::string)> failed;
};

/// A serialized request.
struct WireRequest
{
    std::string text;
    std::string idHeader; ///< Header that responses echo; empty to skip the check.
    std::string id;
    bool isHead = false; ///< The request is a `HEAD`, whose response has no body.
    ByteShare kept = {}; ///< Counts the text until it is sent.
};

/// Ends with an error when an upstream sends bytes without end that are no answer: interim answers,
/// or a chunk header or trailer that does not end. Memory for them stays within `maxUnparsedBytes`.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// Bytes that may wait for the end of what they belong to; far beyond any chunk header or
    /// trailer.
    static constexpr std::size_t maxUnparsedBytes = std::size_t{64} * 1024;
    /// Interim answers (status 1xx) before the final one; usual are none or one.
    static constexpr int maxInterimAnswers = 16;

    explicit UpstreamConnection(Channel::Socket socket);

    auto start(ChannelLimits limits) -> void;
    /// Holds `token` as long as the connection lives.
    auto hold(std::shared_ptr<void> token) -> void { token_ = std::move(token); }
    /// Sends a request. The connection must be idle. No hook is called inside the call.
    auto send(WireRequest request, AnswerHooks hooks) -> void;
    auto setPaused(bool paused) -> void { channel_->setPaused(paused); }
    /// Resets the connection. No further callback of the current request is called.
    auto abort() -> void;
    [[nodiscard]] auto isOpen() const -> bool { return channel_->isOpen(); }
    /// Whether the connection can be used for another request.
    [[nodiscard]] auto isReusable() const -> bool;
    /// Timeout from the upstream's `Keep-Alive` header; none if the header was absent or invalid.
    [[nodiscard]] auto keepAliveTimeout() const -> std::optional<Duration>
    {
        return keepAliveTimeout_;
    }

private:
    auto read(std::string &bytes) -> void;
    auto beginAnswer() -> void;
    auto takeHead(ResponseHead &head) -> void;
    auto finish() -> void;
    auto ended(boost::system::error_code error) -> void;
    auto failWith(std::string why) -> void;
    auto noteKeepAlive(const HeaderList &headers) -> void;

    std::shared_ptr<void> token_;
    std::shared_ptr<Channel> channel_;
    WireRequest request_;
    AnswerHooks hooks_;
    std::optional<ResponseReader> reader_;
    std::optional<Duration> keepAliveTimeout_;
    bool busy_ = false;
    bool isStaleAnswer_ = false; // The current response belongs to an earlier request.
    bool informational_ = false;
    bool keepAlive_ = true;
    int skippedAnswers_ = 0;
    int interimAnswers_ = 0;
};

} // namespace applehatch::gateway
