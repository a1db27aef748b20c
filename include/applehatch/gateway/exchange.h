/// One caller's request on its way through the gateway.
#pragma once

#include "applehatch/direct/dispatcher.h"
#include "applehatch/direct/stream-pace.h"
#include "applehatch/gateway/caller-connection.h"
#include "applehatch/gateway/event-cutter.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"
#include "applehatch/gateway/vocabulary.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace applehatch::gateway {

/// How a request ended, for the log and the counters.
struct ExchangeReport
{
    std::string requestId;
    std::string route;
    std::string service;
    std::string customer;
    std::string outcome; ///< Such as `answered`, `refused`, `broken-off`, `caller-left`.
    std::string reason;  ///< What decided, for people.
    int status = 0;      ///< Told to the caller; 0 when nothing was.
    std::string upstream;
    std::uint32_t sent = 0; ///< Upstreams that it was sent to.
    std::uint32_t upstreamLoad = 0;
    std::uint32_t usable = 0;
    std::uint64_t context = 0;       ///< Hash of the prompt's shared parts; 0 without a prompt.
    std::uint32_t contextTokens = 0; ///< Of these parts.
    bool heldContext = false;
    std::string fetchedFrom; ///< The engine that the context was to come from; empty for none.
    bool resumed = false;
    std::uint64_t configurationVersion = 0;
    Duration duration{0};
    std::optional<Duration> firstByte;
};

/// What all exchanges of a process share.
struct ExchangeEnvironment
{
    boost::asio::io_context *loop = nullptr;
    direct::Dispatcher *dispatcher = nullptr;
    UpstreamPool *pool = nullptr;
    const Vocabulary *vocabulary = nullptr;
    /// One line for each decision on the way; the request's id, an event and what decided it.
    std::function<void(const std::string &id, const std::string &event, const std::string &why)>
        note;
    std::function<void(const ExchangeReport &)> ended;
    direct::StreamPace *pace = nullptr;
    /// How long streams that begin now have, where the process stops and no longer takes them all.
    std::function<std::optional<Duration>()> streamTimeLeft;
};

/// Sends a request to one upstream after another as its route allows, and relays the answer.
///
/// Nothing here waits for its own sake: an answer goes to the caller the moment it is known.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /// Connections that may fail to open before the request is refused.
    static constexpr std::uint32_t maxConnectFailures = 4;
    /// A request that may be repeated is taken elsewhere when an upstream has sent nothing for
    /// this many times the route's objective, or the longest pause between its events.
    static constexpr int silenceTimeoutInObjectives = 3;
    static constexpr int silenceTimeoutInPauses = 4;
    static constexpr Duration minSilenceTimeout = std::chrono::milliseconds(200);
    static constexpr Duration maxSilenceTimeout = std::chrono::milliseconds(1500);
    /// The wait is counted in so many steps and a last look, in which all sockets have their turn.
    static constexpr int silenceSteps = 4;
    static constexpr Duration finalSilenceStep = std::chrono::milliseconds(20);
    /// Answers of plain services up to this size are held until whole, so that one that breaks off
    /// can be fetched again from another upstream.
    static constexpr std::size_t maxBufferedBytes = 262144;

    Exchange(const ExchangeEnvironment &environment, CallerPtr caller, RequestMessage request);

    auto run() -> void;

private:
    using Failure = core::Failure;

    enum class Phase {
        AwaitingAnswer, ///< Nothing of an answer has reached the caller.
        Relaying,       ///< The caller has the head of the answer.
        Ended,
    };

    /// One upstream's part.
    struct Attempt
    {
        direct::Choice choice;
        UpstreamConnectionPtr connection;
        Instant sentAt;
        bool sent = false;
        bool notRun = false;
        bool served = false;
        bool isStream = false;
        std::optional<ResponseHead> head;
        std::string bufferedBody; ///< Body of an answer that is not relayed as it comes.
    };

    auto readRequestOptions() -> void;
    [[nodiscard]] auto cannotFinishBeforeStop() const -> bool;
    /// Begins at the best upstream; false, with `refusal_` set, when there is none.
    auto startAttempt() -> bool;
    /// Begins at another upstream when the route, the budget and the time allow and there is one.
    auto retry(const std::string &why) -> bool;
    /// Nothing more can be tried.
    auto answerAfterLastAttempt() -> void;
    auto useConnection(const UpstreamConnectionPtr &connection, bool isNew) -> void;
    auto sendRequest() -> void;
    [[nodiscard]] auto upstreamText() const -> std::string;
    auto onHead(ResponseHead &head) -> void;
    auto onBody(std::string_view bytes) -> void;
    auto onDone() -> void;
    auto onFailed(const std::string &why) -> void;
    auto onSilent() -> void;
    auto onCallerDisconnected() -> void;
    auto onDeadline() -> void;

    auto relayHead(const ResponseHead &head) -> void;
    auto relayEvents(std::string_view bytes) -> void;
    auto finishRelay() -> void;
    auto deliverBuffered() -> void;
    auto closeAttempt(bool keepConnection) -> void;
    /// Tells the decisions that the request has left its upstream.
    auto recordAttemptEnd() -> void;
    /// Another upstream when that may be; else the final answer.
    auto retryOrAnswer(const Failure &failure) -> void;
    [[nodiscard]] auto mayRepeat() const -> bool;
    auto answerFailure(const Failure &failure) -> void;
    auto finish(const std::string &outcome, const std::string &reason) -> void;
    auto startSilenceTimer() -> void;
    auto runSilenceTimer(Duration step, int remainingSteps) -> void;
    auto noteOutcome(direct::Outcome outcome) -> void;
    [[nodiscard]] auto timeLeft() const -> Duration;

    const ExchangeEnvironment &environment_;
    CallerPtr caller_;
    RequestMessage request_;
    direct::Permit permit_;
    direct::Demand demand_;
    std::string id_;
    Instant arrivedAt_;
    Instant deadline_;
    Phase phase_ = Phase::AwaitingAnswer;
    Attempt attempt_;
    EventSplitter events_;
    Timer deadlineTimer_;
    Timer silenceTimer_;
    std::uint32_t maxTokens_ = 0; // Of the answer; 0 when that is not told.
    std::uint32_t sent_ = 0;
    std::uint32_t connectFailures_ = 0;
    bool mayHaveRun_ = false; // At some upstream, whatever became of it there.
    Failure refusal_;         // Why no upstream could be chosen.
    ExchangeReport report_;
};

/// The HTTP status by which callers of a gateway are told of a failure.
[[nodiscard]] auto statusOf(const core::Failure &failure) -> int;

} // namespace applehatch::gateway
