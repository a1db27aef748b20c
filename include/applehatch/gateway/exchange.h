/// Handling of one caller's request by the gateway.
#pragma once

#include "applehatch/direct/answer-forecast.h"
#include "applehatch/direct/caller-patience.h"
#include "applehatch/direct/dispatcher.h"
#include "applehatch/gateway/byte-budget.h"
#include "applehatch/gateway/caller-connection.h"
#include "applehatch/gateway/event-splitter.h"
#include "applehatch/gateway/timer.h"
#include "applehatch/gateway/upstream-pool.h"
#include "applehatch/gateway/version-confirmer.h"
#include "applehatch/gateway/vocabulary.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace applehatch::gateway {

/// Result of a request, for the log and the metrics.
struct ExchangeReport
{
    std::string requestId;
    std::string route;
    std::string service;
    std::string customer;
    std::string outcome; ///< Such as `answered`, `refused`, `broken-off`, `caller-left`.
    std::string reason;  ///< Human-readable cause of the outcome.
    int status = 0;      ///< HTTP status sent to the caller; 0 when none was sent.
    std::string upstream;
    std::uint32_t sent = 0;          ///< Number of upstreams to which the request was sent.
    std::uint32_t upstreamLoad = 0;  ///< Load of the upstream when it was chosen.
    std::uint32_t usable = 0;        ///< Number of usable upstreams at that time.
    std::uint64_t context = 0;       ///< Hash of the prompt's shared parts; 0 without a prompt.
    std::uint32_t contextTokens = 0; ///< Tokens in the prompt's shared parts.
    std::uint32_t unreadTokens =
        0;                    ///< Prompt tokens that the engine had to read; 0 if not weighed.
    bool heldContext = false; ///< Whether the chosen engine already had the context.
    std::string fetchedFrom;  ///< Engine named as source of the context; empty for none.
    bool resumed = false;
    std::string version; ///< Version of the upstream's software.
    std::string takesUp; ///< Id of the request that began the stream, as the caller named it.
    std::uint64_t configurationVersion = 0;
    Duration duration{0};
    Duration sinceFirstSent{0};        ///< 0 unless the caller came back after a refusal.
    std::optional<Duration> firstByte; ///< Time to the first event, or to the whole answer.
};

/// What a peer knows of a stream.
struct KeptStream
{
    direct::StreamReport report;
    std::string peer;
};

/// State of a process that is stopping.
struct StopView
{
    Duration exitTimeLeft{0};     ///< Until the process ends, whatever is still running.
    bool isPeerReady = false;     ///< Whether another router takes requests.
    bool isOutOfRotation = false; ///< Whether the balancer has had time to notice the stop.
};

class Exchange;

/// Services shared by all exchanges of a process.
struct ExchangeEnvironment
{
    boost::asio::io_context *loop = nullptr;
    direct::Dispatcher *dispatcher = nullptr;
    UpstreamPool *pool = nullptr;
    const Vocabulary *vocabulary = nullptr;
    /// Logs a routing decision: the request id, the event's name and its cause.
    std::function<void(const std::string &id, const std::string &event, const std::string &why)>
        note;
    std::function<void(const Exchange &, const ExchangeReport &)> ended;
    /// Tells the routers that keep a stream what began it.
    std::function<void(const direct::StreamReport &)> tellStream;
    /// Sends what is to be told at once.
    std::function<void()> sendNotes;
    /// Asks the routers that keep a stream what began it; calls back once, with none if none of
    /// them knows.
    std::function<void(direct::StreamKey, std::function<void(std::optional<KeptStream>)>)>
        askKeepers;
    /// Finds out which versions served before this process began; calls back once.
    std::function<void(std::function<void()>)> learnHistory;
    /// Finds out whether a version serves of which this router has not heard; calls back once.
    std::function<void(VersionConfirmer::Done)> confirmVersions;
    /// How old what this router knows of the registry is, for the log.
    std::function<std::string()> registryAge;
    /// Called when a break counts as a possible crash.
    std::function<void(const direct::CrashReport &)> crashCounted;
    /// Called with what is to be told of the parts of a prompt, once for all of them.
    std::function<void(const std::vector<direct::PartReport> &)> partsNoted;
    direct::CallerPatience *patience = nullptr;
    direct::AnswerForecast *forecast = nullptr;
    /// None unless the process is stopping.
    std::function<std::optional<StopView>()> stopView;
    /// What buffered answers may take together.
    ByteBudget *answers = nullptr;
};

/// Sends a request to an upstream, retries on others as its route allows, and relays the answer.
///
/// No artificial delays are added: an answer is sent to the caller as soon as it is known.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /// Number of failed connection attempts after which the request is refused.
    static constexpr std::uint32_t maxConnectFailures = 4;
    /// A repeatable request is sent to another upstream when the current one has been silent for
    /// this multiple of the route's objective, or, once events flow, of the route's longest pause
    /// between events. The resulting timeout is clamped to the bounds below.
    static constexpr int silenceTimeoutInObjectives = 3;
    static constexpr int silenceTimeoutInPauses = 4;
    static constexpr Duration minSilenceTimeout = std::chrono::milliseconds(200);
    static constexpr Duration maxSilenceTimeout = std::chrono::milliseconds(1500);
    /// The silence timeout runs in this many steps plus a final one, in which the event loop gets
    /// to read all sockets.
    static constexpr int silenceSteps = 4;
    static constexpr Duration finalSilenceStep = std::chrono::milliseconds(20);
    /// All connections of an upstream that crashes end within this time.
    static constexpr Duration endConfirmationTime = std::chrono::milliseconds(20);
    /// A longer answer that is not a stream, or a longer event, counts as one without end. Such
    /// answers are buffered until complete, so that a truncated one can be requested again from
    /// another upstream.
    static constexpr std::size_t maxPlainAnswerBytes = std::size_t{16} * 1024 * 1024;
    static constexpr std::size_t maxEventBytes = std::size_t{1024} * 1024;

    Exchange(const ExchangeEnvironment &environment, CallerPtr caller, RequestMessage request);

    auto run() -> void;
    /// Ends the request since the process ends now: the caller is told whether it may have run, or
    /// sees that the answer that it was getting is incomplete.
    auto endBeforeExit() -> void;

private:
    using Failure = core::Failure;

    enum class Phase {
        AwaitingAnswer, ///< No part of an answer has been sent to the caller.
        Relaying,       ///< The head of the answer has been sent to the caller.
        Ended,
    };

    /// State of the request at one upstream.
    struct Attempt
    {
        direct::Choice choice;
        UpstreamConnectionPtr connection;
        Instant sentAt;
        bool sent = false;
        bool notRun = false;
        bool served = false;
        bool isStream = false;
        /// When the upstream began the answer: with its first event, or else with its head.
        std::optional<Instant> beganAt;
        std::uint32_t unreadTokens = 0; ///< Counted as unread until the first event.
        bool isSound = false; ///< The answer went so far that no part of the prompt crashes.
        std::optional<ResponseHead> head;
        std::string bufferedBody; ///< Body of an answer that is not streamed.
        /// What `bufferedBody`, or an event that is not complete, takes of the memory for answers.
        ByteShare kept;
        bool awaitsRoom = false;  ///< Its connection is paused until there is room.
        bool watchesRoom = false; ///< It gives way as soon as it is the largest without room.
    };

    auto readRequestOptions() -> void;
    /// Sends the request to its first upstream.
    auto begin() -> void;
    /// Finds out at which version the stream that the caller takes up may go on, then begins.
    auto takeUp() -> void;
    auto takeUpAt(const direct::StreamReport &report, const std::string &knownBy) -> void;
    /// The same for a stream that no router knows.
    auto takeUpUnknown() -> void;
    /// Takes the stream up, or asks whether it may be, if what is known now allows that.
    auto takeUpIfKnown() -> bool;
    auto takeUpBy(direct::ResumeRule rule) -> void;
    auto takeUpAtOrigin() -> void;
    auto takeUpAtOnlyVersion() -> void;
    /// Takes the stream up at the version at which it must have begun, or refuses it.
    auto takeUpAtOwner() -> void;
    /// Finds out whether a version serves of which this router has not heard.
    auto confirmVersions(std::function<void()> then) -> void;
    /// Sets the version at which the next attempt may begin the stream.
    auto chooseVersion() -> void;
    auto askKeepers() -> void;
    [[nodiscard]] auto resumeRule() const -> direct::ResumeRule;
    auto refuseUnknownStream() -> void;
    /// How long ago a stream may have begun that this request takes up.
    [[nodiscard]] auto maxStreamAge() const -> Duration;
    /// Records which version runs the stream, so that it is found if this process ends.
    auto noteStreamSent() -> void;
    auto noteStreamCompleted() -> void;
    /// Binds what is left of the stream to the version that brought its first event.
    auto bindToVersion() -> void;
    /// Returns the same value for each copy of a request, whichever router it comes to.
    [[nodiscard]] auto fingerprint() const -> core::Fingerprint;
    /// Why a stopping process should not begin the request; none if it should.
    [[nodiscard]] auto stopRefusal() const -> std::optional<Failure>;
    /// The same for a further attempt, or one that had to wait for its connection. A stream of
    /// which the caller has a part goes on as long as it can, since each event counts.
    [[nodiscard]] auto attemptRefusal() const -> std::optional<Failure>;
    /// Why the answer would probably not end before the process does; none if it would.
    [[nodiscard]] auto lateRefusal(const StopView &stop) const -> std::optional<Failure>;
    /// The same for a stream of which the caller can still be sent elsewhere by the balancer.
    [[nodiscard]] auto earlyStreamRefusal(const StopView &stop) const -> std::optional<Failure>;
    [[nodiscard]] auto answerKind() const -> direct::AnswerKind;
    [[nodiscard]] auto stoppingFailure(const std::string &why) const -> Failure;
    /// Records how long the request took, for the time at which the process stops.
    auto noteAnswerTime(bool isWhole) -> void;
    /// Starts an attempt at the best upstream. Returns false and sets `refusal_` when there is
    /// none.
    auto startAttempt() -> bool;
    /// Starts an attempt at another upstream if there is one and the route, the retry budget and
    /// the deadline allow it. Returns whether an attempt was started.
    auto retry(const std::string &why) -> bool;
    /// Sends the final answer when no further attempt is possible.
    auto answerAfterLastAttempt() -> void;
    auto useConnection(const UpstreamConnectionPtr &connection) -> void;
    auto sendRequest() -> void;
    [[nodiscard]] auto upstreamText() -> std::string;
    /// Whether the route allows no attempt beyond those that were sent.
    [[nodiscard]] auto isLastAttempt() const -> bool { return sent_ >= permit_.route->attempts; }
    /// Drops what is not sent again. Returns the share of what is still to be sent.
    [[nodiscard]] auto dropRequest(std::size_t sentBytes) -> ByteShare;
    auto onHead(ResponseHead &head) -> void;
    auto onBody(std::string_view bytes) -> void;
    auto onDone() -> void;
    auto onFailed(const std::string &why) -> void;
    auto onSilent() -> void;
    auto onCallerDisconnected() -> void;
    auto onDeadline() -> void;

    auto relayHead(const ResponseHead &head) -> void;
    auto relayEvents(std::string_view bytes) -> void;
    /// Counts `bytes` as kept of the answer; stops reading it while there is no room for them.
    auto countKept(std::size_t bytes) -> void;
    /// Goes on reading the answer once there is room, and gives it up if it is the largest.
    auto watchRoom() -> void;
    /// Ends the attempt since its answer is the largest of those that leave no room.
    auto giveUpAnswer() -> void;
    /// Ends the attempt at an upstream that violates the protocol.
    auto breakOffUpstream(const std::string &why) -> void;
    /// Takes the end of an answer that is complete.
    auto takeEnd() -> void;
    /// Waits for a moment at the end of an answer that only the end of its connection tells: an
    /// upstream that crashes may close some connections in order while it breaks others.
    auto confirmEnd() -> void;
    auto finishRelay() -> void;
    auto deliverBuffered() -> void;
    auto closeAttempt(bool keepConnection) -> void;
    /// Reports to the dispatcher that the request has left its upstream.
    auto recordAttemptEnd() -> void;
    /// Retries at another upstream if possible, otherwise sends the final answer.
    auto retryOrAnswer(const Failure &failure) -> void;
    [[nodiscard]] auto mayRepeat() const -> bool;
    auto answerFailure(const Failure &failure) -> void;
    auto finish(const std::string &outcome, const std::string &reason) -> void;
    auto startSilenceTimer() -> void;
    auto runSilenceTimer(Duration step, int remainingSteps) -> void;
    auto noteOutcome(direct::Outcome outcome) -> void;
    /// Records that the upstream broke off the request and may have crashed under it.
    auto noteBreak() -> void;
    /// Records that the upstream bore all parts of the prompt.
    auto noteSoundAnswer() -> void;
    /// Finds the parts of the prompt at the service that the request goes to.
    auto readParts() -> void;
    /// Records that the upstream did not crash before this request was sent to it.
    auto noteAnswered() -> void;
    /// Records what the upstream says of itself: that it leaves, or wants no requests for a time.
    auto noteAnnouncements(const ResponseHead &head) -> void;
    /// Records that the upstream has read the prompt, or never will.
    auto noteRead() -> void;
    auto noteRest(Duration rest) -> void;
    /// Records the load and the pace that the upstream reports.
    auto noteLoad(const std::string &text) -> void;
    [[nodiscard]] auto crashText() const -> std::string;
    [[nodiscard]] auto timeLeft() const -> Duration;
    /// Time since the caller first sent this request, here or to another router.
    [[nodiscard]] auto sinceFirstSent() const -> Duration;

    const ExchangeEnvironment &environment_;
    CallerPtr caller_;
    RequestMessage request_;
    direct::Permit permit_;
    direct::RoutingInput demand_;
    std::string id_;
    Instant arrivedAt_;
    Instant deadline_;
    Phase phase_ = Phase::AwaitingAnswer;
    Attempt attempt_;
    EventSplitter events_;
    Timer deadlineTimer_;
    Timer silenceTimer_;
    Timer endTimer_;
    Timer roomTimer_;
    std::uint32_t maxTokens_ = 0; // Maximum tokens of the answer; 0 if unknown.
    std::uint32_t sent_ = 0;
    std::uint32_t connectFailures_ = 0;
    direct::StreamKey ownStream_ = 0;     // The stream if this request begins it; 0 for none.
    direct::StreamKey takenUpStream_ = 0; // The stream that another request began; 0 for none.
    bool triedToConfirm_ = false;
    bool isConfirmed_ = false; // All versions that had joined before this request are known.
    bool isTimed_ = false;     // Counted as running in `answerTimes`.
    bool mayHaveRun_ = false;  // Some upstream may have run the request, even if it failed there.
    Failure refusal_;          // Why no upstream could be chosen.
    ExchangeReport report_;
};

/// HTTP status that a gateway sends to its callers for a failure.
[[nodiscard]] auto statusOf(const core::Failure &failure) -> int;

} // namespace applehatch::gateway
