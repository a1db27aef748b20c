/// A connection to an upstream: one request at a time, its answer as it comes.
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

/// What becomes of one request on a connection. `failed` or `done` ends it, exactly once.
struct AnswerHooks
{
    std::function<void(ResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    /// The connection broke, or what came is no answer. The request may have run.
    std::function<void(std::string)> failed;
};

/// A request ready to be sent.
struct WireRequest
{
    std::string text;
    std::string idHeader; ///< Responses echo this header; empty: not checked.
    std::string id;
    bool isHead = false;
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    explicit UpstreamConnection(Channel::Socket socket);

    auto start(ChannelLimits limits) -> void;
    /// Sends on an idle connection.
    auto send(WireRequest request, AnswerHooks hooks) -> void;
    auto setPaused(bool paused) -> void { channel_->setPaused(paused); }
    /// Drops what is under way without a further hook; the upstream sees the connection reset.
    auto abort() -> void;
    [[nodiscard]] auto isOpen() const -> bool { return channel_->isOpen(); }
    /// Whether the next request may use it.
    [[nodiscard]] auto isReusable() const -> bool;
    /// How long the upstream said that it keeps an idle connection; none when it did not say.
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

    std::shared_ptr<Channel> channel_;
    WireRequest request_;
    AnswerHooks hooks_;
    std::optional<ResponseReader> reader_;
    std::optional<Duration> keepAliveTimeout_;
    bool busy_ = false;
    bool isStaleAnswer_ = false; // The answer being read belongs to an earlier request.
    bool informational_ = false;
    bool keepAlive_ = true;
    int skippedAnswers_ = 0;
};

} // namespace applehatch::gateway
