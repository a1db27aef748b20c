#include "applehatch/clients/upstream-runs.h"

#include "upstream-client-exchange.h"
#include "upstream-client-stream-end.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace applehatch::clients {

namespace {

constexpr core::Duration connectLimit = std::chrono::seconds(2);
/// An engine that processes a long context for the first time takes longer than between tokens.
constexpr int firstByteFactor = 4;
constexpr int nextByteFactor = 1;
constexpr auto chatPath = "/v1/chat/completions";
constexpr core::Duration silenceCheckInterval = std::chrono::milliseconds(50);
/// Bytes read from one answer before all other connections are served.
constexpr std::size_t maxBytesPerTurn = 65536;

auto setHeader(core::Headers &headers, std::string_view name, const std::string &value) -> void
{
    std::erase_if(headers, [name](const auto &header) { return sameName(header.first, name); });
    if (!value.empty()) {
        headers.emplace_back(name, value);
    }
}

/// True when the run resumes a stream without the original call, which the resuming router may
/// never have seen.
auto isContinuation(const core::StartRun &start) -> bool
{
    return start.call.method.empty();
}

auto requestFor(const core::StartRun &start) -> ExchangeRequest
{
    ExchangeRequest request{start.call.method, start.call.path, start.call.headers, {}};
    if (start.call.body) {
        request.body = *start.call.body;
    }
    const auto resume = start.resumeFrom == 0 ? "" : std::to_string(start.resumeFrom);
    if (isContinuation(start)) {
        request.method = "POST";
        request.path = chatPath;
    }
    setHeader(request.headers, "X-Request-Id", start.request);
    setHeader(request.headers, "X-Priority", std::to_string(start.priority));
    setHeader(request.headers, "X-Chat-Key", start.chat == 0 ? "" : chatHex(start.chat));
    setHeader(request.headers, "X-Resume-From", resume);
    return request;
}

auto isEventStream(const ExchangeHead &head) -> bool
{
    return head.status == 200
        && headerValue(head.headers, "Content-Type").starts_with("text/event-stream");
}

/// Maximum wait for the next byte. A plain answer arrives in one piece after the whole run, so only
/// pauses of a stream show that an upstream went silent; a plain answer may take until its
/// deadline.
auto maxPauseFor(const core::StartRun &start, core::Duration silence, int factor) -> core::Duration
{
    return start.call.stream ? factor * silence : std::max(silence, start.remaining);
}

/// The outcome of a run whose connection broke or ended before the answer was complete.
auto breakReason(ExchangeStage stage) -> core::RunBreak
{
    switch (stage) {
    case ExchangeStage::NotConnected:
        return core::RunBreak::NeverSent;
    case ExchangeStage::Sent:
        return core::RunBreak::Lost;
    case ExchangeStage::HeadRead:
        break;
    }
    return core::RunBreak::EndedEarly;
}

/// The outcome of a run that this process aborted: `how` if anything was sent.
auto abortReason(ExchangeStage stage, core::RunBreak how) -> core::RunBreak
{
    return stage == ExchangeStage::NotConnected ? core::RunBreak::NeverSent : how;
}

} // namespace

/// One run. Its promise ends before its exchange.
struct UpstreamRuns::Run
{
    Run(kj::Network &network, const kj::HttpHeaderTable &table, const core::Address &upstream,
        core::StartRun asked)
        : start(std::move(asked))
        , request(requestFor(start))
        , exchange(network, table, upstream)
        , end(start.resumeFrom > 0)
    { }

    /// Sets the maximum wait for the next byte and restarts the count.
    auto setMaxPause(core::Duration limit) -> void
    {
        maxPause = limit;
        silentFor = core::Duration::zero();
    }

    core::StartRun start;
    ExchangeRequest request;
    Exchange exchange;
    StreamEnd end;
    bool events = false; ///< The answer is an event stream.
    bool framed = false; ///< The answer's end differs from a broken connection.
    core::Duration maxPause{0};
    core::Duration silentFor{0}; ///< Time without a byte, in check intervals.
    std::string unreported;      ///< Bytes read and not yet reported.
    std::size_t bytesReadInTurn = 0;
    kj::Promise<void> work = nullptr;
};

UpstreamRuns::UpstreamRuns(kj::AsyncIoContext &io, core::Address upstream, core::Duration silence,
                           Report report)
    : network_(io.provider->getNetwork())
    , timer_(io.provider->getTimer())
    , upstream_(std::move(upstream))
    , silence_(silence)
    , report_(std::move(report))
    , table_(kj::HttpHeaderTable::Builder().build())
    , tasks_(*this)
{ }

UpstreamRuns::~UpstreamRuns() = default;

auto UpstreamRuns::start(core::StartRun start) -> void
{
    const auto id = start.run;
    auto &entry = runs_[id];
    entry = kj::heap<Run>(network_, *table_, upstream_, std::move(start));
    auto &run = *entry;
    if (!sendable(run.request)) {
        finish(run, core::RunBroken{id, core::RunBreak::NeverSent});
        return;
    }
    if (!checkingSilence_) {
        checkingSilence_ = true;
        tasks_.add(scheduleSilenceCheck());
    }
    run.setMaxPause(connectLimit);
    run.work = execute(run).eagerlyEvaluate(
        [this, &run](kj::Exception && /*broken*/) { end(run, false); });
}

auto UpstreamRuns::cancel(core::RunId id) -> std::optional<core::RequestId>
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return std::nullopt;
    }
    auto &run = *found->second;
    const auto request = run.start.request;
    finish(run, core::RunBroken{id, abortReason(run.exchange.stage(), core::RunBreak::Lost)});
    return request;
}

auto UpstreamRuns::execute(Run &run) -> kj::Promise<void>
{
    return run.exchange.connect()
        .then([this, &run] {
            run.setMaxPause(maxPauseFor(run.start, silence_, firstByteFactor));
            return run.exchange.send(run.request);
        })
        .then([this, &run](std::optional<ExchangeHead> &&head) -> kj::Promise<void> {
            if (!head) {
                end(run, false);
                return kj::READY_NOW;
            }
            run.setMaxPause(maxPauseFor(run.start, silence_, nextByteFactor));
            takeHead(run, *head);
            return readOn(run);
        });
}

auto UpstreamRuns::takeHead(Run &run, ExchangeHead &head) -> void
{
    run.events = isEventStream(head);
    run.framed = head.framed;
    const auto warm = headerValue(head.headers, "X-Cache") == "warm";
    report_(core::RunHead{run.start.run, head.status, std::move(head.headers), warm});
}

auto UpstreamRuns::readOn(Run &run) -> kj::Promise<void>
{
    return run.exchange.read().then([this, &run](std::string_view data) -> kj::Promise<void> {
        if (data.empty()) {
            end(run, run.events ? run.end.reachedAtClose() : run.framed);
            return kj::READY_NOW;
        }
        take(run, data);
        if (run.events && run.end.reached()) {
            end(run, true);
            return kj::READY_NOW;
        }
        run.bytesReadInTurn += data.size();
        if (run.bytesReadInTurn < maxBytesPerTurn) {
            return readOn(run);
        }
        // Timers fire only after all sockets were polled.
        run.bytesReadInTurn = 0;
        return timer_.afterDelay(0 * kj::SECONDS).then([this, &run] { return readOn(run); });
    });
}

// Reads all available bytes before reporting them as one chunk: most of the work for a chunk does
// not depend on its size, and a process that is behind would stay behind with one report per token.
auto UpstreamRuns::take(Run &run, std::string_view data) -> void
{
    run.silentFor = core::Duration::zero();
    run.end.take(data);
    if (run.unreported.empty()) {
        unreported_.push_back(run.start.run);
    }
    run.unreported.append(data);
    if (!reporting_) {
        reporting_ = true;
        tasks_.add(kj::evalLast([this] { reportAll(); }));
    }
}

auto UpstreamRuns::reportAll() -> void
{
    reporting_ = false;
    for (const auto id : std::exchange(unreported_, {})) {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            reportData(*found->second);
        }
    }
}

auto UpstreamRuns::reportData(Run &run) -> void
{
    run.bytesReadInTurn = 0;
    if (!run.unreported.empty()) {
        report_(core::RunChunk{run.start.run, std::exchange(run.unreported, {})});
    }
}

auto UpstreamRuns::end(Run &run, bool complete) -> void
{
    if (complete) {
        finish(run, core::RunEnd{run.start.run});
    } else {
        finish(run, core::RunBroken{run.start.run, breakReason(run.exchange.stage())});
    }
}

auto UpstreamRuns::finish(Run &run, core::SidecarEvent outcome) -> void
{
    reportData(run);
    const auto found = runs_.find(run.start.run);
    auto ended = kj::mv(found->second);
    runs_.erase(found);
    // Destroys the run one turn later: the caller may be the run's own promise.
    tasks_.add(kj::evalLater([] {}).attach(kj::mv(ended)));
    report_(std::move(outcome));
}

auto UpstreamRuns::scheduleSilenceCheck() -> kj::Promise<void>
{
    return timer_.afterDelay(silenceCheckInterval.count() * kj::MICROSECONDS)
        .then([this] { return kj::evalLast([this] { checkSilence(); }); })
        .then([this]() -> kj::Promise<void> {
            if (runs_.empty()) {
                checkingSilence_ = false;
                return kj::READY_NOW;
            }
            return scheduleSilenceCheck();
        });
}

// Counts nominal check intervals instead of elapsed time: after a stall of this process the
// upstream's bytes are still unread, and the upstream would be blamed for a silence that this
// process caused.
auto UpstreamRuns::checkSilence() -> void
{
    std::vector<core::RunId> silent;
    for (auto &[id, run] : runs_) {
        run->silentFor += silenceCheckInterval;
        if (run->silentFor >= run->maxPause) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            const auto stage = found->second->exchange.stage();
            finish(*found->second, core::RunBroken{id, abortReason(stage, core::RunBreak::Silent)});
        }
    }
}

} // namespace applehatch::clients
